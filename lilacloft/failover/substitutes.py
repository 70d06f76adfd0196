"""Assigns the objects of a location that has failed over to other locations."""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from lilacloft.failover.recovery_ramp import SPARE_SHARE

BYPASS_ZONE = -1 << 16  # pseudo-number of a location: requests bypass all caches
MIN_BYPASS_WEIGHT = 0.01


class ZoneWeight(NamedTuple):
    """The share of a failed location's objects that another location serves."""

    zone: int  # or `BYPASS_ZONE`
    weight: float


def substitute_zone(placement_key: str, weights: tuple[ZoneWeight, ...]) -> int:
    """Return the location, or `BYPASS_ZONE`, that serves an object part, by weighted rendezvous hashing. The
    result is the same at every gateway. A change of one weight moves as few objects as possible."""
    best_score, chosen = math.inf, BYPASS_ZONE
    for zone, weight in weights:
        if weight > 0:
            uniform = (zlib.crc32(f"{placement_key} to {zone}".encode()) + 1) / (2**32 + 1)
            score = -math.log(uniform) / weight
            if score < best_score:
                best_score, chosen = score, zone
    return chosen


def distribute_demand(spare: Mapping[int, float], demand: float) -> tuple[ZoneWeight, ...]:
    """Return the weights of the locations that serve a failed location's demand, by their spare capacity. The
    demand that they cannot serve bypasses the caches; with an empty result all of it does.

    Rates are in KB/s. Weights are rounded to hundredths, so that noise does not change them.
    """
    if demand <= 0:
        return ()
    usable = {zone: SPARE_SHARE * rate for zone, rate in sorted(spare.items()) if rate > 0}
    total = sum(usable.values())
    if total > demand:
        usable = {zone: rate * demand / total for zone, rate in usable.items()}
    rounded = [ZoneWeight(zone, round(rate / demand, 2)) for zone, rate in usable.items()]
    weights = [entry for entry in rounded if entry.weight > 0]
    remainder = round(1 - sum(entry.weight for entry in weights), 2)
    if weights and remainder > MIN_BYPASS_WEIGHT:
        weights.append(ZoneWeight(BYPASS_ZONE, remainder))
    return tuple(weights)
