"""Imports go one way: no module reaches itself, and no package."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "lilacloft"


def modules():
    """Each module with those of ours that it imports anywhere, for types and within functions as well."""
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
                if any(one in found for one in names[:-1]):
                    names = names[:-1]  # `from package import module` is of the module
            else:
                continue
            out[name] |= {one for one in names if one in found and one != name}
    return out


def circles(arrows):
    """Each circle found, as its places in turn."""
    done, out = set(), []

    def walk(place, way):
        if place in way:
            out.append([*way[way.index(place) :], place])
        elif place not in done:
            for other in sorted(arrows[place]):
                walk(other, [*way, place])
            done.add(place)

    for place in sorted(arrows):
        walk(place, [])
    return out


def package(name):
    """The folder of a module; those beside the folders stand for themselves."""
    return ".".join(name.split(".")[:2])


def test_no_module_reaches_itself_by_its_imports():
    assert circles(modules()) == []


def test_no_package_reaches_itself_by_its_imports():
    arrows = {}
    for name, others in modules().items():
        if name != "lilacloft":
            arrows.setdefault(package(name), set()).update(
                package(other) for other in others if package(other) not in (package(name), "lilacloft")
            )
    assert circles(arrows) == []


def test_a_circle_is_found():
    assert circles({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == [["b", "c", "b"]]


@pytest.mark.parametrize(
    "name", ["lilacloft.routing.router", "lilacloft.gateway.gateway", "lilacloft.serving"]
)
def test_what_serves_on_the_platform_imports_none_of_the_rest_at_its_start(name):
    """Only what is at the top of modules counts: the rest is imported where it is used."""
    top, seen = [name], set()
    while top:
        seen.add(one := top.pop())
        path = ROOT.parent.joinpath(*one.split(".")).with_suffix(".py")
        path = path if path.exists() else path.with_suffix("") / "__init__.py"
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("lilacloft"):
                top += {node.module} - seen
    assert "lilacloft.routing.snapshot" not in seen, "only what hands over or stores needs it"
    assert {package(one) for one in seen} <= {
        "lilacloft",
        "lilacloft.errors",
        "lilacloft.gateway",
        "lilacloft.invariants",
        "lilacloft.net",
        "lilacloft.routing",
        "lilacloft.serving",
        "lilacloft.protocol_settings",
        "lilacloft.clock_offset",
    }
