"""Settings of a small deployment like `panlor-depots`: two hubs, one depot, three virtual hosts."""

from __future__ import annotations

import copy
from typing import Any

from world import Cache, ChangeLog, Gateway, World, free_port

ZONES = ["north", "south", "depot"]
KINDS = ["type-a", "type-b", "parent", "origin"]
SECOND = 1_000_000_000
VIDEO, MAP, BOOK = "video-part", "map-image", "ride-book"


def _vhost(
    name: str, target: float, timeout: float, value: float, repeat: str, stretch: float
) -> dict[str, Any]:
    return {
        "name": name,
        "promiseNs": int(target * SECOND),
        "deadlineNs": int(timeout * SECOND),
        "gain": value,
        "lateWorth": 0.15,
        "repeat": repeat,
        "dedupScope": "all",
        "repeatWindowNs": 2 * SECOND,
        "aimStretch": stretch,
        "streamed": False,
    }


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "slotNo": 0,
    "zone": 2,
    "zones": ZONES,
    "kinds": KINDS,
    "kindOfService": "edge",
    "discovery": "automatic",
    "granularityNs": 2_000_000,
    "weightSource": "rough",
    "classes": [
        _vhost(VIDEO, 0.5, 5, 2.0, "repeatable", 1.6),
        _vhost(MAP, 0.25, 3, 1.0, "repeatable", 2.0),
        _vhost(BOOK, 0.7, 3, 3.0, "by_key", 0.0),
    ],
    "familyInfo": {
        "freshForNs": [0, 12 * SECOND, 0],
        "staleForNs": [0, 0, 0],
        "multiPart": [True, False, False],
        "passOn": [False, False, True],
        "passThroughOk": False,
        "joins": True,
        "sideways": "location",
        "notesGiven": "all",
        "zoneBalancers": [0, 0, 1],
        "hubByZone": [0, 1, 0],
        "feedKbPerS": [0.0, 0.0, 0.0],
        "paceKbPerS": 8000.0,
        "parentKind": 2,
        "sourceKind": 3,
        "parentFloor": 0.072,
        "parentWarmsInNs": 19 * SECOND,
        "parentBreaksAt": 2.0,
        "purgeDoneNs": 6 * SECOND,
        "obeyAfterNs": 300_000_000,
    },
    "stats": {"names": ["util", "x0"], "source": "pull"},
    "limits": {
        "maxAttempts": 8,
        "mayDuplicate": False,
        "cancel": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfterNs": 500_000_000,
        "streamsPerConn": 32,
        "connectTimeoutNs": 400_000_000,
        "keepaliveNs": 30 * SECOND,
        "peerMessages": False,
    },
    "obligations": {
        "answerSlackNs": 8_000_000,
        "drainGraceNs": 2 * SECOND,
        "startCapacity": 0.21,
        "coldNs": 17 * SECOND,
        "tipMultiple": 2.5,
        "fallNs": int(1.5 * SECOND),
    },
    "prices": {},
    "goal": {"whole": 0.5, "worstWindow": 0.3, "worstClass": 0.2, "worstTenant": 0.0},
    "projects": [],
    "clients": {"marksRetry": False},
}


class Depot(World):
    """One depot: caches, two parents, the origin, the change log and one gateway."""

    def __init__(self, caches: int = 4) -> None:
        super().__init__()
        kinds = ["type-a", "type-b"]
        self.caches = [Cache(self.record, number + 1, kinds[number % 2], "depot") for number in range(caches)]
        self.parents = [Cache(self.record, 101 + number, "parent", ZONES[number]) for number in range(2)]
        self.origin = Cache(self.record, 201, "origin", "north")
        self.log = ChangeLog(self.record)
        self.listed = [*self.caches, *self.parents, self.origin]
        self.parties += [*self.listed, self.log]
        for cache in self.listed:
            cache.fresh_ms, cache.not_kept = {MAP: 12_000}, {BOOK}
        self.gateway = Gateway(self.record, self.folder, self.config(free_port()))
        self.gateways.append(self.gateway)

    def config(self, port: int) -> dict[str, Any]:
        """Return the configuration of the gateway, with the list as it is now."""
        targets = [cache.row() for cache in self.listed]
        return {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"127.0.0.1:{self.log.port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {
                "seq": self.log.last,
                "results": [{"seq": self.log.last, "fleet": {"rev": 1, "all": True, "targets": targets}}],
            },
            "settings": copy.deepcopy(SETTINGS),
        }

    def change(self, cache: Cache, state: int) -> float:
        """Put a change of one cache's state into the change log; returns when."""
        cache.state = state
        return self.log.add(
            2, cache.packed(ZONES, KINDS), f"{cache.name}:{('active', 'leaving', 'left')[state]}"
        )
