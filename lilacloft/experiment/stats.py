"""Statistics of experiments: means with confidence intervals, paired differences, and significance.

Runs are paired by seed: two policies get the same clients and faults. The paired differences vary far less
than the values, so that ten seeds can suffice; a result that depends on rare events is marked, with the
number of seeds that would be needed. Intervals come from the bootstrap over pairs; multiple comparisons are
corrected by Holm's method, as otherwise one in twenty would be significant by chance. No I/O; random numbers
come from generators of its own.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

RESAMPLES = 4000
LEVEL = 0.95


@dataclass(frozen=True)
class Estimate:
    """A mean with its confidence interval."""

    mean: float
    low: float
    high: float
    count: int

    @property
    def half(self) -> float:
        return (self.high - self.low) / 2


@dataclass(frozen=True)
class Difference:
    """The paired difference of two policies on the same seeds."""

    mean: float
    low: float
    high: float
    chance: float  # two-sided p-value
    count: int
    better: int  # seeds on which the first is larger
    worse: int
    needs: int  # estimated seeds to make this difference significant; 0: it is
    rare: bool  # less than one seed in ten contributes most of it

    @property
    def shown(self) -> bool:
        return self.chance <= 1 - LEVEL


def bootstrap_means(values: np.ndarray, seed: int, times: int = RESAMPLES) -> np.ndarray:
    """Return bootstrap means."""
    generator = np.random.Generator(np.random.PCG64(seed))
    if len(values) == 0:
        return np.zeros(times)
    out = np.empty(times)
    for at in range(0, times, 500):  # in blocks, to bound memory use
        picks = generator.integers(0, len(values), (min(500, times - at), len(values)))
        out[at : at + 500] = values[picks].mean(axis=1)
    return out


def estimate(values: Sequence[float], seed: int = 1) -> Estimate:
    """Estimate the mean of some runs."""
    array = np.asarray(values, dtype=float)
    if len(array) < 2:
        mean = float(array.mean()) if len(array) else math.nan
        return Estimate(
            mean, -math.inf if len(array) else math.nan, math.inf if len(array) else math.nan, len(array)
        )
    low, high = np.quantile(bootstrap_means(array, seed), [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return Estimate(float(array.mean()), float(low), float(high), len(array))


def compare(one: Mapping[int, float], other: Mapping[int, float], seed: int = 1) -> Difference:
    """Compare two policies (first minus second) on the seeds that both have."""
    seeds = sorted(one.keys() & other.keys())
    gaps = np.asarray([one[place] - other[place] for place in seeds], dtype=float)
    count = len(gaps)
    mean = float(gaps.mean()) if count else math.nan
    better, worse = int((gaps > 0).sum()), int((gaps < 0).sum())
    if count < 2 or not gaps.any():
        return Difference(mean, mean, mean, 1.0, count, better, worse, 0 if count >= 2 else 2, False)
    low, high = np.quantile(bootstrap_means(gaps, seed), [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    chance = sign_flip_p_value(gaps, seed)
    spread = float(gaps.std(ddof=1))
    needs = 0 if chance <= 1 - LEVEL or not mean else min(10**6, math.ceil((2.8 * spread / abs(mean)) ** 2))
    size = np.sort(np.abs(gaps))[::-1]
    few = max(1, count // 10)
    rare = count >= 10 and float(size[:few].sum()) > 0.5 * float(size.sum())
    return Difference(mean, float(low), float(high), chance, count, better, worse, needs, rare)


def sign_flip_p_value(gaps: np.ndarray, seed: int, times: int = RESAMPLES) -> float:
    """Return the p-value of a sign-flip permutation test on paired differences; it assumes no distribution.
    Exact for up to 12 pairs."""
    count, observed = len(gaps), abs(float(gaps.sum())) - 1e-12
    if count <= 12:
        signs = (((np.arange(2**count)[:, None] >> np.arange(count)) & 1) * 2 - 1).astype(float)
        return float((np.abs(signs @ gaps) >= observed).mean())
    generator = np.random.Generator(np.random.PCG64(seed + 1))
    hits = 0
    for at in range(0, times, 500):
        signs = generator.integers(0, 2, (min(500, times - at), count)) * 2 - 1
        hits += int((np.abs(signs @ gaps) >= observed).sum())
    return (hits + 1) / (times + 1)


def holm(chances: Mapping[str, float], level: float = LEVEL) -> set[str]:
    """Return the significant differences, with a family-wise error rate of at most one in twenty reports."""
    shown, remaining = set(), len(chances)
    for name, chance in sorted(chances.items(), key=lambda item: (item[1], item[0])):
        if chance > (1 - level) / remaining:
            break
        shown.add(name)
        remaining -= 1
    return shown


def least(comparisons: int, level: float = LEVEL) -> int:
    """Return the fewest seeds on which a difference in every pair is significant, given the comparisons."""
    return 1 + math.ceil(math.log2(max(1, comparisons) / (1 - level)))


def growth(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, str]:
    """Return the exponent with which a cost grows with size, and a description."""
    logs = [np.log(np.asarray(values, dtype=float)) for values in (sizes, costs)]
    slope = float(np.polyfit(*logs, 1)[0])
    for most, name in (
        (0.15, "is nearly constant"),
        (0.7, "grows sublinearly"),
        (1.2, "grows linearly"),
        (1.7, "grows superlinearly"),
        (2.3, "grows quadratically"),
    ):
        if slope <= most:
            return slope, name
    return slope, "grows faster than quadratically"
