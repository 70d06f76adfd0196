"""Decides where a gateway's records leave something out, and between which moments. No I/O; Unix
milliseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lilacloft.record.reader import Run
from lilacloft.record.record_types import ClockStep, DroppedRecords, Record, Start, Stop
from lilacloft.timeline.clocks import Clock, run_time

SILENT = 13_000.0  # ms without a record: an idle gateway writes one every ten seconds
ENDS = 5_000.0  # ms by which others go on before one is said to have ended early


@dataclass(frozen=True)
class Gap:
    """A stretch that a gateway's records do not tell of."""

    gateway: str
    begin: float
    end: float | None  # none: to the end of all records
    kind: str  # restart, upgrade, lost, missing, silent, ended, clock
    why: str
    planned: bool = False
    uncertainty: float = 0.0


def gaps(runs: Mapping[str, list[Run]], clocks: Mapping[str, Clock], last: float | None = None) -> list[Gap]:
    """All gaps, by gateway and time; `last` is when the last of all records was written. A whole gateway
    without records is the caller's to tell."""
    out: list[Gap] = []
    every = [run for mine in runs.values() for run in mine if run.records]
    if last is None:
        last = max((_at(run, run.records[-1], clocks) for run in every), default=0.0)
    for gateway, mine in runs.items():
        mine = [run for run in mine if run.records]
        mine.sort(key=lambda run: _at(run, run.records[0], clocks))
        for place, run in enumerate(mine):
            clock = clocks[run.name]
            out += _within(gateway, run, clocks)
            end = _at(run, run.records[-1], clocks)
            over = next((one for one in reversed(run.records) if isinstance(one, Stop)), None)
            if place + 1 < len(mine):
                after = mine[place + 1]
                start = next((one for one in after.records if isinstance(one, Start)), None)
                kind = "upgrade" if start and start.reason == "upgrade" else "restart"
                ended = "ended in order" if over else "ended without a word"
                why = "replaced by a new process" if kind == "upgrade" else f"{ended} and started again"
                begin = _at(after, after.records[0], clocks)
                out.append(
                    Gap(
                        gateway,
                        min(end, begin),
                        max(begin, end),
                        kind,
                        why,
                        over is not None,
                        clock.uncertainty + clocks[after.name].uncertainty,
                    )
                )
            elif over is not None and last - end > ENDS:
                why = f"ended in order ({over.reason})"
                out.append(Gap(gateway, end, None, "ended", why, True, clock.uncertainty))
            elif over is None and last - end > ENDS:
                out.append(
                    Gap(
                        gateway,
                        end,
                        None,
                        "ended",
                        "no more records, and no word of an end",
                        False,
                        clock.uncertainty,
                    )
                )
    return sorted(out, key=lambda gap: (gap.begin, gap.gateway))


def _at(run: Run, record: Record, clocks: Mapping[str, Clock]) -> float:
    return clocks[run.name].true(run_time(run, record))


def _within(gateway: str, run: Run, clocks: Mapping[str, Clock]) -> list[Gap]:
    """Those within one run: numbers that are left out, silence, lost records, a clock that was set."""
    out: list[Gap] = []
    uncertainty = clocks[run.name].uncertainty
    numbered = [record for record in run.records if record.number]
    first = numbered[0] if numbered else None
    if first is not None and first.number > 1:
        at = _at(run, first, clocks)
        start = min(at, clocks[run.name].true(_born(run)))
        why = f"the first {first.number - 1} records are not here: rotated away, or their files are missing"
        out.append(Gap(gateway, start, at, "missing", why, False, uncertainty))
    for before, after in zip(numbered, numbered[1:], strict=False):
        begin, end = _at(run, before, clocks), _at(run, after, clocks)
        left = after.number - before.number - 1
        if left > 0:
            lost = next(
                (
                    one
                    for one in run.records
                    if isinstance(one, DroppedRecords) and before.monotonic_time <= one.monotonic_time
                ),
                None,
            )
            why = f"{left} records lost: {lost.reason}" if lost else f"{left} records are not here"
            out.append(Gap(gateway, begin, end, "lost" if lost else "missing", why, False, uncertainty))
        elif end - begin > SILENT:
            why = "nothing was written: the process stood still"
            out.append(Gap(gateway, begin, end, "silent", why, False, uncertainty))
    for record in run.records:
        if isinstance(record, ClockStep):
            at = _at(run, record, clocks)
            why = f"its clock was set by {record.step / 10:+.0f} ms; order is by the steady one"
            out.append(Gap(gateway, at, at, "clock", why, True, uncertainty))
    return out


def _born(run: Run) -> float:
    """When the process began, by the name of its run."""
    digits = run.head.run.split("-")[0]
    return int(digits) / 10 if digits.isdigit() else run_time(run, run.records[0])
