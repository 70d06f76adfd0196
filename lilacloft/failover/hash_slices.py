"""Decides which slice an object is of, and in which order a location's slices return: the same everywhere.

Slices are even parts of all objects by hash. Each location has an order of its own, so that two that return
together do not ask for the same objects first. No I/O.
"""

from __future__ import annotations

import math
import zlib
from functools import cache

PAST = -1 << 16  # the place of what goes past the caches, among locations
SLICES = 64  # one is 1.6% of the objects: a step that a location bears even cold, where it bears a tenth


def slice_of(place: str) -> int:
    """The slice of a part of an object, named as the module ranks it: `KEY PART`."""
    return zlib.crc32(f"slice {place}".encode()) % SLICES


@cache
def ranks(zone: int) -> tuple[int, ...]:
    """By slice, its place in the order in which a location's slices return."""
    order = sorted(range(SLICES), key=lambda one: (zlib.crc32(f"zone {zone} slice {one}".encode()), one))
    out = [0] * SLICES
    for place, one in enumerate(order):
        out[one] = place
    return tuple(out)


def away(place: str, zone: int, back: int) -> bool:
    """Is an object away from a location of which so many slices are back?"""
    return back < SLICES and ranks(zone)[slice_of(place)] >= back


def target(place: str, weights: tuple[tuple[int, float], ...]) -> int:
    """The location, or PAST, that an object which is away goes to: by hash with weights (rendezvous), the
    same at every gateway; a weight that changes moves only what it has to."""
    best, chosen = math.inf, PAST
    for zone, weight in weights:
        if weight > 0:
            drawn = (zlib.crc32(f"{place} to {zone}".encode()) + 1) / (2**32 + 1)
            score = -math.log(drawn) / weight
            if score < best:
                best, chosen = score, zone
    return chosen
