"""Measures a store on a real disk: commits a second, latencies, recovery and compaction."""

from __future__ import annotations

import os
import shutil
import statistics
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from lilacloft.store.files import StoreDirectory
from lilacloft.store.framing import Record
from lilacloft.store.group_commit import GroupCommitter
from lilacloft.store.log import Store
from rigs.upgrade_probes import histogram

RECORD_BYTES = 200
RECOVERY_RECORD_BYTES = 1000
WRITER_COUNTS = (1, 16, 256)
KEYS_PER_WRITER = 50
COMMIT_TIMEOUT = 30.0  # seconds
ONE_SEGMENT = 1 << 40  # bytes; more than any log here has


@contextmanager
def temporary_folder(where: str | None) -> Iterator[Path]:
    """Create a folder on the disk that is measured, and remove it afterwards."""
    folder = Path(tempfile.mkdtemp(prefix="store", dir=where))
    try:
        yield folder
    finally:
        shutil.rmtree(folder)


def bare(folder: Path, seconds: float, size: int) -> dict[str, Any]:
    """Measure appends of `size` bytes with a sync each, without a store: what the disk can do."""
    fd = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    durations, data = [], b"x" * size
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        began = time.monotonic()
        os.write(fd, data)
        os.fdatasync(fd)
        durations.append(time.monotonic() - began)
    os.close(fd)
    return {"writers": 1, "commits_a_second": len(durations) / seconds, "ms": histogram(durations)}


def writers(folder: Path, count: int, seconds: float, size: int, group: bool) -> dict[str, Any]:
    """Measure `count` threads that each write a record and wait until it is durable."""
    directory = StoreDirectory(str(folder))
    commits = GroupCommitter(Store(directory), group=group)
    durations: list[list[float]] = [[] for _ in range(count)]
    deadline = time.monotonic() + seconds

    def write_records(own_durations: list[float], number: int) -> None:
        index = 0
        while time.monotonic() < deadline:
            began = time.monotonic()
            record = Record(1, b"%d-%d" % (number, index % KEYS_PER_WRITER), b"x" * size)
            commits.write(record, timeout=COMMIT_TIMEOUT)
            own_durations.append(time.monotonic() - began)
            index += 1

    threads = [
        threading.Thread(target=write_records, args=(own_durations, number))
        for number, own_durations in enumerate(durations)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    commits.close()
    directory.close()
    all_durations = [duration for own_durations in durations for duration in own_durations]
    return {
        "writers": count,
        "group": group,
        "records_a_second": len(all_durations) / seconds,
        "syncs_a_second": commits.sync_count / seconds,
        "ms": histogram(all_durations),
    }


def fill(folder: Path, size: int) -> int:
    """Write a store of `size` bytes with one segment; returns the count of records."""
    directory = StoreDirectory(str(folder))
    store = Store(directory, segment_bytes=ONE_SEGMENT)
    value, count = b"v" * RECOVERY_RECORD_BYTES, 0
    while count * RECOVERY_RECORD_BYTES < size:
        for _ in range(1000):
            store.put(1, b"%d" % (count % 50_000), value, count)
            count += 1
        store.commit()
    directory.close()
    return count


def recovery(folder: Path, size: int) -> dict[str, Any]:
    """Measure how long a store of a size takes to recover, and what its compaction writes."""
    count = fill(folder, size)
    began = time.monotonic()
    directory = StoreDirectory(str(folder))
    store = Store(directory, segment_bytes=ONE_SEGMENT)
    recovery_seconds = time.monotonic() - began
    assert store.durable_sequence == count
    began = time.monotonic()
    store.compact()
    compaction_seconds = time.monotonic() - began
    compacted_bytes = sum((folder / name).stat().st_size for name in directory.names())
    directory.close()
    began = time.monotonic()
    directory = StoreDirectory(str(folder))
    Store(directory)
    recovery_seconds_after = time.monotonic() - began
    directory.close()
    return {
        "bytes": size,
        "records": count,
        "recovery_s": recovery_seconds,
        "compaction_s": compaction_seconds,
        "kept_bytes": compacted_bytes,
        "written_again": compacted_bytes / size,
        "recovery_after_s": recovery_seconds_after,
    }


def speed(seconds: float, sizes: list[int], where: str | None) -> dict[str, Any]:
    """Measure commits of several counts of writers with and without group commit, between bare appends, and
    the recovery of stores of several sizes in bytes."""
    report: dict[str, Any] = {"commits": [], "recovery": []}

    def measure_bare() -> None:
        with temporary_folder(where) as folder:
            report["commits"].append({"kind": "bare", **bare(folder, seconds, RECORD_BYTES)})

    measure_bare()
    for group in (True, False):
        for count in WRITER_COUNTS:
            with temporary_folder(where) as folder:
                measured = writers(folder, count, seconds, RECORD_BYTES, group)
            report["commits"].append({"kind": "store", **measured})
    measure_bare()
    for size in sizes:
        with temporary_folder(where) as folder:
            report["recovery"].append(recovery(folder, size))
    return report


def side_by_side(turns: int, seconds: float, where: str | None) -> dict[str, Any]:
    """Measure bare appends and group commits by turns, so that changes of the disk's speed affect both.

    Reports the medians of records a second, and the least, median and greatest ratio of a turn.
    """
    bare_rates: list[float] = []
    store_rates: dict[int, list[float]] = {count: [] for count in WRITER_COUNTS}
    for _ in range(turns):
        with temporary_folder(where) as folder:
            bare_rates.append(bare(folder, seconds, RECORD_BYTES)["commits_a_second"])
        for count in WRITER_COUNTS:
            with temporary_folder(where) as folder:
                measured = writers(folder, count, seconds, RECORD_BYTES, True)
            store_rates[count].append(measured["records_a_second"])
    ratios = {
        count: sorted(rate / bare_rate for rate, bare_rate in zip(rates, bare_rates, strict=True))
        for count, rates in store_rates.items()
    }
    return {
        "turns": turns,
        "bare": statistics.median(bare_rates),
        "store": {count: statistics.median(rates) for count, rates in store_rates.items()},
        "part_of_bare": {
            count: [of_count[0], statistics.median(of_count), of_count[-1]]
            for count, of_count in ratios.items()
        },
    }
