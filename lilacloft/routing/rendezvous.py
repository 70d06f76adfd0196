"""Placement: weighted rendezvous hashing with bounded loads.

Every gateway computes the same order of backends for an object part, and only the parts of a lost backend
move. A backend is passed over while this gateway's own load there, or what it reports, exceeds a bound.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple

from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.model import Backend, Request

MIN_BOUND = 6  # mean requests that one gateway may always have in flight at a home; the bound applies above
BOUND_FACTOR = 2.0  # of the pool's mean load by capacity
OVERLOAD_FACTOR = 1.25  # a loaded cache is passed over above this multiple of its pool's mean reported load
LOADED = 0.5  # reported load below which nothing is passed over


class PoolLoad(NamedTuple):
    """The load of a pool of backends."""

    mean_reported: float
    per_capacity: float  # this gateway's own


def hash_order(pool: Sequence[Backend], key: str) -> list[Backend]:
    """Return the pool in the order of preference for a placement key."""

    def rank(backend: Backend) -> float:
        digest = blake2b(f"{key} {backend.name}".encode(), digest_size=8).digest()
        return -math.log((int.from_bytes(digest, "big") + 1) / 2**64) / backend.capacity

    return sorted(pool, key=rank)


def shed_order(request: Request, backend: Backend) -> float:
    """Return an object part's place, 0.5 to 1.5, in the order in which parts leave a loaded cache."""
    return 0.5 + zlib.crc32(f"{request.key} {request.part} {backend.name}".encode()) / 2**32


class Rendezvous:
    """The placement rule of a router."""

    def order(self, pool: Sequence[Backend], key: str) -> list[Backend]:
        """Return the pool in the order of preference for a placement key."""
        return hash_order(pool, key)

    def pool_load(self, pool: Sequence[Backend]) -> PoolLoad:
        """Return the load of a pool; computed once a request, as a pool may be large."""
        if not pool:
            return PoolLoad(0.0, 0.0)
        return PoolLoad(
            sum(backend.reported_load for backend in pool) / len(pool),
            sum(backend.in_flight_load for backend in pool) / sum(backend.capacity for backend in pool),
        )

    def within_bound(self, backend: Backend, pool: PoolLoad, request: Request, mean_load: float) -> bool:
        """Return whether a backend need not be passed over for a request. `mean_load`: of a mean request."""
        if backend.reported_load > LOADED and backend.reported_load > shed_order(request, backend) * max(
            INITIAL_FACTOR, OVERLOAD_FACTOR * pool.mean_reported
        ):
            return False
        return backend.in_flight_load <= max(
            MIN_BOUND * mean_load, BOUND_FACTOR * pool.per_capacity * backend.capacity
        )
