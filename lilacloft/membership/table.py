"""Decides who is there, and owns the table of members.

Each member tells all planners of itself, with an incarnation that rises with each start; planners tell each
other what they have heard. A member that is not heard of is suspected, and is gone only once nobody whom one
hears has heard of it either: one bad path takes nobody away. Who hears that it is suspected refutes it with a
higher incarnation. A later incarnation is another process: all that was known of the earlier one is void.

The table is a persistent map: whoever reads it holds one whole version, however it changes meanwhile. No I/O;
times are of one's own steady clock, in tenths of a millisecond; what others have heard is told as an age.

Gossip among all (SWIM) was weighed against leases with planners: forwarders need not know of each other, and
a few planners hear of a thousand forwarders directly, four times a second; gossip would spare messages that
are sent anyway, as they carry the sights.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pyrsistent import PMap, pmap

ALIVE, SUSPECT, GONE, LEFT = "alive", "suspect", "gone", "left"
FORWARDER, PLANNER = "forwarder", "planner"
SILENT = 15_000  # without a word for so long a member is suspected
DEAD = 40_000  # and for so long, by anybody's word, it is gone
FORGET = 600_000  # and forgotten
OLDEST = 1 << 20  # what others say may not be older


@dataclass(frozen=True)
class Member:
    """One process, as it is known here."""

    name: str
    role: str
    incarnation: int
    zone: int = 0
    address: str = ""
    heard: int = 0  # when anybody last heard of it, in our time
    state: str = ALIVE
    since: int = 0  # of this state

    def same(self, other: Member) -> bool:
        return (self.name, self.incarnation) == (other.name, other.incarnation)


@dataclass(frozen=True)
class Change:
    """What has become of a member."""

    member: Member
    was: str  # its state before; empty: it was not known
    new: bool = False  # another process under its name


class Table:
    """One planner's members."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self.members: PMap[str, Member] = pmap()
        self.refuted = 0

    # --- what is heard ---

    def heard(
        self, name: str, role: str, incarnation: int, now: int, zone: int = 0, address: str = ""
    ) -> Change | None:
        """A member tells of itself. What is of an earlier process under its name is passed over."""
        return self._take(Member(name, role, incarnation, zone, address, now), now)

    def left(self, name: str, incarnation: int, now: int) -> Change | None:
        """A member says that it ends."""
        before = self.members.get(name)
        if before is None or before.incarnation > incarnation or before.state == LEFT:
            return None
        return self._set(Member(name, before.role, incarnation, before.zone, before.address, now, LEFT, now))

    def told(self, rows: Iterable[tuple[str, str, int, int, str, int, str]], now: int) -> list[Change]:
        """Another planner tells what it knows: name, role, incarnation, zone, address, age of what it has
        heard, state. Ages count from now: the way here only makes them too young by what it took, which DEAD
        leaves room for."""
        out = []
        for name, role, incarnation, zone, address, age, state in rows:
            if name == self.name:
                if state in (SUSPECT, GONE) and incarnation >= self.incarnation:
                    self.incarnation = incarnation + 1  # it is not so
                    self.refuted += 1
                continue
            if not 0 <= age < OLDEST:
                continue
            if state == LEFT:
                change = self.left(name, incarnation, now) if name in self.members else None
            else:
                change = self._take(Member(name, role, incarnation, zone, address, now - age), now)
            if change:
                out.append(change)
        return out

    def _take(self, member: Member, now: int) -> Change | None:
        before = self.members.get(member.name)
        if before is not None:
            if member.incarnation < before.incarnation or (
                member.incarnation == before.incarnation and before.state == LEFT
            ):
                return None
            if member.same(before) and member.heard <= before.heard:
                return None
        state = self._state(member.heard, now)
        if before is not None and member.same(before) and state == before.state:
            self.members = self.members.set(
                member.name,
                Member(
                    member.name,
                    member.role,
                    member.incarnation,
                    member.zone,
                    member.address or before.address,
                    member.heard,
                    state,
                    before.since,
                ),
            )
            return None
        if before is None and state == GONE:
            return None  # one that nobody has heard of for long is no news
        return self._set(
            Member(
                member.name,
                member.role,
                member.incarnation,
                member.zone,
                member.address,
                member.heard,
                state,
                now,
            )
        )

    def _set(self, member: Member) -> Change:
        before = self.members.get(member.name)
        self.members = self.members.set(member.name, member)
        return Change(member, before.state if before else "", before is not None and not member.same(before))

    @staticmethod
    def _state(heard: int, now: int) -> str:
        quiet = now - heard
        return ALIVE if quiet < SILENT else SUSPECT if quiet < DEAD else GONE

    # --- time ---

    def tick(self, now: int) -> list[Change]:
        """Who has been silent for too long."""
        out = []
        for name in sorted(self.members):
            member = self.members[name]
            if member.state == LEFT or member.state == GONE:
                if now - member.since >= FORGET:
                    self.members = self.members.remove(name)
                continue
            state = self._state(member.heard, now)
            if state != member.state:
                out.append(
                    self._set(
                        Member(
                            name,
                            member.role,
                            member.incarnation,
                            member.zone,
                            member.address,
                            member.heard,
                            state,
                            now,
                        )
                    )
                )
        return out

    # --- asking ---

    def alive(self, role: str) -> list[str]:
        """Names of those that are there, or at least not known to be gone."""
        return sorted(
            name
            for name, member in self.members.items()
            if member.role == role and member.state in (ALIVE, SUSPECT)
        )

    def rows(self, now: int) -> list[tuple[str, str, int, int, str, int, str]]:
        """What another planner is told."""
        return [
            (one.name, one.role, one.incarnation, one.zone, one.address, max(0, now - one.heard), one.state)
            for one in (self.members[name] for name in sorted(self.members))
        ]


def order(epochs: Mapping[str, tuple[int, int]]) -> str:
    """Of planners, by their epochs and numbers, whose plan holds: the highest epoch, then the highest number,
    then the first by name. The same everywhere, without asking anybody."""
    return min(epochs, key=lambda name: (-epochs[name][0], -epochs[name][1], name)) if epochs else ""
