"""Which part of a gateway's learned state is stored, and how it ages.

What the decisions export for a next process (routing/snapshot.py) is split into parts that change
independently. After a crash the parts come back with their ages and are weighted by them, since what they
describe has changed meanwhile. What rules count (slow-start work, purges, intents) is stored exactly, in
records of its own. There is no I/O here; times are `Ticks` of Unix time.

How long a value holds depends on how fast it can change, not on how long it took to learn:

| value | holds |
| --- | --- |
| sizes and transfer times, a backend's saturation | a day: they are properties of objects and machines |
| shares of late answers, limits | halved each HALF_LIFE: towards zero, limits towards their initial value |
| an ejection | until its next canary request is due, and MAX_EJECTION at most |
| a backend's reported load | LOAD_LIFETIME: its requests have been answered since |
| consecutive failures, canary requests, requests in flight | not at all: their attempts are gone |

The keys of the maps are stored names; those of the exported state are in routing/snapshot.py.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypeAlias

import msgspec

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks
from lilacloft.store.record_types import DAY

HALF_LIFE: Ticks = 30 * TICKS_PER_SECOND  # of what was learned from late answers
MAX_EJECTION: Ticks = 60 * TICKS_PER_SECOND  # for failures that an earlier process saw
LOAD_LIFETIME: Ticks = 2 * TICKS_PER_SECOND
MIN_LIMIT = 1e-6  # keeps a limit's logarithm finite
NOISE = 0.05  # relative difference up to which two values count as the same

# Stored names: keys of the exported state that are taken over unchanged.
ROUTER_KEYS = ("value", "work", "unit")
BACKEND_KEYS = ("started", "holds", "late", "suspect", "retry_at", "backoff", "crowd")

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode

# Keys of the records.
LINK_KEY, ROUTER_KEY = b"link", b"router"
VHOST_PREFIX, BACKEND_PREFIX = b"vhost ", b"be "

Part: TypeAlias = dict[str, Any]  # plain values by their stored names


class AgedPart(NamedTuple):
    """A part that was stored, and when."""

    stored_at: Ticks
    values: Mapping[str, Any]


def pack_part(part: Part) -> bytes:
    """Return the value of a LEARNED record."""
    return _encode(part)


def unpack_part(data: bytes) -> Part:
    """Read the value of a LEARNED record. Raises msgspec.MsgspecError."""
    return dict(_decode(data))


def split_parts(exported: Mapping[str, Any], vhosts: Iterable[str]) -> dict[bytes, Part]:
    """Split the exported state of the decisions into parts, by the keys of their records."""
    parts = {
        ROUTER_KEY: {name: exported["router"][name] for name in ("late", *ROUTER_KEYS)},
        LINK_KEY: dict(exported["link"]),
    }
    for name, vhost in zip(vhosts, exported["vhosts"], strict=True):
        parts[VHOST_PREFIX + name.encode()] = dict(vhost)
    for name, backend in exported["bes"].items():
        part = {key: backend[key] for key in BACKEND_KEYS}
        part["way"] = dict(backend["way"]) if backend["way"] else None
        parts[BACKEND_PREFIX + name.encode()] = part
    return parts


def remaining_weight(age: Ticks) -> float:
    """Return the weight of what was learned from late answers at an age, from 0 to 1."""
    return 0.0 if age > DAY else 0.5 ** (age / HALF_LIFE)


def aged_limit(stored: Mapping[str, Any], initial: float, now: Ticks, age: Ticks) -> Part:
    """Return a concurrency limit, drawn back towards its initial value as its age grows.

    It moves by ratio, as limits are cut and raised by ratio.
    """
    weight = remaining_weight(age)
    learned = max(float(stored["limit"]), MIN_LIMIT)
    return {
        "limit": initial * math.exp(weight * math.log(learned / initial)),
        "late": stored["late"] * weight,
        "calm": min(stored["calm"], now + MAX_EJECTION),
        "ended": min(stored["ended"], now),
        "took": stored["took"],
    }


def aged_backend(stored: Mapping[str, Any], initial_limit: float | None, now: Ticks, age: Ticks) -> Part:
    """Return what still holds of one backend, as `snapshot.restore_state` reads it.

    `initial_limit` is None if the backend has no concurrency limit.
    """
    part: Part = {
        "started": stored["started"],
        "reqs": [],
        "trial": None,
        "way": None,
        "late": stored["late"] * remaining_weight(age),
    }
    if age <= DAY:
        part["holds"] = stored["holds"]
    if age <= LOAD_LIFETIME:
        part["crowd"] = stored["crowd"]
    if stored["suspect"] and age <= MAX_EJECTION and stored["retry_at"] > now:
        part["suspect"] = True
        part["retry_at"] = min(stored["retry_at"], now + MAX_EJECTION)
        part["backoff"] = stored["backoff"]
    if stored["way"] and initial_limit:
        part["way"] = aged_limit(stored["way"], initial_limit, now, age)
    return part


def aged_state(
    stored: Mapping[bytes, AgedPart],
    now: Ticks,
    vhosts: Iterable[str],
    initial_limits: Mapping[str, float],
    initial_link_limit: float,
) -> dict[str, Any]:
    """Return all stored parts, weighted by their ages, as `snapshot.restore_state` reads them.

    `initial_limits` has the limits of all listed backends at a start, by name. A part that was stored in the
    future tells that the clock was set back. As its age is unknown, it counts as a day old.
    """

    def age_of(stored_at: Ticks) -> Ticks:
        return now - stored_at if stored_at <= now else DAY

    backends = {}
    for key, part in stored.items():
        if key.startswith(BACKEND_PREFIX):
            name = key[len(BACKEND_PREFIX) :].decode()
            if name in initial_limits:
                age = age_of(part.stored_at)
                backends[name] = aged_backend(part.values, initial_limits[name], now, age)
    vhost_parts = [stored.get(VHOST_PREFIX + name.encode()) for name in vhosts]
    router, link = stored.get(ROUTER_KEY), stored.get(LINK_KEY)
    return {
        "router": _aged_router(router.values, age_of(router.stored_at)) if router else {},
        "vhosts": [
            dict(part.values) if part and part.values and age_of(part.stored_at) <= DAY else {}
            for part in vhost_parts
        ],
        "link": aged_limit(link.values, initial_link_limit, now, age_of(link.stored_at))
        if link and link.values
        else {},
        "bes": backends,
        "objs": [],
        "purges": [],
        "reqs": [],
        "due": [],
    }


def _aged_router(stored: Mapping[str, Any], age: Ticks) -> Part:
    if not stored or age > DAY:
        return {}
    return {**{name: stored[name] for name in ROUTER_KEYS}, "late": stored["late"] * remaining_weight(age)}


class ChangeFilter:
    """Chooses the parts to write: those that have changed by more than noise or were last written a HALF_LIFE
    ago, and those that are gone."""

    def __init__(self) -> None:
        self.written: dict[bytes, AgedPart] = {}

    def changes(self, now: Ticks, parts: Mapping[bytes, Part]) -> dict[bytes, Part | None]:
        """Return the records to write now, by key (None: a removal)."""
        changed: dict[bytes, Part | None] = {}
        for key, part in parts.items():
            before = self.written.get(key)
            if before is None or now - before.stored_at >= HALF_LIFE or differs(before.values, part):
                changed[key], self.written[key] = part, AgedPart(now, part)
        for key in [key for key in self.written if key not in parts]:
            changed[key] = None
            del self.written[key]
        return changed


def differs(one: Any, other: Any) -> bool:
    """Return whether two plain values differ by more than noise, at any depth."""
    if isinstance(one, dict) and isinstance(other, dict):
        return one.keys() != other.keys() or any(differs(one[key], other[key]) for key in one)
    if isinstance(one, bool) or not isinstance(one, int | float) or not isinstance(other, int | float):
        return one != other
    return abs(one - other) > NOISE * max(abs(one), abs(other))
