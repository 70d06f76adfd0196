"""The margin for this gateway's own lag: how much before the deadline a gateway that is short of processor
time gives its final answers, and how much it adds to the age of requests whose arrival time is unknown.

A process that lags does everything late by its lag, so an answer due exactly at the deadline would be late.
The most recent lag is the best estimate of the next one.
"""

from __future__ import annotations

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

LAG_MEMORY: Ticks = 5 * TICKS_PER_SECOND  # a lag counts in its interval of this length and in the next one
MAX_MARGIN_SHARE = 0.5  # of the time that a request has; the rest is left for the backends


class LagMargin:
    """The longest recent lag.

    All times are by one clock. One thread records; any thread may read."""

    def __init__(self) -> None:
        self.interval = 0  # number of the interval in which a lag was last recorded
        self.longest: Ticks = 0  # in that interval
        self.previous_longest: Ticks = 0  # in the preceding interval; 0 if none was recorded

    def record(self, lag: Ticks, now: Ticks) -> None:
        """Record how late something was done."""
        interval = now // LAG_MEMORY
        if interval != self.interval:
            self.previous_longest = self.longest if interval == self.interval + 1 else 0
            self.longest, self.interval = 0, interval
        self.longest = max(self.longest, lag)

    def current(self, now: Ticks) -> Ticks:
        """Return the expected lag."""
        age = now // LAG_MEMORY - self.interval
        if age == 0:
            return max(self.longest, self.previous_longest)
        return self.longest if age == 1 else 0

    def answer_by(self, arrived_at: Ticks, deadline: Ticks, lag: Ticks) -> Ticks:
        """Return the latest time to answer a request so that the answer reaches the client by its deadline.
        `lag`: the expected lag."""
        max_margin = int(max(0, deadline - arrived_at) * MAX_MARGIN_SHARE)
        return deadline - min(lag, max_margin)
