"""Adaptive concurrency limits: how many attempts may be in flight, learned from the answers that come late.

Work that could only be late is rejected early instead of queueing at a backend.
"""

from __future__ import annotations

import math

from lilacloft.routing.units import Ticks

INITIAL_FACTOR = (
    2.0  # a limit starts at this multiple of what runs at full rate: a target bears half the rate
)
CUT_FACTOR = 0.7  # what a limit is cut to; half would overshoot, as answers lag behind the load
TOLERATED_LATE_SHARE = 0.2  # what an ordinary spread of sizes and speeds leaves
LATE_WEIGHT = 1 / 8  # weight of one answer in the share of late ones


class AdaptiveLimit:
    """A limit on the attempts of this gateway in flight to one backend, or through one link.

    Good answers widen it while it is used, late ones cut it. Where fewer at once cure nothing it falls below
    one: attempts then pause between each other, so that many gateways together send few.
    """

    def __init__(self, limit: float, minimum: float) -> None:
        """Start at a limit; it is never cut below `minimum`."""
        self.limit = limit
        self.minimum = minimum
        self.in_flight = 0
        self.late_share = 0.0
        self.next_cut_at: Ticks = 0
        self.last_ended_at: Ticks = 0
        self.last_duration: Ticks = 0
        self.ceiling = math.inf  # set by a plan

    def allows(self, weight: float, now: Ticks) -> bool:
        """Return whether one more attempt may go out. `weight` widens the limit for work of more value."""
        limit = min(self.limit, self.ceiling) * weight
        return self.in_flight < limit and (
            limit >= 1 or now >= self.last_ended_at + self.last_duration * (1 / limit - 1)
        )

    def record(self, late: bool, now: Ticks, duration: Ticks, cut_interval: Ticks) -> None:
        """Take in an answer. At most one cut an interval, as all attempts in flight show the same load."""
        self.late_share += (late - self.late_share) * LATE_WEIGHT
        self.last_ended_at, self.last_duration = now, duration
        if not late:
            if self.in_flight + 1 >= self.limit / 2:
                self.limit += min(self.limit / 2, 1 / self.limit)
        elif self.late_share > TOLERATED_LATE_SHARE and now >= self.next_cut_at:
            self.limit = max(self.minimum, CUT_FACTOR * min(self.limit, self.in_flight + 1))
            self.next_cut_at = now + cut_interval
