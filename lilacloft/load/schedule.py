"""Schedule of a load run, computed in advance, and the tally of its answers.

It uses the emulator's client model (lilacloft/emulator/clients.py): the same world and seed give the same
requests at the same times. Sessions are scheduled in advance too, each part a fixed time after the previous
one, and there are no client retries. No I/O, no clock; times in tenths of a millisecond from the start.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.clients import Ask, Clients
from lilacloft.emulator.worlds import SECOND, World


@dataclass(frozen=True)
class Due:
    """One scheduled request."""

    at: int
    number: int
    ask: Ask
    gateway: int


def name(key: str) -> str:
    """Return the name of an object on the wire: 16 hexadecimal digits."""
    return hashlib.blake2b(key.encode(), digest_size=8).hexdigest()


def schedule(world: World, seed: int, gateways: int) -> Iterator[Due]:
    """Yield all requests of a world in order of time. A session stays with one gateway."""
    chance = RandomStreams(seed)
    clients = Clients(chance, world.habits, [one.effect for one in world.vhosts])
    doors = chance.stream("doors")
    later: list[tuple[int, int, Due]] = []
    number, now = 0, clients.after(0)
    while now < world.span or later:
        if later and (later[0][0] <= now or now >= world.span):
            at, _, due = heapq.heappop(later)
            if at < world.span:
                yield due
            continue
        ask = clients.ask(now)
        number += 1
        gateway = doors.below(gateways)
        yield Due(now, number, ask, gateway)
        at, part = now, ask
        while (then := clients.next(part, "done", 0)) is not None:
            gap, part = then
            at += gap
            number += 1
            heapq.heappush(later, (at, number, Due(at, number, part, gateway)))
        now = clients.after(now)


@dataclass
class Tally:
    """Counts and worth of a load run, by virtual host."""

    world: World
    asked: dict[str, int] = field(default_factory=dict)
    words: dict[tuple[str, str], int] = field(default_factory=dict)
    could: float = 0.0
    earned: float = 0.0
    late: int = 0  # requests sent more than 10 ms after their scheduled time
    took: dict[str, list[int]] = field(
        default_factory=dict
    )  # latencies of successful answers from the scheduled time

    def ask(self, due: Due, behind: int) -> None:
        """Count a request that was sent `behind` its scheduled time."""
        vhost = self.world.vhosts[due.ask.vhost]
        self.asked[vhost.name] = self.asked.get(vhost.name, 0) + 1
        self.could += vhost.value
        self.late += behind > SECOND // 100

    def answer(self, due: Due, word: str, took: int) -> None:
        """Count an answer (done, denied, aborted) or a lost connection, `took` after the scheduled time."""
        vhost = self.world.vhosts[due.ask.vhost]
        key = vhost.name, word
        self.words[key] = self.words.get(key, 0) + 1
        if word == "done":
            self.took.setdefault(vhost.name, []).append(took)
            small = vhost.effect != "replayable" or vhost.passes
            kbytes = 2.0 if small else due.ask.kbytes
            self.earned += vhost.worth(took, kbytes / (self.world.pace / SECOND))

    @property
    def worth(self) -> float:
        return self.earned / self.could if self.could else 1.0

    def count(self, word: str) -> int:
        return sum(number for (_, outcome), number in self.words.items() if outcome == word)

    def open(self) -> int:
        """Return the number of unanswered requests."""
        return sum(self.asked.values()) - sum(self.words.values())
