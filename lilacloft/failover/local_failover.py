"""Decides what one forwarder does of what is decided of locations, and how it goes on where nobody decides.

While a plan holds, its word is kept: less at home at once, more only as fast as the plan's own pace says, so
that a plan that jumps (another planner's, an old one, one that comes late or twice) moves nobody in a jump.

Without one, a location that is away stays away until this forwarder has seen for itself that it answers: it
tries it in its own turns (one of N, as there are N forwarders, so that about one at a time tries), and is
back slice by slice, in the order that all have, at no more than `SLICES` in the span in which a be grows
warm. As all go the same way no faster than that, all together ask a location of age a for no more than a
slice and the part a / warm of its demand, which is below what its bes can do then wherever they bear their
demand warm. A failure takes all back, and the next proof is three times as long.

No I/O; times of its own steady clock, in tenths of a millisecond.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.failover import failover_state
from lilacloft.failover.failover_state import BAD, FEWEST, LATE, MANY, PROOF, TURN, WELLS, Tally, Told
from lilacloft.failover.hash_slices import PAST, SLICES, away, target

GAP = 1_000  # between two trials at least, where the last one was answered


@dataclass
class Left:
    """What the decision module asks of one location; it holds no time of its own."""

    zone: int
    back: int = 0
    tries: bool = False  # this forwarder may try it now
    next: int = 0  # when the next trial may go, in the module's time
    to: tuple[tuple[int, float], ...] = ()

    def is_away(self, place: str, harmless: bool, now: int) -> bool:
        """Is an object not to be asked for there? A trial is: one at a time, of a req whose repeat harms
        nobody."""
        if not away(place, self.zone, self.back):
            return False
        if self.tries and harmless and now >= self.next:
            self.next = now + TURN
            return False
        return True

    def substitute(self, place: str) -> int:
        """The location that takes an object which is away; PAST: none, it goes past the caches."""
        return target(place, self.to) if self.to else PAST

    @property
    def canaries_only(self) -> bool:
        """Do only trials go there?"""
        return self.back == 0


@dataclass
class Own:
    """One location as this forwarder has it."""

    left: Left
    rate: float = 4.0
    fails: int = 0
    raised: int = 0  # when more went home last, or could have
    credit: float = 0.0  # slices that its pace has earned
    well: int = 0  # answers in a row, as it goes on alone
    proven: int = 0
    proved: int = 0
    seen: Tally = field(default_factory=Tally)  # since the last step alone
    alone: bool = False


class Keeper:
    """One forwarder's."""

    def __init__(self, name: str, forwarders: int, warm: int) -> None:
        """`forwarders`: of its location; `warm`: the span in which a be grows warm."""
        self.name, self.many, self.rate = name, max(1, forwarders), SLICES * 10_000 / max(1, warm)
        self.slot = zlib.crc32(name.encode()) % self.many
        self.own: dict[int, Own] = {}
        self.tallies: dict[int, Tally] = {}
        self.kept = 0  # jumps that were not made

    # --- what is seen ---

    def ended(self, zone: int, how: str, hit: bool, now: int, time: int) -> None:
        """A dispatch at a location's be is over: well, late or failed. `time`: the module's."""
        one = Tally(*(int(how == word) for word in ("well", "late", "failed")), int(hit and how != "failed"))
        self.tallies[zone] = self.tallies.get(zone, Tally()).plus(one)
        own = self.own.get(zone)
        if own is None:
            return
        own.seen = own.seen.plus(one)
        own.left.next = min(own.left.next, time + GAP)
        if how == "failed":
            own.well = 0
        else:
            own.proven = own.proven if own.well else now
            own.well += 1
            own.proved = now

    def holds(self) -> dict[int, tuple[int, int]]:
        """What it keeps to, for whoever decides next: by location, slices at home and returns that failed."""
        return {zone: (own.left.back, own.fails) for zone, own in sorted(self.own.items())}

    # --- what holds ---

    def look(self, told: Mapping[int, Told] | None, now: int) -> dict[int, Left]:
        """What holds now; `told` is what the plan says, none where no plan holds."""
        for zone, one in sorted((told or {}).items()):
            if zone not in self.own and one.back < SLICES:
                self.own[zone] = Own(Left(zone), raised=now)
        for zone, own in sorted(self.own.items()):
            if told is None:
                self._alone(own, now)
            else:
                own.alone = False
                self._follow(own, told.get(zone), now)
        for zone in [zone for zone, own in self.own.items() if own.left.back >= SLICES and not own.fails]:
            del self.own[zone]
        return {zone: own.left for zone, own in self.own.items() if own.left.back < SLICES}

    def _follow(self, own: Own, told: Told | None, now: int) -> None:
        left = own.left
        if told is None:
            goal, left.tries = SLICES, False
        else:
            goal, own.rate, own.fails = told.back, max(0.01, told.rate), told.fails
            left.tries, left.to = told.trial == self.name, told.to
        if goal <= left.back:
            left.back, own.credit, own.raised = goal, 0.0, now
            if told is None:
                own.fails = 0
            return
        # no more than what half a second earns at once: who was not asked for long makes no jump either
        earned = own.rate * max(0, now - own.raised) / 10_000
        own.credit = min(own.credit + earned, max(1.0, own.rate / 2))
        own.raised = now
        more = min(int(own.credit), goal - left.back)
        self.kept += more < goal - left.back
        left.back += more
        own.credit -= more

    def _alone(self, own: Own, now: int) -> None:
        left = own.left
        if not own.alone:
            own.alone, own.well, own.seen, own.raised = True, 0, Tally(), now
            left.to = ()  # nobody knows any more who bears it
        if left.back >= SLICES:
            own.fails = 0
            return
        seen = own.seen
        if (
            left.back
            and (seen.ended() >= FEWEST or seen.ended() == seen.failed)
            and seen.failed > BAD * seen.ended()
        ):
            left.back, own.well, own.seen, own.raised = 0, 0, Tally(), now
            own.fails = min(MANY, own.fails + 1)
            return
        left.tries = left.back == 0 and (now // TURN) % self.many == self.slot
        if left.back == 0:
            if (
                own.well < WELLS
                or own.proved - own.proven < PROOF * 3**own.fails
                or now - own.raised < failover_state.LEAST << own.fails
            ):
                return
        elif now - own.raised < 10_000 / self.rate:
            return
        elif seen.late > LATE * seen.ended():
            own.seen, own.raised = Tally(), now
            return
        left.back, own.raised, own.seen = left.back + 1, now, Tally()
