"""Fault injection: a language for timed faults, random generation from a seed, and shrinking to a minimal set
that still fails.

A fault has a type, a target, a start time, a duration and a severity:

    (at 2s (silent (cache 3)) (for 5s))
    (at 0s (slow origin 4) (for 10s))
    (at 3s (drain (shelf 1)) (for 8s))
    (at 1s (purge (object o3) 4))

Targets: `(cache N)`, `(parent N)`, `(gateway N)`, `(zone N)` (its caches), `(hub N)` (its parents),
`(shelf N)` (the caches of a cell), `(version N)` (every (N+1)th server, as if these ran one software
version), `origin`, `log`, `all`. A fault whose target does not exist in a world has no effect, so faults
drawn for a large world can be read for a small one. No I/O; times in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from lilacloft.emulator.chance import RandomStream

SECOND = 10_000


@dataclass(frozen=True)
class Kind:
    """A fault type: possible targets, whether it has a duration, and the range of its severity."""

    whom: tuple[str, ...]
    lasts: bool = True
    hard: tuple[float, float] | None = None  # range of random severities
    whole: bool = False  # the severity is an integer


BOXES = ("cache", "parent", "shelf", "zone", "version")
SITES = (*BOXES, "hub")
KINDS = {
    "silent": Kind((*SITES, "origin")),
    "slow": Kind((*SITES, "origin"), hard=(2.0, 12.0)),
    "thin": Kind((*SITES, "origin"), hard=(2.0, 10.0)),  # its egress capacity is divided by this
    "lossy": Kind(
        (*SITES, "gateway"), hard=(0.02, 0.4)
    ),  # fraction of messages that arrive late, after a retransmission
    "deaf": Kind((*SITES, "gateway")),  # messages to it are lost
    "mute": Kind((*SITES, "gateway")),  # messages from it are lost
    "apart": Kind(("zone",)),  # location partitioned from parents and origin, both directions
    "cold": Kind(SITES, lasts=False),  # crashes and restarts
    "down": Kind(SITES),  # crashes, and restarts at the end
    "drain": Kind(SITES),  # listed as draining, then returns cold
    "lag": Kind(("log", "gateway"), hard=(0.5, 4.0)),  # added delay of its events, seconds
    "break": Kind(("log", "gateway")),  # no change log events arrive
    "unlogged": Kind(("zone",)),  # `break` for the gateways of a location; their other traffic passes
    "lone": Kind(("zone", "gateway")),  # partitioned from planners only
    "clock": Kind(("gateway",), hard=(-2.0, 2.0)),  # offset of the wall clock, seconds
    "restart": Kind(("gateway",), lasts=False),
    "stop": Kind(("gateway",)),  # paused, then resumed
    "purge": Kind(("object", "group"), lasts=False, hard=(1, 8), whole=True),  # number of purges, 0.1 s apart
    "hot": Kind(("object",), hard=(0.2, 0.8)),  # fraction of all requests that are for it
    "rush": Kind(("all",), hard=(1.5, 5.0)),  # factor on the request rate
}
SINGLE = ("origin", "log", "all")


class FaultError(Exception):
    """An invalid fault; the text says why."""


@dataclass(frozen=True)
class Fault:
    """One timed fault."""

    kind: str
    whom: str
    which: str = ""  # a number, or an object's key
    at: int = 0
    span: int = 0
    hard: float = 0.0

    def __post_init__(self) -> None:
        kind = KINDS.get(self.kind)
        if kind is None:
            raise FaultError(f"unknown fault {self.kind!r}: {', '.join(sorted(KINDS))} are known")
        if self.whom not in kind.whom:
            raise FaultError(f"{self.kind} applies to {', '.join(kind.whom)}, not {self.whom!r}")
        if (self.which == "") != (self.whom in SINGLE):
            raise FaultError(f"{self.whom} " + ("takes no number" if self.which else "needs a number"))
        if self.whom not in (*SINGLE, "object") and not self.which.isdigit():
            raise FaultError(f"{self.whom} {self.which!r}: a number expected")
        if kind.lasts != bool(self.span):
            raise FaultError(f"{self.kind} " + ("needs a duration" if kind.lasts else "takes no duration"))
        if self.at < 0 or self.span < 0:
            raise FaultError(
                f"{self.kind} at {self.at} for {self.span}: expected a time and duration of 0 or more"
            )
        if (kind.hard is None) != (self.hard == 0.0) and self.kind != "clock":
            raise FaultError(f"{self.kind} " + ("takes no severity" if self.hard else "needs a severity"))

    def __str__(self) -> str:
        whom = self.whom if self.whom in SINGLE else f"({self.whom} {self.which})"
        hard = f" {self.hard:g}" if KINDS[self.kind].hard is not None else ""
        last = f" (for {self.span / SECOND:g}s)" if self.span else ""
        return f"(at {self.at / SECOND:g}s ({self.kind} {whom}{hard}){last})"

    @property
    def end(self) -> int:
        return self.at + self.span


def overlap(one: Fault, two: Fault) -> bool:
    """Return whether two faults overlap in time."""
    return one.at <= two.end and two.at <= one.end


# --- parsing ---


def read(form: Sequence[Any]) -> Fault:
    """Read a fault from a form `(at TIME (KIND WHOM [NUMBER]) [(for TIME)])` of nested lists of strings."""
    if len(form) not in (3, 4) or form[0] != "at" or not isinstance(form[2], list | tuple):
        raise FaultError(f"{shown(form)}: (at TIME (KIND WHOM [NUMBER]) [(for TIME)]) expected")
    what, span = form[2], 0
    if len(form) == 4:
        last = form[3]
        if not (isinstance(last, list | tuple) and len(last) == 2 and last[0] == "for"):
            raise FaultError(f"{shown(last)}: (for TIME) expected")
        span = time(last[1])
    if not 2 <= len(what) <= 3 or not isinstance(what[0], str):
        raise FaultError(f"{shown(what)}: (KIND WHOM [NUMBER]) expected")
    whom = what[1]
    name, which = (
        (whom, "") if isinstance(whom, str) else ((whom[0], str(whom[1])) if len(whom) == 2 else ("", ""))
    )
    try:
        hard = float(what[2]) if len(what) == 3 else 0.0
    except (TypeError, ValueError):
        raise FaultError(f"{what[2]!r}: a number expected") from None
    return Fault(what[0], name, which, time(form[1]), span, hard)


def time(text: Any) -> int:
    """Parse a duration like `2s` or `250ms`; return tenths of a millisecond."""
    word = str(text)
    for unit, size in (("ms", 10), ("s", SECOND), ("m", 60 * SECOND)):
        if word.endswith(unit):
            try:
                return round(float(word[: -len(unit)]) * size)
            except ValueError:
                break
    raise FaultError(f"{word!r}: a time like 2s or 250ms expected")


def shown(form: Any) -> str:
    return f"({' '.join(map(shown, form))})" if isinstance(form, list | tuple) else str(form)


def parse(text: str) -> list[Fault]:
    """Parse all faults in a text."""
    return [read(form) for form in forms(text)]


def forms(text: str) -> list[Any]:
    """Parse a text into nested lists of words; comments run from `;` to the end of the line."""
    lines = [line.partition(";")[0] for line in text.splitlines()]
    words = " ".join(lines).replace("(", " ( ").replace(")", " ) ").split()
    stack: list[list[Any]] = [[]]
    for word in words:
        if word == "(":
            stack.append([])
        elif word == ")":
            if len(stack) == 1:
                raise FaultError("unmatched )")
            done = stack.pop()
            stack[-1].append(done)
        else:
            stack[-1].append(word)
    if len(stack) > 1:
        raise FaultError("missing )")
    return stack[0]


# --- random faults ---

WEIGHTS = {
    "silent": 3,
    "slow": 2,
    "thin": 1,
    "lossy": 1,
    "deaf": 1,
    "mute": 1,
    "apart": 1,
    "cold": 3,
    "down": 2,
    "drain": 3,
    "lag": 1,
    "break": 1,
    "clock": 1,
    "restart": 1,
    "stop": 1,
    "purge": 3,
    "hot": 1,
    "rush": 1,
}


def draw(
    stream: RandomStream,
    sizes: dict[str, int],
    horizon: int,
    count: int,
    weights: dict[str, float] | None = None,
) -> list[Fault]:
    """Draw `count` random faults. `sizes` is the number of targets of each type (`cache`, `parent`,
    `gateway`, `zone`, `shelf`, `object`, `group`). About half of the faults overlap an earlier one, as
    simultaneous faults find more bugs."""
    weights = weights or WEIGHTS
    names = sorted(name for name in weights if weights[name] > 0)
    total = sum(weights[name] for name in names)
    out: list[Fault] = []
    while len(out) < count:
        drawn = stream.random() * total
        for name in names:  # noqa: B007
            drawn -= weights[name]
            if drawn < 0:
                break
        kind = KINDS[name]
        places = [whom for whom in kind.whom if whom in SINGLE or sizes.get(whom, 0) > 0]
        if not places:
            total -= weights[name]
            names = [one for one in names if one != name]
            if not names:
                break
            continue
        whom = str(stream.choice(places))
        which = ""
        if whom not in SINGLE:
            which = str(stream.below(sizes[whom]) + (whom in ("version", "group")))
            which = f"o{which}" if whom == "object" else which
        at = stream.below(max(1, horizon))
        if out and stream.random() < 0.5:
            other = out[stream.below(len(out))]
            at = min(horizon, other.at + stream.below(max(1, other.span + SECOND)))
        if name == "clock" and stream.random() < 0.5:
            at = 0  # the process starts with this clock
        span = 1 + int(stream.between(0.02, 0.5) * horizon) if kind.lasts else 0
        hard = 0.0
        if kind.hard is not None:
            hard = stream.between(*kind.hard)
            hard = float(max(1, round(hard))) if kind.whole else round(hard, 3) or 0.1
        out.append(Fault(name, whom, which, at // 10 * 10, span // 10 * 10 or span, hard))
    return sorted(out, key=lambda fault: (fault.at, str(fault)))


# --- shrinking ---


def shrink(faults: Iterable[Fault], fails: Callable[[list[Fault]], bool], most: int = 400) -> list[Fault]:
    """Return a minimal list of faults that still fails: first fewer faults (halves, then one at a time), then
    shorter ones, then weaker ones. `fails` runs a world with given faults, at most `most` times."""
    best, calls = list(faults), 0

    def still_fails(some: list[Fault]) -> bool:
        nonlocal calls
        if calls >= most:
            return False
        calls += 1
        return fails(some)

    size = max(1, len(best) // 2)
    while size:
        place = 0
        while place < len(best):
            fewer = best[:place] + best[place + size :]
            if still_fails(fewer):
                best = fewer
            else:
                place += size
        size //= 2
    for place in range(len(best)):
        for change in (_shorter, _weaker):
            while (less := change(best[place])) is not None and still_fails(
                [*best[:place], less, *best[place + 1 :]]
            ):
                best[place] = less
    return best


def _shorter(fault: Fault) -> Fault | None:
    span = fault.span // 2 // 10 * 10
    return replace(fault, span=span) if span >= 10 else None


def _weaker(fault: Fault) -> Fault | None:
    kind = KINDS[fault.kind]
    if kind.hard is None:
        return None
    least = kind.hard[0] if fault.hard > 0 else kind.hard[1]
    hard = round((fault.hard + least) / 2, 3)
    if kind.whole:
        hard = float(int(hard))
    return replace(fault, hard=hard) if hard and abs(hard - fault.hard) > 0.05 * abs(fault.hard) else None
