"""Coalesces changes of the endpoint list that wait to be applied, so that a long backlog is applied soon.

Each application costs time that grows with the list, so of several changes to one backend only the last is
applied. Changes stay apart where one after the other means something else than the last alone: a whole list,
a backend that goes, comes back or moves to another place, and an address that passes from one backend to
another.

No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.host import ListMode


@dataclass
class ListChange:
    """A list, or changes to it, from one event or from several that follow each other."""

    mode: str  # a ListMode
    entries: dict[str, EndpointEntry]  # by the backend's name, in the order of their events
    number: int  # of the last of these events
    _names: dict[tuple[str, int], str] = field(default_factory=dict)  # by the addresses of listed backends

    def __post_init__(self) -> None:
        self._names = {entry.address: entry.name for entry in self.entries.values() if entry.status}

    def accepts(self, change: ListChange) -> bool:
        """Return whether this change and the following one may be applied at once."""
        return change.mode == ListMode.DELTA and all(map(self._accepts_entry, change.entries.values()))

    def _accepts_entry(self, entry: EndpointEntry) -> bool:
        if entry.status and self._names.get(entry.address, entry.name) != entry.name:
            return False
        before = self.entries.get(entry.name)
        if before is None:
            return True
        is_listed_as_before = bool(before.status) == bool(entry.status)
        return (
            is_listed_as_before and before.identity() == entry.identity() and before.started <= entry.started
        )

    def add(self, change: ListChange) -> None:
        """Add the following change, which `accepts` allows."""
        for name, entry in change.entries.items():
            self.entries.pop(name, None)
            self.entries[name] = entry
            if entry.status:
                self._names[entry.address] = name
        self.number = change.number


def coalesced(changes: Iterable[ListChange]) -> list[ListChange]:
    """Return as few changes as have the same result as these, one after the other."""
    merged: list[ListChange] = []
    for change in changes:
        if merged and merged[-1].accepts(change):
            merged[-1].add(change)
        else:
            merged.append(change)
    return merged
