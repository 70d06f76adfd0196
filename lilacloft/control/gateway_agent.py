"""A gateway's connections to the planners: sends load reports and applies plans. Everything but the
connections runs in the gateway's thread. The module makes no decisions."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable, Mapping
from typing import Any

from lilacloft.control import codec
from lilacloft.control.follower import REPORT_INTERVAL, Follower, FollowerSettings
from lilacloft.control.gateway_observer import EndedAttempt, GatewayObserver
from lilacloft.control.messages import PlanReply
from lilacloft.control.transport import Address, Client, Connection
from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.local_failover import LocalFailover
from lilacloft.log import logger
from lilacloft.membership.table import FORWARDER
from lilacloft.routing.host import Endpoint, ListMode
from lilacloft.routing.units import Ticks

FLUSH_SECONDS = 0.05  # time allowed for sending the last reports


class GatewayAgent:
    """The control plane agent of one gateway."""

    def __init__(
        self, gateway: Any, name: str, planners: Mapping[str, Address], failover_mode: str = "never"
    ) -> None:
        """`failover_mode`: the mode of location failover: `never`, `past` (requests bypass the caches of a
        location that has failed over) or `across` (other locations' caches serve them)."""
        self.gateway = gateway
        self.follower = self._make_follower(name, planners, failover_mode)
        self.observer = GatewayObserver(
            gateway.router, [vhost["name"] for vhost in gateway.vhosts], self.follower
        )
        self.reported_requests = 0
        self.clients = {
            planner: Client(address, self._make_hello, self._on_message)
            for planner, address in planners.items()
        }
        self.plan_id = self.follower.lease.plan_id
        self.slices_in_use: dict[int, int] = {}  # by location, of those not completely in use
        gateway.agent = self
        if failover_mode == "across":
            self._enable_cross_location()
        self.backends_changed(gateway.backends)

    def _make_follower(self, name: str, planners: Mapping[str, Address], failover_mode: str) -> Follower:
        settings = self.gateway.router.settings
        local_failover = LocalFailover(name, settings.zone_gateways, settings.cache_slow_start.duration)
        return Follower(
            FollowerSettings(
                name=name,
                incarnation=max(1, time.time_ns() // 1_000_000),
                zone=settings.zone,
                planners=planners,
                quota_window=settings.overload_window,
                own_share=1 / settings.zone_gateways,
            ),
            self.gateway.monotonic_time,
            restarted=True,
            local_failover=None if failover_mode == "never" else local_failover,
        )

    def _enable_cross_location(self) -> None:
        """Enable the use of other locations' caches, and pass the known endpoints to the router again."""
        router = self.gateway.router
        router.settings.cross_location = True
        router.endpoints_changed(
            ListMode.DELTA,
            [
                Endpoint(
                    backend,
                    backend.zone,
                    backend.kind,
                    backend.cell,
                    backend.status,
                    backend.capacity,
                    backend.started,
                )
                for backend in self.gateway.backends.values()
            ],
        )

    def start(self) -> None:
        """Start reporting, once the gateway runs."""
        self._report()

    def close(self) -> None:
        """Report to the planners that this process is ending, and close the connections."""
        for name, client in self.clients.items():
            report = self.follower.make_report(name, self.gateway.monotonic_time)
            client.send(codec.encode_report(dataclasses.replace(report, is_leaving=True)))
        time.sleep(FLUSH_SECONDS)
        for client in self.clients.values():
            client.close()

    def _make_hello(self) -> bytes:
        settings = self.follower.settings
        return codec.encode_hello(settings.name, FORWARDER, settings.incarnation)

    # --- called by the gateway ---

    def attempt_ended(
        self, client_request: Any, backend: Any, outcome: str, duration: Ticks, note: int
    ) -> None:
        """Count a completed attempt."""
        request = client_request.request
        self.observer.attempt_ended(
            EndedAttempt(
                backend,
                client_request.vhost,
                outcome,
                duration,
                request.transfer_time,
                note,
                client_request.kbytes,
                request.source,
            )
        )

    def backends_changed(self, names: Iterable[str]) -> None:
        """Record the backends that the change log has changed."""
        gateway = self.gateway
        self.observer.backends_changed(
            names, gateway.discovery_watch.last, gateway.time, gateway.monotonic_time
        )

    # --- once per report interval ---

    def _report(self) -> None:
        gateway = self.gateway
        requests = gateway.downstream.counts["reqs"]
        self.observer.observe(
            requests - self.reported_requests,
            gateway.discovery_watch.last,
            gateway.time,
            gateway.monotonic_time,
        )
        self.reported_requests = requests
        for name, client in self.clients.items():
            client.send(codec.encode_report(self.follower.make_report(name, gateway.monotonic_time)))
        self._apply()
        gateway.call_at(gateway.time + REPORT_INTERVAL, self._report)

    def _apply(self) -> None:
        """Apply the plan to the router; log and record a change of plan."""
        effect = self.observer.apply(self.gateway.time, self.gateway.monotonic_time)
        plan_id = effect.plan_id
        if plan_id.planner != self.plan_id.planner:
            logger.info("plan: {} holds", plan_id if plan_id.planner else "none")
        if plan_id != self.plan_id and self.gateway.recorder:
            self.gateway.recorder.plan_changed(effect)
        self.plan_id = plan_id
        self._log_location_changes()

    def _log_location_changes(self) -> None:
        """Log and record changes in the use of locations."""
        local_failover = self.follower.local_failover
        current = local_failover.statuses() if local_failover else {}
        for zone in sorted(current.keys() | self.slices_in_use.keys()):
            in_use, failed_returns = current.get(zone, (SLICE_COUNT, 0))
            before = self.slices_in_use.get(zone, SLICE_COUNT)
            if in_use != before:
                self._log_location_change(zone, before, in_use, failed_returns)
        self.slices_in_use = {zone: in_use for zone, (in_use, _) in current.items()}

    def _log_location_change(self, zone: int, before: int, in_use: int, failed_returns: int) -> None:
        has_plan = self.plan_id.planner != ""
        names = self.gateway.settings["zones"]
        name = names[zone] if 0 <= zone < len(names) else str(zone)
        location = self.follower.plan.locations.get(zone) if has_plan else None
        reason = location.reason if location else ""
        if in_use in (0, SLICE_COUNT) or before == 0:
            suffix = f" ({reason})" if reason else "" if has_plan else " (without a plan)"
            logger.info("location {}: {} of {} slices in use{}", name, in_use, SLICE_COUNT, suffix)
        if self.gateway.recorder:
            self.gateway.recorder.location_changed(name, in_use, failed_returns, reason, not has_plan)

    # --- connections ---

    def _on_message(self, _connection: Connection, message: Any) -> None:
        """Runs in a connection's thread."""
        if message.HasField("reply"):
            self.gateway.post(self._on_reply, codec.decode_reply(message.reply))

    def _on_reply(self, reply: PlanReply) -> None:
        if self.follower.receive_reply(reply, self.gateway.monotonic_time):
            self._apply()
