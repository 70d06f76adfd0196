"""A gateway's side on sockets: tells planners what it sees, and has the decision module keep what a plan
sets. All but the connections belongs to the owner's thread. It decides nothing."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable, Mapping
from typing import Any

from loguru import logger

from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.local_failover import LocalFailover
from lilacloft.plan import form
from lilacloft.plan.follow import EVERY, Follower
from lilacloft.plan.watch import Watch
from lilacloft.plan.wire import Dial, Peer
from lilacloft.routing.host import Endpoint, ListMode


class Agent:
    """One gateway's."""

    def __init__(
        self, owner: Any, name: str, planners: Mapping[str, tuple[str, int]], leave: str = "never"
    ) -> None:
        """`leave`: whole locations may be left, `past` their caches or `across`, to others'."""
        self.owner = owner
        router = owner.router
        keeper = LocalFailover(name, router.settings.zone_gateways, router.settings.cache_slow_start.duration)
        follower = Follower(
            name,
            max(1, time.time_ns() // 1_000_000),
            router.settings.zone,
            planners,
            router.settings.overload_window,
            1 / router.settings.zone_gateways,
            owner.monotonic_time,
            restarted=True,
            keeper=None if leave == "never" else keeper,
        )
        self.follower = follower
        self.watch = Watch(router, [vhost["name"] for vhost in owner.vhosts], follower)
        self.counted = 0
        self.dials = {other: Dial(place, self._hello, self._heard) for other, place in planners.items()}
        self.held = follower.holder.name
        self.away: dict[int, int] = {}  # slices at home, of locations that have not all
        owner.agent = self
        if leave == "across":
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
                    for backend in owner.backends.values()
                ],
            )
        self.told(owner.backends)

    def start(self) -> None:
        """The owner runs."""
        self._speak()

    def close(self) -> None:
        """This process ends: planners need not wait to find that out."""
        for name, dial in self.dials.items():
            leave = dataclasses.replace(self.follower.summary(name, self.owner.monotonic_time), leaves=True)
            dial.send(form.summary(leave))
        time.sleep(0.05)
        for dial in self.dials.values():
            dial.close()

    def _hello(self) -> bytes:
        return form.hello(self.follower.name, "forwarder", self.follower.incarnation)

    # --- the owner's hooks ---

    def ended(self, call: Any, backend: Any, outcome: str, took: int, note: int) -> None:
        """A dispatch is over."""
        self.watch.ended(
            backend,
            call.vhost,
            outcome,
            took,
            call.request.transfer_time,
            note,
            call.kbytes,
            call.request.source,
        )

    def told(self, names: Iterable[str]) -> None:
        """The change log has told of bes."""
        owner = self.owner
        self.watch.listed(names, owner.feed.last, owner.time, owner.monotonic_time)

    # --- each quarter of a second ---

    def _speak(self) -> None:
        owner = self.owner
        requests = owner.front.counts["reqs"]
        self.watch.look(requests - self.counted, owner.feed.last, owner.time, owner.monotonic_time)
        self.counted = requests
        for name, dial in self.dials.items():
            dial.send(form.summary(self.follower.summary(name, owner.monotonic_time)))
        self._act()
        owner.call_at(owner.time + EVERY, self._speak)

    def _act(self) -> None:
        effect = self.watch.act(self.owner.time, self.owner.monotonic_time)
        if effect.name.planner != self.held.planner:
            logger.info("plan: {} holds", effect.name if effect.name.planner else "none")
        if effect.name != self.held and self.owner.recorder:
            self.owner.recorder.plan_changed(effect)
        self.held = effect.name
        self._note()

    def _note(self) -> None:
        """What has become of locations goes to the log and the records."""
        keeper, holds = self.follower.keeper, self.held.planner != ""
        now = keeper.statuses() if keeper else {}
        for zone in sorted(now.keys() | self.away.keys()):
            back, fails = now.get(zone, (SLICE_COUNT, 0))
            was = self.away.get(zone, SLICE_COUNT)
            if back == was:
                continue
            names, told = self.owner.settings["zones"], self.follower.plan.zones.get(zone) if holds else None
            name, why = names[zone] if 0 <= zone < len(names) else str(zone), told.reason if told else ""
            if back == 0 or back == SLICE_COUNT or was == 0:
                logger.info(
                    "location {}: {} of {} slices at home{}",
                    name,
                    back,
                    SLICE_COUNT,
                    f" ({why})" if why else "" if holds else " (without a plan)",
                )
            if self.owner.recorder:
                self.owner.recorder.location_changed(name, back, fails, why, not holds)
        self.away = {zone: back for zone, (back, _) in now.items()}

    # --- connections ---

    def _heard(self, peer: Peer, message: Any) -> None:
        """In a connection's thread."""
        if message.HasField("reply"):
            self.owner.post(self._answered, form.replied(message.reply))

    def _answered(self, reply: Any) -> None:
        if self.follower.reply(reply, self.owner.monotonic_time):
            self._act()
