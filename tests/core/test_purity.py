"""The modules of `robinspindle.core` are pure.

They read no clock, use no I/O and no threads, and draw randomness only from a generator
that the caller passes in.
"""

import ast
from pathlib import Path

import pytest

import robinspindle.core

FORBIDDEN = {
    "time",
    "datetime",
    "socket",
    "threading",
    "queue",
    "os",
    "subprocess",
    "zmq",
    "urllib3",
    "eliot",
    "cheroot",
    "uuid",
    "secrets",
    "pathlib",
}
MODULES = sorted(Path(robinspindle.core.__file__).parent.glob("*.py"))


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_core_module_imports_no_impure_module(path):
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module.split(".")[0])
    assert not names & FORBIDDEN


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_core_module_imports_no_process_module(path):
    allowed = ("robinspindle.core", "robinspindle.messages", "robinspindle.exceptions")
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module.startswith("robinspindle"):
            assert node.module.startswith(allowed)
