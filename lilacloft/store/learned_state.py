"""The part of a gateway's learned state that is stored, and how it ages.

The state that routing exports for the next process (routing/snapshot.py) is split into parts that change
independently. After a crash each part is restored with a weight by its age, since the conditions that it
describes have changed in the meantime. Slow-start work, purges and intents must be exact, as rules depend on
them: they have records of their own. This module does no I/O; times are `Ticks` of Unix time.

How long a value stays valid depends on how fast it can change, not on how long it took to learn:

| value | valid for |
| --- | --- |
| sizes and transfer times, a backend's saturation | a day: they are properties of objects and machines |
| late shares, limits | decay by half each HALF_LIFE: shares to zero, limits to their initial value |
| an ejection | until its next canary request is due, and at most MAX_EJECTION |
| a backend's reported load | LOAD_LIFETIME: its requests have been answered since |
| consecutive failures, canary requests, requests in flight | not restored: their attempts no longer exist |

The keys of the maps are stored names. Those of the exported state are defined in routing/snapshot.py.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypeAlias

import msgspec

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks
from lilacloft.store.record_types import DAY

HALF_LIFE: Ticks = 30 * TICKS_PER_SECOND  # of values learned from late answers
MAX_EJECTION: Ticks = 60 * TICKS_PER_SECOND  # for failures that an earlier process observed
LOAD_LIFETIME: Ticks = 2 * TICKS_PER_SECOND
MIN_LIMIT = 1e-6  # keeps the logarithm of a limit finite
NOISE = 0.05  # relative difference up to which two values count as equal

# Keys of the exported state that are stored unchanged, under the same names.
ROUTER_KEYS = ("value", "work", "unit")
BACKEND_KEYS = ("started", "holds", "late", "suspect", "retry_at", "backoff", "crowd")

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode

# Keys of the records.
LINK_KEY, ROUTER_KEY = b"link", b"router"
VHOST_PREFIX, BACKEND_PREFIX = b"vhost ", b"be "

Part: TypeAlias = dict[str, Any]  # plain values by stored name


class AgedPart(NamedTuple):
    """A stored part and the time at which it was stored."""

    stored_at: Ticks
    values: Mapping[str, Any]


def pack_part(part: Part) -> bytes:
    """Return the value of a LEARNED record."""
    return _encode(part)


def unpack_part(data: bytes) -> Part:
    """Read the value of a LEARNED record. Raises msgspec.MsgspecError."""
    return dict(_decode(data))


def split_parts(exported: Mapping[str, Any], vhosts: Iterable[str]) -> dict[bytes, Part]:
    """Split the exported routing state into parts, by record key."""
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
    """Return the weight, from 0 to 1, of a value learned from late answers at a given age."""
    return 0.0 if age > DAY else 0.5 ** (age / HALF_LIFE)


def aged_limit(stored: Mapping[str, Any], initial: float, now: Ticks, age: Ticks) -> Part:
    """Return a concurrency limit that decays towards its initial value with its age.

    The decay is geometric, since limits are lowered and raised by factors.
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
    """Return the values of one backend that are still valid, as `snapshot.restore_state` reads them.

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
    """Return all stored parts, weighted by age, as `snapshot.restore_state` reads them.

    `initial_limits` has the initial limits of all listed backends, by name. A part that was stored in the
    future means that the clock was set back: its age is unknown, and it counts as a day old.
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
    """Selects the parts to write: those that differ by more than NOISE from what was last written, those last
    written a HALF_LIFE ago, and removals of those that no longer exist."""

    def __init__(self) -> None:
        self.written: dict[bytes, AgedPart] = {}

    def changes(self, now: Ticks, parts: Mapping[bytes, Part]) -> dict[bytes, Part | None]:
        """Return the records to write now, by key (None: a removal)."""
        changed: dict[bytes, Part | None] = {}
        for key, part in parts.items():
            previous = self.written.get(key)
            if previous is None or now - previous.stored_at >= HALF_LIFE or differs(previous.values, part):
                changed[key], self.written[key] = part, AgedPart(now, part)
        for key in [key for key in self.written if key not in parts]:
            changed[key] = None
            del self.written[key]
        return changed


def differs(left: Any, right: Any) -> bool:
    """Return whether two plain values, which may be nested, differ by more than NOISE."""
    if isinstance(left, dict) and isinstance(right, dict):
        return left.keys() != right.keys() or any(differs(left[key], right[key]) for key in left)
    if isinstance(left, bool) or not isinstance(left, int | float) or not isinstance(right, int | float):
        return left != right
    return abs(left - right) > NOISE * max(abs(left), abs(right))
