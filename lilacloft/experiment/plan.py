"""Reads experiment files and enumerates the runs of an experiment.

    (experiment "who is best"
      (worlds small (world thin (rate 200) (caches 12)))
      (faults none (drawn 3) (written storm (at 2s (silent (cache 3)) (for 5s))))
      (policies module hash two (revision "2e88170"))
      (seeds 1 40)
      (sweep (rate 100 200 300))
      (against module))

Every combination of world, faults, policy and seed is one run. Its key covers everything that the result
depends on, so stored runs are not repeated, and runs whose world or code has changed are. No I/O.
"""

from __future__ import annotations

import dataclasses
import difflib
import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from lilacloft.config.nodes import Node, Position
from lilacloft.config.reader import SettingsError
from lilacloft.emulator import faults as language
from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.clients import Habits
from lilacloft.emulator.faults import Fault, FaultError
from lilacloft.emulator.policies import POLICIES
from lilacloft.emulator.worlds import WORLDS, World, scaled

MEASURES = (
    "worth",
    "hits",
    "p50",
    "p99",
    "dispatches",
    "fetched",
    "stale",
    "denied",
    "aborted",
    "fell",
    "broken",
    "events",
    "cpu_us",
)
LEVELS = ("planes", "planes-troubled")  # the module with planners, without and with planner faults
SPANS = {"span", "fill_patience", "fall", "drain_grace", "drops", "day"}
MAX_RUNS = 1_000_000  # of one experiment


@dataclass(frozen=True)
class Trouble:
    """The faults of a run: none, a number drawn from its seed, or a written list."""

    name: str
    drawn: int = 0
    written: tuple[Fault, ...] = ()

    def faults(self, world: World, seed: int) -> list[Fault]:
        """Return the faults of one run."""
        if not self.drawn:
            return list(self.written)
        return language.draw(RandomStreams(seed).stream("faults"), world.sizes(), world.span, self.drawn)


@dataclass(frozen=True)
class Run:
    """One run of an experiment."""

    world: World
    trouble: Trouble
    policy: str
    seed: int

    def key(self, code: str) -> str:
        """Return a key of all that the result depends on; `code`: digest of the emulator and policy."""
        text = repr((self.world, self.trouble, self.policy, self.seed, code))
        return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


@dataclass
class Experiment:
    """The contents of an experiment file."""

    name: str
    worlds: list[World] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=lambda: [Trouble("calm")])
    policies: list[str] = field(default_factory=lambda: ["module"])
    seeds: range = range(1, 11)
    against: str = "module"
    measures: list[str] = field(default_factory=lambda: ["worth", "p99", "hits", "fetched"])

    def runs(self) -> Iterator[Run]:
        """Yield all runs, seeds outermost: after an interrupt the seeds reached are complete."""
        for seed in self.seeds:
            for world in self.worlds:
                for trouble in self.troubles:
                    for policy in self.policies:
                        yield Run(world, trouble, policy, seed)

    def count(self) -> int:
        return len(self.seeds) * len(self.worlds) * len(self.troubles) * len(self.policies)


class Reader:
    """Parser for one experiment; collects all errors of the file."""

    def __init__(self) -> None:
        self.errors: list[tuple[Position, str]] = []

    def fail(self, node: Node, text: str) -> None:
        self.errors.append((node.place, text))

    def read(self, node: Node) -> Experiment:
        """Read a list `(experiment NAME ...)`. Raises SettingsError with all errors."""
        items = node.items
        if len(items) < 2 or items[0].text != "experiment" or items[1].kind == "list":
            raise SettingsError([(node.place, "expected (experiment NAME ...)")])
        out = Experiment(items[1].text)
        sweeps: list[Node] = []
        parts: dict[str, Callable[[Node, Experiment], None]] = {
            "worlds": self._worlds,
            "faults": self._faults,
            "policies": self._policies,
            "seeds": self._seeds,
            "against": self._against,
            "measures": self._measures,
            "sweep": lambda part, _: sweeps.append(part),
        }
        seen: set[str] = set()
        for part in items[2:]:
            name = part.items[0].text if part.kind == "list" and part.items else ""
            if name not in parts:
                self.fail(part, f"found {part}, expected {self._near(name, parts)}")
            elif name in seen and name != "sweep":
                self.fail(part, f"{name} is given twice")
            else:
                seen.add(name)
                parts[name](part, out)
        if "worlds" not in seen:
            self.fail(node, "no worlds are given")
        for part in sweeps:
            self._sweep(part, out)
        if out.against not in out.policies and len(out.policies) > 1:
            self.fail(node, f"the baseline {out.against} is not one of the policies")
        if not self.errors and out.count() > MAX_RUNS:
            self.fail(node, f"{out.count()} runs, {MAX_RUNS} at most")
        names = [world.name for world in out.worlds]
        for name in {name for name in names if names.count(name) > 1}:
            self.fail(node, f"two worlds are named {name}")
        if self.errors:
            raise SettingsError(self.errors)
        return out

    @staticmethod
    def _near(name: str, among: Any) -> str:
        near = difflib.get_close_matches(name, list(among), 1)
        return f"{near[0]}?" if near else f"one of {', '.join(among)}"

    # --- worlds ---

    def _worlds(self, part: Node, out: Experiment) -> None:
        for node in part.items[1:]:
            world = self._world(node)
            if world:
                out.worlds.append(world)

    def _world(self, node: Node) -> World | None:
        if node.kind != "list":
            if node.text not in WORLDS:
                self.fail(node, f"no world {node}, expected {self._near(node.text, WORLDS)}")
                return None
            return WORLDS[node.text]
        words = node.items
        if len(words) >= 4 and words[0].text == "scaled":
            numbers = [self._number(word, 1, 1e6) for word in words[1:4]]
            if None in numbers:
                return None
            return self._changed(scaled(int(numbers[0]), int(numbers[1]), numbers[2]), words[4:])
        if len(words) < 2 or words[0].text != "world" or words[1].text not in WORLDS:
            self.fail(node, "expected (world NAME (FIELD VALUE) ...) or (scaled CACHES GATEWAYS RATE)")
            return None
        return self._changed(WORLDS[words[1].text], words[2:])

    def _changed(self, world: World, changes: tuple[Node, ...]) -> World | None:
        labels = []
        for change in changes:
            if change.kind != "list" or len(change.items) != 2:
                self.fail(change, f"found {change}, expected (FIELD VALUE)")
                return None
            if change.items[0].text == "name":
                world = replace(world, name=change.items[1].text)
                labels = []
                continue
            new = self.changed(world, change.items[0], change.items[1])
            if new is None:
                return None
            world = new
            labels.append(f"{change.items[0].text}={change.items[1].text}")
        return replace(world, name=" ".join([world.name, *labels])) if labels else world

    def changed(self, world: World, name: Node, value: Node) -> World | None:
        """Return a world with one field changed."""
        word = name.text.replace("-", "_")
        inner = {one.name: one for one in dataclasses.fields(Habits)}
        outer = {one.name: one for one in dataclasses.fields(World)}
        holder = world.habits if word in inner else world if word in outer else None
        before = getattr(holder, word, None)
        if holder is None or not isinstance(before, int | float):
            known = sorted(
                one.replace("_", "-")
                for of, names in ((world, outer), (world.habits, inner))
                for one in names
                if isinstance(getattr(of, one), int | float)
            )
            self.fail(name, f"no field {name}, expected {self._near(name.text, known)}")
            return None
        after: Any
        if isinstance(before, bool):
            if value.text not in ("yes", "no"):
                self.fail(value, f"found {value}, expected yes or no")
                return None
            after = value.text == "yes"
        elif word in SPANS:
            try:
                after = language.time(value.text)
            except FaultError as error:
                self.fail(value, str(error))
                return None
        else:
            after = self._number(value, 0, 1e12)
            if after is None:
                return None
            after = int(after) if isinstance(before, int) else after
        if holder is world.habits:
            return replace(world, habits=replace(world.habits, **{word: after}))
        return replace(world, **{word: after})

    def _number(self, node: Node, least: float, most: float) -> float | None:
        try:
            value = float(node.text)
        except ValueError:
            value = float("nan")
        if not least <= value <= most:
            self.fail(node, f"found {node}, expected a number from {least:g} to {most:g}")
            return None
        return value

    def _sweep(self, part: Node, out: Experiment) -> None:
        """Replace each world by one for each value of a field."""
        for form in part.items[1:]:
            if form.kind != "list" or len(form.items) < 2:
                self.fail(form, f"found {form}, expected (FIELD VALUE ...)")
                continue
            worlds = []
            for world in out.worlds:
                for value in form.items[1:]:
                    new = self.changed(world, form.items[0], value)
                    if new is None:
                        return
                    worlds.append(replace(new, name=f"{world.name} {form.items[0].text}={value.text}"))
            out.worlds = worlds

    # --- other parts ---

    def _faults(self, part: Node, out: Experiment) -> None:
        out.troubles = []
        for node in part.items[1:]:
            trouble = self._trouble(node)
            if trouble:
                out.troubles.append(trouble)

    def _trouble(self, node: Node) -> Trouble | None:
        words = node.items
        if node.text == "none":
            return Trouble("calm")
        if len(words) == 2 and words[0].text == "drawn":
            count = self._number(words[1], 1, 100)
            return Trouble(f"{int(count)} drawn", drawn=int(count)) if count else None
        if len(words) >= 3 and words[0].text == "written":
            written = []
            for form in words[2:]:
                try:
                    written.append(language.read(plain(form)))
                except FaultError as error:
                    self.fail(form, str(error))
                    return None
            return Trouble(words[1].text, written=tuple(written))
        self.fail(node, f"found {node}, expected none, (drawn COUNT) or (written NAME FAULT ...)")
        return None

    def _policies(self, part: Node, out: Experiment) -> None:
        out.policies = []
        for node in part.items[1:]:
            if node.kind == "list" and len(node.items) == 2 and node.items[0].text == "revision":
                out.policies.append(f"revision {node.items[1].text}")
            elif node.text in (*POLICIES, *LEVELS):
                out.policies.append(node.text)
            else:
                self.fail(node, f"no policy {node}, expected {self._near(node.text, [*POLICIES, *LEVELS])}")

    def _seeds(self, part: Node, out: Experiment) -> None:
        numbers = [self._number(node, 0, 1e9) for node in part.items[1:]]
        if len(numbers) != 2 or None in numbers or not numbers[0] <= numbers[1]:
            self.fail(part, "expected (seeds FIRST LAST)")
        else:
            out.seeds = range(int(numbers[0]), int(numbers[1]) + 1)

    def _against(self, part: Node, out: Experiment) -> None:
        if len(part.items) != 2:
            self.fail(part, "expected (against POLICY)")
        else:
            node = part.items[1]
            out.against = f"revision {node.items[1].text}" if len(node.items) == 2 else node.text

    def _measures(self, part: Node, out: Experiment) -> None:
        out.measures = []
        for node in part.items[1:]:
            if node.text in MEASURES:
                out.measures.append(node.text)
            else:
                self.fail(node, f"no measure {node}, expected {self._near(node.text, MEASURES)}")


def plain(node: Node) -> Any:
    """Return a form as nested lists of words."""
    return [plain(item) for item in node.items] if node.kind == "list" else node.text
