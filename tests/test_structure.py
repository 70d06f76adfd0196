"""Modules and packages have no import cycles."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "lilacloft"


def modules():
    """Return each module with the project's modules that it imports anywhere, also for types and within
    functions."""
    found = {}
    for path in ROOT.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__")
        found[name] = path
    out = {}
    for name, path in found.items():
        out[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom) and node.module:
                names = [f"{node.module}.{alias.name}" for alias in node.names] + [node.module]
                if any(module in found for module in names[:-1]):
                    names = names[:-1]  # `from package import module` imports the module
            else:
                continue
            out[name] |= {module for module in names if module in found and module != name}
    return out


def find_cycles(imports):
    """Return the cycles of a graph, each as the sequence of its nodes."""
    done, out = set(), []

    def walk(node, path):
        if node in path:
            out.append([*path[path.index(node) :], node])
        elif node not in done:
            for other in sorted(imports[node]):
                walk(other, [*path, node])
            done.add(node)

    for node in sorted(imports):
        walk(node, [])
    return out


def package(name):
    """Return the package of a module; a top-level module is its own package."""
    return ".".join(name.split(".")[:2])


def test_modules_have_no_import_cycles():
    assert find_cycles(modules()) == []


def test_packages_have_no_import_cycles():
    imports = {}
    for name, others in modules().items():
        if name != "lilacloft":
            imports.setdefault(package(name), set()).update(
                package(other) for other in others if package(other) not in (package(name), "lilacloft")
            )
    assert find_cycles(imports) == []


def test_a_cycle_is_found():
    assert find_cycles({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == [["b", "c", "b"]]


@pytest.mark.parametrize(
    "name", ["lilacloft.routing.router", "lilacloft.gateway.gateway", "lilacloft.serving"]
)
def test_modules_that_serve_import_no_optional_packages_at_start(name):
    """Only imports at module level count; others run when they are needed."""
    top, seen = [name], set()
    while top:
        seen.add(one := top.pop())
        path = ROOT.parent.joinpath(*one.split(".")).with_suffix(".py")
        path = path if path.exists() else path.with_suffix("") / "__init__.py"
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("lilacloft"):
                top += {node.module} - seen
    assert "lilacloft.routing.snapshot" not in seen, "only handovers and stores need it"
    assert {package(one) for one in seen} <= {
        "lilacloft",
        "lilacloft.errors",
        "lilacloft.gateway",
        "lilacloft.invariants",
        "lilacloft.log",
        "lilacloft.net",
        "lilacloft.routing",
        "lilacloft.serving",
        "lilacloft.protocol_settings",
        "lilacloft.clock_offset",
    }
