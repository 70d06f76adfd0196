"""Pseudo-random number streams of a run: one stream for each purpose, all derived from one seed.

Streams are keyed by purpose rather than by order of creation: the draws of one component, or its absence, do
not change those of the others, so two runs that differ in one setting can be compared event by event. The
numbers are the same in every process and under every hash seed. No I/O.
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK = 512  # numbers drawn at once; drawing one by one would cost more than the rest of an event


class RandomStream:
    """Random numbers for one purpose."""

    def __init__(self, seed: int, purpose: str) -> None:
        key = (zlib.crc32(purpose.encode()), len(purpose))
        self.generator = np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))
        self._uniform: list[float] = []
        self._expo: list[float] = []

    def random(self) -> float:
        """Return a uniform number in [0, 1)."""
        if not self._uniform:
            self._uniform = self.generator.random(BLOCK).tolist()
        return self._uniform.pop()

    def expo(self, mean: float) -> float:
        """Return an exponentially distributed time with this mean."""
        if not self._expo:
            self._expo = self.generator.standard_exponential(BLOCK).tolist()
        return self._expo.pop() * mean

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.random()

    def below(self, count: int) -> int:
        """Return a uniform integer in [0, count)."""
        return min(count - 1, int(self.random() * count))

    def choice(self, among: list) -> object:
        return among[self.below(len(among))]

    def sample(self, among: list, count: int) -> list:
        """Return `count` distinct items in random order."""
        remaining = list(among)
        return [remaining.pop(self.below(len(remaining))) for _ in range(min(count, len(remaining)))]

    def heavy(self, median: float, sigma: float) -> float:
        """Return a long-tailed (lognormal) size or delay."""
        return median * float(np.exp(sigma * self.generator.standard_normal()))


class RandomStreams:
    """All random number streams of one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.streams: dict[str, RandomStream] = {}

    def stream(self, purpose: str) -> RandomStream:
        """Return the stream of a purpose; it continues where it was."""
        found = self.streams.get(purpose)
        if found is None:
            found = self.streams[purpose] = RandomStream(self.seed, purpose)
        return found
