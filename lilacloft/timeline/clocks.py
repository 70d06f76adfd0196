"""Decides how far each gateway's clock is off, and how sure that is, from what several were told in common.

A run (a process's life) has a time of its own: its monotonic clock, laid on Unix time where its first
record was written, so that a clock that is set while it runs moves nothing. What the change log told to
several at once is an anchor: one content, one moment. Offsets are what makes the anchors meet; the median
gateway is taken to be right. No I/O. All times here are Unix milliseconds as floats.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lilacloft.record.reader import Run
from lilacloft.record.record_types import BackendList, Purge, Record

LEAST = 5.0  # ms: threads and queues differ by no less
ALONE = 2000.0  # how far a clock may be off that nothing is known of
ONE = 250.0  # and one with a single anchor, which may have come late
SAME = 50.0  # two runs of a gateway whose clocks differ by less have had the same one
LONG = 600_000.0  # from so long a span on a drift can be told from noise
MANY = 6  # and from so many anchors on
DRIFT = 2e-5  # below, it is noise
ROUNDS = 8


@dataclass(frozen=True)
class Clock:
    """One run's clock: what to add to its own times, how much that grows, and how far it may be off."""

    offset: float
    uncertainty: float
    anchors: int = 0
    drift: float = 0.0  # ms a ms
    since: float = 0.0  # own time from which drift counts

    def true(self, run_time: float) -> float:
        """The common time of a moment by this run's own."""
        return run_time + self.offset + self.drift * (run_time - self.since)


def run_time(run: Run, record: Record) -> float:
    """A record's time by its run's own clock."""
    first = run.records[0]
    return (record.monotonic_time + (first.unix_time - first.monotonic_time)) / 10


def anchors(run: Run) -> dict[tuple[object, ...], float]:
    """What this run was told that others may have been told too, with its own time of each. What comes
    several times with one content is told apart by its count."""
    out: dict[tuple[object, ...], float] = {}
    count: dict[tuple[object, ...], int] = defaultdict(int)
    for record in run.records:
        if isinstance(record, Purge):
            key: tuple[object, ...] = ("purge", record.key, record.group, record.purged_at)
        elif isinstance(record, BackendList) and record.event and not record.whole:
            key = ("listed", *sorted((backend[0], backend[3], backend[4]) for backend in record.backends))
        else:
            continue
        count[key] += 1
        out[(*key, count[key])] = run_time(run, record)
    return out


@dataclass(frozen=True)
class ClockMarks:
    """What a run's clock is told by."""

    run: str
    since: float  # the first record's time, by its own clock
    base: float  # Unix time less the monotonic clock, when that was
    anchors: Mapping[tuple[object, ...], float]


def clock_marks(run: Run) -> ClockMarks:
    """A run's marks; it must have a record."""
    first = run.records[0]
    return ClockMarks(
        run.name, run_time(run, first), (first.unix_time - first.monotonic_time) / 10, anchors(run)
    )


def slope(points: Iterable[tuple[float, float]]) -> float:
    """The median slope of all pairs (Theil and Sen): bears a part of the points being far off."""
    points = sorted(points)
    found = [
        (y2 - y1) / (x2 - x1)
        for place, (x1, y1) in enumerate(points)
        for x2, y2 in points[place + 1 :]
        if x2 - x1 > 1000.0
    ]
    return statistics.median(found) if found else 0.0


def estimate(runs: Mapping[str, list[ClockMarks]]) -> dict[str, Clock]:
    """A clock for each run, by its name, from each gateway's marks."""
    every = [run for mine in runs.values() for run in mine]
    seen = {run.run: run.anchors for run in every}
    shared: dict[tuple[object, ...], list[str]] = defaultdict(list)
    for name, told in seen.items():
        for key in told:
            shared[key].append(name)
    shared = {key: names for key, names in shared.items() if len(names) > 1}
    offsets = dict.fromkeys(seen, 0.0)
    drifts = dict.fromkeys(seen, 0.0)
    since = {run.run: run.since for run in every}

    def at(name: str, key: tuple[object, ...]) -> float:
        told = seen[name][key]
        return told + offsets[name] + drifts[name] * (told - since[name])

    moments: dict[tuple[object, ...], float] = {}
    for turn in range(ROUNDS):
        moments = {key: statistics.median(at(name, key) for name in names) for key, names in shared.items()}
        for name, told in seen.items():
            mine = [key for key in told if key in shared]
            if not mine:
                continue
            offsets[name] += statistics.median(moments[key] - at(name, key) for key in mine)
            times = [told[key] for key in mine]
            if turn >= ROUNDS // 2 and len(mine) >= MANY and max(times) - min(times) >= LONG:
                more = slope((told[key], moments[key] - at(name, key)) for key in mine)
                if abs(drifts[name] + more) >= DRIFT:
                    drifts[name] += more
    centre = _centre(runs, offsets, shared)
    out = {}
    for name, told in seen.items():
        mine = [key for key in told if key in shared]
        if not mine:
            continue
        wrong = sorted(abs(moments[key] - at(name, key)) for key in mine)
        uncertainty = max(LEAST, 2 * wrong[len(wrong) // 2], wrong[int(0.9 * (len(wrong) - 1))])
        if len(mine) == 1:
            uncertainty = max(uncertainty, ONE)
        out[name] = Clock(offsets[name] - centre, uncertainty, len(mine), drifts[name], since[name])
    for alike in runs.values():
        _lone(alike, out)
    return out


def _centre(
    runs: Mapping[str, list[ClockMarks]],
    offsets: Mapping[str, float],
    shared: Mapping[tuple[object, ...], list[str]],
) -> float:
    """What the median gateway's clock would have to be put back by: it is taken to be right."""
    anchored = {name for names in shared.values() for name in names}
    found = [
        statistics.median(offsets[run.run] for run in mine if run.run in anchored)
        for mine in runs.values()
        if any(run.run in anchored for run in mine)
    ]
    return statistics.median_low(found) if found else 0.0


def _lone(mine: list[ClockMarks], out: dict[str, Clock]) -> None:
    """Runs without an anchor: as another of the same gateway whose clock was the same, else as it says."""
    for run in mine:
        if run.run in out:
            continue
        like = [
            other
            for other in mine
            if other.run in out and out[other.run].anchors and abs(other.base - run.base) <= SAME
        ]
        if like:
            clock = out[like[0].run]
            out[run.run] = Clock(clock.offset, clock.uncertainty + SAME)
        else:
            out[run.run] = Clock(0.0, ALONE)
