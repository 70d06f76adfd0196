"""Decides whether one of the five rules was broken, while a world runs; shares no code with what it judges.

Told of each thing that happens, from the outside: what clients ask and hear, what comes to boxes and ends
there, what the change log told whom. Each breach names the rule, the time, who saw it and what it was. The
rules in their plainest words:

1 exactly one final answer a req, before the client's time is up, nothing after; 2 no effect twice, no two
dispatches out at once, nothing again that must not be; 3 nothing sent to, or filled from, what is told to be
leaving for longer than the grace; 4 no cold box is sent more than it bears; 5 no answer from a copy older
than a purge that the gateway had been told of when it sent. No I/O; times in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER_RAN = ("miss", "full", "unreached")


@dataclass(frozen=True)
class Breach:
    """A rule that was broken."""

    rule: int
    at: int
    who: str
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at / 10_000:.4f} seen by {self.who}: {self.text}"


@dataclass(slots=True)
class Told:
    """What is known of one req."""

    name: str
    effect: str
    key: str
    group: int
    until: int
    window: int
    where: str  # within which a uniqued one may be sent again: all, zone, cell
    final: str = ""
    left: bool = False
    out: dict[int, str] = field(default_factory=dict)  # dispatches open at boxes, by number
    ran: tuple[int, str, int, int] | None = None  # of the first that may have run: when, box, zone, cell


class Checker:
    """All rules, of one world."""

    def __init__(self, grace: int, slack: int) -> None:
        self.grace, self.slack = grace, slack  # of drains; by which an answer may be late on its way
        self.breaches: list[Breach] = []
        self.requests: dict[int, Told] = {}
        self.of: dict[int, tuple[int, str, int, int]] = {}  # dispatches: req, box, zone, cell
        self.began: dict[int, int] = {}
        self.effects: dict[str, str] = {}
        self.states: dict[tuple[str, str], tuple[bool, int]] = {}  # by gateway and box: leaving since
        self.purges: dict[str, dict[str | int, int]] = {}  # by gateway: object or group, when purged
        self.known: dict[int, dict[str | int, int]] = {}  # by dispatch: purges of its object at its sending

    def breach(self, rule: int, at: int, who: str, text: str) -> None:
        self.breaches.append(Breach(rule, at, who, text))

    # --- clients ---

    def asked(self, request: int, told: Told) -> None:
        """A client asks."""
        self.requests[request] = told

    def answered(self, request: int, word: str, at: int) -> None:
        """A final answer has come to its client."""
        told = self.requests[request]
        if told.final:
            self.breach(1, at, "client", f"{told.name} answered twice: {told.final}, {word}")
        elif told.left:
            self.breach(1, at, "client", f"{told.name} answered after its client had gone")
        elif at > told.until + self.slack:
            self.breach(1, at, "client", f"{told.name} answered {(at - told.until) / 10:.1f} ms too late")
        told.final = word

    def leaves(self, request: int) -> None:
        """A client has gone, or its connection ended with its gateway: nothing is owed any more."""
        self.requests[request].left = True

    def due(self, request: int, at: int) -> None:
        """A client's time is up: has it been answered?"""
        told = self.requests[request]
        if not (told.final or told.left):
            self.breach(1, at, "client", f"{told.name} never answered")

    # --- dispatches ---

    def sent(
        self, number: int, request: int, gateway: str, box: str, zone: int, cell: int, source: str, at: int
    ) -> None:
        """A gateway sends."""
        told = self.requests[request]
        self.of[number] = (request, box, zone, cell)
        for backend in dict.fromkeys((box, source)):
            leaving, since = self.states.get((gateway, backend), (False, 0))
            if backend and leaving and at > since + self.grace:
                way = "sent to" if backend == box else f"{box} told to fill from"
                self.breach(
                    3,
                    at,
                    gateway,
                    f"{told.name} {way} {backend}, that was told to leave {(at - since) / 10:.0f} ms ago",
                )
        purges = self.purges.get(gateway, {})
        mine = {what: purges[what] for what in (told.key, told.group) if what in purges}
        if mine:
            self.known[number] = mine
        if told.ran is not None and told.effect != "replayable":
            when, where, was, its = told.ran
            same = {"all": True, "zone": zone == was, "cell": cell == its}[told.where]
            if told.effect == "non-replayable":
                self.breach(2, at, gateway, f"non-replayable {told.name} sent again: {where} may have run it")
            elif at > when + told.window or not same:
                self.breach(2, at, gateway, f"uniqued {told.name} sent again outside its window or group")

    def taken(self, number: int, box: str, at: int) -> None:
        """It has come to its box."""
        request, _, zone, cell = self.of[number]
        told = self.requests[request]
        if told.out:
            self.breach(2, at, box, f"{told.name} out twice: still at {next(iter(told.out.values()))}")
        told.out[number] = box
        self.began[number] = at

    def ended(self, number: int, word: str, at: int) -> None:
        """It is over there: by its answer, an undo, or with its connection."""
        request, box, zone, cell = self.of[number]
        told = self.requests[request]
        if told.out.pop(number, None) is None:
            return
        if word not in NEVER_RAN and told.ran is None:
            told.ran = (self.began[number], box, zone, cell)

    def effect(self, key: str, box: str, at: int) -> None:
        """A write has had its effect."""
        if key in self.effects:
            self.breach(2, at, box, f"the effect of {key} came twice, first at {self.effects[key]}")
        self.effects.setdefault(key, box)

    def served(self, number: int, born: int, at: int) -> None:
        """An answer was given of a copy that the origin gave out at a time."""
        told = self.requests[self.of[number][0]]
        for what, purged in self.known.get(number, {}).items():
            if 0 < born < purged:
                self.breach(
                    5,
                    at,
                    "client",
                    f"{told.name} served a copy {(purged - born) / 10:.0f} ms older "
                    f"than a purge of {what} that its gateway knew",
                )

    # --- what is told ---

    def listed(self, gateway: str, box: str, leaving: bool, at: int) -> None:
        """A gateway was told of a box."""
        was, since = self.states.get((gateway, box), (False, 0))
        if leaving != was:
            self.states[gateway, box] = (leaving, at)

    def purged(self, gateway: str, what: str | int, when: int) -> None:
        """A gateway was told of a purge."""
        purges = self.purges.setdefault(gateway, {})
        purges[what] = max(when, purges.get(what, 0))

    def forget(self, gateway: str) -> None:
        """A gateway has started anew: it knows what it will be told."""
        self.purges.pop(gateway, None)
        for place in [place for place in self.states if place[0] == gateway]:
            del self.states[place]

    def fell(self, box: str, load: float, most: float, at: int) -> None:
        """A cold box was sent more than it bears."""
        self.breach(4, at, box, f"cold, sent {load:.0f} of work in its span, {most:.0f} can be borne")
