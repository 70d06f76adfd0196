"""Decides for the supervisor when a worker is restarted, which worker gets signals, and when to exit.

A worker is a gateway process under the supervisor. This module does no I/O, and gets the time from
`WatchdogActions.now`. Times are monotonic seconds as floats.
"""

from __future__ import annotations

import math
from typing import Protocol

from lilacloft.errors import UNUSABLE

STABLE_AFTER_SECONDS = 1.0  # a worker that has served for so long is restarted without backoff
INITIAL_BACKOFF_SECONDS = 0.25  # doubled for each consecutive failed start
MAX_BACKOFF_SECONDS = 8.0
MAX_FAILED_STARTS = 6  # consecutive; after more the supervisor exits
EXIT_FAILED = 1


class WatchdogActions(Protocol):
    """The actions of a `WorkerWatchdog`."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def start_worker(self) -> int:
        """Start a worker on the listener; returns its process id, or 0 if it cannot be started."""

    def send_signal(self, pid: int, name: str) -> None:
        """Send a signal to a worker: TERM, HUP or USR1."""

    def exit(self, code: int) -> None:
        """End the supervisor with a code."""

    def log(self, text: str) -> None:
        """Log a decision."""


class WorkerWatchdog:
    """The decisions of one supervisor. When a worker is replaced, its successor is supervised."""

    def __init__(self, actions: WatchdogActions) -> None:
        self.actions = actions
        self.gateway = 0  # pid of the worker that is the gateway; 0: none
        self.gateway_since = 0.0
        self.failed_starts = 0  # consecutive
        self.is_serving = False  # has the current worker reported that it serves?
        self.has_served = False  # has any worker served?
        self.start_at = math.inf  # when the next worker is to be started
        self.is_stopping = False
        self.has_exited = False
        self.stopped_workers: set[int] = set()  # workers that were sent SIGTERM
        self.replaced_workers: set[int] = set()  # that have not exited: they may be finishing requests

    def start_first_worker(self) -> None:
        """Start the first worker."""
        self._start_worker()

    def worker_serving(self, pid: int) -> None:
        """Handle a worker's report that it serves as the gateway. A worker reports this after its start,
        after it has taken over in an upgrade, and when it continues after a failed upgrade."""
        if pid != self.gateway or not self.is_serving:
            after = f" after {self.gateway}" if self.gateway not in (0, pid) else ""
            self.actions.log(f"worker {pid} is the gateway{after}")
        if self.gateway and self.is_serving:
            self.replaced_workers.add(self.gateway)
        self.replaced_workers.discard(pid)
        self.gateway = pid
        self.gateway_since = self.actions.now()
        self.has_served = self.is_serving = True
        self.failed_starts = 0
        self.start_at = math.inf
        if self.is_stopping:
            self._stop_worker()

    def worker_exited(self, pid: int, code: int) -> None:
        """A process has exited. `code`: its exit code, or minus the number of the signal that killed it.

        Only the exit of the gateway matters: other processes were replaced, or never became the gateway.
        """
        self.replaced_workers.discard(pid)
        if pid != self.gateway or self.has_exited:
            return
        self.gateway = 0
        if self.is_stopping or code == 0:
            return self._exit(code if code >= 0 else EXIT_FAILED)
        if code == UNUSABLE and not self.has_served:
            return self._exit(code)
        self.failed_starts += not self.is_serving
        if self.failed_starts > MAX_FAILED_STARTS:
            self.actions.log(f"more than {MAX_FAILED_STARTS} consecutive starts failed")
            return self._exit(EXIT_FAILED)
        now = self.actions.now()
        was_stable = self.is_serving and now - self.gateway_since >= STABLE_AFTER_SECONDS
        pause = 0.0 if was_stable else self._backoff()
        self.actions.log(f"worker {pid} exited with code {code}; restarting in {pause:g} s")
        self.start_at = now + pause
        return self.start_if_due()

    def signal_received(self, name: str) -> None:
        """The supervisor has received a signal: TERM, HUP or USR1."""
        if name == "TERM":
            self.is_stopping = True
            if not self.gateway:
                return self._exit(0)
            return self._stop_worker()
        if name == "HUP":  # a replaced worker follows the change log until it exits
            for pid in sorted(self.replaced_workers):
                self.actions.send_signal(pid, name)
        if self.gateway:
            self.actions.send_signal(self.gateway, name)
        return None

    def start_if_due(self) -> None:
        """Start a worker if its start is due."""
        if self.actions.now() >= self.start_at and not self.has_exited:
            self._start_worker()

    def seconds_until_start(self) -> float:
        """Return the seconds until the next start is due; infinite if none is planned."""
        return max(0.0, self.start_at - self.actions.now())

    def _backoff(self) -> float:
        """Return the seconds to wait before the next start, by the number of failed starts."""
        return min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**self.failed_starts)

    def _start_worker(self) -> None:
        self.start_at = math.inf
        self.gateway_since = self.actions.now()
        self.is_serving = False
        self.gateway = self.actions.start_worker()
        if self.gateway:
            return
        self.failed_starts += 1
        if self.failed_starts > MAX_FAILED_STARTS:
            self._exit(EXIT_FAILED)
        else:
            self.start_at = self.actions.now() + self._backoff()

    def _stop_worker(self) -> None:
        if self.gateway not in self.stopped_workers:
            self.stopped_workers.add(self.gateway)
            self.actions.send_signal(self.gateway, "TERM")

    def _exit(self, code: int) -> None:
        self.has_exited = True
        self.start_at = math.inf
        self.actions.exit(code)
