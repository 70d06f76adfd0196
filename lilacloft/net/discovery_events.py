"""The events of discovery's change log: endpoint lists, changes to the list, and purges.

They are decoded from the frames of a watch, or read from the configuration, which has them as JSON.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from typing import Any, Literal, NamedTuple, TypeAlias

from lilacloft.net.resp import GarbledError
from lilacloft.routing.endpoint_entry import EndpointEntry

ENDPOINT = struct.Struct(">I4sHBBBHIQ")  # name, address, port, state, zone, kind, cell, capacity, start
OBJECT_PURGE = struct.Struct(">QQ")  # key, time
GROUP_PURGE = struct.Struct(">HQ")  # group, time
MAX_EVENT_SIZE = ENDPOINT.size << 16  # bytes; cell numbers have two bytes, which bounds the list
CAPACITY_UNIT = 1000  # capacities in frames are in thousandths

# kinds of frames
HEARTBEAT, FULL_LIST, LIST_CHANGES, OBJECT_PURGED, GROUP_PURGED = range(5)

STATUS_BY_NAME = {"active": 1, "leaving": 2, "left": 0}  # values of `BackendStatus`
STATUS_BY_CODE = (1, 2, 0)  # indexed by the state's code in frames


class Purge(NamedTuple):
    """A purge: copies of an object, or of a group of objects, from before a time must not be served."""

    key: str  # empty: the purge is of a group
    group: int
    time: int  # Unix time in milliseconds


class DiscoveryEvent(NamedTuple):
    """One event of the change log."""

    kind: Literal["full", "delta", "purge"]  # the whole list, changes to it, or a purge
    content: list[EndpointEntry] | Purge


NumberedEvent: TypeAlias = tuple[int, DiscoveryEvent]


def decode_event(number: int, kind: int, payload: bytes) -> DiscoveryEvent | None:
    """Decode the payload of a frame; None for a heartbeat. Raises GarbledError if it is malformed."""
    if kind == HEARTBEAT and not payload:
        return None
    if kind in (FULL_LIST, LIST_CHANGES) and len(payload) % ENDPOINT.size == 0:
        return DiscoveryEvent("full" if kind == FULL_LIST else "delta", list(decode_entries(payload)))
    if kind == OBJECT_PURGED and len(payload) == OBJECT_PURGE.size:
        key, time = OBJECT_PURGE.unpack(payload)
        return DiscoveryEvent("purge", Purge(f"{key:016x}", 0, time))
    if kind == GROUP_PURGED and len(payload) == GROUP_PURGE.size:
        group, time = GROUP_PURGE.unpack(payload)
        return DiscoveryEvent("purge", Purge("", group, time))
    raise GarbledError(f"malformed frame {number}: kind {kind}, payload of {len(payload)} bytes")


def decode_entries(payload: bytes) -> Iterator[EndpointEntry]:
    """Decode the rows of an endpoint list's payload. Raises GarbledError for an unknown state."""
    for name, address, port, state, zone, kind, cell, capacity, started in ENDPOINT.iter_unpack(payload):
        if state >= len(STATUS_BY_CODE):
            raise GarbledError(f"unknown endpoint state {state}")
        yield EndpointEntry(
            f"s-{name:08x}",
            (socket.inet_ntoa(address), port),
            zone,
            kind,
            cell,
            STATUS_BY_CODE[state],
            capacity / CAPACITY_UNIT,
            started,
        )


def events_of_config(
    results: list[dict[str, Any]], zones: list[str], kinds: list[str]
) -> Iterator[NumberedEvent]:
    """Read the events in the configuration (`known.results`), with their numbers."""
    for result in results:
        if "fleet" in result:
            entries = [_entry_of_config(row, zones, kinds) for row in result["fleet"]["targets"]]
            yield result["seq"], DiscoveryEvent("full" if result["fleet"]["all"] else "delta", entries)
        else:
            purge = result["invalidate"]
            content = Purge(purge.get("object", ""), purge.get("bucket", 0), purge["time"])
            yield result["seq"], DiscoveryEvent("purge", content)


def _entry_of_config(row: dict[str, Any], zones: list[str], kinds: list[str]) -> EndpointEntry:
    host, _, port = row["endpoint"].rpartition(":")
    return EndpointEntry(
        row["uid"],
        (host, int(port)),
        zones.index(row["az"]),
        kinds.index(row["model"]),
        row["pod_group"],
        STATUS_BY_NAME[row["state"]],
        row["capacity_hint"],
        row["boot_ms"],
    )
