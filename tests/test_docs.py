"""Names in the documentation exist in the code."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [
    "docs/CAPACITY.md",
    "docs/architecture.md",
    "docs/design.md",
    "docs/gateway.md",
    "docs/glossary.md",
    "docs/on-call.md",
]
NAME = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?")
PROJECT_NAME = re.compile(r"\w*_\w*|[A-Z][A-Z]+|[A-Z][a-z]\w*")  # with an underscore, a constant, a class
PATH = re.compile(r"[\w./-]+/[\w./-]*|[\w-]+\.(?:py|toml|sexp|md|txt)")


def words():
    """Return all words in the sources, including those in strings."""
    found = set()
    for folder in ("lilacloft", "rigs"):
        for path in (ROOT / folder).rglob("*.py"):
            found |= set(re.findall(r"\w+", path.read_text()))
    for path in (ROOT / "deploy").rglob("*.*"):
        found |= set(re.findall(r"[\w-]+", path.read_text()))
    return found


def exists(path):
    """Return whether a path exists in the project, the program, the documentation, or one of the packages."""
    folders = [ROOT, ROOT / "lilacloft", ROOT / "docs", *(ROOT / "lilacloft").iterdir()]
    return any((folder / path).exists() for folder in folders)


def missing(text, known, first_column=True):
    """Return the names in backticks that look like names of the project and do not exist. Names of counters
    are printed in lower case. Without `first_column`, the first column of tables is ignored."""
    out = []
    for line in text.splitlines():
        if line.startswith("|") and not first_column:
            line = line.split("|", 2)[2]
        for quoted in re.findall(r"`([^`\n]+)`", line):
            if PATH.fullmatch(quoted):
                if not exists(quoted):
                    out.append(quoted)
            elif NAME.fullmatch(quoted):
                parts = quoted.removesuffix("()").split(".")
                out += [
                    part
                    for part in parts
                    if PROJECT_NAME.fullmatch(part) and not {part, part.upper()} & known
                ]
    return out


@pytest.mark.parametrize("page", PAGES)
def test_names_in_a_page_exist_in_the_code(page):
    # the first column of the glossary has the former names
    assert missing((ROOT / page).read_text(), words(), page != "docs/glossary.md") == []


def test_a_missing_name_is_found():
    text = (
        "`Router.no_such_method`, `routing/no_such_module.py`, `NO_SUCH_CONSTANT`, `Router`, `mayDuplicate`"
    )
    found = ["no_such_method", "routing/no_such_module.py", "NO_SUCH_CONSTANT"]
    assert missing(text, words()) == found
