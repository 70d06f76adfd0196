"""Reads many gateways' records and makes their course, on several cores where there is much to read.

Each worker process keeps the records of its gateways; what passes is marks of clocks one way, then sights,
gaps and columns. It decides nothing: the same functions run as in one process.
"""

from __future__ import annotations

import os
import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from lilacloft.record.reader import Damage, Run, find, read
from lilacloft.timeline.clocks import Clock, RunAnchors, estimate_clocks, local_time, run_anchors
from lilacloft.timeline.gaps import Gap, find_gaps
from lilacloft.timeline.observations import GatewayHistory, Observation
from lilacloft.timeline.observe import observe
from lilacloft.timeline.timeline import Timeline, assemble_timeline, build_timeline

MUCH = 32 << 20  # bytes from which several processes are worth their start
LATENCIES = 400  # histograms a gateway that charts are made of, where there is much to read
NAME = re.compile(r"(.+)\.\d+-\d+\.\d+\.jsonl")

_held: dict[str, list[Run]] = {}  # of a worker process


def load(
    paths: Iterable[str],
    begin: float | None = None,
    end: float | None = None,
    progress: Callable[[str, float], None] = lambda text, part: None,
) -> tuple[Timeline, list[Damage]]:
    """The course of all records in some folders or files."""
    files, damage = find(paths)
    if sum(path.stat().st_size for path in files) < MUCH:
        runs, wrong = read(map(str, files))
        progress("read", 1.0)
        return build_timeline(runs, begin, end), damage + wrong
    found, wrong = _many(files, begin, end, progress)
    return found, damage + wrong


def _many(
    files: list[Path], begin: float | None, end: float | None, progress: Callable[[str, float], None]
) -> tuple[Timeline, list[Damage]]:
    by_name: dict[str, list[str]] = defaultdict(list)
    for path in files:
        match = NAME.fullmatch(path.name)
        by_name[match[1] if match else path.name].append(str(path))
    count = min(len(by_name), os.cpu_count() or 1)
    shares: list[list[str]] = [[] for _ in range(count)]
    sizes = [0] * count
    for mine in sorted(by_name.values(), key=lambda mine: -sum(os.path.getsize(name) for name in mine)):
        place = sizes.index(min(sizes))
        shares[place] += mine
        sizes[place] += sum(os.path.getsize(name) for name in mine)
    workers = [ProcessPoolExecutor(1) for _ in shares]
    try:
        first = [worker.submit(_read, share) for worker, share in zip(workers, shares, strict=True)]
        every: dict[str, list[RunAnchors]] = defaultdict(list)
        damage: list[Damage] = []
        expected, ends = 0, {}
        for place, future in enumerate(first):
            found, wrong, counted, last = future.result()
            for name, mine in found.items():
                every[name] += mine
            damage += wrong
            expected = max(expected, counted)
            ends.update(last)
            progress("reading", (place + 1) / count / 2)
        clocks = estimate_clocks(every)
        last_ = max((clocks[run].to_common(at) for run, at in ends.items()), default=0.0)
        second = [worker.submit(_see, clocks, last_) for worker in workers]
        histories: dict[str, GatewayHistory] = {}
        every_observation: list[Observation] = []
        holes: list[Gap] = []
        for place, other in enumerate(second):
            mine_, observed, gone = other.result()
            histories.update(mine_)
            every_observation += observed
            holes += gone
            progress("looking", 0.5 + (place + 1) / count / 2)
    finally:
        for worker in workers:
            worker.shutdown(cancel_futures=True)
    holes.sort(key=lambda gap: (gap.begin, gap.gateway))
    return assemble_timeline(
        dict(sorted(histories.items())), every_observation, holes, clocks, expected, begin, end
    ), damage


# --- in the worker processes ---


def _read(files: list[str]) -> tuple[dict[str, list[RunAnchors]], list[Damage], int, dict[str, float]]:
    runs, damage = read(files)
    _held.clear()
    for name, mine in runs.items():
        if kept := [run for run in mine if run.records]:
            _held[name] = kept
    every = [run for mine in _held.values() for run in mine]
    return (
        {name: [run_anchors(run) for run in mine] for name, mine in _held.items()},
        damage,
        max((run.head.gateways for run in every), default=0),
        {run.name: local_time(run, run.records[-1]) for run in every},
    )


def _see(
    clocks: dict[str, Clock], last: float
) -> tuple[dict[str, GatewayHistory], list[Observation], list[Gap]]:
    histories = {name: GatewayHistory(name, mine, clocks) for name, mine in _held.items()}
    observations = [observation for history in histories.values() for observation in observe(history)]
    for history in histories.values():
        history.columns.thin_histograms(LATENCIES)
    return (
        {name: history.copy_without_records() for name, history in histories.items()},
        observations,
        find_gaps(_held, clocks, last),
    )
