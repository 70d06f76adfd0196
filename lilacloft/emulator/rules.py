"""Invariant checker: verifies the five rules during a run; shares no code with the routing that it checks.

It observes events from outside: client requests and answers, dispatches that arrive at servers and end there,
and the change log events delivered to each gateway. Each violation names the rule, the time, the observer and
the facts. The rules:

1 exactly one final answer per request, before the client's deadline, and nothing after it; 2 no write takes
effect twice, no two dispatches of a request run at once, and nothing is sent again that must not be; 3
nothing is sent to, or filled from, a backend that has been listed as draining for longer than the grace
period; 4 no cold server is sent more work than its limit; 5 no answer comes from a copy older than a purge
that the gateway knew when it dispatched. No I/O; times in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER_RAN = ("miss", "full", "unreached")


@dataclass(frozen=True)
class Breach:
    """A violation of a rule."""

    rule: int
    at: int
    who: str
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at / 10_000:.4f} seen by {self.who}: {self.text}"


@dataclass(slots=True)
class RequestRecord:
    """What the checker knows of one request."""

    name: str
    effect: str
    key: str
    group: int
    until: int
    window: int
    where: str  # group within which a request with an idempotency key may be sent again: all, zone, cell
    final: str = ""
    left: bool = False
    out: dict[int, str] = field(default_factory=dict)  # servers with an open dispatch, by dispatch number
    ran: tuple[int, str, int, int] | None = (
        None  # first attempt that may have executed: time, server, zone, cell
    )


class Checker:
    """Checks all rules during one run."""

    def __init__(self, grace: int, slack: int) -> None:
        self.grace, self.slack = grace, slack  # drain grace period; delivery delay allowed after a deadline
        self.breaches: list[Breach] = []
        self.requests: dict[int, RequestRecord] = {}
        self.of: dict[int, tuple[int, str, int, int]] = {}  # by dispatch: request, server, zone, cell
        self.began: dict[int, int] = {}
        self.effects: dict[str, str] = {}
        self.states: dict[tuple[str, str], tuple[bool, int]] = {}  # by gateway and server: (draining, since)
        self.purges: dict[str, dict[str | int, int]] = {}  # by gateway: purge times of objects and groups
        self.known: dict[int, dict[str | int, int]] = {}  # by dispatch: purges known when it was sent

    def breach(self, rule: int, at: int, who: str, text: str) -> None:
        self.breaches.append(Breach(rule, at, who, text))

    # --- clients ---

    def asked(self, request: int, record: RequestRecord) -> None:
        """Record a client request."""
        self.requests[request] = record

    def answered(self, request: int, word: str, at: int) -> None:
        """Check a final answer that reached its client."""
        record = self.requests[request]
        if record.final:
            self.breach(1, at, "client", f"{record.name} answered twice: {record.final}, {word}")
        elif record.left:
            self.breach(1, at, "client", f"{record.name} answered after its client disconnected")
        elif at > record.until + self.slack:
            self.breach(1, at, "client", f"{record.name} answered {(at - record.until) / 10:.1f} ms too late")
        record.final = word

    def leaves(self, request: int) -> None:
        """Record that a client disconnected, or its gateway stopped: no answer is required any more."""
        self.requests[request].left = True

    def due(self, request: int, at: int) -> None:
        """Check at a client's deadline that it was answered."""
        record = self.requests[request]
        if not (record.final or record.left):
            self.breach(1, at, "client", f"{record.name} never answered")

    # --- dispatches ---

    def sent(
        self, number: int, request: int, gateway: str, box: str, zone: int, cell: int, source: str, at: int
    ) -> None:
        """Check a dispatch when a gateway sends it."""
        record = self.requests[request]
        self.of[number] = (request, box, zone, cell)
        for backend in dict.fromkeys((box, source)):
            leaving, since = self.states.get((gateway, backend), (False, 0))
            if backend and leaving and at > since + self.grace:
                way = "sent to" if backend == box else f"{box} was to fill from"
                self.breach(
                    3,
                    at,
                    gateway,
                    f"{record.name} {way} {backend}, listed as draining {(at - since) / 10:.0f} ms ago",
                )
        purges = self.purges.get(gateway, {})
        mine = {what: purges[what] for what in (record.key, record.group) if what in purges}
        if mine:
            self.known[number] = mine
        if record.ran is not None and record.effect != "replayable":
            when, where, was, its = record.ran
            same = {"all": True, "zone": zone == was, "cell": cell == its}[record.where]
            if record.effect == "non-replayable":
                self.breach(
                    2, at, gateway, f"non-replayable {record.name} sent again: {where} may have executed it"
                )
            elif at > when + record.window or not same:
                self.breach(2, at, gateway, f"uniqued {record.name} sent again outside its window or group")

    def taken(self, number: int, box: str, at: int) -> None:
        """Check a dispatch when it arrives at its server."""
        request, _, zone, cell = self.of[number]
        record = self.requests[request]
        if record.out:
            self.breach(2, at, box, f"{record.name} out twice: still at {next(iter(record.out.values()))}")
        record.out[number] = box
        self.began[number] = at

    def ended(self, number: int, word: str, at: int) -> None:
        """Record the end of a dispatch at its server: answered, cancelled or connection closed."""
        request, box, zone, cell = self.of[number]
        record = self.requests[request]
        if record.out.pop(number, None) is None:
            return
        if word not in NEVER_RAN and record.ran is None:
            record.ran = (self.began[number], box, zone, cell)

    def effect(self, key: str, box: str, at: int) -> None:
        """Check that a write takes effect once only."""
        if key in self.effects:
            self.breach(2, at, box, f"write {key} took effect twice, first at {self.effects[key]}")
        self.effects.setdefault(key, box)

    def served(self, number: int, born: int, at: int) -> None:
        """Check an answer from a copy that the origin served at `born`."""
        record = self.requests[self.of[number][0]]
        for what, purged in self.known.get(number, {}).items():
            if 0 < born < purged:
                self.breach(
                    5,
                    at,
                    "client",
                    f"{record.name} served a copy {(purged - born) / 10:.0f} ms older "
                    f"than a purge of {what} that its gateway knew",
                )

    # --- the change log ---

    def listed(self, gateway: str, box: str, leaving: bool, at: int) -> None:
        """Record the state of a server as delivered to a gateway."""
        was, since = self.states.get((gateway, box), (False, 0))
        if leaving != was:
            self.states[gateway, box] = (leaving, at)

    def purged(self, gateway: str, what: str | int, when: int) -> None:
        """Record a purge as delivered to a gateway."""
        purges = self.purges.setdefault(gateway, {})
        purges[what] = max(when, purges.get(what, 0))

    def forget(self, gateway: str) -> None:
        """Discard the state of a gateway that restarted."""
        self.purges.pop(gateway, None)
        for place in [place for place in self.states if place[0] == gateway]:
            del self.states[place]

    def fell(self, box: str, load: float, most: float, at: int) -> None:
        """Record that a cold server was sent more work than its limit."""
        self.breach(4, at, box, f"cold server was sent {load:.0f} of work in the window, limit {most:.0f}")
