"""Restores the routing state of a gateway from its store at a start, before any request arrives."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lilacloft.routing import snapshot
from lilacloft.store import learned_state
from lilacloft.store.endpoint_rows import EndpointRows, unpack_row
from lilacloft.store.learned_state import AgedPart
from lilacloft.store.record_types import Work
from lilacloft.store.recovered_state import RecoveredState, recovered_work


def recover_endpoint_rows(recovered: RecoveredState) -> EndpointRows:
    """Return the stored rows of the endpoint list."""
    endpoint_rows = EndpointRows()
    stored = {key: unpack_row(data) for key, data in recovered.rows.items()}
    endpoint_rows.restore(stored, recovered.rows_complete_from)
    return endpoint_rows


def restore_endpoints(gateway: Any, endpoint_rows: EndpointRows, recovered: RecoveredState) -> int:
    """Let the stored list restrict that of the configuration. Return the number of the event after which the
    change log is read on."""
    discovery = gateway.discovery
    stored = endpoint_rows.begin(discovery.last_applied_event, recovered.last_event)
    discovery.read_after(stored.read_after)
    if not endpoint_rows.is_confirmed:
        discovery.reconcile(stored.entries, stored.is_complete)
    return stored.read_after


def restore_routing_state(gateway: Any, recovered: RecoveredState) -> None:
    """Apply the recovered state to a gateway whose endpoint list is complete, but for what is reported
    later."""
    _restore_learned_state(gateway, recovered)
    _restore_purges(gateway, recovered)
    restore_slow_start(gateway, recovered.slow_start_work, list(gateway.backends))


def _restore_learned_state(gateway: Any, recovered: RecoveredState) -> None:
    initial_limits = {
        name: backend.concurrency_limit.limit
        for name, backend in gateway.backends.items()
        if backend.concurrency_limit
    }
    parts = {
        key: AgedPart(part.stored_at, learned_state.unpack_part(part.data))
        for key, part in recovered.learned.items()
    }
    vhosts = [vhost["name"] for vhost in gateway.vhosts]
    initial_link_limit = gateway.router.link_limit.limit
    state = learned_state.aged_state(parts, gateway.time, vhosts, initial_limits, initial_link_limit)
    snapshot.restore_state(gateway.router, state, gateway.backends)


def _restore_purges(gateway: Any, recovered: RecoveredState) -> None:
    for target, purged_at in recovered.purges.items():
        key, group = (target, 0) if isinstance(target, str) else ("", target)
        purge_time = gateway.clock_offset.purge_time(gateway.time, purged_at)
        gateway.router.object_purged(key, group, gateway.time - purge_time)


def restore_slow_start(gateway: Any, work: dict[str, list[Work]], names: Iterable[str]) -> None:
    """Restore the recent work of backends that were listed just now, and drop it from `work`, the stored work
    by the backend's name."""
    backends = {name: gateway.backends[name] for name in names if name in work and name in gateway.backends}
    if not backends:
        return
    stored = {name: work.pop(name) for name in backends}
    started = {name: backend.started for name, backend in backends.items()}
    window = gateway.router.settings.overload_window
    max_work = {name: float(backend.capacity) * window for name, backend in backends.items()}
    for name, sent in recovered_work(stored, started, window, gateway.time, max_work).items():
        backend = backends[name]
        backend.recent_work = backend.recent_work or list(sent)  # a handed-over value is more precise
