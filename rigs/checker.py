"""Reads the accounts of clients, boxes and change log together, and tells which of the five rules was
broken.

It shares no code with the decision module: the rules stand here in their plainest words, on what was seen
from the outside. Every breach names the rule, the time, who saw it, and what it was.

What a party read counts from when its kernel had it, and a request from when its client's kernel had sent its
last byte, where the entries say so: nobody is judged by when the rig's own threads came to things.

1 one final answer a req, in the client's time; 2 no effect twice, no two dispatches out at once; 3 drains;
4 cold caches; 5 purges.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

SLACK = 0.05  # seconds by which every limit is longer on sockets, as the protocol has it
GONE = 0.1  # seconds after its client has left in which an attempt may begin
TIME_SLACK = 0.15  # seconds by which a told limit may exceed what the client has left
DRAIN = 1.0  # seconds after being told in which a drain may still be sent to
NEVER_RAN = frozenset(("absent", "full", "moot"))

Entry = dict[str, Any]


@dataclass(frozen=True)
class Breach:
    """A rule that was broken."""

    rule: int
    at: float
    who: str
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.4f} seen by {self.who}: {self.text}"


@dataclass
class Limits:
    """What the settings of a world promise; spans in seconds."""

    window: float = 2.0  # in which a uniqued req may be sent again
    told: float = 0.5  # after which what the change log holds is known, where it can be reached
    # by kind: what can be done at the start, when all can, and how far past it a be may be pushed
    cold: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    fall: float = 1.0
    attempts: bool = False  # are the operators' terms on attempts (who has left, told limits) judged as well?
    chance: bool = False  # may a cold be get what the operators' terms leave to chance, beside its budget?
    pace: float = 4000.0  # KB a second that one transfer takes


class Dispatch:
    """One dispatch as a box saw it."""

    def __init__(self, entry: Entry) -> None:
        self.ref, self.backend, self.conn = entry["ref"], entry["who"], entry["conn"]
        self.began = received(entry)
        self.over: float | None = None
        self.word = ""  # how it ended: a word of the box's, undo, closed, or died

    def end(self, at: float, word: str) -> None:
        """It is over. A box may have answered before it read that the dispatch had been given up: then it was
        over before its answer, though it ran."""
        if self.over is None:
            self.over, self.word = at, word
        self.over = min(self.over, at)


def received(entry: Entry) -> float:
    """When the kernel of an entry's party had what the entry tells of."""
    return float(entry["at"] - entry.get("late", 0.0))


def written_times(entries: list[Entry]) -> dict[str, Entry]:
    """The last `written` entry of each request whose client tells when it was written."""
    return {entry["ref"]: entry for entry in entries if entry["what"] == "written"}


def due_time(request: Entry, written: dict[str, Entry]) -> float:
    """The end of a client's time. One that was sent again has no more of it than it had when the connection
    ended that it had been on."""
    entry = written.get(request["ref"])
    sent = entry["at"] - entry.get("crossed", 0.0) if entry else request["at"]
    return float(sent + request["allow"])


def check(entries: list[Entry], limits: Limits) -> list[Breach]:
    """All breaches in entries that are sorted by time."""
    out: list[Breach] = []
    requests = {entry["ref"]: entry for entry in entries if entry["what"] == "req"}
    dispatches = _dispatches(entries)
    written = written_times(entries)
    out += _answers(entries, requests, written)
    if limits.attempts:
        out += _beginnings(entries, requests, written)
    out += _effects(entries, requests, dispatches, limits)
    out += _drains(entries)
    out += _colds(entries, requests, limits)
    out += _purges(entries, requests, limits)
    return sorted(out, key=lambda breach: breach.at)


def _dispatches(entries: list[Entry]) -> dict[str, list[Dispatch]]:
    """All dispatches by request, in the order in which they began. `entries` have the order in which their
    parties read, so that each end is that of the last dispatch of its place."""
    found: dict[str, list[Dispatch]] = defaultdict(list)
    latest: dict[str, dict[int, dict[str, Dispatch]]] = defaultdict(lambda: defaultdict(dict))
    for entry in entries:
        what, on_box = entry["what"], latest[entry["who"]]
        if what == "do":
            one = Dispatch(entry)
            found[one.ref].append(one)
            on_box[one.conn][one.ref] = one
        elif what in ("end", "undo"):
            if one := on_box[entry["conn"]].get(entry["ref"]):
                one.end(received(entry), entry.get("word", "undo"))
        elif what == "closed":
            for one in on_box.pop(entry["conn"], {}).values():
                one.end(received(entry), what)
        elif what == "died":
            for one in [one for by_ref in on_box.values() for one in by_ref.values()]:
                one.end(received(entry), what)
            on_box.clear()
    return {ref: sorted(tries, key=lambda one: one.began) for ref, tries in found.items()}


def _answers(entries: list[Entry], requests: dict[str, Entry], written: dict[str, Entry]) -> list[Breach]:
    """Rule 1."""
    out, answered, left = [], {}, {}
    for entry in entries:
        ref, what = entry.get("ref"), entry["what"]
        if what == "left":
            left[ref] = entry["at"]
        elif what == "lost":
            out.append(Breach(1, entry["at"], entry["who"], f"{ref} lost: its connection ended unanswered"))
            answered[ref] = entry["at"]
        elif what == "extra":
            text = f"an answer that nobody waits for: {entry['word']}"
            out.append(Breach(1, entry["at"], entry["who"], text))
        elif what == "answer":
            if ref in answered:
                out.append(Breach(1, entry["at"], entry["who"], f"{ref} answered twice"))
            answered[ref] = entry["at"]
            at, due = received(entry), due_time(requests[ref], written)
            if at > due + SLACK:
                out.append(Breach(1, at, entry["who"], f"{ref} answered {at - due:.3f} s too late"))
            if entry["word"] == "200" and not entry["whole"]:
                out.append(Breach(1, entry["at"], entry["who"], f"{ref} served with what no cache made"))
    last = entries[-1]["at"] if entries else 0.0
    for ref, request in requests.items():
        over = due_time(request, written) + SLACK
        if ref not in answered and ref not in left and over < last:
            out.append(Breach(1, over, request["who"], f"{ref} never answered"))
    return out


def _beginnings(entries: list[Entry], requests: dict[str, Entry], written: dict[str, Entry]) -> list[Breach]:
    """The operators' terms on attempts, as parts of rule 1: none begins for who has left, and none is told
    more time than its client has. That counts from when the request was written, where its client says so."""
    out: list[Breach] = []
    left = {entry["ref"]: entry["at"] for entry in reversed(entries) if entry["what"] == "left"}
    for entry in entries:
        if entry["what"] == "do" and entry["ref"] in requests:
            ref, at, request = entry["ref"], received(entry), requests[entry["ref"]]
            if ref in left and at > left[ref] + GONE + SLACK:
                late = at - left[ref]
                out.append(Breach(1, at, entry["who"], f"{ref} begun {late:.3f} s after its client left"))
            over = entry.get("limit", 0.0) - (written.get(ref, request)["at"] + request["allow"] - at)
            if "limit" in entry and over > TIME_SLACK:
                out.append(Breach(1, at, entry["who"], f"{ref} told {over:.3f} s more than its client has"))
    return out


def _effects(
    entries: list[Entry], requests: dict[str, Entry], dispatches: dict[str, list[Dispatch]], limits: Limits
) -> list[Breach]:
    """Rule 2."""
    out = []
    for ref, tries in dispatches.items():
        effect = requests[ref]["effect"] if ref in requests else "replayable"
        for one, two in zip(tries, tries[1:], strict=False):
            if one.over is None or two.began < one.over:
                out.append(Breach(2, two.began, two.backend, f"{ref} out twice: still at {one.backend}"))
        ran = [one for one in tries if one.word not in NEVER_RAN]
        for again in ran[1:]:
            if effect == "non-replayable":
                out.append(
                    Breach(
                        2,
                        again.began,
                        again.backend,
                        f"non-replayable {ref} sent again after {ran[0].backend} may have run it",
                    )
                )
            elif effect == "uniqued" and again.began - ran[0].began > limits.window + SLACK:
                out.append(
                    Breach(2, again.began, again.backend, f"uniqued {ref} sent again after its window")
                )
    effects: dict[str, Entry] = {}
    for entry in entries:
        if entry["what"] == "effect":
            what = entry["replay"] or entry["ref"]
            if what in effects:
                out.append(
                    Breach(
                        2,
                        entry["at"],
                        entry["who"],
                        f"the effect of {what} came twice, first at {effects[what]['who']}",
                    )
                )
            effects.setdefault(what, entry)
    return out


def _drains(entries: list[Entry]) -> list[Breach]:
    """Rule 3."""
    out, told = [], {}
    for entry in entries:
        if entry["what"] == "listed":
            told[entry["backend"]] = (entry["state"], entry["at"])
        elif entry["what"] == "do":
            for backend in (entry["who"], entry.get("next")):
                state, at = told.get(backend, ("active", 0.0))
                if state != "active" and received(entry) > at + DRAIN + SLACK:
                    way = "sent to" if backend == entry["who"] else f"{entry['who']} told to fill from"
                    out.append(Breach(3, received(entry), backend, f"{entry['ref']} {way} a {state} be"))
    return out


def _colds(entries: list[Entry], requests: dict[str, Entry], limits: Limits) -> list[Breach]:
    """Rule 4: what all gateways together send a be in each fall span after its start, as time that one
    transfer at full pace takes, over what it can do then."""
    out = []
    started: dict[str, tuple[float, float, str]] = {}
    sent: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for entry in sorted(entries, key=received):
        came_at = received(entry)
        if entry["what"] == "listed" and entry["started"]:
            started[entry["backend"]] = (entry["started"], entry["capacity"], entry["kind"])
        elif entry["what"] == "do":
            for backend in {entry["who"], entry.get("next")} & started.keys():
                at, capacity, kind = started[backend]
                floor, warm, multiple = limits.cold[kind]
                age = came_at - at
                if age >= warm:
                    continue
                work = requests[entry["ref"]]["kbytes"] / limits.pace if entry["ref"] in requests else 0.0
                sent[backend].append((came_at, work))
                first = bisect.bisect_left(sent[backend], (came_at - limits.fall, 0.0))
                load = sum(work for _, work in sent[backend][first:])
                most = multiple * (floor + (1 - floor) * age / warm) * capacity * limits.fall
                if limits.chance and work:
                    calls = most / work
                    most += work * (2 * calls**0.5 + 2 if calls >= 30 else 3 * calls**0.5 + 3)
                if load > most:
                    text = f"cold for {age:.2f} s, sent {load:.2f} s of work in {limits.fall:g} s"
                    out.append(Breach(4, came_at, backend, f"{text}, {most:.2f} can be borne"))
    return out


def _purges(entries: list[Entry], requests: dict[str, Entry], limits: Limits) -> list[Breach]:
    """Rule 5: no answer from a copy older than a purge that was told when its req was sent."""
    out = []
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
                out.append(Breach(5, entry["at"], entry["who"], f"{text} {request['at'] - at:.2f} s before"))
    return out
