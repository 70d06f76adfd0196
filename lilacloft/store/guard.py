"""Joins a gateway's owner, the keeper and the disk: carries out what `keep.Keeper` decides, and decides
nothing.

All but the committing belongs to the owner's thread. It must never wait for the disk, and never send what
the keeper holds. What a process before this one may have sent is told to the decision module with the req,
so that its own gate keeps the rules on effects.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
from loguru import logger

from lilacloft.net.attempt import Attempt
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.routing import snapshot
from lilacloft.routing.model import Backend, Request
from lilacloft.store import kinds, learned
from lilacloft.store.commits import Commits
from lilacloft.store.files import Folder
from lilacloft.store.keep import HOLD, PATIENCE, SEND, Keeper, begin
from lilacloft.store.listing import Listing
from lilacloft.store.log import Store

SECOND = 10_000
LEARNS = 5  # seconds between two looks at what was learned: some milliseconds with thousands of bes
CLEANS = 60  # seconds between two times at which what is too old goes


_write = msgspec.msgpack.Encoder().encode
_read = msgspec.msgpack.Decoder().decode


class Reader:
    """Reads a store while another process writes it."""

    def __init__(self, path: str) -> None:
        self.store = Store(Folder(path, lock=False))


class Guard:
    """One gateway's store."""

    def __init__(
        self,
        owner: Any,
        path: str,
        patience: int = PATIENCE,
        reader: Reader | None = None,
        given: dict[str, Any] | None = None,
        lock: int = -1,
    ) -> None:
        """After an end of any kind, or with what the process before `given`, its lock passed on, and a
        `reader` of what it wrote."""
        self.owner, self.path = owner, os.path.realpath(path)
        self.folder = Folder(path, passed=lock)
        self.purge_done = owner.router.freshness.purge_lifetime
        windows = [vhost.get("repeat_window", 0) for vhost in owner.vhosts]
        began = time.monotonic()
        bounds = kinds.limits(self.purge_done, owner.max_client_timeout, max(windows))
        if reader:
            self.store = reader.store
            self.store.files, self.store.limits = self.folder, bounds
            self.store.follow()
        else:
            self.store = Store(self.folder, bounds)
        found = self._found()
        for line in (*self.store.found.damage, *self.store.found.torn, *found.skipped):
            logger.warning("store: {}", line)
        logger.info(
            "store: {} records {} in {:.0f} ms: {} purges, {} intents",
            sum(map(len, self.store.kept.values())),
            "followed" if reader else "recovered",
            1000 * (time.monotonic() - began),
            len(found.purges),
            len(found.intents),
        )
        self.keeper = Keeper(self, found, patience)
        self.changes, self.listing = learned.Changes(), Listing()
        rows = {key: _read(data) for key, data in found.rows.items()}
        self.listing.read(
            {
                key: (number, (row[0], tuple(row[1]), *row[2:]) if row else ())
                for key, (number, row) in rows.items()
            },
            found.base,
        )
        self.held: dict[str, tuple[Attempt, int]] = {}
        self.tokens: dict[Attempt, str] = {}
        self.again: list[Attempt] = []  # were held when all was brought to rest
        self.over: list[tuple[str, bytes]] = []  # tokens and keys of what went over
        self.asked: dict[int, int] = {}  # tickets of the process before, by ours
        self.answer: Callable[[int], None] | None = None  # tells it which of them are down
        self.relay: Callable[[int, int, bytes, bytes | None], None] | None = None
        self.tickets = 0
        self.seconds = 0
        if given is None:
            self._begin(found)
        else:
            self.keeper.take(given)
        self.commits = Commits(self.store, told=lambda ticket: owner.post(self._down, ticket))
        owner.guard = self

    def _found(self) -> kinds.Recovered:
        records = [record for kind in self.store.kept for record in self.store.all(kind)]
        return kinds.recovered(records, self.owner.time, self.purge_done)

    def _begin(self, found: kinds.Recovered) -> None:
        """Nobody has told the decision module of anything yet."""
        owner = self.owner
        events, owner.feed.last = self.listing.start(owner.feed.last, found.last)
        for event in events:
            owner.apply_event(event)
        if found.last > owner.discovery.last_known_event:
            owner.discovery.last_known_event = found.last
        starts = {
            name: backend.concurrency_limit.limit
            for name, backend in owner.backends.items()
            if backend.concurrency_limit
        }
        kept = {key: (at, _read(data)) for key, (at, data) in found.learned.items()}
        names = [vhost["name"] for vhost in owner.vhosts]
        aged = learned.aged(kept, owner.time, names, starts, owner.router.link_limit.limit)
        snapshot.take(owner.router, aged, owner.backends)
        for what, at in found.purges.items():
            key, group = (what, 0) if isinstance(what, str) else ("", what)
            owner.router.object_purged(key, group, owner.time - owner.stamps.purge(owner.time, at))
        started = {name: backend.started for name, backend in owner.backends.items()}
        window = owner.router.settings.overload_window
        most = {name: float(backend.capacity) * window for name, backend in owner.backends.items()}
        for name, budget in begin(found, started, window, owner.time, most).items():
            backend = owner.backends[name]
            backend.recent_work = backend.recent_work or list(budget)  # a process before tells better

    def start(self) -> None:
        """The owner runs, and this process is the gateway."""
        self.commits.do(self.folder.sign)
        self._second()

    def close(self) -> None:
        if self.relay is None:
            self.commits.close(1.0)
        self.folder.close()

    # --- two processes, one after the other ---

    def rest(self, wait: float) -> str:
        """Nothing is sent or asked for until `go_on`, or for good; tells why not, where what was asked for
        cannot be had down in time."""
        self.again = [self.held.pop(token)[0] for token in self.keeper.idle()]
        for sent in self.again:
            self.tokens.pop(sent, None)
        return "" if self.commits.flush(wait) else "the store's disk does not answer"

    def told_on(self, calls: Mapping[str, Any]) -> dict[str, Any]:
        """What the next process goes on with, of the reqs that go over to it, by name."""
        given = self.keeper.give()
        mine = [pair for pair in given["out"] if pair[0].split()[0] in calls]
        self.over = [(token, key) for token, key in mine]
        keys = {key for _, key in mine}
        return {**given, "out": mine, "chains": [chain for chain in given["chains"] if chain["key"] in keys]}

    def hand_on(self, relay: Callable[[int, int, bytes, bytes | None], None]) -> None:
        """The next process writes from here on; what is asked for here, for reqs that stay, goes to it."""
        self.relay = relay
        again, self.again = self.again, []
        for sent in again:
            if sent.call.client in self.owner.front.clients:
                self.owner.report_end(sent, CloseReason.UNWRITTEN)

    def go_on(self, wrote: bool) -> None:
        """This process is the gateway after all; the other one may have written meanwhile."""
        self.relay = None
        again, self.again = self.again, []
        for sent in again:
            self.owner.report_end(sent, CloseReason.UNWRITTEN)
        over, self.over = self.over, []
        if wrote:
            self.keeper.lost(over)
            self.commits.do(self._follow)
            self.commits.do(self.folder.sign)
            if not any(entry[2] == self._second for entry in self.owner.timers):
                self._second()

    def _follow(self) -> None:
        """In the commits' thread, which nothing of the store passes by."""
        self.store.follow()
        self.owner.post(self.keeper.follow, self._found().intents)

    def resumed(self, sents: Iterable[Attempt]) -> None:
        """Dispatches that are out on connections which have come over; where the process before had no store
        they are kept from now on. What went over in the keeper and is not among them has lost its connection
        on the way, and may have run."""
        for sent in sents:
            token, call = self._token(sent), sent.call
            if token not in self.keeper.out:
                effect = self.owner.vhosts[call.vhost]["effect"]
                self.keeper.adopt(token, self._key(call), effect, call.request.sent_at, sent.backend.cell)
            if token in self.keeper.out:
                self.tokens[sent] = token
        for token in set(self.keeper.out) - set(self.tokens.values()):
            self.keeper.ended(token, True)

    def relayed(
        self, ticket: int, kind: int, key: bytes, value: bytes | None, answer: Callable[[int], None]
    ) -> None:
        """The process before asks for a record."""
        self.answer = answer
        self.asked[self.keeper.relayed(kind, key, value)] = ticket

    def _down(self, ticket: int) -> None:
        theirs = [self.asked.pop(ours) for ours in sorted(self.asked) if ours <= ticket]
        if theirs and self.answer:
            self.answer(max(theirs))
        if self.relay is None:
            self.keeper.down(ticket)

    def relay_down(self, ticket: int) -> None:
        """The next process has records down, up to one that went to it."""
        if self.relay is not None:
            self.keeper.down(ticket)

    # --- the owner's hooks ---

    def knows(self, call: Any, request: Request) -> None:
        """A req has come: has a process before this one sent it, or another try of it?"""
        key = self._key(call)
        intent = self.keeper.intents.get(key)
        if intent and key in self.keeper.earlier and not intent.over:
            request.first_executed_at, request.first_executed_by = (
                intent.sent,
                Backend("earlier", zone=-1, cell=intent.cell),
            )

    def dispatch(self, sent: Attempt, until: int) -> CloseReason | None:
        """Send, or hold until the intent is down. By a time it will have had its own."""
        call, vhost, token = sent.call, self.owner.vhosts[sent.call.vhost], self._token(sent)
        verdict = self.keeper.asks(
            token,
            self._key(call),
            vhost["effect"],
            vhost.get("repeat_window", 0),
            vhost.get("repeat_group", "all"),
            sent.backend.cell,
            until - 2 * self.owner.granularity,
        )
        if verdict == SEND:
            self.tokens[sent] = token
            return self.owner.back.dispatch(sent)
        if verdict == HOLD:
            self.tokens[sent] = token
            self.held[token] = sent, until
            self.owner.call_at(self.owner.time + (self.keeper.wait() or 0), self.keeper.tick)
            return None
        self.knows(call, call.request)  # it may have become known only since the req came
        return CloseReason.UNWRITTEN

    def drop(self, sent: Attempt) -> bool:
        """The module takes a dispatch back: was it held? Then it never ran."""
        token = self.tokens.get(sent, "")
        if self.held.pop(token, None) is None:
            return False
        self.keeper.left(token)
        return True

    def ended(self, sent: Attempt, end: CloseReason) -> None:
        """A dispatch is over."""
        token = self.tokens.pop(sent, None)
        if token is not None and self.held.pop(token, None) is None:
            self.keeper.ended(token, OUTCOMES[end] not in kinds.NEVER_RAN)

    def purged(self, key: str, group: int, at: int) -> None:
        self.keeper.purged(key or group, at)

    def heard(self, event: Any, number: int) -> None:
        """An event of the change log was taken in."""
        mode, told = event
        if mode != "purge":
            for key, kept in self.listing.told(mode, told, number).items():
                self.keep(kinds.ROW, key, None if kept is None else _write(kept))
        self.keeper.told(number, self.listing.base)

    @staticmethod
    def _token(sent: Attempt) -> str:
        return f"{sent.call.name} {sent.seq}"

    def _key(self, call: Any) -> bytes:
        return (call.replay or call.name).encode()

    def _second(self) -> None:
        owner = self.owner
        for backend in owner.router.pools.backends:
            warm = owner.router.slow_start.profile(backend).duration
            self.keeper.spent(backend.name, backend.started, backend.recent_work, warm)
        self.seconds += 1
        if self.seconds % LEARNS == 0:
            given = snapshot.give(owner.router, (), ())
            parts = learned.parts(given, [vhost["name"] for vhost in owner.vhosts])
            for key, part in self.changes.since(owner.time, parts).items():
                self.keep(kinds.LEARNED, key, None if part is None else _write(part))
        if self.seconds % CLEANS == 0:
            self.keeper.forget(kinds.limits(self.purge_done, owner.max_client_timeout, 0)[kinds.INTENT][1])
        owner.call_at(owner.time + SECOND, self._second)

    # --- Hands: what the keeper calls ---

    def now(self) -> int:
        return self.owner.time

    def keep(self, kind: int, key: bytes, value: bytes | None) -> int:
        if self.relay is None:
            return self.commits.ask(kind, key, value, self.owner.time)
        # tickets go on rising past those of our own commits, which are all down
        self.tickets = max(self.tickets, self.commits.told) + 1
        if kind == kinds.INTENT:  # all else the next process knows better
            self.relay(self.tickets, kind, key, value)
        return self.tickets

    def release(self, token: str) -> None:
        sent, until = self.held.pop(token)
        over = sent.call.attempt is not sent or sent.call.request.finished or self.owner.time >= until
        if over or sent.expired():
            return self.owner.report_end(sent, CloseReason.UNWRITTEN)
        sent.at = self.owner.time  # that it waited for the disk is no fault of its cache
        # the loop lets the times of what is not on a connection go: this one may be gone already
        self.owner.call_at(until, self.owner.attempt_timed_out, sent)
        end = self.owner.back.dispatch(sent)
        if end is not None:
            self.owner.report_end(sent, end)
        return None

    def refuse(self, token: str) -> None:
        sent, _ = self.held.pop(token)
        self.knows(sent.call, sent.call.request)  # the same: else it would be denied, as if it had never run
        self.owner.report_end(sent, CloseReason.UNWRITTEN)
