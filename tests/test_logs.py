"""Log lines: no field may be named like a secret, or the line ends its process.

A soak found gateways that ended when the store did not take a record: the line about it
named a field ``key``, which the log refuses, and no other test had come to that line.
"""

import ast
from pathlib import Path

import robinspindle
from robinspindle.logs import SECRET_WORDS

ROOT = Path(robinspindle.__file__).parent
LOGS = ("log", "_log")


def list_logged_fields():
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            called = node.func
            name = getattr(called, "attr", getattr(called, "id", ""))
            if name in LOGS:
                for keyword in node.keywords:
                    yield path.name, node.lineno, keyword.arg


def test_no_log_line_names_a_field_that_is_refused():
    fields = list(list_logged_fields())
    assert len(fields) > 100
    refused = [f for f in fields if f[2] and set(f[2].split("_")) & set(SECRET_WORDS)]
    assert refused == []
