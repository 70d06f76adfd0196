"""Decides how many of a location's slices may be back now, and how many more the next step may bring.

Bounds, all of the fleet together (docs/design/zones.md derives them):

- work: the slices that are back are asked for `back / SLICES` of the location's demand. Its bes bear of it
  what those that are ready can do now: each its size times `power` of its age, and of that only the part that
  rule 4 allows (`part`). So back <= SLICES * sum(size * part * power) / demand.
- fills: a slice that returns cold asks its sources for all that is asked of it, until that lies there. So the
  next step may bring `SLICES * (spare - missing) / demand` more, `spare` being what link, parents and origin
  have besides what they send now, `missing` what the slices that are back still miss.
- what is not known of the first step is asked: it is one slice. No step is more than `GROWS` times the last
  one, whatever the bounds leave: what does not bear its return shows it before all are back. Where answers at
  home come from copies (`WARM` of them or more) nothing has to be filled, and the spare bounds no step.

No I/O, no clock; rates in KB a second, sizes in transfers at full pace.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lilacloft.failover.hash_slices import SLICES

WARM = 0.7  # part of answers from copies, from which on a location counts as warm
GROWS = 4  # 1, 4, 16, 43: all are back in four steps at the least
ROOM = 0.8  # of what is spare, as demand is uneven over slices and time
FULL = 0.8  # nor is a be asked for more than this part of what it can do: beyond, all it answers is late


@dataclass(frozen=True)
class Warming:
    """How a kind of be grows warm, by the settings."""

    floor: float = 0.2  # part of its size at its start
    warm: int = 150_000  # span until it can do all
    multiple: float = 2.0  # of what it can do, beyond which it falls over

    def power(self, age: int) -> float:
        """The part of its size that it can do so long after its start."""
        return self.floor + (1 - self.floor) * min(1.0, max(0, age) / self.warm) if self.warm else 1.0

    def part(self) -> float:
        """The part of that that all together use, so that no fall span sees more than it bears: what was sent
        at the end of one plan's step and at the beginning of the next may meet in one span."""
        return min(ROOM * self.multiple / 2, FULL)


@dataclass(frozen=True)
class Bears:
    """What a location can be asked for now."""

    demand: float  # KB a second that all its slices together are asked for
    pace: float  # KB a second of one transfer
    sizes: tuple[tuple[float, int], ...] = ()  # of each be that is ready: its size, its age
    spare: float = math.inf  # KB a second that its sources and the way to them have to spare
    missing: float = 0.0  # KB a second that it fills now


def most(bears: Bears, warming: Warming) -> int:
    """How many slices may be back, by work; at least one where a be is ready, as its trials are to go
    somewhere, and the cold budgets hold each of them."""
    if not bears.sizes:
        return 0
    if bears.demand <= 0:
        return SLICES
    can = (
        sum(
            size * (warming.part() * warming.power(age) if age < warming.warm else FULL / ROOM)
            for size, age in bears.sizes
        )
        * bears.pace
    )
    if math.isinf(can):  # nobody has told what its bes can do
        return SLICES
    return max(1, min(SLICES, math.floor(SLICES * can / bears.demand + 1e-9)))


def step(bears: Bears, hits: float, last: int) -> int:
    """How many more the next step may bring, `hits` being the part of answers at home from copies since the
    last one, which was so large; 0 where there is nothing to spare for the misses."""
    most_now = GROWS * max(1, last)
    if hits >= WARM or bears.demand <= 0 or math.isinf(bears.spare):
        return most_now
    free = ROOM * bears.spare - bears.missing
    return max(0, min(most_now, math.floor(SLICES * free / bears.demand + 1e-9)))


def least(bears: Bears, warming: Warming, tick: int, kept: float) -> int:
    """The least ticks in which all slices can be back, for one who knows everything: each tick as many as
    both bounds leave, and a slice misses `kept` of what it missed a tick before. What a course is measured
    against; not used to decide."""
    back, missing, now, last = 0, 0.0, 0, 1
    sizes = bears.sizes
    while back < SLICES:
        aged = Bears(
            bears.demand, bears.pace, tuple((size, age + now) for size, age in sizes), bears.spare, missing
        )
        more = step(aged, 0.0, last) if back else 1
        now += tick
        more = min(more, most(aged, warming) - back)
        more = max(0, more)
        last = more or last
        back += more
        missing = missing * kept + more / SLICES * bears.demand
        if now > 1_000_000 * tick:
            return -1
    return now // tick


def spread(spare: dict[int, float], demand: float, past: int) -> tuple[tuple[int, float], ...]:
    """Which locations take what is away from one that is asked for so much: each by what it has to spare, and
    what they cannot bear goes past the caches (`past`). In whole hundredths of the demand, so that noise
    changes no weights."""
    if demand <= 0:
        return ()
    takes = {zone: ROOM * free for zone, free in sorted(spare.items()) if free > 0}
    total = sum(takes.values())
    if total > demand:
        takes = {zone: free * demand / total for zone, free in takes.items()}
    out = [(zone, round(free / demand, 2)) for zone, free in takes.items()]
    out = [(zone, weight) for zone, weight in out if weight > 0]
    rest = round(1 - sum(weight for _, weight in out), 2)
    return (*out, (past, rest)) if out and rest > 0.01 else tuple(out)
