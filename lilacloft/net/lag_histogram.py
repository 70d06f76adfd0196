"""Histograms of lags: how long something that was due, or there, waited until this process came to it.

A process that gets too little processor time is late in each of its threads. One histogram a kind of work
tells which of them was.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from dataclasses import dataclass, field

from lilacloft.routing.units import TICKS_PER_MILLISECOND, Ticks

BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000)  # upper bounds of the buckets but the last
_BOUNDS = tuple(bound * TICKS_PER_MILLISECOND for bound in BOUNDS_MS)


class LagHistogram:
    """The lags of one kind of work. Any thread may record one."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.longest: Ticks = 0
        self._lock = threading.Lock()

    def record(self, lag: Ticks) -> None:
        """Count one lag."""
        with self._lock:
            self.counts[bisect_left(_BOUNDS, lag)] += 1
            if lag > self.longest:
                self.longest = lag

    def summary(self) -> dict[str, int]:
        """Return the counts by their buckets' names, and the longest lag in milliseconds."""
        names = [*(f"to_{bound}ms" for bound in BOUNDS_MS), f"over_{BOUNDS_MS[-1]}ms"]
        counts = dict(zip(names, self.counts, strict=True))
        return {**counts, "longest_ms": -(-self.longest // TICKS_PER_MILLISECOND)}


@dataclass(frozen=True, slots=True)
class GatewayLags:
    """The lags of one gateway process, by kind of work."""

    events: LagHistogram = field(default_factory=LagHistogram)  # from being posted to being taken
    timers: LagHistogram = field(default_factory=LagHistogram)  # from being due to being run
    reads: LagHistogram = field(default_factory=LagHistogram)  # from a request's last byte to being parsed
    writes: LagHistogram = field(default_factory=LagHistogram)  # of what had to wait, to its first byte
