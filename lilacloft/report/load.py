"""Reads the records of many gateways and builds their timeline, in several processes if there is much to
read.

Each worker process keeps the records of its gateways. It first sends the anchors of their clocks, and, once
the clocks are estimated, observations, gaps and columns. The same functions run as in a single process.
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

MIN_PARALLEL_BYTES = 32 << 20  # bytes from which starting several processes pays off
MAX_HISTOGRAMS_PER_GATEWAY = 400  # for the charts, when several processes read
FILE_NAME = re.compile(r"(.+)\.\d+-\d+\.\d+\.jsonl")

_worker_runs: dict[str, list[Run]] = {}  # what this worker process has read, by gateway


def load(
    paths: Iterable[str],
    begin: float | None = None,
    end: float | None = None,
    progress: Callable[[str, float], None] = lambda text, part: None,
) -> tuple[Timeline, list[Damage]]:
    """Return the timeline of all records in directories or files, and the damage. `progress` is called with
    the name of a step and its completed fraction."""
    files, damage = find(paths)
    if sum(path.stat().st_size for path in files) < MIN_PARALLEL_BYTES:
        runs, read_damage = read(map(str, files))
        progress("read", 1.0)
        return build_timeline(runs, begin, end), damage + read_damage
    timeline, read_damage = _load_parallel(files, begin, end, progress)
    return timeline, damage + read_damage


def _load_parallel(
    files: list[Path], begin: float | None, end: float | None, progress: Callable[[str, float], None]
) -> tuple[Timeline, list[Damage]]:
    files_by_gateway: dict[str, list[str]] = defaultdict(list)
    for path in files:
        match = FILE_NAME.fullmatch(path.name)
        files_by_gateway[match[1] if match else path.name].append(str(path))
    count = min(len(files_by_gateway), os.cpu_count() or 1)
    shares: list[list[str]] = [[] for _ in range(count)]
    sizes = [0] * count
    for gateway_files in sorted(
        files_by_gateway.values(),
        key=lambda gateway_files: -sum(os.path.getsize(name) for name in gateway_files),
    ):
        index = sizes.index(min(sizes))
        shares[index] += gateway_files
        sizes[index] += sum(os.path.getsize(name) for name in gateway_files)
    workers = [ProcessPoolExecutor(1) for _ in shares]
    try:
        readers = [worker.submit(_read_runs, share) for worker, share in zip(workers, shares, strict=True)]
        anchors: dict[str, list[RunAnchors]] = defaultdict(list)
        damage: list[Damage] = []
        expected, last_by_run = 0, {}
        for index, future in enumerate(readers):
            worker_anchors, read_damage, gateway_count, last_times = future.result()
            for name, gateway_anchors in worker_anchors.items():
                anchors[name] += gateway_anchors
            damage += read_damage
            expected = max(expected, gateway_count)
            last_by_run.update(last_times)
            progress("reading", (index + 1) / count / 2)
        clocks = estimate_clocks(anchors)
        last_record_at = max((clocks[run].to_common(at) for run, at in last_by_run.items()), default=0.0)
        observers = [worker.submit(_observe_runs, clocks, last_record_at) for worker in workers]
        histories: dict[str, GatewayHistory] = {}
        observations: list[Observation] = []
        found_gaps: list[Gap] = []
        for index, other in enumerate(observers):
            worker_histories, worker_observations, worker_gaps = other.result()
            histories.update(worker_histories)
            observations += worker_observations
            found_gaps += worker_gaps
            progress("looking", 0.5 + (index + 1) / count / 2)
    finally:
        for worker in workers:
            worker.shutdown(cancel_futures=True)
    found_gaps.sort(key=lambda gap: (gap.begin, gap.gateway))
    return assemble_timeline(
        dict(sorted(histories.items())), observations, found_gaps, clocks, expected, begin, end
    ), damage


# --- in the worker processes ---


def _read_runs(files: list[str]) -> tuple[dict[str, list[RunAnchors]], list[Damage], int, dict[str, float]]:
    runs, damage = read(files)
    _worker_runs.clear()
    for name, gateway_runs in runs.items():
        if kept := [run for run in gateway_runs if run.records]:
            _worker_runs[name] = kept
    runs_read = [run for gateway_runs in _worker_runs.values() for run in gateway_runs]
    return (
        {name: [run_anchors(run) for run in gateway_runs] for name, gateway_runs in _worker_runs.items()},
        damage,
        max((run.head.gateways for run in runs_read), default=0),
        {run.name: local_time(run, run.records[-1]) for run in runs_read},
    )


def _observe_runs(
    clocks: dict[str, Clock], last: float
) -> tuple[dict[str, GatewayHistory], list[Observation], list[Gap]]:
    histories = {
        name: GatewayHistory(name, gateway_runs, clocks) for name, gateway_runs in _worker_runs.items()
    }
    observations = [observation for history in histories.values() for observation in observe(history)]
    for history in histories.values():
        history.columns.thin_histograms(MAX_HISTOGRAMS_PER_GATEWAY)
    return (
        {name: history.copy_without_records() for name, history in histories.items()},
        observations,
        find_gaps(_worker_runs, clocks, last),
    )
