"""Group commit: many writers share the syncs of one thread, and each is told when its record is durable.

A writer never waits longer than its timeout, even while the disk is stalled. The thread retries until the
disk responds again.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

from lilacloft.log import logger
from lilacloft.routing.units import Ticks
from lilacloft.store.errors import StoreError
from lilacloft.store.framing import Record
from lilacloft.store.log import Store

RETENTION_INTERVAL = 60.0  # seconds between two removals of records beyond the retention limits
RETRY_DELAY = 0.5  # seconds before a failed commit is retried
CLOSE_TIMEOUT = 5.0  # seconds


class GroupCommitter:
    """Writes records to a store in a thread of its own."""

    def __init__(
        self, store: Store, group: bool = True, on_durable: Callable[[int], None] | None = None
    ) -> None:
        """Start the thread. If `group` is false, each record is synced separately.

        `on_durable` is called in that thread after each successful sync, with the ticket up to which all
        records are durable.
        """
        self.store, self.group, self.on_durable = store, group, on_durable
        self.condition = threading.Condition()
        self.closing = False
        self.jobs: deque[Callable[[], None]] = deque()
        self.sync_count = 0
        self.failure_count = 0  # failed commits since the last successful one
        self.next_retention_at = 0.0
        self.commit_began_at = 0.0  # start of the commit or retry delay in progress; 0: none
        self.queue: list[Record] = []
        self.last_ticket = 0
        self.durable_ticket = 0
        self.uncommitted = 0  # number of records in the store that are not yet durable
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def submit(self, kind: int, key: bytes, value: bytes | None, timestamp: Ticks) -> int:
        """Queue a record (value None: a removal) without waiting; return its ticket."""
        with self.condition:
            return self._enqueue(Record(kind, key, value, timestamp))

    def write(self, record: Record, timeout: float = 0.0) -> bool:
        """Queue a record and wait at most `timeout` seconds until it is durable.

        Returns False if it is not known to be durable by then.
        """
        with self.condition:
            ticket = self._enqueue(record)
            if timeout <= 0:
                return self.durable_ticket >= ticket
            deadline = time.monotonic() + timeout
            while self.durable_ticket < ticket:
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self.closing:
                    return False
                self.condition.wait(remaining)
            return True

    def flush(self, timeout: float) -> bool:
        """Wait at most `timeout` seconds until all queued records are durable; return whether they are.

        After True nothing is written until another record is queued.
        """
        deadline = time.monotonic() + timeout
        with self.condition:
            while self.durable_ticket < self.last_ticket:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return False
                self.condition.wait(remaining)
            return True

    def run_before_writing(self, job: Callable[[], None]) -> None:
        """Run a job in the writer thread before any further write; retried while it raises OSError or
        StoreError."""
        with self.condition:
            self.jobs.append(job)
            self.condition.notify_all()

    def stalled_for(self) -> float:
        """Return for how many seconds the commit or retry delay in progress has lasted; 0 if none is."""
        began_at = self.commit_began_at
        return time.monotonic() - began_at if began_at else 0.0

    def close(self, timeout: float = CLOSE_TIMEOUT) -> None:
        """Commit all queued records and wait at most `timeout` seconds for the thread to end."""
        with self.condition:
            self.closing = True
            self.condition.notify_all()
        self.thread.join(timeout)

    def _enqueue(self, record: Record) -> int:
        self.queue.append(record)
        self.last_ticket += 1
        self.condition.notify_all()
        return self.last_ticket

    # --- the writer thread ---

    def _run(self) -> None:
        while self._wait_for_work():
            if not self._run_jobs():
                continue
            self._apply_batch()
            self.commit_began_at = time.monotonic()
            try:
                committed = self._commit()
                if not committed:
                    if self.closing:
                        return
                    time.sleep(RETRY_DELAY)
            finally:
                self.commit_began_at = 0.0
            if committed:
                self._report_durable()

    def _wait_for_work(self) -> bool:
        """Wait until there is work; return False if the thread should end."""
        with self.condition:
            while not (self.queue or self.closing or self.uncommitted or self.jobs):
                self.condition.wait()
            return bool(not self.closing or self.queue or self.uncommitted)

    def _run_jobs(self) -> bool:
        """Run all jobs; return False if one failed and must be retried before any write.

        While closing, records are written even if a job fails.
        """
        while self.jobs:
            try:
                self.jobs[0]()
            except (OSError, StoreError) as error:
                logger.error("store: writer thread failed before writing, retrying: {}", error)
                time.sleep(RETRY_DELAY)
                return self.closing
            self.jobs.popleft()
        return True

    def _apply_batch(self) -> None:
        with self.condition:
            if self.group:
                batch, self.queue = self.queue, []
            else:
                batch, self.queue = self.queue[:1], self.queue[1:]
        for record in batch:
            self.store.put(*record)
        self.uncommitted += len(batch)
        if batch and time.monotonic() >= self.next_retention_at:  # removals share the sync of this batch
            self.next_retention_at = time.monotonic() + RETENTION_INTERVAL
            self.store.apply_retention(batch[-1].timestamp)

    def _commit(self) -> bool:
        """Make all applied records durable; return False if the disk failed."""
        try:
            self.store.commit()
        except OSError as error:
            self.failure_count += 1
            if self.failure_count == 1:
                logger.error("store: commit failed, retrying: {}", error)
            return False
        if self.failure_count:
            logger.info("store: commit succeeded after {} failed attempts", self.failure_count)
            self.failure_count = 0
        self.sync_count += 1
        return True

    def _report_durable(self) -> None:
        with self.condition:
            self.durable_ticket += self.uncommitted
            self.uncommitted = 0
            self.condition.notify_all()
        if self.on_durable:
            self.on_durable(self.durable_ticket)
