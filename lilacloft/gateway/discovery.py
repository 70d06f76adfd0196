"""Applies the change log's events: the endpoint list, its changes, and purges.

Timestamps of other machines' clocks are converted to the gateway's time (lilacloft/clock_offset.py) before
they are passed on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from lilacloft.clock_offset import ClockOffset, WatchContext
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.gateway.configuration import parse_address
from lilacloft.gateway.context import GatewayContext
from lilacloft.gateway.received_events import ReceivedEvent, ReceivedEvents
from lilacloft.log import logger
from lilacloft.net.discovery_events import DiscoveryEvent
from lilacloft.net.discovery_watch import DiscoveryWatch, WatchChange, WatchStatus, WatchTarget
from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.host import Endpoint, ListMode
from lilacloft.routing.list_coalescing import ListChange, coalesced
from lilacloft.routing.model import Backend
from lilacloft.routing.units import Ticks

if TYPE_CHECKING:
    from lilacloft.routing.list_reconciliation import ListReconciliation

APPLY_INTERVAL: Ticks = 200  # between two applications of events while a log is read to its end
PURGE = "purge"  # an event kind; all others are endpoint lists, "full" or "delta"


class Discovery:
    """Follows the change log and applies its events to one gateway."""

    def __init__(self, gateway: GatewayContext) -> None:
        """Create the gateway's watch on the change log, without starting it."""
        configuration = gateway.configuration
        self.gateway = gateway
        self.clock_offset = ClockOffset()
        self.last_applied_event = configuration.last_applied_event
        self.configured_lists: list[DiscoveryEvent] = []  # until the start
        # of the configuration's list with a stored one; None where there is nothing to reconcile
        self.reconciliation: ListReconciliation | None = None
        self.received = ReceivedEvents()  # lists and changes to them
        self.received_purges = ReceivedEvents()  # applied at once
        self.last_number = 0  # of the events that were applied
        self.applied_at: Ticks = 0  # when received events were applied last
        self.was_read = False  # to its end, since the start
        self.on_confirmed: Callable[[], None] = lambda: None
        gateway.discovery_watch = DiscoveryWatch(
            parse_address(configuration.changelog),
            self.last_applied_event,
            self._event_received,
            configuration.name,
            self._watch_changed,
        )
        gateway.discovery_watch.await_room = self._await_room

    def _await_room(self) -> None:
        """Wait while too many events are not applied; called in the change log's thread."""
        self.received.await_room()
        self.received_purges.await_room()

    def start(self) -> None:
        """Start to follow the change log. Its events after those in the configuration are not known yet."""
        self.configured_lists = []
        self.gateway.router.discovery_begins()
        self.gateway.discovery_watch.start()

    def apply_configured_events(self, events: list[DiscoveryEvent]) -> None:
        """Apply the events that the configuration includes: purges first, as they show the offset of the
        change log's clock."""
        self.configured_lists = [event for event in events if event.kind != PURGE]
        entries = [entry for _, content in self.configured_lists for entry in content]
        starts = (started * TICKS_PER_MILLISECOND for *_, started in entries)
        self.clock_offset.record_configured_starts(self.gateway.clock.time, starts)
        for event in sorted(events, key=lambda event: event[0] != PURGE):
            self.apply_event(event, ListMode.CACHED if event[0] == ListMode.FULL else None)

    def resume(self, last_event: int) -> None:
        """Continue with the list that another process has handed over, which is as of an event. The number
        in the configuration says nothing about that list, as the file may be newer or older."""
        self.last_applied_event = last_event
        self.read_after(last_event)

    def read_after(self, event: int) -> None:
        """Read the change log on from the events after this one. Called before the start."""
        self.gateway.discovery_watch.last = event

    @property
    def is_reconciling(self) -> bool:
        """Whether the list in use is restricted by a stored one until the change log was read to its end."""
        return self.reconciliation is not None

    def reconcile(self, stored: Iterable[EndpointEntry], is_complete: bool) -> None:
        """Restrict the configured list by a stored one; see `ListReconciliation.begin`. Called before the
        start."""
        from lilacloft.routing.list_reconciliation import ListReconciliation

        self.reconciliation = ListReconciliation()
        for mode, entries in self.configured_lists:
            self.reconciliation.report(mode, entries)
        self._apply_entries(ListMode.DELTA, self.reconciliation.begin(stored, is_complete), None)

    def _confirm_list(self) -> None:
        """Use the reported list as it is, once the change log was read to its end."""
        reconciliation, self.reconciliation = self.reconciliation, None
        if reconciliation is None:
            return
        changes = reconciliation.confirm()
        logger.info("change log: the list is confirmed, {} backends have changed", len(changes))
        self._apply_entries(ListMode.DELTA, changes, None)
        gateway = self.gateway
        if gateway.store:
            gateway.store.list_confirmed(reconciliation.reported, gateway.discovery_watch.last)
        if gateway.recorder and changes:
            gateway.recorder.discovery_event(DiscoveryEvent("delta", changes), 0)
        self.on_confirmed()

    def _event_received(self, event: DiscoveryEvent, number: int) -> None:
        """Have an event applied by the event loop; called in the change log's thread."""
        received = ReceivedEvent(event, number, self.gateway.discovery_watch.status)
        if event.kind == PURGE:
            if self.received_purges.add(received):
                self.gateway.loop.post(self._apply_purges)
        elif self.received.add(received):
            self.gateway.loop.post(self._events_wait)

    def _events_wait(self) -> None:
        """Apply the lists that wait; while the log is read to its end, after a while, as more will come."""
        gateway = self.gateway
        earliest = self.applied_at + APPLY_INTERVAL
        if gateway.discovery_watch.status.current or gateway.time >= earliest:
            self._apply_received()
        else:
            gateway.call_at(earliest, self._apply_received)

    def apply_all_received(self) -> None:
        """Apply all events that wait."""
        while self.received or self.received_purges:
            self._apply_received()

    def _apply_purges(self) -> None:
        """Apply the purges that were received, and have them stored and recorded."""
        batch = self.received_purges.take()
        for received in batch:
            self.apply_event(received.event, None, received.watch_status)
            self._record(received.event, received.number)
        if self.received_purges:
            self.gateway.loop.post(self._apply_purges)
        if batch:
            self._note_applied(batch[-1].number)

    def _note_applied(self, number: int) -> None:
        """Have the number of the last applied event stored, unless earlier ones wait."""
        self.last_number = max(self.last_number, number)
        if self.gateway.store and not self.received and not self.received_purges:
            self.gateway.store.events_applied(self.last_number)

    def _apply_received(self) -> None:
        """Apply the events that were received, and have them stored and recorded: first the purges, as they
        show the offset of the change log's clock, then what remains of all changes of the list. Of the events
        that the configuration includes already, only purges are applied again, as the store may lack them: an
        older endpoint list must not be in effect even briefly."""
        self._apply_purges()
        batch = self.received.take()
        if not batch:
            return
        self.applied_at = self.gateway.time
        if self.received:
            self.gateway.loop.post(self._apply_received)
        status = batch[-1].watch_status
        self._apply_lists([one for one in batch if one.number <= self.last_applied_event], None)
        self._apply_lists([one for one in batch if one.number > self.last_applied_event], status)
        self._note_applied(batch[-1].number)

    def _apply_lists(self, received: list[ReceivedEvent], watch_status: WatchStatus | None) -> None:
        """Apply endpoint lists and changes to them, and have them stored and recorded. `watch_status`: None
        if the configuration has them already."""
        changes = (
            ListChange(one.event.kind, {entry.name: entry for entry in one.event.content}, one.number)
            for one in received
        )
        for change in coalesced(changes):
            event = DiscoveryEvent(change.mode, list(change.entries.values()))
            replaced = self.apply_event(event, None, watch_status) if watch_status else []
            if self.gateway.store:
                self.gateway.store.list_changed(change.mode, [*replaced, *event.content], change.number)
        for one in received:
            self._record(one.event, one.number)

    def _record(self, event: DiscoveryEvent, number: int) -> None:
        """Record an event. Without its number if the log has not been read to its end since the start: it may
        be of the past."""
        if self.gateway.recorder:
            self.gateway.recorder.discovery_event(event, number if self.was_read else 0)

    def _watch_changed(self, change: WatchChange, target: WatchTarget) -> None:
        """Post a change of the watch, behind earlier events; called in the change log's thread."""
        self.gateway.loop.post(self._apply_watch_change, change, target)

    def _apply_watch_change(self, change: WatchChange, target: WatchTarget) -> None:
        """Report to the router how far the change log was read. Changes reported for a log that is no longer
        followed are ignored: they say nothing about the current one."""
        gateway = self.gateway
        if target != gateway.discovery_watch.target:
            return
        router = gateway.router
        match change:
            case WatchChange.CONNECTED:
                router.discovery_connected()
            case WatchChange.DISCONNECTED:
                router.discovery_disconnected()
            case WatchChange.UNREACHABLE:
                router.discovery_unreachable()
            case WatchChange.CAUGHT_UP:
                self.apply_all_received()
                self.was_read = True
                logger.info("change log: read to its end, event {}", gateway.discovery_watch.last)
                self._confirm_list()
                router.discovery_caught_up()
            case WatchChange.REFUSED:
                if router.discovery_refused():
                    logger.warning("change log: absent for so long that the ages of copies are not limited")

    def apply_event(
        self, event: DiscoveryEvent, mode: str | None = None, feed_state: WatchStatus | None = None
    ) -> list[EndpointEntry]:
        """Apply an endpoint list, changes to it, or a purge. `mode`: overrides the event's kind as the
        `ListMode`; `feed_state`: the watch's status before the event, None for an event from a configuration
        or a store. Return the entries of backends that are gone, as others have taken their addresses."""
        clock = self.gateway.clock
        context = (
            WatchContext(clock.time - clock.monotonic_time + feed_state.at, feed_state.current)
            if feed_state
            else None
        )
        kind, content = event
        if kind == PURGE:
            self._apply_purge(content, context)
            return []
        mode = mode or kind
        if self.reconciliation is None:
            return self._apply_entries(mode, content, context)
        change = self.reconciliation.report(mode, content)
        self._apply_entries(mode, change.used, context)
        return change.replaced

    def _apply_entries(
        self, mode: str, entries: Iterable[EndpointEntry], context: WatchContext | None
    ) -> list[EndpointEntry]:
        """Apply an endpoint list, or changes to it, with start times as discovery reports them. Return the
        entries of backends that are gone, as others have taken their addresses."""
        now = self.gateway.clock.time
        rows = [
            (*row, self.clock_offset.start_time(now, row[0], started * TICKS_PER_MILLISECOND, context))
            for *row, started in entries
        ]
        replaced = self.apply_endpoints(mode, rows)
        if self.gateway.store:
            self.gateway.store.backends_listed([name for name, *_ in rows])
        return replaced

    def _apply_purge(self, content: tuple[str, int, int], context: WatchContext | None) -> None:
        key, group, unix_milliseconds = content
        gateway, stamp = self.gateway, unix_milliseconds * TICKS_PER_MILLISECOND
        if gateway.store:
            gateway.store.object_purged(key, group, stamp)
        now = gateway.clock.time
        gateway.router.object_purged(key, group, now - self.clock_offset.purge_time(now, stamp, context))
        self._correct_start_times()

    def apply_endpoints(self, mode: str, rows: list[EndpointEntry]) -> list[EndpointEntry]:
        """Apply an endpoint list, or changes to it, with start times in the gateway's own time. Return the
        entries of backends that are gone, as others have taken their addresses; their start times are 0."""
        gateway = self.gateway
        superseded = list(self._superseded(rows))
        rows = [*superseded, *rows]
        endpoints, addresses = [], []
        for name, address, zone, kind, cell, status, capacity, started in rows:
            backend = gateway.backends.get(name)
            if backend is None:
                backend = gateway.backends[name] = Backend(name)
            endpoints.append(Endpoint(backend, zone, kind, cell, status, capacity, started))
            addresses.append((backend, address))
        clock = gateway.clock
        for endpoint in endpoints:
            gateway.invariants.endpoint_changed(
                endpoint.backend.name, endpoint.status, clock.time, clock.monotonic_time
            )
        gateway.router.endpoints_changed(mode, endpoints)
        if gateway.agent:
            gateway.agent.backends_changed([endpoint.backend.name for endpoint in endpoints])
        for backend, address in addresses:
            if backend.status:
                gateway.upstream.add_backend(backend, address)
        self._drop_unlisted()
        return [EndpointEntry(*row)._replace(started=0) for row in superseded]

    def _superseded(self, rows: list[EndpointEntry]) -> Iterator[EndpointEntry]:
        """Yield rows that remove the listed backends at whose address another one is listed now: its process
        has taken the place of theirs."""
        gateway, listed = self.gateway, {row[0] for row in rows}
        taken = {row[1] for row in rows if row[5]}
        for name, backend in gateway.backends.items():
            pool = gateway.upstream.pools.get(backend)
            if backend.status and name not in listed and pool is not None and pool.address in taken:
                logger.info("{} is gone: another backend is listed at its address", name)
                yield (name, pool.address, backend.zone, backend.kind, backend.cell, 0, 1.0, backend.started)

    def _drop_unlisted(self) -> None:
        """Close connections to unlisted backends, and remove those backends that have nothing in flight."""
        gateway = self.gateway
        for name, backend in list(gateway.backends.items()):
            if not backend.status:
                gateway.upstream.remove_backend(backend)
                if not backend.requests:
                    del gateway.backends[name]
                    self.clock_offset.forget(name)

    def _correct_start_times(self) -> None:
        """Correct backends' start times to the improved estimate of the change log's clock offset."""
        for name, started in self.clock_offset.corrected_starts().items():
            backend = self.gateway.backends.get(name)
            pool = self.gateway.upstream.pools.get(backend) if backend else None
            if backend:
                backend.started = started
            if pool:
                pool.backend_started = started
