"""Catch-up: the maximum age of a copy while the change log may hold purges that have not been read yet.

A purge takes effect for a gateway once it is in the change log. A gateway that starts, follows the log at
another address, has lost its connection, or reconnects to a log that had refused connections, does not know
the purges since then until it has read the log to its end. Until then it accepts only copies younger than
the grace period within which a purge must be applied: unread purges need not apply to those.

Two things show that no purge is unread: a heartbeat, which the log sends when it has nothing newer, and a
refused connection, as nothing listens there. Time does not show it, nor does a connection, which the
operating system also accepts for a log that stands still; nor does an event, as more may wait behind it; nor
does a connection that is not answered in time, as the accept queue of a log that stands still becomes full.
"""

from __future__ import annotations

from lilacloft.routing.units import Ticks

GRACE_SHARE = 0.5  # of the grace period; the rest covers the delay to the cache and clock differences
MIN_AGE: Ticks = 1  # 0 would mean any age


class CatchUp:
    """Tracks whether one gateway has read the change log to its end."""

    def __init__(self, purge_grace: Ticks) -> None:
        """Start with nothing unread. `purge_grace`: the time within which a purge must be applied."""
        self.max_age_unread = max(MIN_AGE, int(purge_grace * GRACE_SHARE))
        self.unread_since: Ticks | None = None  # since when purges may be unread; None: all were read

    def interrupt(self, now: Ticks) -> None:
        """Limit ages from now on: what the log holds is not known any more."""
        if self.unread_since is None:
            self.unread_since = now

    def end(self) -> None:
        """Lift the limit: the log was read to its end, or there is none now."""
        self.unread_since = None

    def max_age(self) -> Ticks:
        """Return the maximum age of a copy that no unread purge can apply to; 0: no limit."""
        return 0 if self.unread_since is None else self.max_age_unread
