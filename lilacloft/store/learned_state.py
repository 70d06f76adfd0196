"""Decides what of a gateway's learned state is kept, and what of it still holds after how long.

What the decision module gives to a next process (`Router.give`) is split into parts that change one by one;
after a crash the parts come back with their ages, and are weakened by them, as what they tell of goes on
without anybody looking. What rules count (budgets, purges, intents) is kept elsewhere, exactly. No I/O;
times and spans are whole tenths of a millisecond of Unix time.

How long a thing holds is taken from how fast it can have changed, not from how long it took to learn:

| what | holds |
| --- | --- |
| sizes and sending times, what a be can hold (`holds`) | a day: they are what objects and machines are like |
| shares of late answers, limits | halved in each HALF towards nothing known, limits towards their start |
| a suspicion | until its next trial is due, and never beyond TRUST; then its be counts as any other |
| how crowded a be is | MOMENT: its requests have been answered since |
| symptoms in a row, trials, counts of what is out | not at all: they are of dispatches that are no more |
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

SECOND = 10_000
DAY = 86_400 * SECOND
HALF = 30 * SECOND  # in which what was known of lateness is worth half
TRUST = 60 * SECOND  # beyond which nobody is suspect for what was seen before
MOMENT = 2 * SECOND
ROUTER = ("value", "work", "unit")  # of the whole gateway: sizes and values
OF_BE = ("started", "holds", "late", "suspect", "retry_at", "backoff", "crowd")
LINK, WHOLE = b"link", b"router"
VHOST, BE = b"vhost ", b"be "


def parts(given: Mapping[str, Any], vhosts: Iterable[str]) -> dict[bytes, dict[str, Any]]:
    """What `Router.give` gives, by the keys under which it is kept."""
    out = {WHOLE: {name: given["router"][name] for name in ("late", *ROUTER)}, LINK: dict(given["link"])}
    for name, vhost in zip(vhosts, given["vhosts"], strict=True):
        out[VHOST + name.encode()] = dict(vhost)
    for name, told in given["bes"].items():
        kept = {key: told[key] for key in OF_BE}
        out[BE + name.encode()] = {**kept, "way": dict(told["way"]) if told["way"] else None}
    return out


def worth(age: int) -> float:
    """How much what was known of lateness is still worth, 0 to 1."""
    return 0.0 if age > DAY else 0.5 ** (age / HALF)


def limit(kept: Mapping[str, Any], start: float, now: int, age: int) -> dict[str, Any]:
    """A limit, drawn back to its start as its age grows: by ratio, as it was cut and raised."""
    weight = worth(age)
    learned = max(float(kept["limit"]), 1e-6)
    return {
        "limit": start * math.exp(weight * math.log(learned / start)),
        "late": kept["late"] * weight,
        "calm": min(kept["calm"], now + TRUST),
        "ended": min(kept["ended"], now),
        "took": kept["took"],
    }


def backend(kept: Mapping[str, Any], start: float | None, now: int, age: int) -> dict[str, Any]:
    """What still holds of one be, in the form in which `Router.take` reads it. `start`: its limit at a
    start, none where it has none."""
    out: dict[str, Any] = {
        "started": kept["started"],
        "reqs": [],
        "trial": None,
        "way": None,
        "late": kept["late"] * worth(age),
    }
    if age <= DAY:
        out["holds"] = kept["holds"]
    if age <= MOMENT:
        out["crowd"] = kept["crowd"]
    if kept["suspect"] and age <= TRUST and kept["retry_at"] > now:
        out.update(suspect=True, retry_at=min(kept["retry_at"], now + TRUST), backoff=kept["backoff"])
    if kept["way"] and start:
        out["way"] = limit(kept["way"], start, now, age)
    return out


def aged(
    found: Mapping[bytes, tuple[int, Mapping[str, Any]]],
    now: int,
    vhosts: Iterable[str],
    starts: Mapping[str, float],
    link: float,
) -> dict[str, Any]:
    """All parts with the times when they were kept, weakened by their ages; what `Router.take` takes. A time
    that lies ahead says that the clock was put back: then only what holds for a day is taken, as its age is
    not known. `starts`: the limits at a start of the bes that are listed; `link`: that of the link."""

    def age(at: int) -> int:
        return now - at if at <= now else DAY

    router: dict[str, Any] = {}
    at, whole = found.get(WHOLE, (0, None))
    if whole and age(at) <= DAY:
        router = {name: whole[name] for name in ROUTER}
        router["late"] = whole["late"] * worth(age(at))
    by_vhost = []
    for name in vhosts:
        at, kept = found.get(VHOST + name.encode(), (0, None))
        by_vhost.append(dict(kept) if kept and age(at) <= DAY else {})
    at, kept = found.get(LINK, (0, None))
    backends = {}
    for key, (since, told) in found.items():
        if key.startswith(BE) and (name := key[len(BE) :].decode()) in starts:
            backends[name] = backend(told, starts[name], now, age(since))
    return {
        "router": router,
        "vhosts": by_vhost,
        "link": limit(kept, link, now, age(at)) if kept else {},
        "bes": backends,
        "objs": [],
        "purges": [],
        "reqs": [],
        "due": [],
    }


class Changes:
    """Which parts are worth a record: those that have changed since they were last kept, by more than noise,
    and those that are not there any more."""

    def __init__(self) -> None:
        self.kept: dict[bytes, tuple[int, dict[str, Any]]] = {}

    def since(self, now: int, found: Mapping[bytes, dict[str, Any]]) -> dict[bytes, dict[str, Any] | None]:
        """What is to be kept now: parts by key, none for those that go."""
        out: dict[bytes, dict[str, Any] | None] = {}
        for key, part in found.items():
            at, before = self.kept.get(key, (0, None))
            if before is None or now - at >= HALF or differs(before, part):
                out[key], self.kept[key] = part, (now, part)
        for key in [key for key in self.kept if key not in found]:
            out[key] = None
            del self.kept[key]
        return out


def differs(one: Any, other: Any) -> bool:
    """Do two values differ by more than a twentieth, at any depth?"""
    if isinstance(one, dict) and isinstance(other, dict):
        return one.keys() != other.keys() or any(differs(one[key], other[key]) for key in one)
    if isinstance(one, bool) or not isinstance(one, int | float) or not isinstance(other, int | float):
        return one != other
    return abs(one - other) > 0.05 * max(abs(one), abs(other))
