"""A fleet as it is, on a terminal: follows records as they are written. It decides nothing.

Keys: s sorts otherwise, f filters (then letters, Enter), c shows the course, q ends. Usable at 80 columns.
"""

from __future__ import annotations

import contextlib
import select
import signal
import sys
import termios
import time
import tty
from collections.abc import Callable, Iterator
from typing import Any

from rich.console import Console as Terminal
from rich.console import Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from lilacloft.record.reader import Damage, Run
from lilacloft.report.facts import clock, span
from lilacloft.timeline.timeline import Timeline, build_timeline

Read = Callable[[], tuple[dict[str, list[Run]], list[Damage]]]
RECENT = 10_000.0  # ms that a row's figures are of
SORTS = ("trouble", "name", "load")


class Console:
    """One console over what is read anew for each look."""

    def __init__(self, read: Read, every: float, sort: str, only: str) -> None:
        self.read, self.every, self.sort, self.only = read, max(0.2, every), sort, only
        self.typing, self.shows_course, self.over = False, True, False
        self.terminal = Terminal()

    def run(self, once: bool) -> int:
        """Show until it is ended; the terminal is whole again then, however that comes."""
        if once or not self.terminal.is_terminal:
            self.terminal.print(self.view())
            return 0
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.signal(number, self._end)
        screen = Live(self.view(), console=self.terminal, screen=True, auto_refresh=False)
        with keys() as pressed, screen as live:
            while not self.over:
                until = time.monotonic() + self.every
                while not self.over and time.monotonic() < until:
                    key = pressed(until - time.monotonic())
                    if key:
                        self._key(key)
                        break
                if not self.over:
                    live.update(self.view(), refresh=True)
        return 0

    def _end(self, *_: Any) -> None:
        self.over = True

    def _key(self, key: str) -> None:
        if self.typing:
            if key in "\r\n\x1b":
                self.typing = False
            elif key in "\x7f\b":
                self.only = self.only[:-1]
            elif key.isprintable():
                self.only += key
        elif key == "q":
            self.over = True
        elif key == "s":
            self.sort = SORTS[(SORTS.index(self.sort) + 1) % len(SORTS)]
        elif key == "f":
            self.typing, self.only = True, ""
        elif key == "c":
            self.shows_course = not self.shows_course

    # --- what is shown ---

    def view(self) -> Group:
        """The whole screen, from what the files hold now."""
        runs, damage = self.read()
        found = build_timeline(runs)
        parts: list[Any] = [self.fleet(found, len(damage)), self.gateways(found), self.backends(found)]
        if self.shows_course:
            parts.append(self.incidents_view(found))
        filtered = f"  filter: {self.only}{'_' if self.typing else ''}" if self.only or self.typing else ""
        parts.append(Text(f"q end  s sort ({self.sort})  f filter  c course{filtered}", style="dim"))
        return Group(*parts)

    def fleet(self, found: Timeline, damage: int) -> Text:
        now, since = found.end, found.end - RECENT
        sums = dict.fromkeys(("reqs", "done", "denied", "aborted", "late", "hits"), 0.0)
        for history in found.histories.values():
            recent = history.columns.begin >= since
            for columns in history.columns.vhosts.values():
                for name in sums:
                    sums[name] += float(columns[name][recent].sum())
        seconds = max(1.0, min(RECENT, found.end - found.begin) / 1000)
        out = Text(f"{clock(now)[:-4]} UTC  " if found.gateways else "no records yet  ", style="bold")
        out.append(
            f"{len(found.gateways)} gateways  {sums['reqs'] / seconds:.0f} reqs/s  "
            f"{sums['done'] / max(1, sums['reqs']):.0%} done  "
            f"{sums['late'] / max(1, sums['done']):.0%} late  "
            f"{sums['hits'] / max(1, sums['done']):.0%} hits",
            style="not bold",
        )
        if damage:
            out.append(f"  {damage} unreadable", style="red")
        return out

    def gateways(self, found: Timeline) -> Table:
        table = Table(expand=True, box=None, pad_edge=False)
        for name in ("gateway", "reqs/s", "denied", "late", "clock", "last"):
            table.add_column(name, justify="left" if name == "gateway" else "right", no_wrap=True)
        for name, history in found.histories.items():
            recent = history.columns.begin >= found.end - RECENT
            vhosts = history.columns.vhosts.values()
            sums = {
                field: sum(float(columns[field][recent].sum()) for columns in vhosts)
                for field in ("reqs", "denied", "late")
            }
            age = found.end - history.end
            seconds = max(1.0, min(RECENT, history.end - history.begin) / 1000)
            table.add_row(
                name,
                f"{sums['reqs'] / seconds:.0f}",
                f"{sums['denied']:.0f}",
                f"{sums['late']:.0f}",
                f"{history.offset:+.0f} ms",
                f"{span(age)} ago" if age > 3000 else "now",
                style="red" if age > 15_000 else "",
            )
        return table

    def backends(self, found: Timeline) -> Table:
        table = Table(expand=True, box=None, pad_edge=False)
        for name in ("be", "kind", "state", "util", "flight", "asked/s", "late", "ends", "back"):
            words = name in ("be", "kind", "state")
            table.add_column(name, justify="left" if words else "right", no_wrap=True)
        rows = []
        open_ = {one.subject: one for one in found.incidents if one.end is None or one.end > found.end - 2000}
        last = {one.subject: one.end for one in found.incidents if one.end is not None}
        names = sorted(
            {backend for history in found.histories.values() for backend in history.columns.backends}
        )
        seconds = max(1.0, min(RECENT, found.end - found.begin) / 1000)
        for backend in names:
            sums = dict.fromkeys(("dispatches", "late", "ends"), 0.0)
            util, flight, role = 0.0, 0.0, "cache"
            for history in found.histories.values():
                columns = history.columns.backends.get(backend)
                if columns is None:
                    continue
                role = history.role(backend)
                recent = history.columns.begin >= found.end - RECENT
                for field in sums:
                    sums[field] += float(columns[field][recent].sum())
                flight += float(columns["flight"][-1])
                told = columns["util"][recent]
                told = told[told == told]
                util = max(util, float(told[-1]) if len(told) else 0.0)
            trouble = open_.get(backend)
            state = trouble.kind if trouble else "well"
            if self.only and self.only not in backend and self.only not in role and self.only not in state:
                continue
            back = f"{span(found.end - last[backend])} ago" if backend in last else ""
            rows.append(
                (
                    trouble is None,
                    -sums["dispatches"],
                    backend,
                    (
                        backend,
                        role,
                        state,
                        f"{util:.2f}",
                        f"{flight:.0f}",
                        f"{sums['dispatches'] / seconds:.0f}",
                        f"{sums['late']:.0f}",
                        f"{sums['ends']:.0f}",
                        back,
                    ),
                )
            )
        order = {"trouble": lambda row: row[:3], "name": lambda row: row[2], "load": lambda row: row[1:3]}
        room = max(5, self.terminal.height - len(found.histories) - (12 if self.shows_course else 5))
        for well, _, _, cells in sorted(rows, key=order[self.sort])[:room]:
            table.add_row(*cells, style="" if well else "bold red")
        return table

    def incidents_view(self, found: Timeline) -> Group:
        lines = [
            (
                one.begin,
                f"{clock(one.begin)}  {one.title()}, seen by {len(one.observed_by)}"
                + ("" if one.end is None else f", {span(one.end - one.begin)}"),
            )
            for one in found.incidents
        ]
        lines += [(gap.begin, f"{clock(gap.begin)}  {gap.gateway}: {gap.why}") for gap in found.gaps]
        return Group(*(Text(line, overflow="ellipsis", no_wrap=True) for _, line in sorted(lines)[-6:]))


@contextlib.contextmanager
def keys() -> Iterator[Any]:
    """Reads single keys while it lasts; the terminal is as before afterwards."""
    if not sys.stdin.isatty():
        yield lambda wait: time.sleep(max(0.0, wait)) or ""
        return
    fd = sys.stdin.fileno()
    before = termios.tcgetattr(fd)
    tty.setcbreak(fd)

    def pressed(wait: float) -> str:
        with contextlib.suppress(InterruptedError):
            if select.select([fd], [], [], max(0.0, wait))[0]:
                return sys.stdin.read(1)
        return ""

    try:
        yield pressed
    finally:
        termios.tcsetattr(fd, termios.TCSADRAIN, before)
