"""Catch-up: how old a copy may be while the change log may hold purges that were not read yet.

A purge counts as told once it is in the change log. A gateway that starts, reconnects, or follows the log at
another address cannot know of purges before it has read the log to its end. Until then it accepts only copies
that are younger than the grace within which a purge must be heeded: no purge counts against those yet.

That costs fills, so it has an end: at once while connections to the log are refused or not made in time, as
it cannot be read then; otherwise after `MAX_LIMITED_TIME` in all. A log that neither refuses nor tells
anything would else have every cache filled anew for as long.
"""

from __future__ import annotations

from lilacloft.routing.units import Ticks

# a silent connection is given up after two seconds, and the next one has its first heartbeat within one
MAX_LIMITED_TIME: Ticks = 30_000
GRACE_SHARE = 0.5  # of the grace; the rest is for the way to the cache, and for clocks that differ
MIN_AGE: Ticks = 1  # 0 would mean any age


class CatchUp:
    """How far one gateway has come in reading the change log."""

    def __init__(self, purge_grace: Ticks) -> None:
        """Start with nothing unread. `purge_grace`: within which a purge must be heeded."""
        self.max_age_unread = max(MIN_AGE, int(purge_grace * GRACE_SHARE))
        self.is_caught_up = True
        self.time_left: Ticks = 0  # for which ages may still be limited, as of `limited_from`
        self.limited_from: Ticks | None = None  # None: they are not limited now

    def begin(self, now: Ticks) -> None:
        """The log is read from now on: the gateway starts, or follows the log at another address."""
        self.is_caught_up = False
        self.time_left, self.limited_from = MAX_LIMITED_TIME, now

    def interrupted(self, now: Ticks) -> None:
        """The connection to the log has ended. One that had not caught up wins no new time."""
        if self.is_caught_up:
            self.begin(now)

    def unreachable(self, now: Ticks) -> None:
        """A connection to the log was refused, or not made in time: it cannot be read now."""
        if self.limited_from is not None:
            self.time_left = max(0, self.time_left - (now - self.limited_from))
            self.limited_from = None

    def connected(self, now: Ticks) -> None:
        """There is a connection to the log, so that it can be read again."""
        if not self.is_caught_up and self.limited_from is None:
            self.limited_from = now

    def caught_up(self) -> None:
        """The log was read to its end."""
        self.is_caught_up, self.limited_from = True, None

    def max_age(self, now: Ticks) -> Ticks:
        """Return the age of the oldest copy that no unread purge counts against; 0: any."""
        if self.limited_from is None or now - self.limited_from >= self.time_left:
            return 0
        return self.max_age_unread
