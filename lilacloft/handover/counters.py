"""Exports a gateway's counters with its state, and adds them to the counters of the receiver."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

GroupedCounts: TypeAlias = dict[str, dict[str, int]]  # by group, then by name
DISCOVERY_GROUP = "log"


def _groups(gateway: Gateway) -> GroupedCounts:
    """Return the gateway's counters by group, without those of discovery."""
    return {
        "answers": gateway.answer_counts,
        "front": gateway.downstream.counts,
        "back": gateway.upstream.counts,
        "ends": gateway.end_counts,
    }


def export_counters(gateway: Gateway) -> GroupedCounts:
    """Return all counters by group and name."""
    counts = {group: dict(own) for group, own in _groups(gateway).items()}
    counts[DISCOVERY_GROUP] = {
        "connects": gateway.discovery_watch.connects,
        "events": gateway.discovery_watch.events,
    }
    return counts


def add_counters(gateway: Gateway, exported: GroupedCounts) -> None:
    """Add the counters of another process; those that this gateway does not have are ignored."""
    for group, own in _groups(gateway).items():
        for name, count in exported.get(group, {}).items():
            if name in own:
                own[name] += count
    discovery = exported.get(DISCOVERY_GROUP, {})
    gateway.discovery_watch.connects += discovery.get("connects", 0)
    gateway.discovery_watch.events += discovery.get("events", 0)


def counted_since(gateway: Gateway, exported: GroupedCounts) -> GroupedCounts:
    """Return by how much each counter has grown since the counters were exported; without those of discovery,
    as the receiver has counted the same events itself."""
    return {
        group: {name: count - exported.get(group, {}).get(name, 0) for name, count in counts.items()}
        for group, counts in _groups(gateway).items()
    }
