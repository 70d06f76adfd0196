"""Histograms of lags: how long work that was due or ready waited until this process handled it.

A process that gets too little processor time may be late in any of its threads. One histogram per kind of
work shows in which.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from dataclasses import dataclass, field

from lilacloft.routing.units import TICKS_PER_MILLISECOND, Ticks

BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000)  # upper bounds of all buckets but the last
_BOUNDS = tuple(bound * TICKS_PER_MILLISECOND for bound in BOUNDS_MS)


class LagHistogram:
    """The lags of one kind of work. Any thread may record lags."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.longest: Ticks = 0
        self._lock = threading.Lock()

    def record(self, lag: Ticks) -> None:
        """Record one lag."""
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

    events: LagHistogram = field(default_factory=LagHistogram)  # from being posted to being run
    timers: LagHistogram = field(default_factory=LagHistogram)  # from being due to being run
    reads: LagHistogram = field(default_factory=LagHistogram)  # from a request's last byte until it is parsed
    writes: LagHistogram = field(default_factory=LagHistogram)  # of delayed messages, until their first byte
