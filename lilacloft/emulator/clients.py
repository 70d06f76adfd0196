"""Workload model: when clients send requests, for which objects, and how they react to failures.

Arrivals are a Poisson process, thinned to a rate that follows a daily cycle and flash crowds. Popularity
follows Zipf's law over ranks; the object that holds a rank changes over time (drift), so popularity shifts. A
session requests the parts of one object in sequence. A client that was denied retries with exponential
backoff, or after the delay it was given; an impatient client disconnects. All random numbers come from the
model's own streams. No I/O; times in tenths of a millisecond, rates per second, sizes in KB.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

import numpy as np

from lilacloft.emulator.chance import RandomStreams

SECOND = 10_000


@dataclass
class Flash:
    """Flash crowd: the request rate is multiplied for a while, and a share of requests is for one object."""

    at: int
    span: int
    times: float = 1.0
    share: float = 0.0
    key: str = ""


@dataclass
class Habits:
    """Parameters of client behaviour."""

    rate: float = 100.0
    objects: int = 1000
    zipf: float = 0.9
    drift: float = 0.0  # ranks per second that are given to another object
    day: int = 0  # length of the daily cycle; 0: constant rate
    swing: float = 0.0  # amplitude of the daily cycle, 0 to 1 of the rate
    flashes: list[Flash] = field(default_factory=list)
    parts: int = 1  # of an object that a session requests
    gap: float = 0.5  # mean seconds between two parts of a session
    size: float = 200.0  # median KB of a part
    spread: float = 0.6  # sigma of its logarithm
    mix: tuple[float, ...] = (1.0,)  # shares of the virtual hosts
    groups: int = 8
    retries: int = 2
    pause: float = 0.2  # seconds before the first retry; doubled for each further one
    leaves: float = 0.0  # fraction of clients that disconnect before their timeout


@dataclass(slots=True)
class Ask:
    """One client request."""

    key: str
    part: int
    group: int
    kbytes: float
    vhost: int
    nth: int = 0  # number of the client retry
    leave: int = 0  # disconnects after this time; 0: waits
    effect: str = ""  # idempotency key, the same for all retries
    first: int = 0  # when it was first sent


class Clients:
    """All clients of one run."""

    def __init__(self, chance: RandomStreams, habits: Habits, effects: list[str]) -> None:
        self.habits, self.effects = habits, effects
        self.when, self.what = chance.stream("clients when"), chance.stream("clients what")
        self.how = chance.stream("clients how")
        weights = np.arange(1, habits.objects + 1, dtype=float) ** -habits.zipf
        self.cumulative = np.cumsum(weights / weights.sum()).tolist()
        self.ranked = [f"o{number}" for number in range(habits.objects)]
        self.drifted = 0
        self.made = 0
        self.quantiles: dict[str, float] = {}
        shares, total = [], 0.0
        for share in habits.mix:
            total += share
            shares.append(total)
        self.shares = [share / total for share in shares]

    # --- arrivals ---

    def rate(self, now: int) -> float:
        """Return the request rate per second at a time."""
        habits = self.habits
        out = habits.rate
        if habits.day:
            out *= 1 + habits.swing * math.sin(2 * math.pi * now / habits.day)
        for flash in habits.flashes:
            if flash.at <= now < flash.at + flash.span:
                out *= flash.times
        return out

    def most(self) -> float:
        """Return an upper bound on the rate, for thinning."""
        out = self.habits.rate * (1 + abs(self.habits.swing))
        for flash in self.habits.flashes:
            out *= max(1.0, flash.times)
        return out

    def after(self, now: int) -> int:
        """Return the next arrival after a time."""
        most = self.most()
        when = float(now)
        while True:
            when += self.when.expo(SECOND / most)
            if self.when.random() * most <= self.rate(int(when)):
                return max(now, math.ceil(when))

    # --- requests ---

    def ask(self, now: int) -> Ask:
        """Draw the request of a client that arrives now."""
        self._drift(now)
        key = ""
        for flash in self.habits.flashes:
            if flash.share and flash.at <= now < flash.at + flash.span and self.what.random() < flash.share:
                key = flash.key or self.ranked[0]
        drawn = self.what.random()
        rank = int(np.searchsorted(self.cumulative, drawn))
        key = key or self.ranked[min(rank, len(self.ranked) - 1)]
        drawn, vhost = self.what.random(), 0
        while vhost < len(self.shares) - 1 and drawn >= self.shares[vhost]:
            vhost += 1
        self.made += 1
        leave = 0
        if self.habits.leaves and self.how.random() < self.habits.leaves:
            leave = 1 + int(self.how.expo(0.3 * SECOND))
        effect = "" if self.effects[vhost] == "replayable" else f"e{self.made}"
        return Ask(key, 0, self.group(key), self.size(key, 0), vhost, 0, leave, effect)

    def _drift(self, now: int) -> None:
        due = int(self.habits.drift * now / SECOND)
        while self.drifted < due:
            self.drifted += 1
            drawn = zlib.crc32(b"drift %d" % self.drifted) % len(self.ranked)
            self.ranked[drawn] = f"n{self.drifted}"

    def group(self, key: str) -> int:
        return 1 + zlib.crc32(key.encode()) % self.habits.groups

    def size(self, key: str, part: int) -> float:
        """Return the size of a part in KB: a function of the key and part only."""
        name = f"{key} {part}"
        found = self.quantiles.get(name)
        if found is None:
            # the sum of 12 uniform numbers approximates a normal, and is the same on every machine
            draws = [zlib.crc32(f"{name} {nth}".encode()) / 2**32 for nth in range(12)]
            found = self.habits.size * math.exp(self.habits.spread * (sum(draws) - 6.0))
            self.quantiles[name] = found
        return found

    # --- reactions ---

    def next(self, ask: Ask, word: str, after: int) -> tuple[int, Ask] | None:
        """Return a client's delay and next request after its final answer; None if it is done or gives up.
        `after` is the retry delay that it was given, 0 for none."""
        habits = self.habits
        if word == "done":
            if ask.part + 1 >= habits.parts or self.effects[ask.vhost] != "replayable":
                return None
            part = ask.part + 1
            gap = 1 + int(self.how.expo(habits.gap * SECOND))
            return gap, Ask(ask.key, part, ask.group, self.size(ask.key, part), ask.vhost)
        if word != "denied" or ask.nth >= habits.retries:
            return None  # an aborted request may have taken effect, so it is not retried
        pause = max(after, int(habits.pause * SECOND * 2**ask.nth))
        return int(pause * (1 + 0.5 * self.how.random())), Ask(
            ask.key, ask.part, ask.group, ask.kbytes, ask.vhost, ask.nth + 1, ask.leave, ask.effect, ask.first
        )
