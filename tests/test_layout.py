"""The modules of the package import one another in one direction only."""

import ast
from pathlib import Path

import robinspindle

ROOT = Path(robinspindle.__file__).parent


def name_of(path):
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def find_imports():
    modules = {name_of(path): path for path in ROOT.rglob("*.py")}
    imports = {}
    for name, path in modules.items():
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module in modules:
                inner = {f"{node.module}.{alias.name}" for alias in node.names}
                found |= (inner & modules.keys()) or {node.module}
        imports[name] = found
    return imports


def test_no_module_imports_itself_over_others():
    imports = find_imports()
    done, path = set(), []

    def visit(name):
        assert name not in path, " -> ".join([*path, name])
        if name in done:
            return
        path.append(name)
        for inner in sorted(imports[name]):
            visit(inner)
        path.pop()
        done.add(name)

    for name in sorted(imports):
        visit(name)


def test_only_the_way_in_knows_the_platform():
    """What speaks the platform's words is named where a process starts, only."""
    allowed = {"robinspindle.cli", "robinspindle.commands"}
    for name, found in find_imports().items():
        if name.startswith("robinspindle.platform") or name in allowed:
            continue
        assert not any(inner.startswith("robinspindle.platform") for inner in found)
