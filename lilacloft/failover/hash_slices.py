"""The hash slices of objects, and the order in which a location's slices return: the same at every gateway.

Slices are even shares of all objects by hash. Each location has an order of its own, so that two locations
that return together do not receive the same objects first.
"""

from __future__ import annotations

import zlib
from functools import cache

SLICE_COUNT = 64  # a slice has 1.6% of the objects: a cold location serves it even at a tenth of its capacity


def slice_index(placement_key: str) -> int:
    """Return the slice of an object part. `placement_key`: `KEY PART`, as in rendezvous hashing."""
    return zlib.crc32(f"slice {placement_key}".encode()) % SLICE_COUNT


@cache
def return_positions(zone: int) -> tuple[int, ...]:
    """Return by slice its position in the order in which a location's slices return."""
    order = sorted(
        range(SLICE_COUNT), key=lambda index: (zlib.crc32(f"zone {zone} slice {index}".encode()), index)
    )
    positions = [0] * SLICE_COUNT
    for position, index in enumerate(order):
        positions[index] = position
    return tuple(positions)


def is_away(placement_key: str, zone: int, returned_slices: int) -> bool:
    """Return whether an object part is not served by a location of which so many slices have returned."""
    return (
        returned_slices < SLICE_COUNT
        and return_positions(zone)[slice_index(placement_key)] >= returned_slices
    )
