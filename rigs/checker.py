"""Checks the event logs of clients, backends and change log together against the five correctness rules.

It shares no code with the routing module: the rules are restated here in their simplest form, over externally
observed events. Every breach names the rule, the time, the observer and what happened.

Where the entries carry kernel times, a received message counts from when the receiver's kernel had it, and a
request from when the client's kernel had sent its last byte. Scheduling delays of the rig's own threads thus
do not affect the verdict.

The rules: 1 one final answer per request, before the client's deadline; 2 no effect twice, and no two
concurrent dispatches of a request; 3 no dispatch to draining backends; 4 load limits of cold caches; 5 no
answer from purged copies.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

SLACK = 0.05  # seconds by which the protocol extends every limit on sockets
DISCONNECT_GRACE = 0.1  # seconds after the client's disconnect in which an attempt may still begin
TIMEOUT_SLACK = 0.15  # seconds by which an attempt's timeout may exceed the client's remaining time
DRAIN_GRACE = 1.0  # seconds after the listing in which a draining backend may still receive dispatches
NEVER_RAN = frozenset(("absent", "full", "moot"))

Entry = dict[str, Any]


@dataclass(frozen=True)
class Breach:
    """A violation of a rule."""

    rule: int
    at: float
    who: str
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.4f} seen by {self.who}: {self.text}"


@dataclass
class Limits:
    """The limits that follow from a scenario's settings; durations in seconds."""

    window: float = 2.0  # in which a uniqued request may be sent again
    told: float = 0.5  # within which gateways that can reach the change log know its entries
    # by kind of backend: share of the capacity at the start, seconds until all of it is available, and the
    # multiple of the available capacity that may be sent
    cold: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    fall: float = 1.0  # length of the sliding window over which a cold backend's load is summed
    attempts: bool = False  # check attempts after disconnects and the timeouts of attempts too
    chance: bool = False  # allow a cold backend the random excess over its budget that the operators accept
    pace: float = 4000.0  # KB per second of one transfer


class Dispatch:
    """One dispatch as a backend observed it."""

    def __init__(self, entry: Entry) -> None:
        self.ref, self.backend, self.conn = entry["ref"], entry["who"], entry["conn"]
        self.began = received(entry)
        self.over: float | None = None
        self.word = ""  # how it ended: the backend's outcome, undo, closed, or died

    def end(self, at: float, word: str) -> None:
        """Record an end; the earliest one counts. A backend may answer before it reads the cancellation: then
        the dispatch ended with the cancellation, although it was executed."""
        if self.over is None:
            self.over, self.word = at, word
        self.over = min(self.over, at)


def received(entry: Entry) -> float:
    """Return when the kernel of the observer had received what the entry is about."""
    return float(entry["at"] - entry.get("late", 0.0))


def written_times(entries: list[Entry]) -> dict[str, Entry]:
    """Return the last `written` entry of each request whose client recorded one."""
    return {entry["ref"]: entry for entry in entries if entry["what"] == "written"}


def due_time(request: Entry, written: dict[str, Entry]) -> float:
    """Return the deadline of a request. A request that was resent keeps the time that it had left when its
    earlier connection ended."""
    entry = written.get(request["ref"])
    sent = entry["at"] - entry.get("crossed", 0.0) if entry else request["at"]
    return float(sent + request["allow"])


def check(entries: list[Entry], limits: Limits) -> list[Breach]:
    """Return all breaches; the entries are sorted by time."""
    breaches: list[Breach] = []
    requests = {entry["ref"]: entry for entry in entries if entry["what"] == "req"}
    dispatches = _dispatches(entries)
    written = written_times(entries)
    breaches += _check_answers(entries, requests, written)
    if limits.attempts:
        breaches += _check_attempt_starts(entries, requests, written)
    breaches += _check_effects(entries, requests, dispatches, limits)
    breaches += _check_drains(entries)
    breaches += _check_cold_backends(entries, requests, limits)
    breaches += _check_purges(entries, requests, limits)
    return sorted(breaches, key=lambda breach: breach.at)


def _dispatches(entries: list[Entry]) -> dict[str, list[Dispatch]]:
    """Return the dispatches by request, in the order of their start. `entries` are in the order in which the
    observers read, so an end belongs to the latest dispatch of that request on that connection."""
    found: dict[str, list[Dispatch]] = defaultdict(list)
    latest: dict[str, dict[int, dict[str, Dispatch]]] = defaultdict(lambda: defaultdict(dict))
    for entry in entries:
        what, on_backend = entry["what"], latest[entry["who"]]
        if what == "do":
            dispatch = Dispatch(entry)
            found[dispatch.ref].append(dispatch)
            on_backend[dispatch.conn][dispatch.ref] = dispatch
        elif what in ("end", "undo"):
            if dispatch := on_backend[entry["conn"]].get(entry["ref"]):
                dispatch.end(received(entry), entry.get("word", "undo"))
        elif what == "closed":
            for dispatch in on_backend.pop(entry["conn"], {}).values():
                dispatch.end(received(entry), what)
        elif what == "died":
            for dispatch in [dispatch for by_ref in on_backend.values() for dispatch in by_ref.values()]:
                dispatch.end(received(entry), what)
            on_backend.clear()
    return {ref: sorted(started, key=lambda dispatch: dispatch.began) for ref, started in found.items()}


def _check_answers(
    entries: list[Entry], requests: dict[str, Entry], written: dict[str, Entry]
) -> list[Breach]:
    """Rule 1: one final answer per request, in time."""
    breaches, answered, disconnected = [], {}, {}
    for entry in entries:
        ref, what = entry.get("ref"), entry["what"]
        if what == "left":
            disconnected[ref] = entry["at"]
        elif what == "lost":
            breaches.append(
                Breach(1, entry["at"], entry["who"], f"{ref} lost: its connection ended unanswered")
            )
            answered[ref] = entry["at"]
        elif what == "extra":
            text = f"an answer that nobody waits for: {entry['word']}"
            breaches.append(Breach(1, entry["at"], entry["who"], text))
        elif what == "answer":
            if ref in answered:
                breaches.append(Breach(1, entry["at"], entry["who"], f"{ref} answered twice"))
            answered[ref] = entry["at"]
            at, due = received(entry), due_time(requests[ref], written)
            if at > due + SLACK:
                breaches.append(Breach(1, at, entry["who"], f"{ref} answered {at - due:.3f} s too late"))
            if entry["word"] == "200" and not entry["whole"]:
                breaches.append(Breach(1, entry["at"], entry["who"], f"{ref} served with what no cache made"))
    last = entries[-1]["at"] if entries else 0.0
    for ref, request in requests.items():
        deadline = due_time(request, written) + SLACK
        if ref not in answered and ref not in disconnected and deadline < last:
            breaches.append(Breach(1, deadline, request["who"], f"{ref} never answered"))
    return breaches


def _check_attempt_starts(
    entries: list[Entry], requests: dict[str, Entry], written: dict[str, Entry]
) -> list[Breach]:
    """Rule 1 for attempts: none begins after the client's disconnect, and none has a timeout beyond the
    client's remaining time, which counts from when the request was written if the client recorded that."""
    breaches: list[Breach] = []
    disconnected = {entry["ref"]: entry["at"] for entry in reversed(entries) if entry["what"] == "left"}
    for entry in entries:
        if entry["what"] == "do" and entry["ref"] in requests:
            ref, at, request = entry["ref"], received(entry), requests[entry["ref"]]
            if ref in disconnected and at > disconnected[ref] + DISCONNECT_GRACE + SLACK:
                late = at - disconnected[ref]
                breaches.append(
                    Breach(1, at, entry["who"], f"{ref} begun {late:.3f} s after its client left")
                )
            excess = entry.get("limit", 0.0) - (written.get(ref, request)["at"] + request["allow"] - at)
            if "limit" in entry and excess > TIMEOUT_SLACK:
                breaches.append(
                    Breach(1, at, entry["who"], f"{ref} told {excess:.3f} s more than its client has")
                )
    return breaches


def _check_effects(
    entries: list[Entry], requests: dict[str, Entry], dispatches: dict[str, list[Dispatch]], limits: Limits
) -> list[Breach]:
    """Rule 2: no effect twice, no two concurrent dispatches."""
    breaches = []
    for ref, attempted in dispatches.items():
        effect = requests[ref]["effect"] if ref in requests else "replayable"
        for earlier, later in zip(attempted, attempted[1:], strict=False):
            if earlier.over is None or later.began < earlier.over:
                breaches.append(
                    Breach(2, later.began, later.backend, f"{ref} out twice: still at {earlier.backend}")
                )
        executed = [dispatch for dispatch in attempted if dispatch.word not in NEVER_RAN]
        for repeated in executed[1:]:
            if effect == "non-replayable":
                breaches.append(
                    Breach(
                        2,
                        repeated.began,
                        repeated.backend,
                        f"non-replayable {ref} sent again after {executed[0].backend} may have run it",
                    )
                )
            elif effect == "uniqued" and repeated.began - executed[0].began > limits.window + SLACK:
                breaches.append(
                    Breach(2, repeated.began, repeated.backend, f"uniqued {ref} sent again after its window")
                )
    effects: dict[str, Entry] = {}
    for entry in entries:
        if entry["what"] == "effect":
            effect_id = entry["replay"] or entry["ref"]
            if effect_id in effects:
                breaches.append(
                    Breach(
                        2,
                        entry["at"],
                        entry["who"],
                        f"the effect of {effect_id} came twice, first at {effects[effect_id]['who']}",
                    )
                )
            effects.setdefault(effect_id, entry)
    return breaches


def _check_drains(entries: list[Entry]) -> list[Breach]:
    """Rule 3: no dispatch to a draining backend."""
    breaches, states = [], {}
    for entry in entries:
        if entry["what"] == "listed":
            states[entry["backend"]] = (entry["state"], entry["at"])
        elif entry["what"] == "do":
            for backend in (entry["who"], entry.get("next")):
                state, at = states.get(backend, ("active", 0.0))
                if state != "active" and received(entry) > at + DRAIN_GRACE + SLACK:
                    action = "sent to" if backend == entry["who"] else f"{entry['who']} told to fill from"
                    breaches.append(
                        Breach(3, received(entry), backend, f"{entry['ref']} {action} a {state} backend")
                    )
    return breaches


def _check_cold_backends(entries: list[Entry], requests: dict[str, Entry], limits: Limits) -> list[Breach]:
    """Rule 4: the work that all gateways together send a cold backend in any window, in seconds of transfer
    at the full rate, stays below its capacity at that age."""
    breaches = []
    started: dict[str, tuple[float, float, str]] = {}
    sent: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for entry in sorted(entries, key=received):
        received_at = received(entry)
        if entry["what"] == "listed" and entry["started"]:
            started[entry["backend"]] = (entry["started"], entry["capacity"], entry["kind"])
        elif entry["what"] == "do":
            for backend in {entry["who"], entry.get("next")} & started.keys():
                at, capacity, kind = started[backend]
                floor, warm_up, multiple = limits.cold[kind]
                age = received_at - at
                if age >= warm_up:
                    continue
                work = requests[entry["ref"]]["kbytes"] / limits.pace if entry["ref"] in requests else 0.0
                sent[backend].append((received_at, work))
                first = bisect.bisect_left(sent[backend], (received_at - limits.fall, 0.0))
                load = sum(work for _, work in sent[backend][first:])
                allowed = multiple * (floor + (1 - floor) * age / warm_up) * capacity * limits.fall
                if limits.chance and work:
                    calls = allowed / work
                    allowed += work * (2 * calls**0.5 + 2 if calls >= 30 else 3 * calls**0.5 + 3)
                if load > allowed:
                    text = f"cold for {age:.2f} s, sent {load:.2f} s of work in {limits.fall:g} s"
                    breaches.append(Breach(4, received_at, backend, f"{text}, {allowed:.2f} s allowed"))
    return breaches


def _check_purges(entries: list[Entry], requests: dict[str, Entry], limits: Limits) -> list[Breach]:
    """Rule 5: no answer from a copy older than a purge that was known when the request was sent."""
    breaches = []
    purges: dict[str, list[float]] = defaultdict(list)
    for entry in entries:
        if entry["what"] == "purge":
            purges[entry.get("key") or f"group {entry['group']}"].append(entry["at"])
    for entry in entries:
        if entry["what"] != "answer" or entry["word"] != "200" or not entry.get("born"):
            continue
        request = requests[entry["ref"]]
        for at in purges[request["key"]] + purges[f"group {request['group']}"]:
            if entry["born"] < at and request["at"] > at + limits.told:
                text = f"{entry['ref']} served a copy {at - entry['born']:.2f} s older than a purge"
                breaches.append(
                    Breach(5, entry["at"], entry["who"], f"{text} {request['at'] - at:.2f} s before")
                )
    return breaches
