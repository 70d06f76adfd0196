"""Numbers a gateway's records and writes them from a bounded queue in a separate thread.

When the disk fails, records are lost and counted; the gateway is neither delayed nor stopped.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from lilacloft.gateway.clock import monotonic_ticks
from lilacloft.log import logger
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.record import record_types
from lilacloft.record.file_rotation import RotatingFiles
from lilacloft.record.record_queue import RecordQueue
from lilacloft.routing.units import Ticks

if TYPE_CHECKING:
    from lilacloft.record.live_stream import LiveStream
    from lilacloft.record.metrics import Metrics

CLOCK_STEP_THRESHOLD: Ticks = 500  # smaller changes between the system and monotonic clocks are not recorded
FAILED_DISK_POLL = 0.25  # seconds between checks whether a failed disk may be retried
STOP_TIMEOUT = 1.0  # seconds allowed for writing the last records


def unix_ticks() -> Ticks:
    """Return the Unix time."""
    return time.time_ns() // NS_PER_TICK


class RecordWriter:
    """The writing side of one gateway's records."""

    def __init__(self, files: RotatingFiles, head: record_types.Head, metrics: Metrics | None) -> None:
        self.files, self.head, self.metrics = files, head, metrics
        self.live_stream: LiveStream | None = None
        self.queue, self.lock = RecordQueue(), threading.Lock()
        self.number = 0  # of the last record
        self.clock_offset: Ticks | None = None  # Unix time less monotonic time at the last record
        self.wakeup = threading.Event()
        self.is_stopping = False
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the writing thread."""
        self.thread.start()

    def stop(self) -> None:
        """Write what is queued and end the thread, waiting for at most `STOP_TIMEOUT`."""
        self.is_stopping = True
        self.wakeup.set()
        self.thread.join(STOP_TIMEOUT)

    def wake(self) -> None:
        """Wake the writing thread to write what is queued."""
        self.wakeup.set()

    def add(self, record: record_types.Record) -> None:
        """Number, timestamp and queue a record, preceded by a `ClockStep` if the system clock was set."""
        monotonic_time, unix_time = monotonic_ticks(), unix_ticks()
        offset = unix_time - monotonic_time
        if self.clock_offset is None:
            self.clock_offset = offset
        elif abs(offset - self.clock_offset) > CLOCK_STEP_THRESHOLD:
            step, self.clock_offset = offset - self.clock_offset, offset
            self._queue(record_types.ClockStep(step=step), unix_time, monotonic_time)
        self._queue(record, unix_time, monotonic_time)

    def _queue(self, record: record_types.Record, unix_time: Ticks, monotonic_time: Ticks) -> None:
        with self.lock:  # the phases of an upgrade are recorded by another thread
            self.number += 1
            record.number, record.unix_time, record.monotonic_time = self.number, unix_time, monotonic_time
            is_queued = self.queue.put(record_types.encode_line(record), unix_time)
        if not is_queued:
            self.wakeup.set()

    # --- the writing thread ---

    def _run(self) -> None:
        is_failing = False
        while True:
            self.wakeup.wait(FAILED_DISK_POLL if is_failing else None)
            self.wakeup.clear()
            is_stopping = self.is_stopping
            lines = self._next_lines()
            is_failing = self._write(lines, is_failing)
            if self.metrics:
                self.metrics.write()
            if self.live_stream:
                self.live_stream.publish(lines)
            if is_stopping:
                self.files.close()
                return

    def _next_lines(self) -> list[bytes]:
        """Return the queued lines, preceded by a record of the lines lost to the disk and followed by one of
        the lines dropped from the queue."""
        with self.lock:
            lines, dropped, since = self.queue.drain()
        if dropped:
            lines.append(self._dropped_line(dropped, "the queue was full", since))
        losses = self.files.take_losses()
        if losses.count:
            lines.insert(0, self._dropped_line(losses.count, losses.error, 0))
        return lines

    def _write(self, lines: list[bytes], was_failing: bool) -> bool:
        """Write lines, and log when the disk starts or stops failing; return whether it is failing."""
        self.head.file_number = self.files.file_number + 1
        self.head.unix_time, self.head.monotonic_time = unix_ticks(), monotonic_ticks()
        is_failing = self.files.write(lines, record_types.encode_line(self.head)) > 0
        if not lines or is_failing == was_failing:  # without lines the disk was not tried
            return was_failing
        if is_failing:
            logger.error("records: cannot be written: {}", self.files.error)
        else:
            logger.info("records: written again")
        return is_failing

    @staticmethod
    def _dropped_line(count: int, reason: str, since: Ticks) -> bytes:
        unix_time, monotonic_time = unix_ticks(), monotonic_ticks()
        dropped = record_types.DroppedRecords(
            count=count, reason=reason, since=since, unix_time=unix_time, monotonic_time=monotonic_time
        )
        return record_types.encode_line(dropped)
