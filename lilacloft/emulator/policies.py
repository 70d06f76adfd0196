"""Decides where a req goes in other ways than the module does: baselines, for comparison only.

Each is the module with one thing replaced, so that they all pass the same gate of the rules and differ in
what they are named for: the order in which caches are tried, the bound, joins, renewals, health and limits.
The oracle reads the world itself, which no gateway can, and so shows about how much there was to be had; it
is no proof of an optimum. No I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from lilacloft.routing.router import Limit, Router


class Open(Limit):
    """A limit that refuses nothing."""

    def open(self, favour: float, now: int) -> bool:
        return True


class Bare(Router):
    """Without health and limits: a be that is listed is asked, however it answers."""

    def __init__(self, host: Any, settings: Any) -> None:
        super().__init__(host, settings)
        self.link = Open(1e9, 1.0)
        self.asks = False

    def listed(self, mode: str, entries: Any) -> None:
        super().listed(mode, entries)
        for backend in self.known:
            if backend.concurrency_limit is not None and not isinstance(backend.concurrency_limit, Open):
                backend.concurrency_limit = Open(1e9, 1.0)

    def _strike(self, backend: Any, now: int, weight: int = 1) -> None:
        """Nobody is suspect."""

    def _doubt(self, source: Any, now: int) -> None:
        """Nobody is suspect."""


class Unbounded:
    """The home takes whatever comes."""

    def _fit(self, backend: Any, pool: Any, request: Any) -> bool:
        return True


class Drawn(Unbounded):
    """Caches in a drawn order, another for each try."""

    drawn = 0

    def _order(self, pool: list[Any], key: str) -> list[Any]:
        self.drawn += 1
        host = getattr(self.host, "name", "")
        return sorted(pool, key=lambda backend: zlib.crc32(f"{host} {self.drawn} {backend.name}".encode()))


class Two(Drawn):
    """Of two that are drawn the one with less of this gateway's own, then the others."""

    def _order(self, pool: list[Any], key: str) -> list[Any]:
        drawn = super()._order(pool, key)
        return sorted(drawn[:2], key=lambda backend: backend.in_flight_load / backend.capacity) + drawn[2:]


class Least(Drawn):
    """The one with the least of this gateway's own out."""

    def _order(self, pool: list[Any], key: str) -> list[Any]:
        return sorted(
            super()._order(pool, key), key=lambda backend: backend.in_flight_load / backend.capacity
        )


class Alone(Router):
    """Fills are never joined."""

    def __init__(self, host: Any, settings: Any) -> None:
        super().__init__(host, settings)
        self.joins = False


class Unrenewed(Router):
    """Nothing is renewed behind: who finds a copy too old waits for a new one."""

    def _send(self, request: Any, backend: Any, source: Any, held_only: bool = False) -> bool:
        if request.object_part is not None:
            request.object_part.revalidated_at = self.host.now()
        return super()._send(request, backend, source, held_only)


class Oracle(Bare):
    """Knows who answers, who holds what, and how full all ways out are."""

    def _box(self, backend: Any) -> Any:
        return self.host.boxes[backend]

    def _order(self, pool: list[Any], key: str) -> list[Any]:
        words = key.split()
        place = (words[0], int(words[1]) if len(words) > 1 else 0)
        fleet = self.host.fleet

        def reckoned(backend: Any) -> tuple[Any, ...]:
            box = self._box(backend)
            gone = box.silent or box.dead or fleet.cut(self.host, box) or fleet.cut(box, self.host)
            room = box.out.capacity / max(1, len(box.out.flows) + 1)
            full = len(box.open) >= box.slots
            held = box.copies.peek(place) is not None or place in box.fills
            return gone, full, room < 0.25 * fleet.pace, not held, -room, backend.name

        return sorted(pool, key=reckoned)

    def _fit(self, backend: Any, pool: Any, request: Any) -> bool:
        box = self._box(backend)
        return not (box.silent or box.dead or self.host.fleet.cut(self.host, box))

    def _held(self, request: Any, backend: Any) -> bool:
        return self._box(backend).copies.peek((request.key, request.part)) is not None

    def _send(self, request: Any, backend: Any, source: Any, held_only: bool = False) -> bool:
        """Nothing goes where it could only be late: what all together have under way there is known."""
        box, fleet = self._box(backend), self.host.fleet
        worth = self.vhosts[request.vhost].value / (self.value or 1.0)
        room = 1.0 + min(1.0, max(0.0, worth / 2))
        links = [box.out]
        if (
            source is not backend
            and not self._held(request, backend)
            and (request.key, request.part) not in box.fills
        ):
            links += [fleet.ways_in[self.zone], self._box(source).out]
        if any(link.wanted + fleet.pace > room * link.capacity for link in links) and request.kbytes > 4:
            return False
        return super()._send(request, backend, source, held_only)

    home_order = staticmethod(Router._order)  # where copies lie at the beginning


def made(name: str, *parts: type) -> type:
    return type(name, parts, {"__doc__": parts[0].__doc__, "home_order": staticmethod(Router._order)})


POLICIES: dict[str, Callable[[Any, Any], Any]] = {
    "module": Router,
    "hash": made("Hash", Unbounded, Bare),
    "bounded": Bare,
    "random": made("Random", Drawn, Bare),
    "two": made("TwoChoices", Two, Bare),
    "least": made("LeastOut", Least, Bare),
    "hash+health": made("HashHealth", Unbounded, Router),
    "two+health": made("TwoHealth", Two, Router),
    "least+health": made("LeastHealth", Least, Router),
    "no-joins": Alone,
    "no-renewals": Unrenewed,
    "oracle": Oracle,
}
