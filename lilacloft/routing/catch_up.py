"""Catch-up: how old a copy may be while the change log may hold purges that were not read yet.

A purge counts as told once it is in the change log. A gateway that starts, or follows the log at another
address, cannot know of purges that its configuration has not before it has read the log to its end. Until
then it accepts only copies that are younger than the grace within which a purge must be heeded: no purge
counts against those yet.

That costs fills, so it has an end: at once where a connection to the log is refused or not made in time, as
it cannot be read then; `MAX_UNTOLD_TIME` after a connection was made, as a healthy log tells at once what has
waited, though it shows its end only with its first heartbeat; otherwise after `MAX_LIMITED_TIME`. A
connection that is made anew limits nothing: while there was none nothing could be known.
"""

from __future__ import annotations

from lilacloft.routing.units import Ticks

MAX_LIMITED_TIME: Ticks = 30_000
MAX_UNTOLD_TIME: Ticks = 1_000  # from a connection until what had waited in the log has come
GRACE_SHARE = 0.5  # of the grace; the rest is for the way to the cache, and for clocks that differ
MIN_AGE: Ticks = 1  # 0 would mean any age


class CatchUp:
    """How far one gateway has come in reading the change log."""

    def __init__(self, purge_grace: Ticks) -> None:
        """Start with nothing unread. `purge_grace`: within which a purge must be heeded."""
        self.max_age_unread = max(MIN_AGE, int(purge_grace * GRACE_SHARE))
        self.limited_until: Ticks = 0

    def begin(self, now: Ticks) -> None:
        """The log is read from now on: the gateway starts, or follows the log at another address."""
        self.limited_until = now + MAX_LIMITED_TIME

    def connected(self, now: Ticks) -> None:
        """A connection to the log was made: what has waited there comes now."""
        self.limited_until = min(self.limited_until, now + MAX_UNTOLD_TIME)

    def end(self) -> None:
        """The log was read to its end, or cannot be read now."""
        self.limited_until = 0

    def max_age(self, now: Ticks) -> Ticks:
        """Return the age of the oldest copy that no unread purge counts against; 0: any."""
        return self.max_age_unread if now < self.limited_until else 0
