"""Periodically writes the records that no event triggers: slow-start work and learned state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacloft.routing import snapshot
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks
from lilacloft.store import learned_state
from lilacloft.store.durability import DurabilityGate
from lilacloft.store.learned_state import ChangeFilter
from lilacloft.store.record_types import RecordKind, retention_limits

INTERVAL: Ticks = TICKS_PER_SECOND
LEARNED_STATE_INTERVALS = 5  # not every interval: with thousands of backends an export takes milliseconds
CLEANUP_INTERVALS = 60


class BackgroundRecords:
    """The periodic records of one gateway. Runs in the thread of its event loop."""

    def __init__(
        self,
        gateway: Any,
        gate: DurabilityGate,
        write_record: Callable[[int, bytes, bytes | None], int],
        purge_lifetime: Ticks,
    ) -> None:
        self.gateway, self.gate, self.write_record = gateway, gate, write_record
        self.purge_lifetime = purge_lifetime
        self.change_filter = ChangeFilter()
        self.intervals = 0

    def write(self) -> None:
        """Write the records that are due and schedule the next call."""
        self._write_work()
        self.intervals += 1
        if self.intervals % LEARNED_STATE_INTERVALS == 0:
            self._write_learned_state()
        if self.intervals % CLEANUP_INTERVALS == 0:
            limits = retention_limits(self.purge_lifetime, self.gateway.max_client_timeout, 0)
            self.gate.remove_expired(limits[RecordKind.INTENT].max_age)
        self.gateway.call_at(self.gateway.time + INTERVAL, self.write)

    def is_scheduled(self) -> bool:
        """Return whether the timer is set."""
        return any(entry[2] == self.write for entry in self.gateway.timers)

    def _write_work(self) -> None:
        router = self.gateway.router
        for backend in router.pools.backends:
            slow_start = router.slow_start.profile(backend).duration
            self.gate.write_work(backend.name, backend.started, backend.recent_work, slow_start)

    def _write_learned_state(self) -> None:
        exported = snapshot.export_state(self.gateway.router, (), ())
        parts = learned_state.split_parts(exported, [vhost["name"] for vhost in self.gateway.vhosts])
        for key, part in self.change_filter.changes(self.gateway.time, parts).items():
            value = None if part is None else learned_state.pack_part(part)
            self.write_record(RecordKind.LEARNED, key, value)
