"""The membership table: which gateways and planners are alive, and the incarnation of each.

Each member sends heartbeats to all planners, with an incarnation that increases with each start; planners
exchange the heartbeats that they have received by gossip. A member without a recent heartbeat is suspected,
and counts as dead only once no other reachable planner has heard from it either, so that one bad network path
does not remove a member. A planner that learns that it is suspected refutes this with a higher incarnation. A
later incarnation is a new process: all state of the earlier one is void.

The table is a persistent map: a reader keeps a consistent version while the table changes. The module does no
I/O; times are `Ticks` of the caller's monotonic clock. Gossip carries ages, as no two clocks are compared.
The protocol is a lease with each planner rather than SWIM among all members: gateways send their load reports
to each planner anyway, and a report is the heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from pyrsistent import PMap, pmap

from lilacloft.routing.units import Ticks

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "gone", "left"  # values on the wire
FORWARDER, PLANNER = "forwarder", "planner"  # roles: values on the wire
SUSPECT_AFTER: Ticks = 15_000  # without a heartbeat
DEAD_AFTER: Ticks = 40_000  # without a heartbeat at any reachable planner
FORGET_AFTER: Ticks = 600_000  # in the state DEAD or LEFT
MAX_AGE: Ticks = 1 << 20  # of a heartbeat reported by another planner; rows with higher ages are ignored


@dataclass(frozen=True)
class Member:
    """One member, as known to this planner."""

    name: str
    role: str
    incarnation: int
    zone: int = 0
    address: str = ""
    last_heartbeat: Ticks = 0  # the latest heartbeat at any planner, by this planner's clock
    state: str = ALIVE
    state_since: Ticks = 0

    def is_same_process(self, other: Member) -> bool:
        """Return whether both are the same incarnation of the same name."""
        return (self.name, self.incarnation) == (other.name, other.incarnation)


class MemberRow(NamedTuple):
    """The entry of one member in gossip."""

    name: str
    role: str
    incarnation: int
    zone: int
    address: str
    age: Ticks  # of its last heartbeat
    state: str


@dataclass(frozen=True)
class MembershipChange:
    """A change of a member's state."""

    member: Member
    previous_state: str  # empty if the member was unknown
    is_new_process: bool = False  # whether a known name has a new incarnation


class MemberTable:
    """The members known to one planner."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self.members: PMap[str, Member] = pmap()
        self.refutations = 0

    # --- updates ---

    def record_heartbeat(
        self, name: str, role: str, incarnation: int, now: Ticks, zone: int = 0
    ) -> MembershipChange | None:
        """Record a heartbeat; one of an earlier incarnation is ignored."""
        return self._merge_member(Member(name, role, incarnation, zone, last_heartbeat=now), now)

    def record_leave(self, name: str, incarnation: int, now: Ticks) -> MembershipChange | None:
        """Record that a member has announced its exit."""
        before = self.members.get(name)
        if before is None or before.incarnation > incarnation or before.state == LEFT:
            return None
        return self._set(Member(name, before.role, incarnation, before.zone, before.address, now, LEFT, now))

    def merge(self, rows: Iterable[MemberRow], now: Ticks) -> list[MembershipChange]:
        """Merge the rows of another planner's gossip. Ages count from the receipt, so heartbeats appear more
        recent by the message's delay; `DEAD_AFTER` includes a margin for that."""
        changes = []
        for row in rows:
            if row.name == self.name:
                self._refute(row)
                continue
            change = self._merge_row(row, now)
            if change:
                changes.append(change)
        return changes

    def _refute(self, row: MemberRow) -> None:
        if row.state in (SUSPECT, DEAD) and row.incarnation >= self.incarnation:
            self.incarnation = row.incarnation + 1
            self.refutations += 1

    def _merge_row(self, row: MemberRow, now: Ticks) -> MembershipChange | None:
        if not 0 <= row.age < MAX_AGE:
            return None
        if row.state == LEFT:
            return self.record_leave(row.name, row.incarnation, now)
        member = Member(row.name, row.role, row.incarnation, row.zone, row.address, now - row.age)
        return self._merge_member(member, now)

    def _merge_member(self, member: Member, now: Ticks) -> MembershipChange | None:
        before = self.members.get(member.name)
        if before is not None and self._is_outdated(member, before):
            return None
        state = self._state(member.last_heartbeat, now)
        if before is not None and member.is_same_process(before) and state == before.state:
            updated = replace(
                member, address=member.address or before.address, state=state, state_since=before.state_since
            )
            self.members = self.members.set(member.name, updated)
            return None
        if before is None and state == DEAD:
            return None
        return self._set(replace(member, state=state, state_since=now))

    @staticmethod
    def _is_outdated(member: Member, before: Member) -> bool:
        if member.incarnation < before.incarnation:
            return True
        if member.incarnation == before.incarnation and before.state == LEFT:
            return True
        return member.is_same_process(before) and member.last_heartbeat <= before.last_heartbeat

    def _set(self, member: Member) -> MembershipChange:
        before = self.members.get(member.name)
        self.members = self.members.set(member.name, member)
        is_new_process = before is not None and not member.is_same_process(before)
        return MembershipChange(member, before.state if before else "", is_new_process)

    @staticmethod
    def _state(last_heartbeat: Ticks, now: Ticks) -> str:
        silent_for = now - last_heartbeat
        if silent_for < SUSPECT_AFTER:
            return ALIVE
        return SUSPECT if silent_for < DEAD_AFTER else DEAD

    def expire(self, now: Ticks) -> list[MembershipChange]:
        """Update the state of members without recent heartbeats, and forget those long dead or left."""
        changes = []
        for name in sorted(self.members):
            member = self.members[name]
            if member.state in (LEFT, DEAD):
                if now - member.state_since >= FORGET_AFTER:
                    self.members = self.members.remove(name)
                continue
            state = self._state(member.last_heartbeat, now)
            if state != member.state:
                changes.append(self._set(replace(member, state=state, state_since=now)))
        return changes

    # --- queries ---

    def alive(self, role: str) -> list[str]:
        """Return the names of the members of a role that are alive or suspected."""
        return sorted(
            name
            for name, member in self.members.items()
            if member.role == role and member.state in (ALIVE, SUSPECT)
        )

    def export_rows(self, now: Ticks) -> list[MemberRow]:
        """Return the rows to send to other planners in gossip."""
        return [
            MemberRow(
                member.name,
                member.role,
                member.incarnation,
                member.zone,
                member.address,
                max(0, now - member.last_heartbeat),
                member.state,
            )
            for member in (self.members[name] for name in sorted(self.members))
        ]


def preferred_planner(versions: Mapping[str, tuple[int, int]]) -> str:
    """Return the planner whose plan has precedence, given the epoch and plan number of each: the one with the
    highest epoch, then the highest number, then the first name. The result is the same everywhere without
    coordination."""
    if not versions:
        return ""
    return min(versions, key=lambda name: (-versions[name][0], -versions[name][1], name))
