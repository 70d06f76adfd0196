"""What `KNOWN-RED.txt` at the root lists: tests that fail for a real fault which could not be mended yet. A
plugin for pytest, used by `tests/conftest.py`.

A line is `test | cause | issue`, the test as pytest names it; lines that begin with # are passed over. Such a
test still runs and is printed at the end, and its failing fails nothing else. A line of another form, a test
that is not there, more than three of them, and a test that passes by now each fail the run. It must never
skip a test, and never pass over one that is not listed.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
LINES = pytest.StashKey["list[Red]"]()


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Red]:
    """The lines of the file; none where there is no file. ValueError names the line that is wrong."""
    found: list[Red] = []
    if not path.exists():
        return found
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"{path.name}, line {number}: `test | cause | issue` wanted: {line}")
        if parts[0] in [red.test for red in found]:
            raise ValueError(f"{path.name}, line {number}: {parts[0]} is listed already")
        found.append(Red(*parts))
    if len(found) > MOST:
        raise ValueError(f"{path.name}: {len(found)} tests, where {MOST} may be listed at most")
    return found


class Missing(pytest.Item):
    """Stands for a listed test that is not there, and fails."""

    def runtest(self) -> None:
        raise LookupError(f"{FILE} lists a test that is not there: {self.name}")

    def repr_failure(self, excinfo: pytest.ExceptionInfo[BaseException], style: object = None) -> str:
        return str(excinfo.value)


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LINES] = read(config.rootpath / FILE)
    except ValueError as wrong:
        raise pytest.UsageError(str(wrong)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    picked = any("::" in arg for arg in config.args)  # then others of the file are left out on purpose
    for red in config.stash[LINES]:
        file = red.test.partition("::")[0]
        if red.test in by_name:
            by_name[red.test].add_marker(pytest.mark.xfail(reason=red.cause, strict=True))
        elif not (config.rootpath / file).exists() or (file in files and not picked):
            items.append(Missing.from_parent(session, name=red.test))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    failing = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}
    for red in config.stash[LINES]:
        seen = "still fails" if red.test in failing else "did not fail, or did not run"
        terminalreporter.write_line(f"known red: {red.test} {seen}: {red.cause} ({red.issue})")
