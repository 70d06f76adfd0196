"""Named scenarios (`World`): topology, capacities, virtual hosts and workload, and the gateway settings.

The figures are this project's own: measured on its stand-in servers, or rounded. No I/O; spans are in tenths
of a millisecond, sizes in KB, transfer rates in KB per second, request rates per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from lilacloft.emulator.clients import Flash, Habits

SECOND = 10_000


@dataclass(frozen=True)
class Vhost:
    """A virtual host: the value of its requests and how they may be handled."""

    name: str
    target: int = 4000
    timeout: int = 3 * SECOND
    value: float = 1.0
    effect: str = "replayable"
    fresh: int = 0  # freshness lifetime; 0: copies never become stale
    grace: int = 0
    passes: bool = False  # must not be cached
    where: str = "all"  # group within which a request with an idempotency key may be sent again
    window: int = 2 * SECOND

    def worth(self, took: int, work: float) -> float:
        """Return the value of an answer that took so long (`work`: its transfer time at full rate): the full
        value within the target, then less, down to nothing after two timeouts."""
        aim = self.target + 2.0 * work
        if took <= aim:
            return self.value
        return self.value * 0.6 * (1 - min(1.0, (took - aim) / max(1.0, 2 * self.timeout - aim)))


CLIP = Vhost("clip", value=1.0)
MAP = Vhost("map", target=2500, timeout=2 * SECOND, value=2.0, fresh=8 * SECOND, grace=4 * SECOND)
PAY = Vhost("pay", target=4000, value=3.0, effect="uniqued", passes=True)
BOOK = Vhost("book", target=4000, value=5.0, effect="non-replayable", passes=True)


@dataclass(frozen=True)
class World:
    """A scenario for the emulator."""

    name: str = "small"
    zones: int = 1
    caches: int = 6  # per zone
    gateways: int = 2  # per zone
    parents: int = 2
    hubs: int = 1  # locations over which the parents are spread; numbered -1 and below
    cells: int = 2  # failure domains within a zone (`shelf` in faults)
    span: int = 10 * SECOND  # during which clients arrive
    habits: Habits = field(default_factory=Habits)
    vhosts: tuple[Vhost, ...] = (CLIP, MAP, PAY, BOOK)
    pace: float = 4000.0  # maximum rate of one transfer
    cache_size: float = 8.0  # concurrent transfers at full rate
    parent_size: float = 16.0
    origin_size: float = 24.0
    way_in: float = 40_000.0  # capacity of a location's ingress link
    cache_room: float = 60_000.0  # KB
    parent_room: float = 400_000.0
    slots: int = 64  # concurrent dispatches of a server
    hop: float = 5.0  # one-way delay within a location, tenths of a millisecond
    far: float = 60.0  # one-way delay to parents and origin
    begin: int = 5  # processing delay of a server
    service: float = 250.0  # median processing time of the origin per part
    hands: int = 32  # parts and writes that the origin processes at once
    tail: float = 0.4  # sigma of the logarithm of its processing time
    fill_patience: int = 2 * SECOND
    told: tuple[int, int] = (200, 1200)  # range of the change log's delay to a gateway
    cold_cache: tuple[float, int, float] = (0.2, 15 * SECOND, 2.0)
    cold_parent: tuple[float, int, float] = (0.1, 20 * SECOND, 2.0)
    fall: int = SECOND
    drain_grace: int = SECOND
    drops: int = 5 * SECOND  # time after a purge by which no server has an older copy
    joins: bool = True
    warm: bool = True  # caches start with the most popular objects

    def lasting(self, seconds: float) -> World:
        """Return a copy with another duration."""
        return replace(self, span=int(seconds * SECOND))

    def at(self, rate: float) -> World:
        """Return a copy with another request rate per second."""
        return replace(self, habits=replace(self.habits, rate=rate))

    def sizes(self) -> dict[str, int]:
        """Return the number of fault targets of each type."""
        return {
            "cache": self.zones * self.caches,
            "parent": self.parents,
            "gateway": self.zones * self.gateways,
            "zone": self.zones,
            "hub": self.hubs if self.hubs > 1 else 0,
            "shelf": self.cells,
            "version": 3,
            "object": min(20, self.habits.objects),
            "group": self.habits.groups,
        }

    def settings(self, zone: int, slot: int) -> dict[str, Any]:
        """Return the settings of a gateway, under the decision module's names."""
        vhosts = [
            {
                "name": one.name,
                "first_byte_target": one.target,
                "client_timeout": one.timeout,
                "value": one.value,
                "effect": one.effect,
                "repeat_group": one.where,
                "repeat_window": one.window,
                "aim_stretch": 2.0,
            }
            for one in self.vhosts
        ]
        family = {
            "zone_gateways": [self.gateways] * self.zones,
            "parent_kind": 1,
            "source_kind": 2,
            "pace_kb_per_s": self.pace,
            "feed_kb_per_s": [self.way_in] * self.zones,
            "pass_through_ok": True,
            "joins": self.joins,
            "purge_done": self.drops + SECOND,
            "parent_floor": self.cold_parent[0],
            "parent_warms_in": self.cold_parent[1],
            "parent_breaks_at": self.cold_parent[2],
            "fresh": [one.fresh for one in self.vhosts],
            "grace": [one.grace for one in self.vhosts],
            "uncacheable": [one.passes for one in self.vhosts],
        }
        return {
            "vhosts": vhosts,
            "zone": zone,
            "gateways": self.zones * self.gateways,
            "granularity": 20,
            "discovery": "automatic",
            "weight_source": "silent",
            "slot_no": slot,
            "stats": {"names": ["inflight", "util"]},
            "family": family,
            "rules": {
                "start_capacity": self.cold_cache[0],
                "cold": self.cold_cache[1],
                "tip_multiple": self.cold_cache[2],
                "fall": self.fall,
                "drain_grace": self.drain_grace,
            },
            "limits": {
                "max_dispatches": 6,
                "cancel": True,
                "retry_after": True,
                "probes": True,
                "max_retry_after": 5000,
            },
        }


READS = replace(Habits(), rate=120.0, objects=400, mix=(0.6, 0.3, 0.05, 0.05), drift=1.0)
WORLDS = {
    one.name: one
    for one in (
        World("small", habits=READS),
        World("brief", span=4 * SECOND, caches=5, habits=replace(READS, rate=60.0, objects=120)),
        World(
            "sites", zones=3, caches=6, gateways=2, parents=3, habits=replace(READS, rate=360.0, objects=1200)
        ),
        World(
            "videos",
            caches=8,
            parents=3,
            cache_room=200_000.0,
            habits=replace(READS, rate=90.0, parts=6, size=500.0, spread=0.8, mix=(0.9, 0.06, 0.02, 0.02)),
        ),
        World("thin", caches=8, way_in=10_000.0, habits=replace(READS, rate=160.0, zipf=0.7, objects=2000)),
        World(
            "flash",
            caches=8,
            habits=replace(READS, rate=120.0, flashes=[Flash(3 * SECOND, 4 * SECOND, 3.0, 0.6, "o7")]),
        ),
        World("writes", habits=replace(READS, mix=(0.3, 0.2, 0.25, 0.25))),
        World("day", span=20 * SECOND, habits=replace(READS, rate=140.0, day=20 * SECOND, swing=0.7)),
        World("full", caches=6, habits=replace(READS, rate=330.0)),
        # 200 gateways at 1 request/s each; the parents carry all of it, but none a hot object in many parts
        World(
            "hub",
            zones=10,
            caches=4,
            gateways=20,
            parents=4,
            span=12 * SECOND,
            parent_size=8.0,
            far=30.0,
            origin_size=64.0,
            cache_room=200_000.0,
            habits=replace(
                READS,
                rate=200.0,
                objects=600,
                parts=8,
                gap=0.25,
                size=400.0,
                spread=0.3,
                drift=0.0,
                mix=(0.96, 0.02, 0.01, 0.01),
            ),
        ),
        World("one-offs", caches=6, habits=replace(READS, rate=110.0, zipf=0.3, objects=20_000)),
    )
}


def scaled(caches: int, gateways: int, rate: float, per_zone: int = 50) -> World:
    """Return a world with so many caches and gateways, in locations of equal size."""
    zones = max(1, caches // per_zone)
    return World(
        f"{caches}-caches",
        zones=zones,
        caches=caches // zones,
        gateways=max(1, gateways // zones),
        parents=max(2, zones // 4),
        cells=4,
        span=2 * SECOND,
        habits=replace(READS, rate=rate, objects=max(400, 10 * caches)),
    )
