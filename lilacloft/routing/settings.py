"""The settings used by the routing rules, typed and in their units."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

LOAD_REPORT_FIELDS = {"inflight", "util"}  # without both, load reports are not usable


@dataclass(frozen=True, slots=True)
class SlowStartProfile:
    """How the capacity of one kind of backend grows after its start, and which load makes it fail."""

    initial_share: float  # share of its full capacity at its start; grows linearly from there
    duration: Ticks  # time from the start to full capacity
    overload_factor: float  # it fails at this multiple of its current capacity


@dataclass(slots=True)
class RoutingSettings:
    """One gateway's settings. Rates are in KB per tick."""

    zone: int  # this gateway's location
    gateways: int  # in all
    zone_gateways: int  # in this location
    parent_kind: int
    origin_kind: int
    transfer_rate: float  # of one transfer at full rate
    zone_link_rates: Sequence[float]  # of the inbound link of each location; 0: unknown
    capacities_known: bool  # the endpoint list has them
    bypass_allowed: bool  # requests may bypass the caches and go to parents and the origin
    collapsing: bool  # caches collapse concurrent requests for an object part into one fill
    purge_lifetime: Ticks  # after which no copy from before a purge is left
    purge_grace: Ticks  # from the publication of a purge until it must be applied
    cache_slow_start: SlowStartProfile
    parent_slow_start: SlowStartProfile
    tick: Ticks  # granularity of the gateway's clock
    overload_window: Ticks  # too much work within this time makes a cold backend fail
    max_attempts: int
    can_cancel: bool
    retry_after: Ticks  # stated in rejections; 0: none may be stated
    health_checks: bool  # they are allowed, and report load
    load_fields: Sequence[str]  # of a load report, in order
    slot_offset: float  # in [0, 1), spreads the turns of the gateways evenly
    subscribes: bool  # discovery sends changes only to subscribers
    cross_location: bool  # caches of other locations may be used if a plan says so

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> RoutingSettings:
        """Create from validated settings with internal names (lilacloft/protocol_settings.py)."""
        family, rules, limits = settings["family"], settings["rules"], settings["limits"]
        zone, fields = settings["zone"], settings["stats"]["names"]
        link_rates = family.get("feed_kb_per_s") or [0] * (zone + 1)
        return cls(
            zone=zone,
            gateways=settings["gateways"],
            zone_gateways=max(1, family["zone_gateways"][zone]),
            parent_kind=family["parent_kind"],
            origin_kind=family["source_kind"],
            transfer_rate=family["pace_kb_per_s"] / TICKS_PER_SECOND,
            zone_link_rates=[rate / TICKS_PER_SECOND for rate in link_rates],
            capacities_known=settings.get("weight_source", "silent") != "silent",
            bypass_allowed=family["pass_through_ok"],
            collapsing=family["joins"],
            purge_lifetime=family["purge_done"] + 1,
            purge_grace=family.get("obey_after", 0),
            cache_slow_start=SlowStartProfile(
                rules["start_capacity"], rules["cold"] + 1, rules["tip_multiple"]
            ),
            parent_slow_start=SlowStartProfile(
                family["parent_floor"], family["parent_warms_in"] + 1, family["parent_breaks_at"]
            ),
            tick=settings["granularity"],
            overload_window=rules["fall"],
            max_attempts=limits["max_dispatches"],
            can_cancel=limits["cancel"],
            retry_after=limits["max_retry_after"] if limits["retry_after"] else 0,
            health_checks=bool(limits["probes"]) and set(fields) >= LOAD_REPORT_FIELDS,
            load_fields=fields,
            slot_offset=settings["slot_no"] * 0.5**0.5 % 1,
            subscribes=settings["discovery"] == "subscribe",
            cross_location=settings.get("across", False),
        )
