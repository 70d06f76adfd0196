"""Estimates the clock offset of each gateway, and its uncertainty, from events that several gateways
recorded.

A run (the lifetime of one process) has a local time: its monotonic clock, aligned with Unix time at its first
record, so that a system clock that is set during the run has no effect. An event of the change log that
several runs recorded is an anchor: the same content at the same moment. Offsets are chosen so that the
anchors coincide; the median gateway is taken to be right. No I/O. All times are Unix milliseconds as floats.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lilacloft.record.reader import Run
from lilacloft.record.record_types import BackendList, Purge, Record

MIN_UNCERTAINTY = 5.0  # ms: threads and queues alone cause differences of this size
UNANCHORED_UNCERTAINTY = 2000.0  # of a clock that nothing is known about
SINGLE_ANCHOR_UNCERTAINTY = 250.0  # a single anchor may have arrived late
SAME_CLOCK_TOLERANCE = 50.0  # two runs of a gateway whose clocks differ by less used the same system clock
MIN_DRIFT_SPAN = 600_000.0  # span of the anchors from which drift can be told from noise
MIN_DRIFT_ANCHORS = 6  # number of anchors from which drift can be told from noise
MIN_DRIFT = 2e-5  # less is noise
ITERATIONS = 8


@dataclass(frozen=True)
class Clock:
    """The clock of one run: the correction from its local time to the common time, and its uncertainty."""

    offset: float
    uncertainty: float
    anchors: int = 0
    drift: float = 0.0  # ms per ms
    since: float = 0.0  # local time from which drift accumulates

    def to_common(self, local_time: float) -> float:
        """Return the common time of a moment in the run's local time."""
        return local_time + self.offset + self.drift * (local_time - self.since)


def local_time(run: Run, record: Record) -> float:
    """Return the time of a record by the local clock of its run."""
    first = run.records[0]
    return (record.monotonic_time + (first.unix_time - first.monotonic_time)) / 10


def find_anchors(run: Run) -> dict[tuple[object, ...], float]:
    """Return the events of a run that other runs may have recorded too, with their local times. Repeated
    events with the same content are told apart by their count."""
    out: dict[tuple[object, ...], float] = {}
    count: dict[tuple[object, ...], int] = defaultdict(int)
    for record in run.records:
        if not isinstance(record, Purge | BackendList) or not record.event:
            continue  # not an event, or not received when it happened
        if isinstance(record, Purge):
            key: tuple[object, ...] = ("purge", record.key, record.group, record.purged_at)
        elif not record.whole:
            key = ("listed", *sorted((backend[0], backend[3], backend[4]) for backend in record.backends))
        else:
            continue
        count[key] += 1
        out[(*key, count[key])] = local_time(run, record)
    return out


@dataclass(frozen=True)
class RunAnchors:
    """What the clock of a run is estimated from."""

    run: str
    since: float  # local time of the first record
    base: float  # Unix time less monotonic time at the first record
    anchors: Mapping[tuple[object, ...], float]


def run_anchors(run: Run) -> RunAnchors:
    """Return the anchors of a run that has at least one record."""
    first = run.records[0]
    return RunAnchors(
        run.name, local_time(run, first), (first.unix_time - first.monotonic_time) / 10, find_anchors(run)
    )


def median_slope(points: Iterable[tuple[float, float]]) -> float:
    """Return the median slope of all pairs (Theil-Sen estimator), which is robust against outliers."""
    points = sorted(points)
    slopes = [
        (y2 - y1) / (x2 - x1)
        for index, (x1, y1) in enumerate(points)
        for x2, y2 in points[index + 1 :]
        if x2 - x1 > 1000.0
    ]
    return statistics.median(slopes) if slopes else 0.0


def estimate_clocks(runs: Mapping[str, list[RunAnchors]]) -> dict[str, Clock]:
    """Return the clock of each run by its name. `runs`: by gateway."""
    all_runs = [run for gateway_runs in runs.values() for run in gateway_runs]
    anchors_by_run = {run.run: run.anchors for run in all_runs}
    shared: dict[tuple[object, ...], list[str]] = defaultdict(list)
    for name, anchors in anchors_by_run.items():
        for key in anchors:
            shared[key].append(name)
    shared = {key: names for key, names in shared.items() if len(names) > 1}
    offsets = dict.fromkeys(anchors_by_run, 0.0)
    drifts = dict.fromkeys(anchors_by_run, 0.0)
    since = {run.run: run.since for run in all_runs}

    def common_time(name: str, key: tuple[object, ...]) -> float:
        local = anchors_by_run[name][key]
        return local + offsets[name] + drifts[name] * (local - since[name])

    moments: dict[tuple[object, ...], float] = {}
    for iteration in range(ITERATIONS):
        moments = {
            key: statistics.median(common_time(name, key) for name in names) for key, names in shared.items()
        }
        for name, anchors in anchors_by_run.items():
            keys = [key for key in anchors if key in shared]
            if not keys:
                continue
            offsets[name] += statistics.median(moments[key] - common_time(name, key) for key in keys)
            times = [anchors[key] for key in keys]
            if (
                iteration >= ITERATIONS // 2
                and len(keys) >= MIN_DRIFT_ANCHORS
                and max(times) - min(times) >= MIN_DRIFT_SPAN
            ):
                change = median_slope((anchors[key], moments[key] - common_time(name, key)) for key in keys)
                if abs(drifts[name] + change) >= MIN_DRIFT:
                    drifts[name] += change
    median_offset = _median_offset(runs, offsets, shared)
    out = {}
    for name, anchors in anchors_by_run.items():
        keys = [key for key in anchors if key in shared]
        if not keys:
            continue
        errors = sorted(abs(moments[key] - common_time(name, key)) for key in keys)
        uncertainty = max(MIN_UNCERTAINTY, 2 * errors[len(errors) // 2], errors[int(0.9 * (len(errors) - 1))])
        if len(keys) == 1:
            uncertainty = max(uncertainty, SINGLE_ANCHOR_UNCERTAINTY)
        out[name] = Clock(offsets[name] - median_offset, uncertainty, len(keys), drifts[name], since[name])
    for gateway_runs in runs.values():
        _add_unanchored(gateway_runs, out)
    return out


def _median_offset(
    runs: Mapping[str, list[RunAnchors]],
    offsets: Mapping[str, float],
    shared: Mapping[tuple[object, ...], list[str]],
) -> float:
    """Return the offset of the median gateway, whose clock is taken to be right."""
    anchored = {name for names in shared.values() for name in names}
    medians = [
        statistics.median(offsets[run.run] for run in gateway_runs if run.run in anchored)
        for gateway_runs in runs.values()
        if any(run.run in anchored for run in gateway_runs)
    ]
    return statistics.median_low(medians) if medians else 0.0


def _add_unanchored(gateway_runs: list[RunAnchors], out: dict[str, Clock]) -> None:
    """Add clocks for the runs of a gateway without shared anchors: that of another run with the same system
    clock, else the system clock as it is."""
    for run in gateway_runs:
        if run.run in out:
            continue
        same_clock = [
            other
            for other in gateway_runs
            if other.run in out
            and out[other.run].anchors
            and abs(other.base - run.base) <= SAME_CLOCK_TOLERANCE
        ]
        if same_clock:
            clock = out[same_clock[0].run]
            out[run.run] = Clock(clock.offset, clock.uncertainty + SAME_CLOCK_TOLERANCE)
        else:
            out[run.run] = Clock(0.0, UNANCHORED_UNCERTAINTY)
