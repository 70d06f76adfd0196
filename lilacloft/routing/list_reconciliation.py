"""Reconciles the endpoint list that discovery reports with the one that an earlier process has stored.

The events of the change log are numbered anew in each life of a gateway. A process that starts with stored
rows cannot know whose they are: after a crash they may be newer than its configuration, and after a planned
restart they are of an earlier life, and older. Neither the numbers nor any other single sign tells the two
cases apart. So from the start until the change log has been read to its end from the configuration's event
on, a backend is used only as far as both lists allow it. From then on the reported list is complete, whoever
wrote the stored one, and is the only one that counts.

No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.host import ListMode
from lilacloft.routing.model import BackendStatus

# the less a backend may be used, the higher
RESTRICTION = {BackendStatus.READY: 0, BackendStatus.DRAINING: 1, BackendStatus.GONE: 2}


def gone(entry: EndpointEntry) -> EndpointEntry:
    """Return the entry of the same backend once it is not listed any more."""
    return entry._replace(status=BackendStatus.GONE)


def restricted(reported: EndpointEntry, stored: EndpointEntry) -> EndpointEntry:
    """Return the entry that allows what both entries of one backend allow. A backend whose name was used at
    another place may be another one: it is not used."""
    if reported.identity() != stored.identity():
        return gone(reported)
    return reported._replace(
        status=max(reported.status, stored.status, key=lambda status: RESTRICTION[BackendStatus(status)]),
        capacity=min(reported.capacity, stored.capacity),
        started=max(reported.started, stored.started),
    )


def allowed(reported: EndpointEntry, stored: EndpointEntry | None, stored_is_complete: bool) -> EndpointEntry:
    """Return the entry to use for a reported one. `stored`: of the same backend, None if there is none;
    `stored_is_complete`: a backend without one is not used."""
    if stored is not None:
        return restricted(reported, stored)
    return gone(reported) if stored_is_complete else reported


class ReportedChange(NamedTuple):
    """What a reported event means."""

    used: list[EndpointEntry]  # the entries to use in place of the reported ones
    replaced: list[EndpointEntry]  # of backends that are gone, as others have taken their addresses


class ListReconciliation:
    """The reported and the stored list of one process, until the change log was read to its end."""

    def __init__(self) -> None:
        """Begin with two empty lists."""
        self.reported: dict[str, EndpointEntry] = {}  # also of backends that are gone
        self._stored: dict[str, EndpointEntry] = {}
        self._stored_is_complete = False
        self._stored_names: dict[tuple[str, int], str] = {}  # of the stored backends that are not gone
        self._reported_names: dict[tuple[str, int], str] = {}  # of the reported backends that are not gone

    def begin(self, stored: Iterable[EndpointEntry], is_complete: bool) -> list[EndpointEntry]:
        """Take into account what an earlier process has stored, and return the changes of the list in use.

        `stored`: oldest first, as the later of two backends at one address has replaced the other.
        `is_complete`: a backend without a stored entry was not listed any more, or it is not known whether it
        was.
        """
        self._stored = {entry.name: entry for entry in stored}
        self._stored_is_complete = is_complete
        self._stored_names = {entry.address: entry.name for entry in self._stored.values() if entry.status}
        return [used for entry in self.reported.values() if (used := self._used(entry)) != entry]

    def report(self, mode: ListMode | str, entries: Iterable[EndpointEntry]) -> ReportedChange:
        """Handle an endpoint list, or changes to it, from discovery."""
        if mode != ListMode.DELTA:
            self.reported.clear()
            self._reported_names.clear()
        used: list[EndpointEntry] = []
        replaced: list[EndpointEntry] = []
        for entry in entries:
            replaced += self._record(entry)
            used.append(self._used(entry))
        return ReportedChange([*replaced, *used], replaced)

    def confirm(self) -> list[EndpointEntry]:
        """Handle that the change log was read to its end: the reported list alone counts from now on. Return
        the changes of the list in use."""
        return [entry for entry in self.reported.values() if self._used(entry) != entry]

    def _record(self, entry: EndpointEntry) -> list[EndpointEntry]:
        """Record a reported entry; return the entry of another backend whose address it has taken, if any."""
        before = self.reported.get(entry.name)
        if before is not None and self._reported_names.get(before.address) == entry.name:
            del self._reported_names[before.address]
        self.reported[entry.name] = entry
        if not entry.status:
            return []
        replaced_name = self._reported_names.get(entry.address)
        self._reported_names[entry.address] = entry.name
        if replaced_name is None:
            return []
        self.reported[replaced_name] = gone(self.reported[replaced_name])
        return [self.reported[replaced_name]]

    def _used(self, entry: EndpointEntry) -> EndpointEntry:
        if self._stored_names.get(entry.address, entry.name) != entry.name:
            return gone(entry)
        return allowed(entry, self._stored.get(entry.name), self._stored_is_complete)
