"""The linter's exceptions for unfinished packages may be removed, but none may be added."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
INITIAL_EXCEPTIONS = {
    "lilacloft/cli/*": {"D", "ARG", "C901"},
    "lilacloft/config/*": {"D", "ARG"},
    "lilacloft/emulator/*": {"D", "ARG", "C901"},
    "lilacloft/experiment/*": {"D", "C901"},
    "lilacloft/load/*": {"D"},
    "lilacloft/report/*": {"D", "ARG", "C901"},
    "lilacloft/sign/*": {"D", "C901"},
    "lilacloft/timeline/clocks.py": {"C901"},
    "lilacloft/timeline/event_observations.py": {"C901"},
    "rigs/*": {"D", "ARG", "C901"},
    "tests/*": {"D", "ARG", "C901"},
}
INITIAL_RULES = {
    "E",
    "F",
    "W",
    "I",
    "UP",
    "N",
    "SIM",
    "D100",
    "D101",
    "D102",
    "D103",
    "D104",
    "ARG",
    "C901",
}


@pytest.fixture(scope="module")
def lint():
    return tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]


def findings_without_exceptions(pattern, rules):
    """Return the codes that the linter finds in the files of a pattern without exceptions."""
    selected = ",".join(sorted(rule for rule in INITIAL_RULES if rule.startswith(tuple(rules))))
    folder = str(ROOT / pattern.removesuffix("/*"))
    command = [sys.executable, "-m", "ruff", "check", "--isolated", "--no-cache", "--select", selected]
    run = subprocess.run([*command, "--output-format", "json", folder], capture_output=True, text=True)
    assert run.returncode in (0, 1), run.stderr
    return {finding["code"] for finding in json.loads(run.stdout)}


def test_no_rule_is_dropped(lint):
    assert set(lint["select"]) >= INITIAL_RULES
    assert not lint.get("ignore")


def test_no_exception_is_added(lint):
    for pattern, rules in lint["per-file-ignores"].items():
        assert set(rules) <= INITIAL_EXCEPTIONS.get(pattern, set()), pattern


def test_each_exception_is_still_needed(lint):
    for pattern, rules in lint["per-file-ignores"].items():
        found = findings_without_exceptions(pattern, rules)
        for rule in rules:
            assert any(code.startswith(rule) for code in found), f"{pattern}: {rule} is no longer needed"
