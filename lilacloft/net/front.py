"""Owns the clients' side: the listening socket, clients' connections, and what their messages must look like.

It reads reqs and hands them to the owner of the module, and writes the answers that the owner gives; what is
no req it answers as failed in the thread that read it, so that a flood of it costs the owner nothing. It must
never answer a req by itself, never choose anything, and never let one client touch another's connection.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from loguru import logger

from lilacloft.net import transient
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import DRAIN_TIME, Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.polling import poll_events
from lilacloft.net.resp import FROM_CLIENT, LARGEST, SMALL, GarbledError, encode, fields, listed
from lilacloft.net.tcp_info import since_last_data, since_opened
from lilacloft.settings import NS, TENTHS

OWED = 3.0  # seconds in which a client that brings nothing usable is owed an end, by the protocol
IDLE = 4.0  # seconds after which clients close idle ones themselves
CROSSES = (
    0.05  # seconds before our end of a connection within which clients send a req again, by the protocol
)
THREAD_AGAIN = 1.0  # seconds in which a client's thread is tried for
NOTICED = 10_000  # span by which the end of the process before this one may be noticed late
LOOK = 0.02  # seconds between two looks at what passes by itself
STREAMS = 32  # reqs that a connection carries at most
HEX = frozenset("0123456789abcdef")
DIGITS = frozenset("0123456789.")


class Client(Connection):
    """A client's connection."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        super().__init__(front.takes, front.gone, sock, sizes=FROM_CLIENT, small=SMALL)
        self.front = front
        self.said = self.offences = 0  # whole messages so far, and those of no use since the last req
        self.taken = self.settled = 0  # reqs so far, by the reader; those with no more owed, by the owner
        self.open: dict[bytes, Call] = {}  # by tag: the reader adds, the owner takes away
        self.used = time.monotonic()  # when it last brought a message, or was answered
        self.moved = (0, self.used)  # how much had gone out, and since when no more
        self.input_ended: int | None = None  # since when at the earliest, by the steady clock
        self.opened = 0  # when it came up at the door, by the steady clock; 0: not known
        self.emptied = 0  # when, by the steady clock, nothing was left unread here; 0: not known
        self.unread_since = (0.0, 0)  # when it was last read from, and since when something lies unread since
        front.holding[self] = None

    def on_descriptor_closed(self) -> None:
        self.front.given_back(self)

    def apply_backpressure(self) -> None:
        """Stop reading while the other side does not read either, and look whether it has gone meanwhile."""
        told = False
        while self.wait_for_backlog(LARGEST, LOOK):
            self.departed()
            if self.input_ended is not None and not told:
                told = True  # what waits is given up at once, not when all before its end has been read
                self.front.post(self.front.owner.requests.client_half_closed, self, self.input_ended)

    def departed(self) -> int | None:
        """Since when, by the steady clock, the client may have gone: 0 where it surely has; None where it is
        there and all that it sent is read. Any thread may ask.

        The kernel knows of an end of input before anybody has read up to it, but not since when; it came no
        earlier than the last byte. What lies unread, or in its reader's hand, may be a cancel, since it was
        first seen there, or since the last byte came."""
        if self.close_reason is not None:
            return 0
        if self.input_ended is not None:
            return self.input_ended
        seen = self._look()
        if self.close_reason is not None or seen & (select.POLLERR | select.POLLHUP | select.POLLNVAL):
            return 0
        if not seen and not self._in_hand():
            return None
        since = self.last_byte()
        if seen & select.POLLRDHUP:
            self.input_ended = since
        else:
            came, before = self.unread_since
            if came == self.came:  # nothing was read meanwhile
                since = min(since, before)
            self.unread_since = (self.came, since)
        return since

    def _in_hand(self) -> bool:
        """Has the reader something in hand that it has not passed on? The kernel is asked only where this
        process got no processor lately: else no reader has had it for long."""
        if self.received != self.passed_on:
            return True
        return self.front.owner.paused_since() is not None and self._has_delivered_bytes()

    def last_byte(self) -> int:
        """When the last byte came in, by the steady clock: now, where the kernel does not tell."""
        return time.monotonic_ns() // NS - int(since_last_data(self.sock) * TENTHS)

    def lay_at_the_door(self) -> None:
        """It was just let in, and where nobody could be for a while, it may have been up for long."""
        if self.front.owner.paused_since() is not None and (span := since_opened(self.sock)):
            self.opened = time.monotonic_ns() // NS - int(span * TENTHS)

    def arrived_at(self) -> int:
        """When a message that was read just now had come, at the earliest that may be: with the last byte
        that the kernel has seen. Where more has come behind it that tells little: if the process stood still
        meanwhile, it may have lain there since, or since the connection came up, or nothing was left unread
        here. That something was read meanwhile says nothing: what has piled up takes many reads."""
        last, stood = self.last_byte(), self.front.owner.paused_since()
        if stood is None:
            return last
        now = time.monotonic_ns() // NS
        if not (self.buffer.partial() or poll_events(self.sock, select.POLLIN)):
            self.emptied = now
            return last
        since = self.opened if self.opened > stood - NOTICED else stood
        return min(last, max(since, self.emptied))

    def write_soon(self) -> None:
        self.front.post(self.front.owner.write_soon, self)

    def _look(self) -> int:
        """What the kernel has to tell of its input, and of a break."""
        try:
            return poll_events(self.sock, select.POLLIN | select.POLLRDHUP)
        except ValueError:
            return select.POLLNVAL  # given back

    def admit(self, call: Call) -> bool:
        """Take a req and its name, unless the connection has its end: that one crossed our close, and its
        client asks again elsewhere under the same name. ValueError where another is open under it."""
        with self.lock:
            if self.close_reason is not None:
                self._crossed(call)
                return False
            if self.front.names.setdefault(call.name, call) is not call:
                raise ValueError("another req is open under its name")
            self.open[call.tag] = call
            self.taken += 1
            return True

    def _crossed(self, call: Call) -> None:
        """A req is read on a connection that has its end. Its client sends it again, where it was written up
        to 50 ms before ours; one that had come earlier is lost by us."""
        self.front.counts["crossed"] += 1
        if self.close_reason is CloseReason.RETIRED and call.at < int((self.closed_at - CROSSES) * TENTHS):
            self.front.owner.connection_closing([call.name])

    def retire(self, how: int = socket.SHUT_WR, halfway: bool = False) -> bool:
        """End it by us, where nothing is owed: no req is open, none lies unread or is in its reader's hand,
        and all has gone out; who stands still within a message is owed nothing for that, unless more of it
        has come. Under the lock that a req is taken under, so that none is half taken."""
        with self.lock:
            owed = self.open or self.taken > self.settled or self.unsent_bytes() or self.unread()
            if not halfway:
                owed = owed or self.buffer.partial()
            if self.state is not ConnectionState.OPEN or owed:
                return False
            self._finish(CloseReason.RETIRED, how)
            return True

    def _finish(self, end: CloseReason, how: int = socket.SHUT_RDWR) -> None:
        if self.close_reason is None and end in (CloseReason.RETIRED, CloseReason.FAULT) and self.open:
            self.front.owner.connection_closing([call.name for call in self.open.values()])
        super()._finish(end, how)

    def wait_for_answers(self, end: CloseReason) -> None:
        """The other side may have closed only its half; or what came is nonsense: then what is open is given
        up at once, and what can be written in good time is."""
        owner = self.front.owner
        if end is CloseReason.CLOSED and self.input_ended is None:
            self.input_ended = self.last_byte()
        if self.close_reason is None and (self.taken > self.settled or self.unsent_bytes()):
            seen, until = threading.Event(), time.monotonic() + OWED / 2
            if end is CloseReason.GARBLED:
                self.front.post(owner.requests.client_sent_malformed, self)
            else:
                self.front.post(owner.requests.client_half_closed, self, self.input_ended)
            self.front.post(seen.set)  # until the owner has come to all that was read
            seen.wait()
            while self.close_reason is None and (self.taken > self.settled or self.unsent_bytes()):
                if end is CloseReason.GARBLED and time.monotonic() > until:
                    break
                # no input is asked for: only a break, which alone tells that it has left
                if end is CloseReason.CLOSED and poll_events(self.sock, 0, unknown=0):
                    self.close(CloseReason.RESET)
                    break
                with self.lock:
                    self.drained.wait(LOOK)

    def close_after_answers(self, end: CloseReason) -> None:
        if end is CloseReason.GARBLED:  # more of it may lie unread: a close now would take the answers along
            self.front.parts(self)
            self.half_close(end)
        else:
            self.close(end)


class Call:
    """A client's req as it stands on the wire: what goes on unchanged, and where the answer goes."""

    __slots__ = [
        "client",
        "tag",
        "name",
        "vhost",
        "key",
        "part",
        "group",
        "kbytes",
        "allow",
        "replay",
        "got",
        "body",
        "at",
        "request",
        "sent",
        "lines",
        "left",
        "history",
        "last",
    ]

    def departed(self) -> int | None:
        """Since when, by the steady clock, nobody may wait for it: 0 where it is settled or cancelled,
        None where its client is there. Any thread may ask."""
        return self.client.departed() if self.client.open.get(self.tag) is self else 0

    def __init__(
        self, client: Client, tag: bytes, vhost: int, told: dict[str, str], body: bytes, at: int
    ) -> None:
        self.client, self.tag, self.vhost, self.body, self.at = client, tag, vhost, body, at
        self.name = hexed(told["ref"], 16)
        self.allow = whole(told["allow"], 1, 1 << 31)
        self.key = hexed(told["lookup"], 16)
        self.part = whole(told["nth"], 0, 1 << 31)
        self.group = whole(told["batch"], 0, 255)
        room = told.get("room", "0")  # where sizes are not told reqs carry none, and the module guesses
        if set(room) - DIGITS:
            raise ValueError("no number")
        self.kbytes = float(room)
        self.replay = hexed(told["replay"], 32) if "replay" in told else None
        self.got = hexed(told["got"], 16) if "got" in told else None
        self.request: Any = None
        self.sent: Any = None  # the dispatch that is out
        self.lines: list[Any] = []  # the connections it has been on
        self.left = 0  # when its client cancelled it, by the steady clock
        self.history: Any = None  # for the checks; none before the owner came to it
        self.last = ""  # the outcome of its last dispatch


def hexed(text: str, digits: int) -> str:
    if len(text) != digits or set(text) - HEX:
        raise ValueError("no hex digits")
    return text


def whole(text: str, least: int, most: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 12 and least <= int(text) <= most):
        raise ValueError("no number in range")
    return int(text)


class Front:
    """All clients' connections."""

    def __init__(
        self,
        post: Callable[..., None],
        owner: Any,
        address: tuple[str, int],
        vhosts: list[dict[str, Any]],
        most: int,
        largest: float,
        sock: socket.socket | None = None,
    ) -> None:
        self.post, self.owner = post, owner
        self.largest = largest  # KB that can be sent in the longest client timeout: no part is larger
        self.names: dict[str, Call] = {}  # open reqs by their names: readers add, the owner takes away
        self.vhosts = {vhost["name"].encode(): place for place, vhost in enumerate(vhosts)}
        self.keyed = {place for place, vhost in enumerate(vhosts) if vhost["effect"] == "uniqued"}
        self.most = most
        self.clients: dict[Client, None] = {}
        self.parting: dict[Client, float] = {}  # whom we have told our end, and since when
        self.holding: dict[Client, None] = {}  # all whose descriptors are not given back yet
        self.returned = threading.Condition()  # told when one is
        self.shut = False  # nobody is let in any more
        names = "connections not_taken turned_away closed_idle crossed choked reqs unusable forgotten checks"
        self.counts = dict.fromkeys(names.split(), 0)
        self.closes: Counter[str] = Counter()  # connections, by how they ended
        self.gate = threading.Lock()  # held while one is accepted, and by who wants none to be
        self.sock = sock or transient.retried(lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        if sock is None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)

    def start(self) -> None:
        self.sock.listen(socket.SOMAXCONN)  # where it is full a client waits a second for its next try
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        if Connection.movable:
            self.sock.setblocking(False)  # another process of this gateway may have taken what was ready
        while True:
            try:
                if Connection.movable:
                    poll_events(self.sock, select.POLLIN, None)
                with self.gate:
                    self._take(self.sock.accept()[0])
            except BlockingIOError:
                continue
            except OSError as wrong:
                if self.shut:
                    return
                self._accept_failed(wrong)
            except Exception:
                logger.exception("the accepting thread failed")

    def _accept_failed(self, wrong: OSError) -> None:
        """It passes: that client has gone, or the machine is short of something."""
        if not self.counts["not_taken"]:
            logger.error("accept: {}", wrong)
        self.counts["not_taken"] += 1
        if transient.only_this_client(wrong):
            time.sleep(transient.PAUSE)
            return
        if transient.descriptors_are_short(wrong):
            self._make_room()
        time.sleep(LOOK)

    def _take(self, sock: socket.socket) -> None:
        """Start a client's connection, if there is room for one."""
        if not self._descriptor_free():
            self.counts["turned_away"] += 1
            sock.close()
            return
        client = Client(self, sock)
        client.lay_at_the_door()
        self.clients[client] = None
        if self._started(client):
            self.counts["connections"] += 1
            return
        self.counts["not_taken"] += 1
        self.clients.pop(client, None)
        self.given_back(client)
        sock.close()

    @staticmethod
    def _started(client: Client) -> bool:
        """Start its thread. Where there is none to be had that passes, and what the client has sent already
        must not be lost for it: tried again for a while."""
        until = time.monotonic() + THREAD_AGAIN
        while True:
            try:
                client.start()
            except RuntimeError as wrong:
                if time.monotonic() >= until:
                    logger.error("no thread for a client: {}", wrong)
                    return False
                time.sleep(LOOK)
            else:
                return True

    def _descriptor_free(self) -> bool:
        """Is there a descriptor for one more client, if need be after an end of others? Each that ends keeps
        its own until its threads have left it, so that a rush could outrun them."""
        excess = len(self.holding) + 1 - self.most
        if excess <= 0:
            return True
        if len(self.clients) >= self.most and not self._make_room():
            return False
        for client in list(self.parting)[:excess]:  # the longest ago first
            client.finish_half_close()
        with self.returned:
            return self.returned.wait_for(lambda: len(self.holding) < self.most, LOOK)

    def given_back(self, client: Client) -> None:
        """A client's descriptor is the system's again."""
        with self.returned:
            self.holding.pop(client, None)
            self.returned.notify_all()

    def _make_room(self) -> bool:
        """Close a connection: one that has brought nothing of use first, else that idle for longest; the
        protocol lets us where no req is open."""
        idle = [client for client in list(self.clients) if not client.open and client.close_reason is None]
        idle.sort(key=lambda client: (client.taken > 0, client.used))
        closed = 0
        for client in idle:
            if closed > len(idle) // STREAMS:  # some at once: each look goes through all of them
                break
            # who never brought a req is owed no answer that a close in one go could take along
            closed += self._let_go(client, socket.SHUT_WR if client.taken else socket.SHUT_RDWR)
        return closed > 0

    def _let_go(self, client: Client, how: int = socket.SHUT_WR, halfway: bool = False) -> bool:
        """Close a connection, if nothing is owed there: our half of it, or all at once."""
        if not client.retire(how, halfway):
            return False
        if how == socket.SHUT_WR:
            self.parts(client)
        self.clients.pop(client, None)
        self.counts["closed_idle"] += 1
        return True

    def parts(self, client: Client) -> None:
        """Our half of it is closed, or about to be."""
        self.parting[client] = time.monotonic()
        self.clients.pop(client, None)

    # --- the connections' threads ---

    def takes(self, client: Client, items: list[bytes]) -> None:
        """Read one message, which may have lain unread for long."""
        at = client.arrived_at()
        client.used = time.monotonic()
        client.said += 1
        verb, tag = items[0], items[1] if len(items) > 1 else b""
        if not tag.isdigit() or tag.startswith(b"0"):
            raise GarbledError("no tag")
        if verb == b"EXEC":
            if tag in client.open:
                raise GarbledError("a tag that is open already")  # its answer would pass for the first one
            try:
                call = self._read(client, tag, items, at)
                taken = client.admit(call)
            except (ValueError, KeyError, GarbledError):
                self._offence(client, tag, b"500")
            except OverflowError:
                self._offence(client, tag, b"503")
            else:
                client.offences = 0
                if taken:
                    self.counts["reqs"] += 1
                    client.mark_passed_on()  # first: the owner may come to it before this thread goes on
                    self.post(self.owner.requests.arrived, call)
        elif verb == b"FORGET":
            self.counts["forgotten"] += 1
            call = client.open.get(tag)
            if call is not None and self.close(call):  # at once, as the client counts it open no more
                call.left = at
                self.post(self.owner.requests.cancelled, call)
        elif verb == b"ALIVE":
            self.counts["checks"] += 1
            self.answer(client, tag, b"not_serving" if self.owner.is_shutting_down else b"serving")
        else:
            self._offence(client, tag, b"500")

    def _offence(self, client: Client, tag: bytes, word: bytes) -> None:
        """What cannot be used is answered; as many in a row as a connection may carry reqs are enough."""
        self.counts["unusable"] += 1
        client.offences += 1
        self.answer(client, tag, word)
        if client.offences >= STREAMS:
            raise GarbledError("nothing but nonsense")

    def _read(self, client: Client, tag: bytes, items: list[bytes], at: int) -> Call:
        if not 4 <= len(items) <= 5:
            raise ValueError("no req")
        if len(client.open) >= STREAMS:
            raise OverflowError("more than a connection may carry")
        vhost = self.vhosts[items[2]]
        call = Call(client, tag, vhost, fields(items[3]), items[4] if len(items) > 4 else b"", at)
        if vhost in self.keyed and call.replay is None:
            raise ValueError("no idempotency key")
        if not call.kbytes <= self.largest:
            raise ValueError("larger than can be sent")
        return call

    def close(self, call: Call) -> bool:
        """A req is open no more; tells whether it was. Its reader and the owner may both come to this."""
        if call.client.open.get(call.tag) is not call or call.client.open.pop(call.tag, None) is None:
            return False
        if self.names.get(call.name) is call:
            del self.names[call.name]
        return True

    def gone(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.parting.pop(client, None)
        self.closes[(client.close_reason or CloseReason.FAULT).name] += 1
        if client.open:
            self.post(self.owner.requests.client_disconnected, client)

    # --- the owner's thread ---

    def sweep(self, longest: float, most: int, every: float) -> None:
        """Let go of who does not read: nothing taken for the longest client timeout, or, while more than so
        many bytes wait in all, whoever has most of them. And of who brings no whole message in the time that
        the protocol owes such (this is called every so many seconds), or is idle longer than clients are."""
        now = time.monotonic()
        for client in list(self.clients):
            halfway = not client.said or client.buffer.partial()
            still = now - (client.begun if halfway else client.used)
            if (
                client.close_reason is None
                and not client.open
                and still > (OWED - 2 * every if halfway else IDLE + every)
            ):
                # who stands still halfway is owed an end now, and its answers; not whose rest lies there
                self._let_go(client, socket.SHUT_WR if client.taken else socket.SHUT_RDWR, halfway)
        for client, since in list(self.parting.items()):
            if now - since > DRAIN_TIME:
                client.finish_half_close()
        waits = {client: client.unsent_bytes() for client in list(self.clients)}
        total = sum(waits.values())
        for client in sorted(waits, key=lambda client: -waits[client]):
            if not waits[client] or client.written != client.moved[0]:
                client.moved = (client.written, now)
            if waits[client]:
                client.resume_writing()
            if now - client.moved[1] > longest or total > most:
                total -= waits[client]
                self.counts["choked"] += client.close_reason is None
                client.close(CloseReason.CHOKED)

    def unread(self) -> bool:
        """Does a connection wait to be let in, or a message to be read?"""
        if not self.shut and poll_events(self.sock, select.POLLIN):
            return True
        for client in list(self.clients):
            with client.lock:
                if client.state is ConnectionState.OPEN and client.unread():
                    return True
        return False

    def shut_door(self) -> None:
        """Nobody is let in any more; not where another process may let them in at the same door."""
        self.shut = True
        if not Connection.movable:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)  # wakes who accepts

    def part_all(self) -> bool:
        """Close all connections on which nothing is owed; tells whether any are left."""
        for client in list(self.clients):
            self._let_go(client)
        return bool(self.clients or self.parting)

    @staticmethod
    def answer(
        client: Client, tag: bytes, word: bytes, told: tuple[tuple[str, object], ...] = (), body: bytes = b""
    ) -> None:
        """Write an answer, or what ALIVE is told."""
        if told or body:
            client.send(encode(tag, word, listed(told) if told else b"", body))
        else:
            client.send(encode(tag, word))
