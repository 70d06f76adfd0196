"""Group commit: many writers, one thread that syncs, each told when its record is down.

It decides nothing of what is kept. Whoever puts waits for a sync at most as long as it says; a disk that is
stuck holds up nobody longer, and the thread that waits for it goes on when it answers.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

from loguru import logger

from lilacloft.store.framing import StoreError
from lilacloft.store.log import Store

TRIM = 60.0  # seconds between two times at which what is too much or too old goes
AGAIN = 0.5  # seconds before a disk that failed is tried again


class Commits:
    """One store's writers. With `group` off every record has a sync of its own."""

    def __init__(self, store: Store, group: bool = True, told: Callable[[int], None] | None = None) -> None:
        self.store, self.group, self.tells = store, group, told
        self.change = threading.Condition()
        self.over = False
        self.jobs: deque[Callable[[], None]] = deque()
        self.syncs = self.failed = 0
        self.trims = 0.0  # when what is too much or too old goes next
        self.since = 0.0  # when the sync under way began; 0: none is
        self.asked: list[tuple[int, bytes, bytes | None, int]] = []
        self.told = 0  # records asked for so far
        self.down = 0  # of those, how many are down
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def ask(self, kind: int, key: bytes, value: bytes | None, stamp: int) -> int:
        """Ask for a record to be kept, without waiting; returns its ticket. Where the commits were made with
        `told`, that is called, in their thread, with the ticket up to which all are down."""
        with self.change:
            self.asked.append((kind, key, value, stamp))
            self.told += 1
            self.change.notify_all()
            return self.told

    def put(self, kind: int, key: bytes, value: bytes | None, stamp: int, wait: float = 0.0) -> bool:
        """Ask for a record to be kept; with a wait, until it is down. False where that is not yet known."""
        with self.change:
            self.asked.append((kind, key, value, stamp))
            self.told += 1
            mine = self.told
            self.change.notify_all()
            if wait <= 0:
                return self.down >= mine
            until = time.monotonic() + wait
            while self.down < mine:
                left = until - time.monotonic()
                if left <= 0 or self.over:
                    return False
                self.change.wait(left)
            return True

    def flush(self, wait: float) -> bool:
        """Until all that was asked for is down, for a while at most; False where it is not. Then nothing more
        is written until something more is asked for."""
        until = time.monotonic() + wait
        with self.change:
            while self.down < self.told:
                left = until - time.monotonic()
                if left <= 0:
                    return False
                self.change.wait(left)
            return True

    def do(self, what: Callable[[], None]) -> None:
        """Have the commits' thread do something with the store before it writes any more; tried again where
        the disk fails."""
        with self.change:
            self.jobs.append(what)
            self.change.notify_all()

    def stuck(self) -> float:
        """For how many seconds the disk has not answered; 0 where nothing is asked of it."""
        since = self.since
        return time.monotonic() - since if since else 0.0

    def close(self, wait: float = 5.0) -> None:
        """Commit what waits, for a while at most."""
        with self.change:
            self.over = True
            self.change.notify_all()
        self.thread.join(wait)

    def _does(self) -> bool:
        """Do what there is to do first; at the end what waits is written all the same."""
        while self.jobs:
            try:
                self.jobs[0]()
            except (OSError, StoreError) as wrong:
                logger.error("store: {}", wrong)
                time.sleep(AGAIN)
                return self.over
            self.jobs.popleft()
        return True

    def _run(self) -> None:
        owed = 0  # records that the store has and could not get down
        while True:
            with self.change:
                while not (self.asked or self.over or owed or self.jobs):
                    self.change.wait()
                if self.over and not self.asked and not owed:
                    return
            if not self._does():
                continue
            with self.change:
                batch, self.asked = (self.asked, []) if self.group else (self.asked[:1], self.asked[1:])
            for kind, key, value, stamp in batch:
                self.store.put(kind, key, value, stamp)
            owed += len(batch)
            if batch and time.monotonic() >= self.trims:  # what goes is written with this very commit
                self.trims = time.monotonic() + TRIM
                self.store.trim(batch[-1][3])
            self.since = time.monotonic()
            try:
                self.store.commit()
            except OSError as wrong:
                self.failed += 1
                if self.failed == 1:
                    logger.error("store: {}", wrong)
                if self.over:
                    return
                time.sleep(AGAIN)
                continue
            finally:
                self.since = 0.0
            if self.failed:
                logger.info("store: the disk takes records again, after {} failures", self.failed)
                self.failed = 0
            self.syncs += 1
            with self.change:
                self.down += owed
                owed = 0
                self.change.notify_all()
            if self.tells:
                self.tells(self.down)
