"""Decides what a gateway keeps and when a dispatch may go out for it. Owns the state of what is kept of its
reqs.

Between the decision module, which says where a req goes, and the sockets: a dispatch that has an effect is
held until its intent is down, or is refused where the disk does not answer in time, as it surely never ran.
Reqs that a process before this one may have sent are told apart by their keys. No I/O: records are asked
for and told as down through the host. Times and spans are whole tenths of a millisecond of Unix time.

A key is what makes two reqs one effect: the client's idempotency key, else the req's own name, as a req
that crosses a close is sent again under it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from lilacloft.store import record_types
from lilacloft.store.record_types import Intent, Recovered

PATIENCE = 500  # that a dispatch waits for the disk: beyond, another try elsewhere serves the client better
EVERY = 10_000  # between two records of one be's budget: each has all of it
SEND, HOLD, DENY, ABORT = "send", "hold", "deny", "abort"


class Hands(Protocol):
    """How a keeper acts; each call returns at once."""

    def now(self) -> int:
        """Tell the time."""

    def keep(self, kind: int, key: bytes, value: bytes | None) -> int:
        """Ask for a record (none: its removal); returns its ticket. `down` tells when tickets are down."""

    def release(self, token: str) -> None:
        """A dispatch that was held may go out."""

    def refuse(self, token: str) -> None:
        """A dispatch that was held is not sent: it never ran."""


@dataclass
class Chain:
    """All dispatches of this process under one key that are held or out: tries of one req may overlap."""

    before: Intent | None  # what was kept under the key before the first of them
    users: int = 0  # held or out
    sent: bool = False  # has any gone out, that may have run?
    down: bool = False  # is their intent?


@dataclass
class Held:
    """A dispatch that waits for its intent."""

    token: str
    key: bytes
    ticket: int
    until: int  # from then on it is refused: the disk has had its time, or the window is over


class Keeper:
    """One gateway's. The owner asks it at the one place that every dispatch passes, with a token of each."""

    def __init__(self, hands: Hands, found: Recovered | None = None, patience: int = PATIENCE) -> None:
        self.hands, self.patience = hands, patience
        self.intents: dict[bytes, Intent] = dict(found.intents) if found else {}
        self.earlier = set(self.intents)  # of a process before this one
        self.chains: dict[bytes, Chain] = {}
        self.out: dict[str, bytes] = {}  # keys of dispatches that may run now, by token
        self.held: dict[str, Held] = {}
        self.order: deque[Held] = deque()  # by ticket
        self.budgets: dict[str, int] = {}  # when each be's was last asked for
        self.counts = dict.fromkeys(("kept", "held", "refused", "barred"), 0)

    # --- a req's dispatches ---

    def asks(
        self,
        token: str,
        key: bytes,
        effect: str,
        window: int,
        group: str,
        cell: int,
        latest: int | None = None,
    ) -> str:
        """May a req be dispatched to a be of a cell, and when? `send`: now. `hold`: it is told by `release`,
        or refused, by `latest` if that is told: so that its client hears that it never ran, which nobody
        could say of one given up in the midst. `deny`, `abort`: never by this gateway, as an earlier process
        may have run it; denied where asking again is harmless, which is where its key makes all tries one."""
        if not record_types.must_be_down(effect):
            return SEND
        now, before = self.hands.now(), self.intents.get(key)
        if key in self.earlier and not record_types.may_send(effect, before, now, window, group, cell):
            self.counts["barred"] += 1
            return DENY if effect == "uniqued" and group == "all" else ABORT
        chain = self.chains.setdefault(key, Chain(before))
        chain.users += 1
        if chain.down and before is not None:  # a further dispatch under an intent that is down already
            self.out[token], chain.sent = key, True
            return SEND
        if before is not None and not before.over:  # the first sending counts for window and group
            intent = Intent(before.sent, effect, False, before.cell)
        else:
            intent = Intent(now, effect, False, cell)
        self.intents[key] = intent
        until = now + self.patience if latest is None else min(now + self.patience, latest)
        if key in self.earlier and effect == "uniqued":
            until = min(until, intent.sent + window)
        held = Held(token, key, self.hands.keep(record_types.INTENT, key, intent.pack()), until)
        self.held[token] = held
        self.order.append(held)
        self.counts["kept"] += 1
        self.counts["held"] += 1
        return HOLD

    def down(self, ticket: int) -> None:
        """All records up to a ticket are down."""
        while self.order and self.order[0].ticket <= ticket:
            held = self.order.popleft()
            if self.held.get(held.token) is not held:
                continue
            if self.hands.now() >= held.until:  # whoever asked for it counts on no answer by now
                self._refuse(held)
                continue
            del self.held[held.token]
            chain = self.chains[held.key]
            chain.down = chain.sent = True
            self.out[held.token] = held.key
            self.hands.release(held.token)

    def left(self, token: str) -> None:
        """Nobody waits for a held dispatch any more: it is not sent."""
        held = self.held.pop(token, None)
        if held:
            self._less(held.key)

    def ended(self, token: str, ran: bool) -> None:
        """A dispatch is over. What may have run must never be forgotten before its time; if all dispatches
        under a key surely never ran, it is as if they had not been."""
        key = self.out.pop(token, None)
        if key is None:
            return
        chain = self.chains[key]
        if ran:
            chain.before, chain.sent = self.intents[key], True
        elif not any(other == key for other in self.out.values()):
            chain.sent = False  # none is out, and whatever ran stands in `before`
        self._less(key)

    def tick(self) -> None:
        """Refuse what has waited for the disk for longer than it may. Its record may come down later: what
        stood before follows it, in the same order."""
        now = self.hands.now()
        for held in list(self.held.values()):
            if now >= held.until:
                self._refuse(held)

    def _refuse(self, held: Held) -> None:
        del self.held[held.token]
        self._less(held.key)
        self.counts["refused"] += 1
        self.hands.refuse(held.token)

    def wait(self) -> int | None:
        """How long until `tick` has something to do; none where nothing is held."""
        until = min((held.until for held in self.held.values()), default=None)
        return None if until is None else max(0, until - self.hands.now())

    def _less(self, key: bytes) -> None:
        """One user of a chain fewer; with the last, what is kept is what may have run, and no more."""
        chain = self.chains[key]
        chain.users -= 1
        if chain.users:
            return
        del self.chains[key]
        if chain.sent or self.intents.get(key) == chain.before:
            return
        if chain.before is None:
            del self.intents[key]
            self.hands.keep(record_types.INTENT, key, None)
        else:
            self.intents[key] = chain.before
            self.hands.keep(record_types.INTENT, key, chain.before.pack())

    # --- two processes, one after the other ---

    def idle(self) -> list[str]:
        """Nothing is to be asked of the disk for a while: what is held is taken back; returns its tokens. It
        never ran, and goes out anew, here or in the next process."""
        tokens = list(self.held)
        for token in tokens:
            self.left(token)
        return tokens

    def give(self) -> dict[str, Any]:
        """What the next process goes on with beside the store, with nothing held: what is out now. Its end
        decides what is kept of it, and the tries under a key that run in one process are one chain."""
        return {
            "chains": [
                {
                    "key": key,
                    "before": chain.before.pack() if chain.before else None,
                    "users": chain.users,
                    "sent": chain.sent,
                    "down": chain.down,
                    "earlier": key in self.earlier,
                }
                for key, chain in self.chains.items()
            ],
            "out": [[token, key] for token, key in self.out.items()],
            "budgets": dict(self.budgets),
            "counts": dict(self.counts),
        }

    def take(self, given: Mapping[str, Any]) -> None:
        """Go on with what the process before gave; what else is in the store counts as of one before."""
        for told in given["chains"]:
            before = record_types.intent(told["before"]) if told["before"] else None
            self.chains[told["key"]] = Chain(before, told["users"], told["sent"], told["down"])
            if not told["earlier"]:
                self.earlier.discard(told["key"])
        self.out = {token: key for token, key in given["out"]}
        self.budgets = dict(given["budgets"])
        for name, count in given["counts"].items():
            self.counts[name] = self.counts.get(name, 0) + count

    def lost(self, gone: Iterable[tuple[str, bytes]]) -> None:
        """These (tokens and keys) went over to another process that has died with them: they may have run,
        and their clients send them again under their names. They count as of a process before this one,
        also where their ends were told meanwhile."""
        for token, key in gone:
            self.ended(token, True)
            if key in self.intents:
                self.earlier.add(key)

    def adopt(self, token: str, key: bytes, effect: str, at: int, cell: int) -> None:
        """A dispatch of a process before that kept nothing is out: it counts from when it was sent."""
        if not record_types.must_be_down(effect):
            return
        chain = self.chains.setdefault(key, Chain(self.intents.get(key)))
        chain.users, chain.sent = chain.users + 1, True
        self.out[token] = key
        before = self.intents.get(key)
        if before is None or before.over:
            self.intents[key] = Intent(at, effect, False, cell)
            self.hands.keep(record_types.INTENT, key, self.intents[key].pack())
            self.counts["kept"] += 1

    def follow(self, intents: Mapping[bytes, Intent]) -> None:
        """Another process has kept these meanwhile, and is over: what it sent may have run. What was asked
        for here since, and waits for the disk, was asked without that in mind: it is refused, as it never
        ran, and may be asked again."""
        for key, intent in intents.items():
            if self.intents.get(key) == intent and key in self.earlier:
                continue
            chain = self.chains.get(key)
            if chain is None:
                self.intents[key] = intent
                self.earlier.add(key)
            elif not chain.down and intent != chain.before:  # not ours, though it may look the same
                chain.before = intent
                self.earlier.add(key)
                for held in [held for held in self.held.values() if held.key == key]:
                    self._refuse(held)
        for key in [key for key in self.intents if key not in intents and key not in self.chains]:
            del self.intents[key]
            self.earlier.discard(key)

    def relayed(self, kind: int, key: bytes, value: bytes | None) -> int:
        """The process before this one, which still ends what it had open, asks for a record; returns its
        ticket. Its reqs are not ours: their keys count as sent before."""
        if kind == record_types.INTENT:
            if value is None:
                self.intents.pop(key, None)
            elif key not in self.chains:
                self.intents[key] = record_types.intent(value)
                self.earlier.add(key)
        return self.hands.keep(kind, key, value)

    # --- what may lag ---

    def purged(self, what: str | int, at: int) -> None:
        """A purge was told."""
        self.hands.keep(record_types.PURGE, record_types.key(what), record_types.WHEN.pack(at))

    def told(self, number: int, base: int) -> None:
        """The change log's last number, and that from which on its rows are whole; after what it told, as one
        log keeps order."""
        self.hands.keep(record_types.LAST, b"", record_types.NUMBERS.pack(number, base))

    def spent(self, backend: str, started: int, budget: list[tuple[int, float]], warm: int) -> None:
        """Work sent to a be that is cold; once in a while, and not once it is warm."""
        now = self.hands.now()
        if not started or now - started >= warm or now - self.budgets.get(backend, 0) < EVERY:
            return
        self.budgets[backend] = now
        self.hands.keep(record_types.COLD, backend.encode(), record_types.spend(budget))

    def forget(self, oldest: int) -> int:
        """Let go of intents that no rule asks for any more; returns how many. Those of dispatches that are
        out or held stay."""
        now, gone = self.hands.now(), 0
        for key, intent in list(self.intents.items()):
            if key not in self.chains and now - min(intent.sent, now) > oldest:
                del self.intents[key]
                self.earlier.discard(key)
                self.hands.keep(record_types.INTENT, key, None)
                gone += 1
        return gone


def begin(
    found: Recovered, started: Mapping[str, int], fall: int, now: int, most: Mapping[str, float]
) -> dict[str, list[tuple[int, float]]]:
    """The budgets that cold bes begin with after a crash, by name: what is known to be spent, and, as the
    last records of it may not have been down, all that may have been sent since (`most`: in a fall
    span), as if it had been sent just now. Bes that started anew since begin with nothing spent."""
    out: dict[str, list[tuple[int, float]]] = {}
    for backend, budget in found.cold.items():
        since = started.get(backend, 0)
        if not since:
            continue
        known = [(at, work) for at, work in budget if since <= at <= now and now - at <= fall]
        last = max((at for at, _ in budget), default=0)
        unknown = most.get(backend, 0.0) - sum(work for _, work in known)
        if last >= since and now - last <= EVERY + fall and unknown > 0:
            known.append((now, unknown))
        out[backend] = known
    return out
