"""Catch-up: the maximum age of a copy while the change log may hold purges that have not been read yet.

A purge takes effect for a gateway once it is in the change log. A gateway that starts, follows the log at
another address, has lost its connection, or reconnects to a log that had refused connections, does not know
the purges since then until it has read the log to its end. Until then it accepts only copies younger than
the grace period within which a purge must be applied: unread purges need not apply to those.

A heartbeat shows that no purge is unread: the log sends it when it has nothing newer. Time does not show it,
nor does a connection, which the operating system also accepts for a log that stands still; nor does an event,
as more may wait behind it; nor does a connection that is not answered in time, as the accept queue of a log
that stands still becomes full.

A refused connection shows that nothing listens there now, and not what the log held before: what it still had
to send when it broke off, stopped or was replaced counts as known some seconds later. So refused connections
lift the limit only once the log has been absent for so long that no copy from before such a purge is left.
"""

from __future__ import annotations

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

GRACE_SHARE = 0.5  # of the grace period; the rest covers the delay to the cache and clock differences
MIN_AGE: Ticks = 1  # 0 would mean any age

# By the protocol, what a log that broke off, stopped or was replaced still had to send counts as known
# within the first time, and whatever a log holds within the second one.
MAX_KNOWN_DELAY: Ticks = 4 * TICKS_PER_SECOND
MAX_KNOWN_DELAY_ABSENT: Ticks = 7 * TICKS_PER_SECOND


class CatchUp:
    """Tracks whether one gateway has read the change log to its end."""

    def __init__(self, purge_grace: Ticks, purge_lifetime: Ticks) -> None:
        """Start with nothing unread. `purge_grace`: the time within which a purge must be applied.
        `purge_lifetime`: the time after which no copy from before a purge is left."""
        self.max_age_unread = max(MIN_AGE, int(purge_grace * GRACE_SHARE))
        self.required_absence = MAX_KNOWN_DELAY + purge_lifetime
        # of a purge that enters an absent log, no earlier copy may be left once it counts as known
        self.absence_is_bounded = purge_lifetime <= MAX_KNOWN_DELAY_ABSENT
        self.unread_since: Ticks | None = None  # since when purges may be unread; None: all were read
        self.absent_since: Ticks | None = None  # since when nothing but refused connections was seen

    def interrupt(self, now: Ticks) -> None:
        """Limit ages from now on: what the log holds is not known any more, and there may be one."""
        self.absent_since = None
        if self.unread_since is None:
            self.unread_since = now

    def refuse(self, now: Ticks) -> bool:
        """Handle a refused connection: no log is there now. Lift the limit if the log has been absent for so
        long that no unread purge matters any more; return whether it was lifted."""
        if self.unread_since is None:
            return False
        if self.absent_since is None:
            self.absent_since = now
        if not self.absence_is_bounded or now - self.absent_since <= self.required_absence:
            return False
        self.end()
        return True

    def end(self) -> None:
        """Lift the limit: the log was read to its end."""
        self.unread_since = self.absent_since = None

    def max_age(self) -> Ticks:
        """Return the maximum age of a copy that no unread purge can apply to; 0: no limit."""
        return 0 if self.unread_since is None else self.max_age_unread
