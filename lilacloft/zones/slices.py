"""Decides which slice an object is of, and in which order a location's slices return: the same everywhere.

Slices are even parts of all objects by hash. Each location has an order of its own, so that two that return
together do not ask for the same objects first. No I/O.
"""

from __future__ import annotations

import zlib
from functools import cache

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
