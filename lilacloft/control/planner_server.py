"""One planner process: its thread that owns the planner, its door, its ways to the other planners, the change
log. It decides nothing."""

from __future__ import annotations

import queue
import time
from collections.abc import Mapping
from typing import Any

from loguru import logger

from lilacloft import needed
from lilacloft.config.addresses import address
from lilacloft.control import codec
from lilacloft.control.messages import PARTS, delta
from lilacloft.control.planner import Listed, Planner, Site
from lilacloft.control.transport import Dial, Door, Peer
from lilacloft.net.feed import Feed, known
from lilacloft.settings import settings
from lilacloft.zones.pace import Warming

TICK = 0.25
NS = 100_000
EPOCH = 7  # kind of the record of the highest epoch, in the planner's store
STARTED = 8  # and of how often it has started


class Process:
    """One planner."""

    def __init__(
        self,
        name: str,
        config: Mapping[str, Any],
        planners: Mapping[str, tuple[str, int]],
        folder: str = "",
        leave: str = "never",
    ) -> None:
        """`leave`: whole locations may be left, `past` their caches, or `across`."""
        found = settings(needed.told(config["settings"]))
        family = found["family"]
        self.name, self.kinds, self.found = name, (family["parent_kind"], family["source_kind"]), found
        self.cold = found["rules"]["cold"]
        links = {zone: float(rate) for zone, rate in enumerate(family.get("feed_kb_per_s") or []) if rate}
        rules = found["rules"]
        site = Site(
            tuple(sorted(planners)),
            family["pace_kb_per_s"],
            links,
            fall=rules["fall"],
            zones=leave != "never",
            across=leave == "across",
            sizes=found.get("weight_source", "silent") != "silent",
            caches=Warming(rules["start_capacity"], rules["cold"], rules["tip_multiple"]),
            hubs=Warming(family["parent_floor"], family["parent_warms_in"], family["parent_breaks_at"]),
        )
        self.store = self._open(folder)
        epoch, life = self._begin()
        self.core = Planner(name, life, site, epoch)
        self.kept = epoch
        self.queue: queue.SimpleQueue[tuple[Any, ...]] = queue.SimpleQueue()
        self.backends: dict[str, tuple[Any, ...]] = {}
        self.number = config["known"]["seq"]
        for number, event in known(config["known"]["results"], found["zones"], found["kinds"]):
            self._told(event, number)
        self.feed = Feed(
            address(config["changelog"]),
            self.number,
            lambda event, number: self.queue.put((self._told, event, number)),
        )
        self.door = Door(planners[name], self._hello, self._heard)
        self.dials = [
            Dial(place, self._hello, self._heard)
            for other, place in sorted(planners.items())
            if other != name
        ]
        self.over = False
        self.before = self.core.plan

    # --- what is kept ---

    @staticmethod
    def _open(folder: str) -> Any:
        if not folder:
            return None
        from lilacloft.store.files import Folder
        from lilacloft.store.log import Store

        return Store(Folder(folder))

    def _begin(self) -> tuple[int, int]:
        """The highest epoch that was known, and this start's number. Without a store the clock tells starts
        apart."""
        if self.store is None:
            return 0, max(1, time.time_ns() // 1_000_000)
        epoch, life = (int.from_bytes(self.store.get(kind, b"") or b"\0", "big") for kind in (EPOCH, STARTED))
        self._keep(STARTED, life + 1)
        return epoch, life + 1

    def _keep(self, kind: int, value: int) -> None:
        if self.store is not None:
            self.store.put(kind, b"", value.to_bytes(8, "big"))
            self.store.commit()

    # --- the one thread of the planner ---

    @staticmethod
    def now() -> int:
        return time.monotonic_ns() // NS

    def run(self) -> None:
        """Until `over`."""
        self.feed.start()
        due = time.monotonic()
        logger.info("planner {} listens, with {} bes listed", self.name, len(self.backends))
        while not self.over:
            due = max(due + TICK, time.monotonic())
            self._tick()
            while (left := due - time.monotonic()) > 0:
                try:
                    what, *told = self.queue.get(timeout=left)
                except queue.Empty:
                    break
                try:
                    what(*told)
                except Exception:
                    logger.exception("planner: one event failed")
        self.door.close()
        for dial in self.dials:
            dial.close()

    def _tick(self) -> None:
        now = self.now()
        self._list()
        was = self.core.plan
        if self.core.tick(now):
            self.before = was
            plan = self.core.plan
            logger.bind(plan=str(plan.name), left_out=sorted(plan.out)).debug("plan {}", plan.name)
        epoch = max(self.core.issuer.seen, self.core.issuer.epoch)
        if epoch > self.kept:  # before anybody is told of it
            self.kept = epoch
            self._keep(EPOCH, epoch)
        word = codec.word(self.core.says(now))
        for dial in self.dials:
            dial.send(word)

    def _told(self, event: Any, number: int) -> None:
        mode, rows = event
        self.number = max(self.number, number)
        if mode == "purge":
            return
        if mode == "full":
            self.backends.clear()
        for row in rows:
            self.backends.pop(row[0], None)
            if row[5]:
                self.backends[row[0]] = row
        self._list()

    def _list(self) -> None:
        parent, origin = self.kinds
        now = time.time() * 10_000
        self.core.listing(
            [
                Listed(
                    name,
                    zone,
                    "parent" if kind == parent else "origin" if kind == origin else "cache",
                    status == 1,
                    kind not in (parent, origin) and bool(started) and now - started * 10 < self.cold,
                    size if size > 0 else 1.0,
                    int(now - started * 10) if started else 1 << 40,
                )
                for name, _, zone, kind, _, status, size, started in self.backends.values()
            ],
            self.number,
        )

    # --- connections ---

    def _hello(self) -> bytes:
        return codec.hello(self.name, "planner", self.core.table.incarnation)

    def _heard(self, peer: Peer, message: Any) -> None:
        """In a connection's thread."""
        self.queue.put((self._take, peer, message))

    def _take(self, peer: Peer, message: Any) -> None:
        now = self.now()
        if message.HasField("summary"):
            peer.send(codec.reply(self.core.summary(codec.summarized(message.summary), now)))
        elif message.HasField("word"):
            self.core.heard(codec.worded(message.word), now)
        elif message.HasField("show"):
            peer.send(codec.shown(self.shows(message.show.what, now)))

    def shows(self, what: str, now: int) -> list[str]:
        """What an operator asks for: the plan, what the last one changed, or why of one be."""
        plan = self.core.plan
        if what == "diff":
            changes = delta(self.before, plan).changes
            return [f"{self.before.name} -> {plan.name}"] + [
                f"{part} {key}: {getattr(self.before, part).get(key)} -> {value}"
                for part in PARTS
                for key, value in sorted(changes.get(part, {}).items(), key=str)
            ]
        if what.startswith("explain "):
            return self.core.explain(what.partition(" ")[2], now)
        members = [
            f"{one.role} {one.name} ({one.incarnation}): {one.state}"
            for _, one in sorted(self.core.table.members.items())
        ]
        lines = [
            f"{part} {key}: {value}" for part in PARTS for key, value in sorted(getattr(plan, part).items())
        ]
        counts = " ".join(f"{name}={count}" for name, count in self.core.counts.items())
        issues = "issues" if self.core.issuer.issues else "does not issue"
        first = f"{self.name} {issues}; plan {plan.name}, list as of {self.core.listed}"
        return [first, counts, *members, *lines]
