"""Writes a gateway's records: a thread of its own behind a bounded queue, and the hooks that the owner
calls.

The owner's thread only adds a line to a queue, which never waits. It must never call the module, and never
end a gateway: a disk that fails costs records, which are counted.
"""

from __future__ import annotations

import os
import re
import threading
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from loguru import logger

from lilacloft import __version__
from lilacloft.net.conn import OUTCOMES, End
from lilacloft.record import record_types
from lilacloft.record.file_rotation import RotatingFiles
from lilacloft.record.record_queue import RecordQueue
from lilacloft.record.summary import Summary, plain
from lilacloft.settings import NS

STEP = 500  # tenths of a millisecond that the wall clock may go against the steady one between two records
LOOK = 0.25  # seconds between two looks of the writing thread
SAFE = re.compile(r"[^A-Za-z0-9_.-]")
REFUSED = ("unusable", "turned_away", "closed_idle", "choked", "not_taken")


class Folder:
    """A RecordDirectory on disk. Names of files sort by gateway, run and number."""

    def __init__(self, path: str, gateway: str, run: str) -> None:
        self.path, self.gateway, self.run = Path(path), SAFE.sub("_", gateway), run
        self.file: Any = None
        self.name = ""

    def now(self) -> float:
        return time.monotonic()

    def open_file(self, number: int) -> None:
        self.path.mkdir(parents=True, exist_ok=True)
        self.name = f"{self.gateway}.{self.run}.{number:05}.jsonl"
        self.file = open(self.path / self.name, "xb", buffering=0)  # noqa: SIM115

    def write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[self.file.write(rest) :]

    def close_file(self) -> None:
        self.file.close()

    def list_files(self) -> list[tuple[str, int]]:
        found = sorted(self.path.glob(f"{self.gateway}.*.jsonl"))
        return [(file.name, file.stat().st_size) for file in found]

    def remove_file(self, name: str) -> None:
        (self.path / name).unlink(missing_ok=True)


class Recorder:
    """One gateway's records. All methods but the thread's belong to the owner's thread."""

    def __init__(
        self,
        owner: Any,
        folder: str,
        name: str,
        limits: Mapping[str, float] | None = None,
        prometheus: str = "",
        connect: str = "",
    ) -> None:
        self.owner = owner
        wall = time.time_ns() // NS
        self.run = f"{wall:015}-{os.getpid()}"
        self.directory = Folder(folder, name, self.run)
        self.files = RotatingFiles(self.directory, limits)
        self.queue, self.lock = RecordQueue(), threading.Lock()
        self.woken = threading.Event()
        self.over = False
        told = plain(owner.vhosts)
        self.head = record_types.Head(
            schema=record_types.SCHEMA_VERSION,
            gateway=name,
            run=self.run,
            version=__version__,
            zone=str(owner.settings["zones"][owner.settings["zone"]]),
            gateways=owner.settings["gateways"],
            vhosts={vhost: list(three) for vhost, three in told.items()},
        )
        self.number = 0
        self.apart: int | None = None  # how far the wall clock is from the steady one
        self.summary = Summary(told, owner.monotonic_time)
        self.names = [vhost["name"] for vhost in owner.vhosts]
        self.metrics: Any = None
        if prometheus:
            from lilacloft.record.metrics import Metrics

            self.metrics = Metrics(prometheus, name)
        self.connects = 0
        self.connect, self.live_stream = connect, None
        owner.recorder = self
        self.thread = threading.Thread(target=self._write, daemon=True)

    def start(self, why: str = "start") -> None:
        """The gateway serves."""
        if self.connect:  # now, not before: until now another process may have been the gateway
            from lilacloft.record.live_stream import LiveStream

            try:
                self.live_stream = LiveStream(self.connect, record_types.encode(self.head) + b"\n")
            except OSError as wrong:
                logger.error("records' socket {}: {}", self.connect, wrong.strerror)
        self.thread.start()
        self.note(record_types.Start(reason=why, backend_count=len(self.owner.backends)))
        self._list(self.owner.backends.values(), 0, True)
        self._tick()

    def end(self, why: str) -> None:
        """The gateway ends: what is known is written, for a short while at most."""
        self.note(
            self.summary.take(self.owner.monotonic_time, self._bes(), self.owner.router.link_limit.limit)
        )
        self.note(record_types.Stop(reason=why))
        self.over = True
        self.woken.set()
        self.thread.join(1.0)

    # --- the owner's hooks ---

    def note(self, record: record_types.Record) -> None:
        """Give a record its number and times, and queue it."""
        steady, wall = time.monotonic_ns() // NS, time.time_ns() // NS
        apart = wall - steady
        if self.apart is not None and abs(apart - self.apart) > STEP:
            step, self.apart = apart - self.apart, apart
            self._queue(record_types.ClockStep(step=step), wall, steady)
        self.apart = apart if self.apart is None else self.apart
        self._queue(record, wall, steady)

    def _queue(self, record: record_types.Record, wall: int, steady: int) -> None:
        with self.lock:  # an upgrade's phases come from its own thread
            self.number += 1
            record.number, record.wall, record.steady = self.number, wall, steady
            kept = self.queue.put(record_types.encode(record) + b"\n", wall)
        if not kept:
            self.woken.set()

    def arrived(self, call: Any) -> None:
        self.summary.arrived(self.names[call.vhost])

    def sent(self, call: Any, backend: Any, source: Any) -> None:
        self.summary.sent(self.names[call.vhost], backend.name)

    def ended(
        self, call: Any, backend: Any, end: End, took: int, note: int, waited: int, load: list[float]
    ) -> None:
        request = call.request
        source = request.source.name if request.expects_fill and request.source is not None else None
        late = took > self.owner.router.virtual_hosts[request.vhost].latency_objective(request.transfer_time)
        self.summary.ended(
            self.names[call.vhost], backend.name, source, end.name, OUTCOMES[end], took, late, note, waited
        )

    def answered(self, call: Any, kind: str) -> None:
        took = self.owner.time - call.request.arrived_at if call.request else 0
        self.summary.answered(
            self.names[call.vhost], kind, took, call.request.attempts if call.request else 0
        )

    def left(self, call: Any) -> None:
        self.summary.left(self.names[call.vhost])

    def checked(self, backend: Any, outcome: str, load: list[float]) -> None:
        names = self.owner.settings["stats"]["names"]
        if "util" in names and load:
            self.summary.checked(backend.name, round(load[names.index("util")], 3))

    def phase(self, phase: str, why: str) -> None:
        """An upgrade has come to a phase; from whatever thread drives it."""
        self.note(record_types.Upgrade(phase=phase, reason=why))

    def believed(self, backend: Any, what: str, why: str) -> None:
        self.note(
            record_types.HealthChange(
                backend=backend.name,
                change=what,
                reason=why,
                consecutive_failures=backend.consecutive_failures,
                late_share=round(backend.late_fill_share, 3),
            )
        )

    def planned(self, effect: Any) -> None:
        """Another plan holds, or none: what its effect is (lilacloft.plan.follow.Effect)."""
        name = effect.name
        self.note(
            record_types.PlanChange(
                planner=name.planner,
                epoch=name.epoch,
                plan_number=name.number,
                ejected_backends=sorted(effect.out),
                limit_count=len(effect.ways),
                link_limit=round(effect.link, 3),
            )
        )

    def away(self, zone: str, back: int, slices: int, fails: int, why: str, alone: bool) -> None:
        """So much of a location is at home now."""
        self.note(
            record_types.LocationFailover(
                zone=zone,
                returned_slices=back,
                total_slices=slices,
                failed_returns=fails,
                reason=why,
                without_plan=alone,
            )
        )

    def limited(self, backend: Any, was: float, limit: float, late: float) -> None:
        way = (
            backend.name
            if backend.concurrency_limit is not None and limit == backend.concurrency_limit.limit
            else "link"
        )
        record = self.summary.limited(way, was, limit, late)
        if record:
            self.note(record)

    def heard(self, event: Any, number: int, steady: int) -> None:
        """The change log told something; after the owner has taken it in."""
        what, told = event
        if what == "purge":
            key, group, at = told
            return self.note(record_types.Purge(event=number, key=key, group=group, purged_at=at * 10))
        backends = [self.owner.backends[name] for name, *_ in told if name in self.owner.backends]
        gone = [row for row in told if row[0] not in self.owner.backends]
        return self._list(backends, number, what == "full", gone)

    def _list(self, backends: Any, number: int, whole: bool, gone: Any = ()) -> None:
        family, zones = self.owner.settings["kinds"], self.owner.settings["zones"]
        rows = [
            (
                backend.name,
                family[backend.kind],
                zones[backend.zone],
                backend.status,
                backend.started,
                backend.capacity,
            )
            for backend in backends
        ]
        rows += [
            (name, family[kind], zones[zone], 0, started * 10, float(size))
            for name, _, zone, kind, _, _, size, started in gone
        ]
        self.note(record_types.BackendList(event=number, whole=whole, backends=rows))

    def _bes(self) -> dict[str, tuple[int, float, bool, int]]:
        return {
            backend.name: (
                len(backend.requests),
                backend.concurrency_limit.limit if backend.concurrency_limit else 0.0,
                backend.ejected,
                backend.status,
            )
            for backend in self.owner.router.pools.backends
        }

    def _tick(self) -> None:
        """A second has passed."""
        owner = self.owner
        refused = {name: owner.front.counts[name] for name in REFUSED}
        self.summary.counted({**refused, "faults": owner.answer_counts["faults"]})
        if owner.feed.connects != self.connects:
            self.connects = owner.feed.connects
            self.note(record_types.ChangeLogConnection(connected=True, event=owner.feed.last))
        if self.summary.due(owner.monotonic_time):
            second = self.summary.take(owner.monotonic_time, self._bes(), owner.router.link_limit.limit)
            self.note(second)
            if self.metrics:
                self.metrics.add(second)
        self.woken.set()
        owner.call_at(owner.time + 10_000, self._tick)

    # --- the writing thread ---

    def _write(self) -> None:
        failing = False
        while True:
            self.woken.wait(LOOK if failing else None)
            self.woken.clear()
            over = self.over
            with self.lock:
                lines, lost, since = self.queue.drain()
            if lost:
                lines.append(self._gap(lost, "the queue was full", since))
            owed, why = self.files.take_losses()
            if owed:
                lines.insert(0, self._gap(owed, why, 0))
            self.head.file_number = self.files.file_number + 1
            self.head.wall, self.head.steady = time.time_ns() // NS, time.monotonic_ns() // NS
            gone = self.files.write(lines, record_types.encode(self.head) + b"\n")
            if lines and bool(gone) != failing:  # nothing to write says nothing of the disk
                failing = bool(gone)
                (logger.error if failing else logger.info)(
                    "records: {}", f"cannot be written: {self.files.error}" if failing else "written again"
                )
            if self.metrics:
                self.metrics.write()
            if self.live_stream:
                self.live_stream.publish(lines)
            if over:
                self.files.close()
                return

    @staticmethod
    def _gap(count: int, why: str, since: int) -> bytes:
        wall, steady = time.time_ns() // NS, time.monotonic_ns() // NS
        return (
            record_types.encode(
                record_types.DroppedRecords(count=count, reason=why, since=since, wall=wall, steady=steady)
            )
            + b"\n"
        )
