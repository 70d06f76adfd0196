"""A terminal view of the current state of a fleet, refreshed as records are written. Usable at 80 columns.

Keys: s changes the order, f filters (type text, then Enter), c toggles the incidents, q quits.
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
from lilacloft.report.facts import format_duration, format_time
from lilacloft.timeline.timeline import Timeline, build_timeline

Read = Callable[[], tuple[dict[str, list[Run]], list[Damage]]]
RECENT = 10_000.0  # ms that the figures of a row cover
SORTS = ("trouble", "name", "load")


class Console:
    """The view. The records are read again for each refresh."""

    def __init__(self, read: Read, every: float, sort: str, filter_text: str) -> None:
        self.read, self.every, self.sort, self.filter_text = read, max(0.2, every), sort, filter_text
        self.is_typing, self.shows_incidents, self.is_over = False, True, False
        self.terminal = Terminal()

    def run(self, once: bool) -> int:
        """Show the view once, or until a key or signal ends it. The terminal is restored in any case."""
        if once or not self.terminal.is_terminal:
            self.terminal.print(self.view())
            return 0
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.signal(number, self._end)
        screen = Live(self.view(), console=self.terminal, screen=True, auto_refresh=False)
        with keys() as pressed, screen as live:
            while not self.is_over:
                until = time.monotonic() + self.every
                while not self.is_over and time.monotonic() < until:
                    key = pressed(until - time.monotonic())
                    if key:
                        self._key(key)
                        break
                if not self.is_over:
                    live.update(self.view(), refresh=True)
        return 0

    def _end(self, *_: Any) -> None:
        self.is_over = True

    def _key(self, key: str) -> None:
        if self.is_typing:
            if key in "\r\n\x1b":
                self.is_typing = False
            elif key in "\x7f\b":
                self.filter_text = self.filter_text[:-1]
            elif key.isprintable():
                self.filter_text += key
        elif key == "q":
            self.is_over = True
        elif key == "s":
            self.sort = SORTS[(SORTS.index(self.sort) + 1) % len(SORTS)]
        elif key == "f":
            self.is_typing, self.filter_text = True, ""
        elif key == "c":
            self.shows_incidents = not self.shows_incidents

    # --- the view ---

    def view(self) -> Group:
        """Return the whole screen, from the current records."""
        runs, damage = self.read()
        timeline = build_timeline(runs)
        parts: list[Any] = [
            self.fleet(timeline, len(damage)),
            self.gateways(timeline),
            self.backends(timeline),
        ]
        if self.shows_incidents:
            parts.append(self.incidents_view(timeline))
        filtered = (
            f"  filter: {self.filter_text}{'_' if self.is_typing else ''}"
            if self.filter_text or self.is_typing
            else ""
        )
        parts.append(Text(f"q quit  s sort ({self.sort})  f filter  c incidents{filtered}", style="dim"))
        return Group(*parts)

    def fleet(self, timeline: Timeline, damage: int) -> Text:
        now, since = timeline.end, timeline.end - RECENT
        sums = dict.fromkeys(("reqs", "done", "denied", "aborted", "late", "hits"), 0.0)
        for history in timeline.histories.values():
            recent = history.columns.begin >= since
            for columns in history.columns.vhosts.values():
                for name in sums:
                    sums[name] += float(columns[name][recent].sum())
        seconds = max(1.0, min(RECENT, timeline.end - timeline.begin) / 1000)
        out = Text(
            f"{format_time(now)[:-4]} UTC  " if timeline.gateways else "no records yet  ", style="bold"
        )
        out.append(
            f"{len(timeline.gateways)} gateways  {sums['reqs'] / seconds:.0f} reqs/s  "
            f"{sums['done'] / max(1, sums['reqs']):.0%} done  "
            f"{sums['late'] / max(1, sums['done']):.0%} late  "
            f"{sums['hits'] / max(1, sums['done']):.0%} hits",
            style="not bold",
        )
        if damage:
            out.append(f"  {damage} unreadable", style="red")
        return out

    def gateways(self, timeline: Timeline) -> Table:
        table = Table(expand=True, box=None, pad_edge=False)
        for name in ("gateway", "reqs/s", "denied", "late", "clock", "last"):
            table.add_column(name, justify="left" if name == "gateway" else "right", no_wrap=True)
        for name, history in timeline.histories.items():
            recent = history.columns.begin >= timeline.end - RECENT
            vhosts = history.columns.vhosts.values()
            sums = {
                field: sum(float(columns[field][recent].sum()) for columns in vhosts)
                for field in ("reqs", "denied", "late")
            }
            age = timeline.end - history.end
            seconds = max(1.0, min(RECENT, history.end - history.begin) / 1000)
            table.add_row(
                name,
                f"{sums['reqs'] / seconds:.0f}",
                f"{sums['denied']:.0f}",
                f"{sums['late']:.0f}",
                f"{history.offset:+.0f} ms",
                f"{format_duration(age)} ago" if age > 3000 else "now",
                style="red" if age > 15_000 else "",
            )
        return table

    def backends(self, timeline: Timeline) -> Table:
        table = Table(expand=True, box=None, pad_edge=False)
        for name in ("be", "kind", "state", "util", "flight", "asked/s", "late", "ends", "back"):
            words = name in ("be", "kind", "state")
            table.add_column(name, justify="left" if words else "right", no_wrap=True)
        rows = []
        open_incidents = {
            incident.subject: incident
            for incident in timeline.incidents
            if incident.end is None or incident.end > timeline.end - 2000
        }
        last = {incident.subject: incident.end for incident in timeline.incidents if incident.end is not None}
        names = sorted(
            {backend for history in timeline.histories.values() for backend in history.columns.backends}
        )
        seconds = max(1.0, min(RECENT, timeline.end - timeline.begin) / 1000)
        for backend in names:
            sums = dict.fromkeys(("dispatches", "late", "ends"), 0.0)
            util, flight, role = 0.0, 0.0, "cache"
            for history in timeline.histories.values():
                columns = history.columns.backends.get(backend)
                if columns is None:
                    continue
                role = history.role(backend)
                recent = history.columns.begin >= timeline.end - RECENT
                for field in sums:
                    sums[field] += float(columns[field][recent].sum())
                flight += float(columns["flight"][-1])
                reported = columns["util"][recent]
                reported = reported[reported == reported]
                util = max(util, float(reported[-1]) if len(reported) else 0.0)
            incident = open_incidents.get(backend)
            state = incident.kind if incident else "well"
            if (
                self.filter_text
                and self.filter_text not in backend
                and self.filter_text not in role
                and self.filter_text not in state
            ):
                continue
            back = f"{format_duration(timeline.end - last[backend])} ago" if backend in last else ""
            rows.append(
                (
                    incident is None,
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
        room = max(5, self.terminal.height - len(timeline.histories) - (12 if self.shows_incidents else 5))
        for well, _, _, cells in sorted(rows, key=order[self.sort])[:room]:
            table.add_row(*cells, style="" if well else "bold red")
        return table

    def incidents_view(self, timeline: Timeline) -> Group:
        lines = [
            (
                incident.begin,
                f"{format_time(incident.begin)}  {incident.title()}, seen by {len(incident.observed_by)}"
                + ("" if incident.end is None else f", {format_duration(incident.end - incident.begin)}"),
            )
            for incident in timeline.incidents
        ]
        lines += [(gap.begin, f"{format_time(gap.begin)}  {gap.gateway}: {gap.why}") for gap in timeline.gaps]
        return Group(*(Text(line, overflow="ellipsis", no_wrap=True) for _, line in sorted(lines)[-6:]))


@contextlib.contextmanager
def keys() -> Iterator[Any]:
    """Yield a function that waits for a single key; the terminal mode is restored afterwards."""
    if not sys.stdin.isatty():
        yield lambda wait: time.sleep(max(0.0, wait)) or ""
        return
    fd = sys.stdin.fileno()
    previous_mode = termios.tcgetattr(fd)
    tty.setcbreak(fd)

    def pressed(wait: float) -> str:
        with contextlib.suppress(InterruptedError):
            if select.select([fd], [], [], max(0.0, wait))[0]:
                return sys.stdin.read(1)
        return ""

    try:
        yield pressed
    finally:
        termios.tcsetattr(fd, termios.TCSADRAIN, previous_mode)
