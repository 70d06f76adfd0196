"""Adversarial search for the worlds and faults in which a policy does worst compared with another.

The objective is the loss: the worth of the other policy (the oracle, or an earlier version) minus that of the
policy, on the same seeds. The search starts from random worlds and faults, then mutates the worst ones, one
parameter at a time, and keeps mutations that increase the loss. A single bad seed is noise, so a spot is
judged by its mean over further seeds that the search did not use. The kernel of a spot is found by removing
one fault at a time: a fault belongs to it if the loss is clearly smaller without it. Spots of one world whose
kernels have the same fault types and targets count as one weakness, whatever other faults they have. No I/O;
the caller executes the runs.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from lilacloft.emulator import faults as language
from lilacloft.emulator.chance import RandomStream
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.worlds import World

FIELDS = {  # fields of a world that may be mutated, with their bounds
    "rate": (20.0, 600.0),
    "zipf": (0.2, 1.3),
    "drift": (0.0, 20.0),
    "size": (20.0, 900.0),
    "spread": (0.1, 1.2),
    "parts": (1, 8),
    "objects": (40, 20_000),
    "caches": (3, 16),
    "gateways": (1, 8),
    "parents": (1, 4),
    "way_in": (5_000.0, 80_000.0),
    "cache_size": (2.0, 24.0),
    "parent_size": (4.0, 48.0),
    "origin_size": (6.0, 60.0),
    "cache_room": (10_000.0, 300_000.0),
    "service": (50.0, 1500.0),
    "hands": (4, 64),
    "far": (20.0, 400.0),
    "slots": (8, 128),
}


@dataclass(frozen=True)
class Spot:
    """A world with faults, and the mean loss over the `seeds` seeds that were run."""

    world: World
    faults: tuple[Fault, ...]
    lost: float = 0.0
    seeds: int = 0
    kernel: tuple[Fault, ...] | None = None  # faults that matter; None: not analysed, (): none alone

    def told(self) -> str:
        return " ".join(map(str, self.faults)) or "calm"

    def told_kernel(self) -> str:
        """Describe the faults that matter, or why none are listed."""
        if self.kernel is None:
            return "not analysed"
        no_kernel = "no fault alone: the world, or faults of which any one suffices"
        return " ".join(map(str, self.kernel)) or no_kernel


MATTERS = 0.2  # a fault matters if removing it reduces the loss by this fraction


def family(spot: Spot) -> object:
    """Return the key of a spot's weakness: the world, and the fault types with their targets, of the kernel
    if it is known, else of all faults."""
    faults = spot.faults if spot.kernel is None else spot.kernel
    return spot.world.name, tuple(sorted({(one.kind, one.whom) for one in faults}))


def ablations(spot: Spot) -> list[Spot]:
    """Return copies of the spot with one fault removed, for each fault in order."""
    return [
        replace(spot, faults=spot.faults[:place] + spot.faults[place + 1 :], lost=0.0, seeds=0, kernel=None)
        for place in range(len(spot.faults))
    ]


def kernel(spot: Spot, lost: float, without: list[float]) -> Spot:
    """Return the spot with its kernel: the faults whose removal clearly reduces the loss on the same seeds.

    `lost` is the loss of the spot on those seeds, `without[i]` the loss with fault i removed. Raises
    ValueError if the counts differ.
    """
    if len(without) != len(spot.faults):
        raise ValueError(f"{len(without)} losses for {len(spot.faults)} faults")
    threshold = MATTERS * max(lost, 0.0)
    kept = tuple(one for one, less in zip(spot.faults, without) if lost - less > threshold and lost > 0)
    return replace(spot, kernel=kept)


@dataclass
class Search:
    """Keeps the worst spots and proposes the next one to try."""

    stream: RandomStream
    begin: list[World]
    keep: int = 12
    worst: list[Spot] = field(default_factory=list)
    tried: int = 0

    def next(self) -> Spot:
        """Propose a spot: random at first and every fourth time, else a mutation of one of the worst."""
        self.tried += 1
        if len(self.worst) < self.keep // 2 or self.stream.random() < 0.25:
            world = self.begin[self.stream.below(len(self.begin))]
            for _ in range(self.stream.below(4)):
                world = self.changed(world)
            drawn = language.draw(self.stream, world.sizes(), world.span, self.stream.below(4))
            return Spot(world, tuple(drawn))
        spot = self.worst[min(self.stream.below(len(self.worst)), self.stream.below(len(self.worst)))]
        if spot.faults and self.stream.random() < 0.5:
            return replace(spot, faults=self.moved(spot), lost=0.0, seeds=0, kernel=None)
        return replace(spot, world=self.changed(spot.world), lost=0.0, seeds=0, kernel=None)

    def changed(self, world: World) -> World:
        """Mutate one field to between half and twice its value, within its bounds."""
        names = sorted(FIELDS)
        name = names[self.stream.below(len(names))]
        low, high = FIELDS[name]
        holder = world.habits if hasattr(world.habits, name) else world
        value = getattr(holder, name) * 2.0 ** self.stream.between(-1.0, 1.0)
        value = min(high, max(low, value or self.stream.between(low, high)))
        value = max(1, round(value)) if isinstance(getattr(holder, name), int) else float(f"{value:.3g}")
        if holder is world.habits:
            return replace(world, habits=replace(world.habits, **{name: value}))
        return replace(world, **{name: value})

    def moved(self, spot: Spot) -> tuple[Fault, ...]:
        """Add or remove a fault, or change the time and duration of one."""
        faults = list(spot.faults)
        mutation = self.stream.random()
        place = self.stream.below(len(faults))
        if mutation < 0.25 and len(faults) > 1:
            del faults[place]
        elif mutation < 0.5:
            faults += language.draw(self.stream, spot.world.sizes(), spot.world.span, 1)
        else:
            old = faults[place]
            at = max(0, min(spot.world.span, old.at + int(self.stream.between(-0.2, 0.2) * spot.world.span)))
            span = max(10, int(old.span * self.stream.between(0.5, 2.0))) if old.span else 0
            faults[place] = replace(old, at=at // 10 * 10, span=span // 10 * 10)
        return tuple(sorted(faults, key=lambda one: (one.at, str(one))))

    def found(self, spot: Spot, lost: float, seeds: int) -> bool:
        """Record the loss of a spot on some seeds; return whether it is among the worst. Results of a known
        spot are averaged with the earlier ones, so the influence of single seeds decreases."""
        same = next((one for one in self.worst if (one.world, one.faults) == (spot.world, spot.faults)), None)
        if same is not None:
            self.worst.remove(same)
            total = same.seeds + seeds
            lost, seeds = (same.lost * same.seeds + lost * seeds) / total, total
        kept = replace(spot, lost=lost, seeds=seeds, kernel=same.kernel if same else spot.kernel)
        if kept.kernel is None:
            kept = self.with_presumed_kernel(kept)
        self.worst = sorted([*self.worst, kept], key=lambda one: -one.lost)
        self.apart()
        return kept in self.worst

    def apart(self) -> None:
        """Keep only the worst spot of each family, or one weakness would fill the list."""
        by_family: dict[object, Spot] = {}
        # spots recorded before a kernel was known may contain it
        self.worst = [self.with_presumed_kernel(one) if one.kernel is None else one for one in self.worst]
        for one in sorted(self.worst, key=lambda one: -one.lost):
            by_family.setdefault(family(one), one)
        self.worst = list(by_family.values())[: self.keep]

    def with_presumed_kernel(self, spot: Spot) -> Spot:
        """Assign a known kernel of the same world to a spot whose faults contain its types and targets. The
        search produces many such variants, which would otherwise crowd out all other weaknesses."""
        present = {(one.kind, one.whom) for one in spot.faults}
        for known in self.worst:
            marks = {(one.kind, one.whom) for one in known.kernel or ()}
            if marks and known.world.name == spot.world.name and marks <= present:
                kept = tuple(one for one in spot.faults if (one.kind, one.whom) in marks)
                return replace(spot, kernel=kept)
        return spot

    def explained(self, spot: Spot, lost: float, without: list[float]) -> Spot:
        """Set the kernel of a kept spot (see `kernel`) and regroup the families."""
        found = kernel(spot, lost, without)
        self.worst = [
            found if (one.world, one.faults) == (spot.world, spot.faults) else one for one in self.worst
        ]
        self.apart()
        return found

    def unexplained(self, top: int) -> Spot | None:
        """Return the worst of the first `top` spots whose kernel is not known yet."""
        return next((one for one in self.worst[:top] if one.kernel is None), None)

    def doubtful(self, seeds: int) -> Spot | None:
        """Return the worst spot with results on fewer than `seeds` seeds, if any."""
        return next((one for one in self.worst if one.seeds < seeds), None)
