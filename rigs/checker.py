"""Reads the accounts of clients, boxes and change log together, and tells which of the five rules was
broken.

It shares no code with the decision module: the rules stand here in their plainest words, on what was seen
from the outside. Every breach names the rule, the time, who saw it, and what it was.

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
        self.ref, self.backend, self.conn, self.began = entry["ref"], entry["who"], entry["conn"], entry["at"]
        self.over: float | None = None
        self.word = ""  # how it ended: a word of the box's, undo, or closed


def check(entries: list[Entry], limits: Limits) -> list[Breach]:
    """All breaches in entries that are sorted by time."""
    out: list[Breach] = []
    requests = {entry["ref"]: entry for entry in entries if entry["what"] == "req"}
    dispatches = _dispatches(entries)
    out += _answers(entries, requests)
    if limits.attempts:
        out += _beginnings(entries, requests)
    out += _effects(entries, requests, dispatches, limits)
    out += _drains(entries)
    out += _colds(entries, requests, limits)
    out += _purges(entries, requests, limits)
    return sorted(out, key=lambda breach: breach.at)


def _dispatches(entries: list[Entry]) -> dict[str, list[Dispatch]]:
    found: dict[str, list[Dispatch]] = defaultdict(list)
    out: dict[tuple[str, int, str], Dispatch] = {}
    for entry in entries:
        if entry["what"] == "do":
            one = Dispatch(entry)
            found[one.ref].append(one)
            out[one.backend, one.conn, one.ref] = one
        elif entry["what"] in ("end", "undo"):
            one = out.pop((entry["who"], entry["conn"], entry["ref"]), None)
            if one:
                one.over, one.word = entry["at"], entry.get("word", "undo")
        elif entry["what"] == "closed":
            for place in [place for place in out if place[:2] == (entry["who"], entry["conn"])]:
                one = out.pop(place)
                one.over, one.word = entry["at"], "closed"
        elif entry["what"] == "died":
            for place in [place for place in out if place[0] == entry["who"]]:
                one = out.pop(place)
                one.over, one.word = entry["at"], "died"
    return found


def _answers(entries: list[Entry], requests: dict[str, Entry]) -> list[Breach]:
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
            request = requests[ref]
            if entry["at"] > request["at"] + request["allow"] + SLACK:
                late = entry["at"] - request["at"] - request["allow"]
                out.append(Breach(1, entry["at"], entry["who"], f"{ref} answered {late:.3f} s too late"))
            if entry["word"] == "200" and not entry["whole"]:
                out.append(Breach(1, entry["at"], entry["who"], f"{ref} served with what no cache made"))
    last = entries[-1]["at"] if entries else 0.0
    for ref, request in requests.items():
        over = request["at"] + request["allow"] + SLACK
        if ref not in answered and ref not in left and over < last:
            out.append(Breach(1, over, request["who"], f"{ref} never answered"))
    return out


def _beginnings(entries: list[Entry], requests: dict[str, Entry]) -> list[Breach]:
    """The operators' terms on attempts, as parts of rule 1: none begins for who has left, and none is told
    more time than its client has. That counts from when the request was written, where its client says so."""
    out, left = [], {}
    written = {entry["ref"]: entry["at"] for entry in entries if entry["what"] == "written"}
    for entry in entries:
        if entry["what"] == "left":
            left[entry["ref"]] = entry["at"]
        elif entry["what"] == "do" and entry["ref"] in requests:
            ref, at, request = entry["ref"], entry["at"], requests[entry["ref"]]
            if ref in left and at > left[ref] + GONE + SLACK:
                late = at - left[ref]
                out.append(Breach(1, at, entry["who"], f"{ref} begun {late:.3f} s after its client left"))
            over = entry.get("limit", 0.0) - (written.get(ref, request["at"]) + request["allow"] - at)
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
                if state != "active" and entry["at"] > at + DRAIN + SLACK:
                    way = "sent to" if backend == entry["who"] else f"{entry['who']} told to fill from"
                    out.append(Breach(3, entry["at"], backend, f"{entry['ref']} {way} a {state} be"))
    return out


def _colds(entries: list[Entry], requests: dict[str, Entry], limits: Limits) -> list[Breach]:
    """Rule 4: what all gateways together send a be in each fall span after its start, as time that one
    transfer at full pace takes, over what it can do then."""
    out = []
    started: dict[str, tuple[float, float, str]] = {}
    sent: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for entry in entries:
        if entry["what"] == "listed" and entry["started"]:
            started[entry["backend"]] = (entry["started"], entry["capacity"], entry["kind"])
        elif entry["what"] == "do":
            for backend in {entry["who"], entry.get("next")} & started.keys():
                at, capacity, kind = started[backend]
                floor, warm, multiple = limits.cold[kind]
                age = entry["at"] - at
                if age >= warm:
                    continue
                work = requests[entry["ref"]]["kbytes"] / limits.pace if entry["ref"] in requests else 0.0
                sent[backend].append((entry["at"], work))
                first = bisect.bisect_left(sent[backend], (entry["at"] - limits.fall, 0.0))
                load = sum(work for _, work in sent[backend][first:])
                most = multiple * (floor + (1 - floor) * age / warm) * capacity * limits.fall
                if limits.chance and work:
                    calls = most / work
                    most += work * (2 * calls**0.5 + 2 if calls >= 30 else 3 * calls**0.5 + 3)
                if load > most:
                    text = f"cold for {age:.2f} s, sent {load:.2f} s of work in {limits.fall:g} s"
                    out.append(Breach(4, entry["at"], backend, f"{text}, {most:.2f} can be borne"))
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
