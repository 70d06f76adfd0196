"""Placement: weighted rendezvous hashing with bounded loads.

Every gateway computes the same order of backends for an object part, and when a backend is lost, only its
parts move. A backend is skipped while this gateway's own load on it, or its reported load, exceeds a bound.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple

from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.model import Backend, Request

MIN_BOUND = 6  # average requests that one gateway may always have in flight at a home, whatever the bound
BOUND_FACTOR = 2.0  # of the pool's mean load by capacity
OVERLOAD_FACTOR = 1.25  # a loaded cache is skipped above this multiple of its pool's mean reported load
MIN_SKIPPED_LOAD = 0.5  # no backend is skipped for a reported load up to this one


class PoolLoad(NamedTuple):
    """The load of a pool of backends."""

    mean_reported: float
    per_capacity: float  # from this gateway alone


def hash_order(pool: Sequence[Backend], key: str) -> list[Backend]:
    """Return the pool in order of preference for a placement key."""

    def rank(backend: Backend) -> float:
        digest = blake2b(f"{key} {backend.name}".encode(), digest_size=8).digest()
        return -math.log((int.from_bytes(digest, "big") + 1) / 2**64) / backend.capacity

    return sorted(pool, key=rank)


def shed_order(request: Request, backend: Backend) -> float:
    """Return the rank of an object part in the order in which a loaded cache sheds parts, lowest first: a
    hash of the part and the cache, from 0.5 to 1.5."""
    return 0.5 + zlib.crc32(f"{request.key} {request.part} {backend.name}".encode()) / 2**32


class Rendezvous:
    """The placement rule of a router."""

    def order(self, pool: Sequence[Backend], key: str) -> list[Backend]:
        """Return the pool in order of preference for a placement key."""
        return hash_order(pool, key)

    def pool_load(self, pool: Sequence[Backend]) -> PoolLoad:
        """Return the load of a pool; computed once per request, as a pool may be large."""
        if not pool:
            return PoolLoad(0.0, 0.0)
        return PoolLoad(
            sum(backend.reported_load for backend in pool) / len(pool),
            sum(backend.in_flight_load for backend in pool) / sum(backend.capacity for backend in pool),
        )

    def within_bound(self, backend: Backend, pool: PoolLoad, request: Request, mean_load: float) -> bool:
        """Return whether a backend's load is within its bounds, so that it is not skipped for a request.
        `mean_load`: the load of an average request."""
        if backend.reported_load > MIN_SKIPPED_LOAD and backend.reported_load > shed_order(
            request, backend
        ) * max(INITIAL_FACTOR, OVERLOAD_FACTOR * pool.mean_reported):
            return False
        return backend.in_flight_load <= max(
            MIN_BOUND * mean_load, BOUND_FACTOR * pool.per_capacity * backend.capacity
        )
