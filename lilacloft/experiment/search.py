"""Decides where to look for the worlds in which a policy does worst beside another; owns what it has found.

Worth lost is what counts: that of the other (the oracle, or an earlier version) less that of the policy, on
the same seeds. First worlds and faults are drawn; then the worst ones are changed a little, one thing at a
time, and changes that make it worse are kept. What is found is only as bad as its mean over seeds that the
search did not use: a single bad seed is noise, and is dropped by looking again. Of a spot that is kept, its
kernel is found by taking one fault away at a time: what is lost without it tells whether it matters. Spots of
one world whose kernels strike alike are one weakness, however many other faults came along. No I/O, no runs
of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from lilacloft.emulator import faults as language
from lilacloft.emulator.chance import Stream
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.worlds import World

FIELDS = {  # what of a world may be changed, and within which bounds
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
    """A world with faults, and how much worth is lost there."""

    world: World
    faults: tuple[Fault, ...]
    lost: float = 0.0
    seeds: int = 0
    kernel: tuple[Fault, ...] | None = None  # the faults that matter, once found; () where none does alone

    def told(self) -> str:
        return " ".join(map(str, self.faults)) or "calm"

    def told_kernel(self) -> str:
        """The faults that matter, or why there are none to name."""
        if self.kernel is None:
            return "not looked at"
        alone = "no fault alone: the world, or faults that stand in for each other"
        return " ".join(map(str, self.kernel)) or alone


MATTERS = 0.2  # a fault matters where the loss without it is smaller by this part of the spot's


def family(spot: Spot) -> object:
    """What makes spots one weakness: the world, and which kinds of faults strike whom; of the kernel, once
    it is known, else of all the spot's faults."""
    faults = spot.faults if spot.kernel is None else spot.kernel
    return spot.world.name, tuple(sorted({(one.kind, one.whom) for one in faults}))


def ablations(spot: Spot) -> list[Spot]:
    """The spot with one fault taken away, for each of its faults in order; nothing for a calm one."""
    return [
        replace(spot, faults=spot.faults[:place] + spot.faults[place + 1 :], lost=0.0, seeds=0, kernel=None)
        for place in range(len(spot.faults))
    ]


def kernel(spot: Spot, lost: float, without: list[float]) -> Spot:
    """The spot with its kernel: the faults without which, on the same seeds, so much less is lost.

    `lost` is what the spot loses on those seeds, `without[i]` what it loses with fault i taken away. Raises
    ValueError where the counts differ.
    """
    if len(without) != len(spot.faults):
        raise ValueError(f"{len(without)} losses for {len(spot.faults)} faults")
    bar = MATTERS * max(lost, 0.0)
    kept = tuple(one for one, less in zip(spot.faults, without) if lost - less > bar and lost > 0)
    return replace(spot, kernel=kept)


@dataclass
class Search:
    """Keeps the worst spots, and says what to try next."""

    stream: Stream
    begin: list[World]
    keep: int = 12
    worst: list[Spot] = field(default_factory=list)
    tried: int = 0

    def next(self) -> Spot:
        """What to try: drawn anew at first, and once in four; else one of the worst, changed."""
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
        """One field drawn anew between half and twice what it was, within its bounds."""
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
        """One fault more, fewer, or at another time and for longer or shorter."""
        faults = list(spot.faults)
        doing = self.stream.random()
        place = self.stream.below(len(faults))
        if doing < 0.25 and len(faults) > 1:
            del faults[place]
        elif doing < 0.5:
            faults += language.draw(self.stream, spot.world.sizes(), spot.world.span, 1)
        else:
            old = faults[place]
            at = max(0, min(spot.world.span, old.at + int(self.stream.between(-0.2, 0.2) * spot.world.span)))
            span = max(10, int(old.span * self.stream.between(0.5, 2.0))) if old.span else 0
            faults[place] = replace(old, at=at // 10 * 10, span=span // 10 * 10)
        return tuple(sorted(faults, key=lambda one: (one.at, str(one))))

    def found(self, spot: Spot, lost: float, seeds: int) -> bool:
        """A spot was run on so many seeds; kept if it is among the worst. Seen again, its mean goes on, so
        that luck wears off."""
        same = next((one for one in self.worst if (one.world, one.faults) == (spot.world, spot.faults)), None)
        if same is not None:
            self.worst.remove(same)
            total = same.seeds + seeds
            lost, seeds = (same.lost * same.seeds + lost * seeds) / total, total
        kept = replace(spot, lost=lost, seeds=seeds, kernel=same.kernel if same else spot.kernel)
        if kept.kernel is None:
            kept = self.presumed(kept)
        self.worst = sorted([*self.worst, kept], key=lambda one: -one.lost)
        self.apart()
        return kept in self.worst

    def apart(self) -> None:
        """Of each family the worst: else all that is kept is one weakness, seen again."""
        apart: dict[object, Spot] = {}
        # one kept before a kernel was known that holds it is that weakness too
        self.worst = [self.presumed(one) if one.kernel is None else one for one in self.worst]
        for one in sorted(self.worst, key=lambda one: -one.lost):
            apart.setdefault(family(one), one)
        self.worst = list(apart.values())[: self.keep]

    def presumed(self, spot: Spot) -> Spot:
        """A spot of a world whose faults strike as a known kernel there does is taken for that weakness: the
        search makes many such, each with a fault more or moved, and they would crowd out all others."""
        consecutive = {(one.kind, one.whom) for one in spot.faults}
        for known in self.worst:
            marks = {(one.kind, one.whom) for one in known.kernel or ()}
            if marks and known.world.name == spot.world.name and marks <= consecutive:
                kept = tuple(one for one in spot.faults if (one.kind, one.whom) in marks)
                return replace(spot, kernel=kept)
        return spot

    def explained(self, spot: Spot, lost: float, without: list[float]) -> Spot:
        """A kept spot's kernel was found (see `kernel`); the families are drawn anew by it."""
        found = kernel(spot, lost, without)
        self.worst = [
            found if (one.world, one.faults) == (spot.world, spot.faults) else one for one in self.worst
        ]
        self.apart()
        return found

    def unexplained(self, top: int) -> Spot | None:
        """The worst of the first `top` kept spots whose kernel is not yet known."""
        return next((one for one in self.worst[:top] if one.kernel is None), None)

    def doubtful(self, seeds: int) -> Spot | None:
        """The worst spot that was run on too few seeds to be believed; none where all were."""
        return next((one for one in self.worst if one.seeds < seeds), None)
