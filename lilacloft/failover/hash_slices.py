"""The hash slices of objects, and the order in which the slices of a location return. Both are the same at
every gateway.

Slices are equal shares of all objects by hash. Each location has its own order, so that two locations that
return together do not receive the same objects first.
"""

from __future__ import annotations

import zlib
from functools import cache

SLICE_COUNT = 64  # a slice is 1.6% of the objects: a cold location can serve it with a tenth of its capacity


def slice_index(placement_key: str) -> int:
    """Return the slice of an object part. `placement_key`: `KEY PART`, as in rendezvous hashing."""
    return zlib.crc32(f"slice {placement_key}".encode()) % SLICE_COUNT


@cache
def return_positions(zone: int) -> tuple[int, ...]:
    """Return the position of each slice in the order in which the slices of a location return."""
    order = sorted(
        range(SLICE_COUNT), key=lambda index: (zlib.crc32(f"zone {zone} slice {index}".encode()), index)
    )
    positions = [0] * SLICE_COUNT
    for position, index in enumerate(order):
        positions[index] = position
    return tuple(positions)


def is_failed_over(placement_key: str, zone: int, returned_slices: int) -> bool:
    """Return whether a location with so many returned slices does not serve an object part."""
    return (
        returned_slices < SLICE_COUNT
        and return_positions(zone)[slice_index(placement_key)] >= returned_slices
    )
