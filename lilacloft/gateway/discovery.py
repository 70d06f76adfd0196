"""Applies the change log's events: the endpoint list, its changes, and purges.

Timestamps of other machines' clocks are converted to the gateway's time (lilacloft/clock_offset.py) before
they are passed on.
"""

from __future__ import annotations

from collections.abc import Iterator

from lilacloft.clock_offset import ClockOffset, WatchContext
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.gateway.configuration import parse_address
from lilacloft.gateway.context import GatewayContext
from lilacloft.log import logger
from lilacloft.net.discovery_events import DiscoveryEvent, EndpointEntry
from lilacloft.net.discovery_watch import DiscoveryWatch, WatchChange, WatchStatus, WatchTarget
from lilacloft.routing.host import Endpoint, ListMode
from lilacloft.routing.model import Backend

PURGE = "purge"  # an event kind; all others are endpoint lists, "full" or "delta"


class Discovery:
    """Follows the change log and applies its events to one gateway."""

    def __init__(self, gateway: GatewayContext) -> None:
        """Create the gateway's watch on the change log, without starting it."""
        configuration = gateway.configuration
        self.gateway = gateway
        self.clock_offset = ClockOffset()
        self.last_applied_event = configuration.last_applied_event
        gateway.discovery_watch = DiscoveryWatch(
            parse_address(configuration.changelog),
            self.last_applied_event,
            self._event_received,
            configuration.name,
            self._watch_changed,
        )

    def start(self) -> None:
        """Start to follow the change log. Its events after those in the configuration are not known yet."""
        self.gateway.router.discovery_begins()
        self.gateway.discovery_watch.start()

    def apply_configured_events(self, events: list[DiscoveryEvent]) -> None:
        """Apply the events that the configuration includes: purges first, as they show the offset of the
        change log's clock."""
        entries = [entry for kind, content in events if kind != PURGE for entry in content]
        starts = (started * TICKS_PER_MILLISECOND for *_, started in entries)
        self.clock_offset.record_configured_starts(self.gateway.clock.time, starts)
        for event in sorted(events, key=lambda event: event[0] != PURGE):
            self.apply_event(event, ListMode.CACHED if event[0] == ListMode.FULL else None)

    def _event_received(self, event: DiscoveryEvent, number: int) -> None:
        """Post an event to the event loop; called in the change log's thread. Of the events that the
        configuration includes already, only purges are applied again, as the store may lack them: an older
        endpoint list must not be in effect even briefly."""
        gateway = self.gateway
        if event[0] == PURGE or number > self.last_applied_event:
            gateway.loop.post(self.apply_event, event, None, gateway.discovery_watch.status)
        if gateway.store:
            gateway.loop.post(gateway.store.event_received, event, number)
        if gateway.recorder:
            gateway.loop.post(gateway.recorder.discovery_event, event, number)

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
                logger.info("change log: read to its end, event {}", gateway.discovery_watch.last)
                router.discovery_caught_up()
            case WatchChange.REFUSED:
                if router.discovery_refused():
                    logger.warning("change log: absent for so long that the ages of copies are not limited")

    def apply_event(
        self, event: DiscoveryEvent, mode: str | None = None, feed_state: WatchStatus | None = None
    ) -> None:
        """Apply an endpoint list, changes to it, or a purge. `mode`: overrides the event's kind as the
        `ListMode`; `feed_state`: the watch's status before the event, None for an event from a configuration
        or a store."""
        clock = self.gateway.clock
        context = (
            WatchContext(clock.time - clock.monotonic_time + feed_state.at, feed_state.current)
            if feed_state
            else None
        )
        kind, content = event
        if kind == PURGE:
            self._apply_purge(content, context)
            return
        rows = [
            (*row, self.clock_offset.start_time(clock.time, row[0], started * TICKS_PER_MILLISECOND, context))
            for *row, started in content
        ]
        self.apply_endpoints(mode or kind, rows)

    def _apply_purge(self, content: tuple[str, int, int], context: WatchContext | None) -> None:
        key, group, unix_milliseconds = content
        gateway, stamp = self.gateway, unix_milliseconds * TICKS_PER_MILLISECOND
        if gateway.store:
            gateway.store.object_purged(key, group, stamp)
        now = gateway.clock.time
        gateway.router.object_purged(key, group, now - self.clock_offset.purge_time(now, stamp, context))
        self._correct_start_times()

    def apply_endpoints(self, mode: str, rows: list[EndpointEntry]) -> None:
        """Apply an endpoint list, or changes to it, with start times in the gateway's own time."""
        gateway = self.gateway
        rows = [*self._superseded(rows), *rows]
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
