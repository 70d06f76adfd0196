"""A planner process: the thread that owns the planner, the connections to gateways, other planners and
operators, and the change log. The module makes no decisions."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable, Mapping
from typing import Any

from lilacloft import settings_validation
from lilacloft.config.addresses import address
from lilacloft.control import codec
from lilacloft.control.explanation import explain
from lilacloft.control.fleet_state import (
    CACHE,
    ORIGIN,
    PARENT,
    UNKNOWN_AGE,
    ListedBackend,
    SiteSettings,
)
from lilacloft.control.messages import SECTIONS, diff
from lilacloft.control.planner import Planner
from lilacloft.control.transport import Address, Client, Connection, Server
from lilacloft.failover.recovery_ramp import SlowStartProfile
from lilacloft.log import logger
from lilacloft.membership.table import PLANNER
from lilacloft.net.discovery_events import events_of_config
from lilacloft.net.discovery_watch import DiscoveryWatch
from lilacloft.protocol_settings import from_protocol
from lilacloft.routing.model import BackendStatus
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

TICK_SECONDS = 0.25
NANOSECONDS_PER_TICK = 100_000
TICKS_PER_MILLISECOND = 10
# kinds of records in the planner's store
EPOCH_RECORD = 7  # the highest known epoch
STARTS_RECORD = 8  # the number of process starts


class PlannerServer:
    """One planner process."""

    def __init__(
        self,
        name: str,
        config: Mapping[str, Any],
        planners: Mapping[str, Address],
        folder: str = "",
        failover_mode: str = "never",
    ) -> None:
        """`folder`: the directory of the planner's store; empty for none. `failover_mode`: the mode of
        location failover: `never`, `past` (requests bypass the caches of a location that has failed over) or
        `across` (other locations' caches serve them)."""
        settings = from_protocol(settings_validation.with_defaults(config["settings"]))
        family = settings["family"]
        self.name = name
        self.kinds = {family["source_kind"]: ORIGIN, family["parent_kind"]: PARENT}
        self.cold_duration: Ticks = settings["rules"]["cold"]
        self.store = self._open_store(folder)
        epoch, incarnation = self._begin()
        site = _site_settings(settings, planners, failover_mode)
        self.planner = Planner(name, incarnation, site, epoch)
        self.stored_epoch = epoch
        self.queue: queue.SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = queue.SimpleQueue()
        self.backends: dict[str, tuple[Any, ...]] = {}
        self.list_version = config["known"]["seq"]
        for number, event in events_of_config(
            config["known"]["results"], settings["zones"], settings["kinds"]
        ):
            self._on_list_event(event, number)
        self.discovery_watch = DiscoveryWatch(
            address(config["changelog"]),
            self.list_version,
            lambda event, number: self._post(self._on_list_event, event, number),
        )
        self.server = Server(planners[name], self._make_hello, self._on_message)
        self.clients = [
            Client(other_address, self._make_hello, self._on_message)
            for other, other_address in sorted(planners.items())
            if other != name
        ]
        self.is_closed = False
        self.previous_plan = self.planner.plan

    # --- store ---

    @staticmethod
    def _open_store(folder: str) -> Any:
        if not folder:
            return None
        from lilacloft.store.files import StoreDirectory
        from lilacloft.store.log import Store

        return Store(StoreDirectory(folder))

    def _begin(self) -> tuple[int, int]:
        """Return the highest known epoch and this process's incarnation. Without a store the incarnation is
        the wall clock time in milliseconds."""
        if self.store is None:
            return 0, max(1, time.time_ns() // 1_000_000)
        epoch, starts = self._load(EPOCH_RECORD), self._load(STARTS_RECORD)
        self._save(STARTS_RECORD, starts + 1)
        return epoch, starts + 1

    def _load(self, kind: int) -> int:
        return int.from_bytes(self.store.get(kind, b"") or b"\0", "big")

    def _save(self, kind: int, value: int) -> None:
        if self.store is not None:
            self.store.put(kind, b"", value.to_bytes(8, "big"))
            self.store.commit()

    # --- the planner's thread ---

    @staticmethod
    def now() -> Ticks:
        """Return the time of the monotonic clock."""
        return time.monotonic_ns() // NANOSECONDS_PER_TICK

    def run(self) -> None:
        """Run until `is_closed` is set."""
        self.discovery_watch.start()
        next_tick = time.monotonic()
        logger.info("planner {} is listening; {} backends listed", self.name, len(self.backends))
        while not self.is_closed:
            next_tick = max(next_tick + TICK_SECONDS, time.monotonic())
            self._tick()
            self._handle_events(next_tick)
        self.server.close()
        for client in self.clients:
            client.close()

    def _post(self, handler: Callable[..., None], *arguments: Any) -> None:
        """Queue a call of a handler in the planner's thread."""
        self.queue.put((handler, arguments))

    def _handle_events(self, until: float) -> None:
        """Call the queued handlers, and those queued until a time of the monotonic clock, in seconds.
        Handlers that are already queued are called even if that time has passed, as a tick may take long."""
        for _ in range(self.queue.qsize()):
            self._call(*self.queue.get_nowait())
        while (timeout := until - time.monotonic()) > 0:
            try:
                handler, arguments = self.queue.get(timeout=timeout)
            except queue.Empty:
                return
            self._call(handler, arguments)

    @staticmethod
    def _call(handler: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """Call a handler; an exception is logged and does not affect others."""
        try:
            handler(*arguments)
        except Exception:
            logger.exception("planner: event handler failed")

    def _tick(self) -> None:
        now = self.now()
        self._update_backends()
        before = self.planner.plan
        if self.planner.tick(now):
            self.previous_plan = before
            plan = self.planner.plan
            ejected = sorted(plan.ejections)
            logger.bind(plan=str(plan.plan_id), left_out=ejected).debug("plan {}", plan.plan_id)
        epoch = max(self.planner.election.highest_epoch, self.planner.election.epoch)
        if epoch > self.stored_epoch:  # must be stored before it is sent
            self.stored_epoch = epoch
            self._save(EPOCH_RECORD, epoch)
        gossip = codec.encode_gossip(self.planner.gossip(now))
        for client in self.clients:
            client.send(gossip)

    def _on_list_event(self, event: Any, number: int) -> None:
        mode, rows = event
        self.list_version = max(self.list_version, number)
        if mode == "purge":
            return
        if mode == "full":
            self.backends.clear()
        for row in rows:
            self.backends.pop(row[0], None)
            if row[5]:
                self.backends[row[0]] = row
        self._update_backends()

    def _update_backends(self) -> None:
        now = time.time() * TICKS_PER_SECOND
        listed = [self._listed(row, now) for row in self.backends.values()]
        self.planner.update_backends(listed, self.list_version)

    def _listed(self, row: tuple[Any, ...], now: float) -> ListedBackend:
        """Return a backend from its row in the change log. `now`: wall clock time in ticks."""
        name, _, zone, kind_name, _, status, capacity, started_ms = row
        kind = self.kinds.get(kind_name, CACHE)
        age = now - started_ms * TICKS_PER_MILLISECOND
        return ListedBackend(
            name,
            zone,
            kind,
            status == BackendStatus.READY,
            kind == CACHE and bool(started_ms) and age < self.cold_duration,
            capacity if capacity > 0 else 1.0,
            int(age) if started_ms else UNKNOWN_AGE,
        )

    # --- connections ---

    def _make_hello(self) -> bytes:
        return codec.encode_hello(self.name, PLANNER, self.planner.table.incarnation)

    def _on_message(self, connection: Connection, message: Any) -> None:
        """Runs in a connection's thread."""
        self._post(self._handle_message, connection, message)

    def _handle_message(self, connection: Connection, message: Any) -> None:
        now = self.now()
        if message.HasField("summary"):
            reply = self.planner.receive_report(codec.decode_report(message.summary), now)
            connection.send(codec.encode_reply(reply))
        elif message.HasField("word"):
            self.planner.receive_gossip(codec.decode_gossip(message.word), now)
        elif message.HasField("show"):
            connection.send(codec.encode_answer(self.answer(message.show.what, now)))

    # --- operators' queries ---

    def answer(self, query: str, now: Ticks) -> list[str]:
        """Return the lines that answer a query: `diff`, `explain SUBJECT`, or anything else for the plan."""
        if query == "diff":
            return self._describe_change()
        if query.startswith("explain "):
            return explain(self.planner, query.removeprefix("explain "), now)
        return self._describe_plan()

    def _describe_change(self) -> list[str]:
        """Return lines on the changes made by the last plan."""
        before, plan = self.previous_plan, self.planner.plan
        changes = diff(before, plan).changes
        lines = [f"{before.plan_id} -> {plan.plan_id}"]
        for section in SECTIONS:
            previous = getattr(before, section)
            lines += [
                f"{codec.WIRE_SECTIONS[section]} {key}: {previous.get(key)} -> {value}"
                for key, value in sorted(changes.get(section, {}).items(), key=str)
            ]
        return lines

    def _describe_plan(self) -> list[str]:
        """Return lines on the plan, the counters and the members."""
        planner, plan = self.planner, self.planner.plan
        issues = "issues" if planner.election.is_leader else "does not issue"
        lines = [
            f"{self.name} {issues}; plan {plan.plan_id}, list as of {planner.list_version}",
            " ".join(f"{name}={count}" for name, count in planner.counts.items()),
        ]
        lines += [
            f"{member.role} {member.name} ({member.incarnation}): {member.state}"
            for _, member in sorted(planner.table.members.items())
        ]
        for section in SECTIONS:
            lines += [
                f"{codec.WIRE_SECTIONS[section]} {key}: {value}"
                for key, value in sorted(getattr(plan, section).items())
            ]
        return lines


def _site_settings(
    settings: Mapping[str, Any], planners: Mapping[str, Address], failover_mode: str
) -> SiteSettings:
    """Return the planner's settings, from those of the platform."""
    family, rules = settings["family"], settings["rules"]
    links = {zone: float(rate) for zone, rate in enumerate(family.get("feed_kb_per_s") or []) if rate}
    return SiteSettings(
        tuple(sorted(planners)),
        family["pace_kb_per_s"],
        links,
        quota_window=rules["fall"],
        location_failover=failover_mode != "never",
        cross_location=failover_mode == "across",
        lists_capacities=settings.get("weight_source", "silent") != "silent",
        cache_warming=SlowStartProfile(rules["start_capacity"], rules["cold"], rules["tip_multiple"]),
        parent_warming=SlowStartProfile(
            family["parent_floor"], family["parent_warms_in"], family["parent_breaks_at"]
        ),
    )
