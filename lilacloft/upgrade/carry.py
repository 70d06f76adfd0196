"""Owns the state of a gateway at rest, as it is told to the process that goes on with it and made anew
there.

`tell` reads an owner whose connections are at rest (lilacloft/upgrade/rest.py); `Told` makes the same of
what was told. Neither reads, writes or closes anything: connections are but numbers on the way, and whoever
calls sees to the descriptors. What the decisions go on with is `lilacloft.routing.snapshot`'s.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from lilacloft.net.attempt import Attempt
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.tcp_info import bytes_received
from lilacloft.net.upstream_pool import UpstreamConnection, UpstreamPool
from lilacloft.net.write_backlog import PendingMessage
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.snapshot import give, recall, take
from lilacloft.upgrade import form

# what goes over as it is, of a client's connection and of a request
CLIENT_FIELDS = ("said", "offences", "taken", "settled", "used", "moved")
CALL_FIELDS = (
    "tag",
    "name",
    "vhost",
    "key",
    "part",
    "group",
    "kbytes",
    "allow",
    "at",
    "replay",
    "got",
    "body",
)


class Ended:
    """Stands for a connection that carried a req before and has ended: its next dispatch takes a new one."""

    close_reason = CloseReason.RESET


ENDED = Ended()


def free(client: ClientConnection) -> bool:
    """Is nothing open, half read or half written there? Then it can go over by itself."""
    return not (
        client.open
        or client.buffer.partial()
        or client.unsent_bytes()
        or client.state is not ConnectionState.OPEN
        or client.taken > client.settled
        or client.close_reason is not None
    )


def lines(owner: Any) -> list[UpstreamConnection]:
    """All connections to bes, also those of bes that are listed no more but still answer something."""
    found = dict.fromkeys(line for pool in owner.back.pools.values() for line in pool.connections)
    found.update(
        (call.attempt.connection, None)
        for call in owner.open_requests.values()
        if call.attempt and call.attempt.connection
    )
    return list(found)


def stream(conn: Connection, sock: int) -> dict[str, Any]:
    return {
        "sock": sock,
        "held": conn.buffer.held(),
        "backlog": [(waiting.position, bytes(waiting.unsent)) for waiting in conn.backlog],
        "queued": conn.queued,
        "written": conn.written,
        "came": conn.last_input_at,
        "begun": conn.message_started_at,
        "passed_on": conn.passed_on,
    }


def client_told(client: ClientConnection, sock: int) -> form.Client:
    told = {name: getattr(client, name) for name in CLIENT_FIELDS}
    return form.Client(**stream(client, sock), **told)


def tell(owner: Any, mode: str, places: Iterable[tuple[str, int]]) -> tuple[form.State, list[Connection]]:
    """The state of an owner at rest, and the connections that go over, in the order of their descriptors. In
    mode `whole` all that can go over does; in mode `drain` what nothing is open on."""
    whole = mode == "whole"
    clients = [
        client
        for client in owner.front.clients
        if client.state is not ConnectionState.UNREADABLE and (whole or free(client))
    ]
    carried = [
        line
        for line in lines(owner)
        if line.state is not ConnectionState.CONNECTING
        and (whole or not (line.in_flight or line.buffer.partial() or line.unsent_bytes()))
    ]
    conns: list[Connection] = [*clients, *carried]
    number = {conn: place for place, conn in enumerate(conns)}
    line_number = {line: place for place, line in enumerate(carried)}
    calls = [call for call in owner.open_requests.values() if call.client in number] if whole else []
    call_number = {call: place for place, call in enumerate(calls)}
    places = dict.fromkeys(places)
    places.update(((call.key, call.part), None) for call in calls)
    return form.State(
        mode=mode,
        time=owner.time,
        steady=owner.monotonic_time,
        vhosts=[vhost["name"] for vhost in owner.vhosts],
        last=owner.feed.last,
        listed=list(listed(owner)),
        stamps=stamps(owner),
        module=give(owner.router, [call.request for call in calls], places),
        counts=counts(owner),
        checks=owner.back.checks,
        clients=[client_told(client, number[client]) for client in clients],
        lines=[
            form.Line(
                backend=line.pool.backend.name,
                host=line.pool.address[0],
                port=line.pool.address[1],
                life=line.pool.backend_started,
                heard=line.last_read_at,
                used=line.last_used_at,
                made=line.created_at,
                shunned=line.retiring,
                **stream(line, number[line]),
            )
            for line in carried
        ],
        calls=[
            form.Call(
                client=number[call.client],
                open=call.client.open.get(call.tag) is call,
                lines=[line_number.get(line, -1) for line in call.connections],
                **{name: getattr(call, name) for name in CALL_FIELDS},
            )
            for call in calls
        ],
        sents=list(sents(owner, call_number, line_number)) if whole else [],
        sockets=len(conns) + bool(owner.guard),
        store=kept(owner, calls),
    ), conns


def kept(owner: Any, calls: Iterable[ClientRequest]) -> form.Kept | None:
    """What the store's keeper goes on with there."""
    if owner.guard is None:
        return None
    told = owner.guard.told_on({call.name: call for call in calls})
    return form.Kept(
        owner.guard.path,
        [form.Chain(**chain) for chain in told["chains"]],
        *(told[name] for name in ("out", "budgets", "counts")),
    )


def counts(owner: Any) -> dict[str, dict[str, int]]:
    """The counters by the part that counts."""
    return {
        "answers": dict(owner.answer_counts),
        "front": dict(owner.front.counts),
        "back": dict(owner.back.counts),
        "ends": dict(owner.end_counts),
        "log": {"connects": owner.feed.connects, "events": owner.feed.events},
    }


def add(owner: Any, told: dict[str, dict[str, int]]) -> None:
    """Count on from what another process counted; counters that this one does not have are passed over."""
    own = {
        "answers": owner.answer_counts,
        "front": owner.front.counts,
        "back": owner.back.counts,
        "ends": owner.end_counts,
    }
    for part, counted in own.items():
        for name, count in told.get(part, {}).items():
            if name in counted:
                counted[name] += count
    owner.feed.connects += told.get("log", {}).get("connects", 0)
    owner.feed.events += told.get("log", {}).get("events", 0)


def stamps(owner: Any) -> form.Stamps:
    """What is known of the change log's clock, and of starts by it."""
    own = owner.stamps
    starts = {backend: (start.stamp, start.meant, start.revisable) for backend, start in own.starts.items()}
    return form.Stamps(own.lag, own.at, starts)


def listed(owner: Any) -> Iterable[form.Listed]:
    """The list held; of status 0 those that are listed no more but still have something out."""
    for name, backend in owner.backends.items():
        pool = owner.back.pools.get(backend)
        host, port = pool.address if pool else ("", 0)
        yield form.Listed(
            name,
            host,
            port,
            backend.zone,
            backend.kind,
            backend.cell,
            backend.status,
            backend.capacity,
            backend.started,
        )


def sents(
    owner: Any, calls: dict[ClientRequest, int], places: dict[UpstreamConnection, int]
) -> Iterable[form.Sent]:
    """What is out: dispatches by their calls, checks by their connections; with the times due for them."""
    until, over = {}, {}
    for when, _, what, told in owner.timers:
        if what == owner.attempt_timed_out:
            until[told[0]] = when
        elif what == owner.attempt_ended:
            over[told[0]] = (told[1].name, when)
    held = set(owner.guard.again) if owner.guard else ()  # they go out anew
    out = [call.attempt for call in calls if call.attempt is not None]
    out += [sent for line in places for sent in line.in_flight.values() if sent.call is None]
    for sent in out:
        if sent.connection is None and sent not in over and sent not in held:
            continue  # told in this very turn: nothing is owed for it
        yield form.Sent(
            call=calls.get(sent.call) if sent.call else None,
            backend=sent.backend.name,
            seq=sent.seq,
            name=sent.name,
            data=sent.data,
            at=sent.at,
            line=places.get(sent.connection) if sent.connection else None,
            place=sent.position,
            until=until.get(sent),
            over=over.get(sent),
        )


class Told:
    """A state made anew in an owner that has read its configuration and serves nothing yet."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.state = form.State()
        self.conns: list[Connection] = []  # to be started once this process is the gateway
        self.again: list[Attempt] = []  # dispatches whose connection had not come up: they go out anew

    def warm(self, rows: list[form.Listed], table: Iterable[list[form.ObjectPart]]) -> None:
        """Make what can be made while the old process still serves: the list, and most of the table."""
        self._list(rows)
        for object_parts in table:
            recall(self.owner.router, form.plain(object_parts), self.owner.backends)

    def make(self, state: form.State, sock: Callable[[int], Any]) -> None:
        """Make everything; `sock` gives the socket of a number. Raises FormError where it does not fit."""
        self.state, owner = state, self.owner
        if state.module is None:
            raise form.FormError("a state without the module's part")
        own = [vhost["name"] for vhost in owner.vhosts]
        if state.calls and state.vhosts != own:
            raise form.FormError(f"open reqs of vhosts {state.vhosts}, known are {own}")
        # the module's time goes on: both processes read the same monotonic clock
        owner.resume_clock(state.time, state.steady)
        try:
            self._list(state.listed)
            if state.stamps:
                owner.stamps.take(state.stamps.lag, state.stamps.at, state.stamps.starts)
            given = form.plain(state.module)
            given["vhosts"] = self._by_name(given["vhosts"], state.vhosts, own)
            requests = take(owner.router, given, owner.backends)
            add(owner, state.counts)
            owner.feed.last = max(owner.feed.last, state.last)
            owner.back.checks = state.checks
            clients = {told.sock: self.client(told, sock(told.sock)) for told in state.clients}
            carried = [self._line(told, sock(told.sock)) for told in state.lines]
            calls = [
                self._call(told, request, clients, carried)
                for told, request in zip(state.calls, requests, strict=True)
            ]
            for told in state.sents:
                self._sent(told, calls, carried)
        except (KeyError, IndexError, ValueError, TypeError, AttributeError) as wrong:
            raise form.FormError(f"a state that does not fit together: {wrong!r}") from wrong

    @staticmethod
    def _by_name(kept: list[Any], names: list[str], own: list[str]) -> list[Any]:
        """What was learned of each vhost by its name: their order may have changed."""
        by_name = dict(zip(names, kept, strict=False))
        return [by_name.get(name, {}) for name in own]

    def _list(self, listed: list[form.Listed]) -> None:
        owner = self.owner
        rows = [
            (
                told.name,
                (told.host, told.port),
                told.zone,
                told.kind,
                told.cell,
                told.status,
                told.size,
                told.started,
            )
            for told in listed
            if told.status
        ]
        owner.apply_endpoints("cached", rows)
        for told in listed:
            if not told.status and told.name not in owner.backends:
                owner.backends[told.name] = Backend(
                    told.name, told.zone, told.kind, told.cell, 0, told.size, told.started
                )

    def client(self, told: form.Client, sock: Any) -> ClientConnection:
        """One client's connection."""
        front = self.owner.front
        client = ClientConnection(front, sock)
        for name in CLIENT_FIELDS:
            setattr(client, name, getattr(told, name))
        self._stream(client, told)
        front.clients[client] = None
        return client

    def _stream(self, conn: Connection, told: form.Stream) -> None:
        conn.buffer.feed(told.held)
        conn.backlog.extend(PendingMessage(at, memoryview(rest), started=True) for at, rest in told.backlog)
        conn.queued, conn.written = told.queued, told.written
        conn.last_input_at, conn.message_started_at = told.came, told.begun
        conn.received = conn.passed_on = told.passed_on if told.passed_on >= 0 else bytes_received(conn.sock)
        conn.sent_position = min((at - len(rest) for at, rest in told.backlog), default=told.queued)
        self.conns.append(conn)

    def _line(self, told: form.Line, sock: Any) -> UpstreamConnection:
        back, backend = self.owner.back, self.owner.backends[told.backend]
        pool, address = back.pools.get(backend), (told.host, told.port)
        if pool is None or (pool.address, pool.backend_started) != (address, told.life):
            pool = UpstreamPool(backend, address, back)  # of an earlier life, or gone: nothing new goes there
        line = UpstreamConnection(pool, back.read_answer, back.connection_closed, sock=sock)
        pool.connections.append(line)
        line.last_read_at, line.last_used_at, line.created_at = told.heard, told.used, told.made
        line.retiring = told.shunned or back.pools.get(backend) is not pool
        self._stream(line, told)
        return line

    def _call(
        self,
        told: form.Call,
        request: Request,
        clients: dict[int, ClientConnection],
        carried: list[UpstreamConnection],
    ) -> ClientRequest:
        call = ClientRequest.__new__(ClientRequest)
        for name in CALL_FIELDS:
            setattr(call, name, getattr(told, name))
        call.client, call.request, call.attempt = clients[told.client], request, None
        call.cancelled_at, call.last_outcome, call.history = 0, "", self.owner.request_history(call, request)
        call.connections = [ENDED if line < 0 else carried[line] for line in told.lines]
        if told.open:
            call.client.open[call.tag] = call
            self.owner.front.requests_by_name[call.name] = call
        else:
            request.finished = True
        self.owner.open_requests[request] = call
        return call

    def _sent(self, told: form.Sent, calls: list[ClientRequest], carried: list[UpstreamConnection]) -> None:
        owner = self.owner
        call = None if told.call is None else calls[told.call]
        sent = Attempt(
            call,
            owner.backends[told.backend],
            told.seq,
            told.name,
            told.data,
            told.at,
            encoded_at=owner.to_monotonic(told.at),
            deadline=owner.to_monotonic(told.until or call.request.deadline) if call else 0,
            send_by=owner.to_monotonic(call.request.send_by) if call else 0,
            window_over=owner.idempotency_deadline(call.history) if call else 0,
        )
        sent.position = told.place
        if call:
            call.attempt = sent
            if call.request.send_by:
                owner.call_at(call.request.send_by, owner.send_deadline_passed, call)
        if told.over:
            owner.call_at(told.over[1], owner.attempt_ended, sent, CloseReason[told.over[0]])
            return
        if told.line is None:
            self.again.append(sent)
        else:
            sent.connection = carried[told.line]
            sent.connection.in_flight[sent.name] = sent
            for waiting in sent.connection.backlog:
                if waiting.position == sent.position:
                    waiting.started = len(waiting.unsent) < len(sent.data)
        if told.until is not None:
            owner.call_at(told.until, owner.attempt_timed_out, sent)

    def start(self) -> None:
        """This process is the gateway: read and write on, and send what could not be sent."""
        self.owner.record_pause(self.state.steady)
        for conn in self.conns:
            with conn.lock:
                conn._start_writer()
            conn.start()
        guard = self.owner.guard
        if guard:
            guard.resumed(
                call.attempt
                for call in self.owner.open_requests.values()
                if call.attempt and call.attempt not in self.again
            )
        for sent in self.again:
            sent.at = self.owner.time
            if sent.expired():
                end: CloseReason | None = CloseReason.UNWRITTEN
            elif guard:
                end = guard.dispatch(sent, sent.call.request.deadline)
            else:
                end = self.owner.back.dispatch(sent)
            if end is not None:
                self.owner.report_end(sent, end)
