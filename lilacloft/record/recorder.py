"""The hooks through which a gateway records its events.

A hook only updates counters or queues a record: it never blocks, and never calls into routing decisions.
"""

from __future__ import annotations

import os
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from lilacloft import __version__
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.gateway.discovery import PURGE
from lilacloft.log import logger
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.record import record_types
from lilacloft.record.file_rotation import RotatingFiles
from lilacloft.record.record_directory import DiskDirectory
from lilacloft.record.record_writer import RecordWriter
from lilacloft.record.summary import BackendState, EndedAttempt, Summary, targets_by_vhost
from lilacloft.routing.host import ListMode
from lilacloft.routing.model import BackendStatus
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway
    from lilacloft.net.discovery_events import DiscoveryEvent, EndpointEntry
    from lilacloft.net.downstream import Call
    from lilacloft.net.upstream import Reply, Sent
    from lilacloft.record.metrics import Metrics
    from lilacloft.routing.model import Backend

# Counters of the front that are stored with each summary, under these names.
REFUSED = ("unusable", "turned_away", "closed_idle", "choked", "not_taken")


@dataclass(frozen=True)
class RecorderOptions:
    """Where a gateway writes its records."""

    folder: str
    gateway_name: str
    limits: Mapping[str, float] = field(default_factory=dict)  # see `RotatingFiles`
    metrics_path: str = ""  # empty: no metrics file
    socket_path: str = ""  # empty: no live stream


class Recorder:
    """The recorder of one gateway. Called by the event loop's thread, and during upgrades by another one."""

    def __init__(self, gateway: Gateway, options: RecorderOptions) -> None:
        """Install this recorder as `gateway.recorder`."""
        self.gateway, self.options = gateway, options
        run = f"{time.time_ns() // NS_PER_TICK:015}-{os.getpid()}"
        directory = DiskDirectory(options.folder, options.gateway_name, run)
        self.head = self._make_head(run)
        self.metrics: Metrics | None = None
        if options.metrics_path:
            from lilacloft.record.metrics import Metrics

            self.metrics = Metrics(options.metrics_path, options.gateway_name)
        self.writer = RecordWriter(RotatingFiles(directory, options.limits), self.head, self.metrics)
        self.summary = Summary(targets_by_vhost(gateway.vhosts), gateway.monotonic_time)
        self.vhost_names = [vhost["name"] for vhost in gateway.vhosts]
        self.change_log_connects = 0
        gateway.recorder = self

    def _make_head(self, run: str) -> record_types.Head:
        settings = self.gateway.settings
        targets = targets_by_vhost(self.gateway.vhosts)
        return record_types.Head(
            schema=record_types.SCHEMA_VERSION,
            gateway=self.options.gateway_name,
            run=run,
            version=__version__,
            zone=str(settings["zones"][settings["zone"]]),
            gateways=settings["gateways"],
            vhosts={vhost: list(values) for vhost, values in targets.items()},
        )

    def start(self, reason: str = "start") -> None:
        """Start recording once the gateway serves. `reason`: start or upgrade."""
        if self.options.socket_path:  # only now, as the replaced process may have owned the socket until here
            self._open_live_stream(self.options.socket_path)
        self.writer.start()
        backends = self.gateway.backends
        self.note(record_types.Start(reason=reason, backend_count=len(backends)))
        rows = [self._backend_row(backend) for backend in backends.values()]
        self.note(record_types.BackendList(event=0, whole=True, backends=rows))
        self._each_second()

    def _open_live_stream(self, path: str) -> None:
        from lilacloft.record.live_stream import LiveStream

        try:
            self.writer.live_stream = LiveStream(path, record_types.encode_line(self.head))
        except OSError as error:
            logger.error("record socket {}: cannot listen: {}", path, error.strerror)

    def end(self, reason: str) -> None:
        """Write the last records, for at most `STOP_TIMEOUT`, as the gateway ends. `reason`: stop or
        upgrade."""
        self.note(self._take_summary())
        self.note(record_types.Stop(reason=reason))
        self.writer.stop()

    def note(self, record: record_types.Record) -> None:
        """Queue a record."""
        self.writer.add(record)

    # --- requests and attempts ---

    def request_arrived(self, client_request: Call) -> None:
        """A client's request has arrived."""
        self.summary.request_arrived(self.vhost_names[client_request.vhost])

    def dispatched(self, client_request: Call, backend: Backend) -> None:
        """An attempt was sent to a backend."""
        self.summary.dispatched(self.vhost_names[client_request.vhost], backend.name)

    def attempt_ended(self, sent: Sent, end: CloseReason, duration: Ticks, reply: Reply) -> None:
        """An attempt has ended."""
        client_request = sent.client_request
        request = client_request.request
        source = request.source.name if request.expects_fill and request.source is not None else None
        objective = self.gateway.router.virtual_hosts[request.vhost].latency_objective(request.transfer_time)
        attempt = EndedAttempt(
            vhost=self.vhost_names[client_request.vhost],
            backend=sent.backend.name,
            source=source,
            end=end.name,
            outcome=OUTCOMES[end],
            duration=duration,
            is_late=duration > objective,
            note=reply.note,
            queued=reply.queued,
        )
        self.summary.attempt_ended(attempt)

    def answered(self, client_request: Call, kind: str) -> None:
        """A request has its final answer. `kind`: a value of `AnswerKind`."""
        request = client_request.request
        duration = self.gateway.time - request.arrived_at if request else 0
        attempts = request.attempts if request else 0
        self.summary.answered(self.vhost_names[client_request.vhost], kind, duration, attempts)

    def client_disconnected(self, client_request: Call) -> None:
        """A client has disconnected before it was answered."""
        self.summary.client_disconnected(self.vhost_names[client_request.vhost])

    # --- backends, plans and upgrades ---

    def health_checked(self, backend: Backend, load: Sequence[float]) -> None:
        """A health check has ended. `load`: the load report, in the order of the settings' names."""
        names = self.gateway.settings["stats"]["names"]
        if "util" in names and load:
            self.summary.utilization_reported(backend.name, round(load[names.index("util")], 3))

    def health_changed(self, backend: Backend, change: str, reason: str) -> None:
        """A backend was ejected or restored. `change`: a value of `HealthChange`."""
        self.note(
            record_types.HealthChange(
                backend=backend.name,
                change=change,
                reason=reason,
                consecutive_failures=backend.consecutive_failures,
                late_share=round(backend.late_fill_share, 3),
            )
        )

    def limit_changed(self, backend: Backend, before: float, limit: float, late_share: float) -> None:
        """A learned limit has changed: the backend's own, or else that of the link."""
        own = backend.concurrency_limit
        name = backend.name if own is not None and limit == own.limit else "link"
        record = self.summary.limit_changed(name, before, limit, late_share)
        if record:
            self.note(record)

    def plan_changed(self, effect: Any) -> None:
        """Another plan is in effect, or none. `effect`: a `PlanEffect` (lilacloft/control/follower.py)."""
        plan_id = effect.plan_id
        self.note(
            record_types.PlanChange(
                planner=plan_id.planner,
                epoch=plan_id.epoch,
                plan_number=plan_id.number,
                ejected_backends=sorted(effect.ejections),
                limit_count=len(effect.concurrency_limits),
                link_limit=round(effect.fill_limit, 3),
            )
        )

    def location_changed(
        self, zone: str, returned_slices: int, failed_returns: int, reason: str, without_plan: bool
    ) -> None:
        """The number of a location's slices that its own backends serve has changed."""
        from lilacloft.failover.hash_slices import SLICE_COUNT

        self.note(
            record_types.LocationFailover(
                zone=zone,
                returned_slices=returned_slices,
                total_slices=SLICE_COUNT,
                failed_returns=failed_returns,
                reason=reason,
                without_plan=without_plan,
            )
        )

    def upgrade_phase(self, phase: str, reason: str) -> None:
        """An upgrade has entered a phase; called by the thread that runs the upgrade."""
        self.note(record_types.Upgrade(phase=phase, reason=reason))

    def discovery_event(self, event: DiscoveryEvent, number: int) -> None:
        """The gateway has applied an event of the change log. Of a gateway that is replaced, only the new
        process records it."""
        if self.gateway.router.plan.standby:
            return
        if event.kind == PURGE:
            key, group, purged_at = event.content
            ticks = purged_at * TICKS_PER_MILLISECOND
            self.note(record_types.Purge(event=number, key=key, group=group, purged_at=ticks))
            return
        backends = self.gateway.backends
        listed = [entry for entry in event.content if entry.name in backends]
        removed = [entry for entry in event.content if entry.name not in backends]
        rows = [self._listed_row(backends[entry.name], entry) for entry in listed]
        rows += [self._removed_row(entry) for entry in removed]
        whole = event.kind == ListMode.FULL
        self.note(record_types.BackendList(event=number, whole=whole, backends=rows))

    def _backend_row(self, backend: Backend) -> record_types.BackendRow:
        settings = self.gateway.settings
        kind, zone = settings["kinds"][backend.kind], settings["zones"][backend.zone]
        return backend.name, kind, zone, backend.status, backend.started, backend.capacity

    def _listed_row(self, backend: Backend, entry: EndpointEntry) -> record_types.BackendRow:
        """Return the row of a listed backend with the status of an event; later ones may have changed it."""
        name, kind, zone, _, started, capacity = self._backend_row(backend)
        return name, kind, zone, int(entry.status), started, capacity

    def _removed_row(self, entry: EndpointEntry) -> record_types.BackendRow:
        settings = self.gateway.settings
        kind, zone = settings["kinds"][entry.kind], settings["zones"][entry.zone]
        started = entry.started * TICKS_PER_MILLISECOND
        return entry.name, kind, zone, int(BackendStatus.GONE), started, float(entry.capacity)

    # --- each second ---

    def _each_second(self) -> None:
        gateway = self.gateway
        refused = {name: gateway.downstream.counts[name] for name in REFUSED}
        self.summary.count_refused({**refused, "faults": gateway.answer_counts["faults"]})
        if gateway.discovery_watch.connects != self.change_log_connects:
            self.change_log_connects = gateway.discovery_watch.connects
            self.note(record_types.ChangeLogConnection(connected=True, event=gateway.discovery_watch.last))
        if self.summary.is_due(gateway.monotonic_time):
            summary = self._take_summary()
            self.note(summary)
            if self.metrics:
                self.metrics.add(summary)
        self.writer.wake()
        gateway.call_at(gateway.time + TICKS_PER_SECOND, self._each_second)

    def _take_summary(self) -> record_types.SummaryRecord:
        router = self.gateway.router
        return self.summary.finish_period(
            self.gateway.monotonic_time, self.backend_states(), router.link_limit.limit
        )

    def backend_states(self) -> dict[str, BackendState]:
        """Return the current state of each backend by name."""
        return {
            backend.name: BackendState(
                in_flight=len(backend.requests),
                limit=backend.concurrency_limit.limit if backend.concurrency_limit else 0.0,
                ejected=backend.ejected,
                status=backend.status,
            )
            for backend in self.gateway.router.pools.backends
        }
