"""Cache storage of an emulated server, with eviction by rank and recency.

A copy has a rank, 0 to 2, given by the request that filled it. When space runs out the lowest rank is evicted
first, and within a rank the least recently used copy. The age of a copy counts from when the origin served
it (`born`), whichever caches it passed through since. No I/O; times in tenths of a millisecond, sizes in KB.
"""

from __future__ import annotations

from dataclasses import dataclass

Place = tuple[str, int]  # object key and part number


@dataclass(slots=True)
class Copy:
    """A cached object part."""

    born: int
    rank: int
    kbytes: float
    group: int = 0


class Copies:
    """All copies of one server."""

    def __init__(self, room: float) -> None:
        self.room, self.used = room, 0.0
        self.ranks: tuple[dict[Place, Copy], ...] = ({}, {}, {})  # least recently used first
        self.evicted = 0

    def get(self, place: Place, oldest: int) -> Copy | None:
        """Return a copy served by the origin at `oldest` or later, and mark it as used."""
        for rank in self.ranks:
            copy = rank.get(place)
            if copy is not None:
                if copy.born < oldest:
                    return None
                del rank[place]
                self.ranks[copy.rank][place] = copy
                return copy
        return None

    def peek(self, place: Place) -> Copy | None:
        """Return a copy without marking it as used."""
        return next((rank[place] for rank in self.ranks if place in rank), None)

    def put(self, place: Place, born: int, rank: int, kbytes: float, group: int) -> bool:
        """Store a copy, replacing an older one; return False if it exceeds the capacity or is older."""
        rank = min(max(rank, 0), 2)
        held = self.peek(place)
        if kbytes > self.room or (held is not None and held.born > born):
            return False
        if held is not None:
            self.drop(place)
            rank = max(rank, held.rank)
        self.ranks[rank][place] = Copy(born, rank, kbytes, group)
        self.used += kbytes
        while self.used > self.room:
            victim = self._victim(place)
            self.drop(victim)
            self.evicted += 1
        return True

    def _victim(self, exempt: Place) -> Place:
        for rank in self.ranks:
            for place in rank:
                if place != exempt:
                    return place
        return exempt

    def drop(self, place: Place) -> None:
        """Remove a copy, if there is one."""
        for rank in self.ranks:
            copy = rank.pop(place, None)
            if copy is not None:
                self.used = max(0.0, self.used - copy.kbytes)

    def purge(self, key: str, group: int, at: int) -> int:
        """Remove copies older than a purge of an object or, without a key, of a purge group."""
        gone = [
            place
            for rank in self.ranks
            for place, copy in rank.items()
            if copy.born < at and (place[0] == key if key else copy.group == group)
        ]
        for place in gone:
            self.drop(place)
        return len(gone)

    def clear(self) -> None:
        """Remove all copies, as when the server restarts."""
        for rank in self.ranks:
            rank.clear()
        self.used = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.ranks))
