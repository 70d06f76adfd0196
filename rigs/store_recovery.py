"""Checks of a store's recovery: logs cut at every byte, and crashes on the modelled disk (disk_model.py)."""

from __future__ import annotations

import contextlib
import multiprocessing
import random
import time
from dataclasses import dataclass, field
from typing import Any

from lilacloft.store import framing
from lilacloft.store.directory import segment_name
from lilacloft.store.framing import Frame, Record
from lilacloft.store.log import Store
from rigs.disk_model import CrashError, Disk

RecordsByKey = dict[tuple[int, bytes], Record]
CUTS_PER_JOB = 1024
MAX_CALLS_BEFORE_CRASH = 80
MAX_STEPS = 200  # puts, commits and compactions between two crashes


class MemoryFiles:
    """Files in memory that can only be read."""

    def __init__(self, files: dict[str, bytes]) -> None:
        self.files = files

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return all bytes of a file."""
        return self.files[name]


@dataclass
class CommitEnd:
    """Where a commit ends in a log, and how many records there are by then."""

    offset: int
    records: int


def make_log(size: int, seed: int) -> tuple[bytes, list[CommitEnd]]:
    """Return a segment of at least `size` bytes with random records, and the ends of its commits."""
    random_source = random.Random(seed)
    data, ends, count = bytearray(framing.pack_file_header(1)), [], 0
    while len(data) < size:
        batch = []
        for _ in range(random_source.choice([1, 1, 2, 8])):
            removal = random_source.random() < 0.1
            value = None if removal else random_source.randbytes(random_source.randrange(200))
            kind = random_source.randrange(1, 4)
            batch.append(Record(kind, b"k%d" % random_source.randrange(500), value, count))
        data += framing.pack_frame(count + 1, batch)
        count += len(batch)
        ends.append(CommitEnd(len(data), count))
    return bytes(data), ends


def apply_record(records: RecordsByKey, record: Record) -> None:
    """Apply a record to a plain model of a store."""
    records.pop((record.kind, record.key), None)
    if record.value is not None:
        records[record.kind, record.key] = record


def records_by_key(store: Store) -> RecordsByKey:
    """Return all records of a store, as the plain model has them."""
    return {(kind, key): record for kind, of_kind in store.records.items() for key, record in of_kind.items()}


# --- cuts ---


@dataclass
class CutJob:
    """A range of offsets at which a log is to be cut."""

    data: bytes
    ends: list[CommitEnd]
    first: int
    end: int


def check_cuts(job: CutJob) -> list[str]:
    """Recover the log from each cut; returns what differs from the commits before the cut."""
    errors: list[str] = []
    committed = 0
    expected: RecordsByKey = {}
    commits = [
        piece for piece in framing.iter_frames(job.data, framing.FORMAT_VERSION) if isinstance(piece, Frame)
    ]
    for cut in range(job.first, job.end):
        while committed < len(job.ends) and job.ends[committed].offset <= cut:
            for record in commits[committed].records:
                apply_record(expected, record)
            committed += 1
        last = job.ends[committed - 1] if committed else CommitEnd(framing.FILE_HEADER.size, 0)
        store = Store(MemoryFiles({segment_name(1): job.data[:cut]}))
        if store.durable_sequence != last.records:
            errors.append(f"cut at {cut}: {store.durable_sequence} records instead of {last.records}")
        if records_by_key(store) != expected:
            errors.append(f"cut at {cut}: state differs from that after {last.records} records")
        at_commit = cut in (framing.FILE_HEADER.size, last.offset)
        if store.report.damage or bool(store.report.torn) == at_commit:
            errors.append(f"cut at {cut}: reported {store.report}")
    return errors


def cut_jobs(data: bytes, ends: list[CommitEnd], step: int) -> list[CutJob]:
    """Return the jobs for cuts at every `step`-th byte."""
    width = CUTS_PER_JOB if step == 1 else 1
    starts = range(0, len(data) + 1, CUTS_PER_JOB if step == 1 else step)
    return [CutJob(data, ends, start, min(start + width, len(data) + 1)) for start in starts]


def cut(size: int, seed: int, step: int = 1, section: int = 1 << 14) -> dict[str, Any]:
    """Cut logs of `size` bytes in all at every `step`-th byte, on all cores.

    The logs have `section` bytes each, as each cut is recovered: a megabyte in one log would take too long.
    """
    began = time.monotonic()
    jobs: list[CutJob] = []
    total = sections = 0
    while total < size:
        data, ends = make_log(section, seed * 1000 + sections)
        jobs += cut_jobs(data, ends, step)
        total += len(data)
        sections += 1
    with multiprocessing.Pool() as pool:
        errors = [line for lines in pool.imap_unordered(check_cuts, jobs, 1) for line in lines]
    return {
        "bytes": total,
        "sections": sections,
        "cuts": sum(job.end - job.first for job in jobs),
        "wrong": errors[:20],
        "seconds": time.monotonic() - began,
    }


# --- crashes ---


@dataclass
class CrashRun:
    """Random work on a store on the modelled disk, with crashes."""

    seed: int
    disk: Disk
    random: random.Random
    puts: list[Record] = field(default_factory=list)  # all records that are or may be stored
    acknowledged: int = 0  # number of records that a commit has reported as durable
    commit_sizes: set[int] = field(default_factory=set)  # possible durable counts: after whole commits

    def work(self, store: Store) -> None:
        """Put, commit and compact at random until the power fails."""
        for _ in range(MAX_STEPS):
            choice = self.random.random()
            if choice < 0.6:
                self._put(store)
                continue
            self.commit_sizes.add(len(self.puts))
            try:
                if choice < 0.95:
                    self.acknowledged = store.commit()
                else:
                    store.compact()
                    self.acknowledged = store.durable_sequence
            except OSError:
                continue

    def _put(self, store: Store) -> None:
        removal = self.random.random() < 0.2
        value = None if removal else self.random.randbytes(self.random.randrange(120))
        key = b"k%d" % self.random.randrange(9)
        record = Record(self.random.randrange(1, 4), key, value, len(self.puts))
        store.put(*record)
        self.puts.append(record)

    def error_after_crash(self, store: Store) -> str:
        """Return what is wrong with a store that was recovered after a crash; empty if nothing is."""
        durable = store.durable_sequence
        if durable < self.acknowledged:
            return f"{durable} records, {self.acknowledged} acknowledged as durable; {store.report}"
        if durable not in self.commit_sizes:
            return f"incomplete commit recovered: {durable} of {sorted(self.commit_sizes)}"
        expected: RecordsByKey = {}
        for record in self.puts[:durable]:
            apply_record(expected, record)
        if records_by_key(store) != expected:
            return f"recovered state differs from that after {durable} records"
        if store.report.damage:
            return f"damage reported after a mere crash: {store.report.damage}"
        return ""


def crash(seed: int, faults: float = 0.03, skips_syncs: bool = False, rounds: int = 5) -> list[str]:
    """Run random work with a crash in each round; returns the first error, if any.

    Odd seeds have failing writes and syncs, with the probability `faults`.
    """
    disk = Disk(seed, faults if seed % 2 else 0.0)
    disk.skips_syncs = skips_syncs
    run = CrashRun(seed, disk, random.Random(f"work {seed}"))
    for number in range(rounds):
        where = f"seed {seed} round {number}"
        run.acknowledged, run.commit_sizes = len(run.puts), {len(run.puts)}
        disk.crash_at = None
        store = Store(disk, segment_bytes=run.random.choice([300, 1000, 1 << 20]))
        if store.durable_sequence != len(run.puts):
            count = f"{store.durable_sequence} records instead of {len(run.puts)}"
            return [f"{where}: second recovery found {count}"]
        disk.crash_at = disk.calls + run.random.randrange(1, MAX_CALLS_BEFORE_CRASH)
        with contextlib.suppress(CrashError):
            run.work(store)
        disk.restart()
        store = Store(disk)
        error = run.error_after_crash(store)
        if error:
            return [f"{where}: {error}"]
        run.puts = run.puts[: store.durable_sequence]
    return []


def _crash(seed_and_fault: tuple[int, bool]) -> list[str]:
    seed, skips_syncs = seed_and_fault
    return crash(seed, skips_syncs=skips_syncs)


def crashes(seeds: int, first: int = 0, skips_syncs: bool = False) -> dict[str, Any]:
    """Run many seeds on all cores."""
    began = time.monotonic()
    with multiprocessing.Pool() as pool:
        results = pool.map(_crash, [(seed, skips_syncs) for seed in range(first, first + seeds)], 50)
    errors = [line for lines in results for line in lines]
    return {"seeds": seeds, "failed": len(errors), "first": errors[:5], "seconds": time.monotonic() - began}
