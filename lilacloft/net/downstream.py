"""The downstream side: the listening socket, the clients' connections, and the handling of their messages.

Requests are passed to the event loop's thread. Invalid messages are answered with an error in the thread that
read them, so that many of them do not load the event loop.
"""

from __future__ import annotations

import contextlib
import select
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lilacloft.log import logger
from lilacloft.net import socket_errors
from lilacloft.net.client_connection import POLL_INTERVAL, STALL_TIMEOUT, ClientConnection, GatewaySide
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import DRAIN_TIME, Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.polling import poll_events
from lilacloft.net.reader_slots import ReaderSlots
from lilacloft.net.reply_backlog import ReplyBacklog
from lilacloft.net.request_ledger import RequestLedger
from lilacloft.net.resp import GarbledError, encode, encode_fields
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.routing.request_memory import BODY_COPIES, REQUEST_OVERHEAD
from lilacloft.routing.units import TICKS_PER_MILLISECOND, Ticks

IDLE_TIMEOUT = 4.0  # seconds; by then clients close idle connections themselves
THREAD_RETRY_TIME = 1.0  # seconds for which starting a client's thread is retried
MAX_OPEN_REQUESTS = 32  # on one connection
COUNT_NAMES = (  # stored
    "connections",
    "not_taken",
    "turned_away",
    "closed_idle",
    "crossed",
    "choked",
    "reqs",
    "unusable",
    "forgotten",
    "checks",
)
ERROR, OVERLOADED = b"500", b"503"


@dataclass(frozen=True, slots=True)
class ListenEndpoint:
    """Where clients connect: an address, or a socket that is already bound."""

    address: tuple[str, int]
    sock: socket.socket | None = None


@dataclass(frozen=True, slots=True)
class DownstreamLimits:
    """The limits of the downstream side."""

    max_clients: int
    max_kbytes: float  # of an object: the most that can be sent within the longest client timeout
    max_request_bytes: int  # of the requests of all clients
    retry_after: Ticks  # stated in rejections; 0: none may be stated


def retry_after_fields(retry_after: Ticks) -> tuple[tuple[str, object], ...]:
    """Return the fields of a rejection; `retry_after`: 0 states no retry time."""
    return (("cooldown", -(-retry_after // TICKS_PER_MILLISECOND)),) if retry_after else ()


class Downstream:
    """The listening socket and all clients' connections."""

    def __init__(
        self,
        post: Callable[..., None],
        gateway: GatewaySide,
        vhosts: list[dict[str, Any]],
        limits: DownstreamLimits,
        endpoint: ListenEndpoint,
    ) -> None:
        """`post` queues a call for the event loop's thread, as `EventLoop.post`; any thread may call it."""
        self.post, self.gateway = post, gateway
        self.max_kbytes = limits.max_kbytes
        self.rejection_fields = retry_after_fields(limits.retry_after)
        self.request_ledger = RequestLedger(limits.max_request_bytes)
        self.reply_backlog = ReplyBacklog(sys.maxsize)  # replaced by that of the upstream side
        self.reader_slots = ReaderSlots()
        self.requests_by_name: dict[str, ClientRequest] = {}  # open ones: readers add, the event loop removes
        self.vhosts = {vhost["name"].encode(): index for index, vhost in enumerate(vhosts)}
        self.vhosts_with_keys = {index for index, vhost in enumerate(vhosts) if vhost["effect"] == "uniqued"}
        self.max_clients = limits.max_clients
        self.clients: dict[ClientConnection, None] = {}
        self.draining: dict[ClientConnection, float] = {}  # half-closed by us, and since when
        self.unclosed: dict[ClientConnection, None] = {}  # connections whose descriptors are not closed yet
        self.descriptor_freed = threading.Condition()
        self.is_closed = False  # no more clients are accepted
        self.counts = dict.fromkeys(COUNT_NAMES, 0)
        self.closes: Counter[str] = Counter()  # closed connections by the close reason's name
        self.gate = threading.Lock()  # held while a client is accepted, and acquired to pause accepting
        self.sock = endpoint.sock or socket_errors.retry_transient(
            lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        )
        if endpoint.sock is None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(endpoint.address)

    # --- accepting ---

    def start(self) -> None:
        """Listen, and start the accepting thread."""
        self.sock.listen(socket.SOMAXCONN)  # if the accept queue is full, clients retry after a second
        threading.Thread(target=self._accept, daemon=True).start()

    def stop_accepting(self) -> None:
        """Accept no more clients. The socket stays open where another process may accept on it."""
        self.is_closed = True
        if not Connection.movable:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread

    def _accept(self) -> None:
        """Run the accepting thread."""
        if Connection.movable:
            self.sock.setblocking(False)  # another process of this gateway may have accepted the client
        while True:
            try:
                if Connection.movable:
                    poll_events(self.sock, select.POLLIN, None)
                with self.gate:
                    self._accept_client(self.sock.accept()[0])
            except BlockingIOError:
                continue
            except OSError as error:
                if self.is_closed:
                    return
                self._accept_failed(error)
            except Exception:
                logger.exception("unhandled exception in the accepting thread")

    def _accept_failed(self, error: OSError) -> None:
        """Wait after a failed accept: the client has disconnected, or a resource is short."""
        if not self.counts["not_taken"]:
            logger.error("cannot accept a client: {}", error)
        self.counts["not_taken"] += 1
        if socket_errors.concerns_one_client(error):
            time.sleep(socket_errors.RETRY_INTERVAL)
            return
        if socket_errors.is_out_of_descriptors(error):
            self._make_room()
        time.sleep(POLL_INTERVAL)

    def _accept_client(self, sock: socket.socket) -> None:
        """Start a client's connection, if a descriptor and a thread are available for it."""
        if not self._descriptor_available():
            self.counts["turned_away"] += 1
            sock.close()
            return
        client = ClientConnection(self, sock)
        client.record_connect_time()
        self.clients[client] = None
        if self._start_thread(client):
            self.counts["connections"] += 1
            return
        self.counts["not_taken"] += 1
        self.clients.pop(client, None)
        self.descriptor_closed(client)
        sock.close()

    @staticmethod
    def _start_thread(client: ClientConnection) -> bool:
        """Start a client's thread, with retries, so that input the client has already sent is not lost."""
        until = time.monotonic() + THREAD_RETRY_TIME
        while True:
            try:
                client.start()
            except RuntimeError as error:
                if time.monotonic() >= until:
                    logger.error("cannot start a client's thread: {}", error)
                    return False
                time.sleep(POLL_INTERVAL)
            else:
                return True

    # --- descriptors ---

    def descriptor_closed(self, client: ClientConnection) -> None:
        """A client's descriptor was closed."""
        with self.descriptor_freed:
            self.unclosed.pop(client, None)
            self.descriptor_freed.notify_all()

    def _descriptor_available(self) -> bool:
        """Is there a descriptor for one more client, if necessary after others were closed?

        A closed connection keeps its descriptor until its threads no longer use it, so many connects at once
        may have to wait."""
        excess = len(self.unclosed) + 1 - self.max_clients
        if excess <= 0:
            return True
        if len(self.clients) >= self.max_clients and not self._make_room():
            return False
        for client in list(self.draining)[:excess]:  # the oldest first
            client.finish_half_close()
        with self.descriptor_freed:
            return self.descriptor_freed.wait_for(
                lambda: len(self.unclosed) < self.max_clients, POLL_INTERVAL
            )

    def _make_room(self) -> bool:
        """Close connections without open requests, as the protocol allows: first those that never sent a
        request, then the longest idle."""
        idle = [client for client in list(self.clients) if not client.open and client.close_reason is None]
        idle.sort(key=lambda client: (client.taken > 0, client.used))
        closed = 0
        for client in idle:
            if closed > len(idle) // MAX_OPEN_REQUESTS:  # several at once, as each search visits all
                break
            # without any request there is no answer that closing both halves could discard
            closed += self._close_if_idle(client, socket.SHUT_WR if client.taken else socket.SHUT_RDWR)
        return closed > 0

    def _close_if_idle(
        self, client: ClientConnection, how: int = socket.SHUT_WR, stalled: bool = False
    ) -> bool:
        """Close our half of a connection, or both (`how`), if it is idle; return whether it was."""
        if not client.close_if_idle(how, stalled):
            return False
        if how == socket.SHUT_WR:
            self.add_draining(client)
        self.clients.pop(client, None)
        self.counts["closed_idle"] += 1
        return True

    def add_draining(self, client: ClientConnection) -> None:
        """Add a connection of which our half is closed, or about to be."""
        self.draining[client] = time.monotonic()
        self.clients.pop(client, None)

    # --- messages, in the connections' threads ---

    def handle_message(self, client: ClientConnection, items: list[bytes]) -> None:
        """Handle one message, which may have waited unread. Raises GarbledError."""
        at = client.arrived_at()
        client.used = time.monotonic()
        client.message_count += 1
        client.unhandled_bytes += REQUEST_OVERHEAD
        verb, tag = items[0], items[1] if len(items) > 1 else b""
        if not tag.isdigit() or tag.startswith(b"0"):
            raise GarbledError("missing or invalid tag")
        try:
            if verb == b"EXEC":
                self._handle_request(client, items, at)
            elif verb == b"FORGET":
                self._handle_cancellation(client, tag, at)
            elif verb == b"ALIVE":
                self.counts["checks"] += 1
                self.answer(client, tag, b"not_serving" if self.gateway.is_shutting_down else b"serving")
            else:
                self._reject(client, tag, ERROR)
        finally:
            if size := client.take_body_reservation():  # no request has come of this message
                self.request_ledger.release_body(client, size)

    def connection_closed(self, client: ClientConnection) -> None:
        """Handle the end of a connection: count it, and report its open requests."""
        client.release_slot()
        self.clients.pop(client, None)
        self.draining.pop(client, None)
        self.request_ledger.release_body(client, client.take_body_reservation())
        self.closes[(client.close_reason or CloseReason.FAULT).name] += 1
        if client.open:
            self.post(self.gateway.requests.client_disconnected, client, client=client)

    def _handle_request(self, client: ClientConnection, items: list[bytes], at: Ticks) -> None:
        """Pass a request on, or answer with an error if it is invalid."""
        tag = items[1]
        self.gateway.lags.reads.record(max(0, time.monotonic_ns() // NS_PER_TICK - at))
        if tag in client.open:
            raise GarbledError("tag of an open request")  # their answers could not be told apart
        try:
            request = self._parse_request(client, items, at)
            self._accept_request(client, request)
        except (ValueError, KeyError, GarbledError):
            self._reject(client, tag, ERROR)
        except OverflowError:
            self._reject(client, tag, OVERLOADED)

    def _accept_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Pass a valid request on, or reject it if there is no memory for it. Raises ValueError if another
        request of its name is open."""
        client.unhandled_bytes += BODY_COPIES * len(request.body)
        if not self._reserve_memory(client, request):
            client.useless_message_count = 0
            self.answer(client, request.tag, OVERLOADED, self.rejection_fields)
            return
        accepted = False
        try:
            accepted = client.accept_request(request)
        finally:
            if not accepted:
                self.request_ledger.release(request)
        client.useless_message_count = 0
        if accepted:
            self.counts["reqs"] += 1
            client.mark_passed_on()  # before posting: the event loop may handle it at once
            due_at = request.at + request.timeout_ms * TICKS_PER_MILLISECOND
            self.post(self.gateway.requests.arrived, request, client=client, due_at=due_at)

    def _reserve_memory(self, client: ClientConnection, request: ClientRequest) -> bool:
        """Reserve the memory of a request, or take over what was reserved before its body was read; False if
        there was none."""
        if client.buffer.is_incomplete:
            return False
        if size := client.take_body_reservation():
            self.request_ledger.adopt(request, size)
            return True
        return self.request_ledger.reserve(request)

    def _parse_request(self, client: ClientConnection, items: list[bytes], at: Ticks) -> ClientRequest:
        """Parse a request. Raises ValueError, KeyError or GarbledError if it is invalid, OverflowError if too
        many are open."""
        if not 4 <= len(items) <= 5:
            raise ValueError("wrong number of elements")
        if len(client.open) >= MAX_OPEN_REQUESTS:
            raise OverflowError("too many open requests")
        vhost = self.vhosts[items[2]]
        request = ClientRequest(client, items, vhost, at)
        if vhost in self.vhosts_with_keys and request.idempotency_key is None:
            raise ValueError("the request has no idempotency key, which its virtual host requires")
        if not request.kbytes <= self.max_kbytes:
            raise ValueError("object too large to be sent in time")
        return request

    def _handle_cancellation(self, client: ClientConnection, tag: bytes, at: Ticks) -> None:
        """Close a cancelled request at once, as its client no longer counts it as open."""
        self.counts["forgotten"] += 1
        request = client.open.get(tag)
        if request is not None and self.close_request(request):
            request.cancelled_at = at
            self.post(self.gateway.requests.cancelled, request, client=client)

    def _reject(self, client: ClientConnection, tag: bytes, status: bytes) -> None:
        """Answer an invalid message. Raises GarbledError after `MAX_OPEN_REQUESTS` of them in a row."""
        self.counts["unusable"] += 1
        client.useless_message_count += 1
        self.answer(client, tag, status)
        if client.useless_message_count >= MAX_OPEN_REQUESTS:
            raise GarbledError("too many invalid messages")

    # --- requests and answers, in any thread ---

    def close_request(self, request: ClientRequest) -> bool:
        """Remove a request from the open ones; return whether it was open. Its reader and the event loop may
        both call this."""
        tag, open_requests = request.tag, request.client.open
        if open_requests.get(tag) is not request or open_requests.pop(tag, None) is None:
            return False
        if self.requests_by_name.get(request.name) is request:
            del self.requests_by_name[request.name]
        return True

    @staticmethod
    def answer(
        client: ClientConnection,
        tag: bytes,
        status: bytes,
        pairs: tuple[tuple[str, object], ...] = (),
        body: bytes = b"",
    ) -> None:
        """Send an answer: its status, and optionally fields and a body."""
        if pairs or body:
            client.send(encode(tag, status, encode_fields(pairs) if pairs else b"", body))
        else:
            client.send(encode(tag, status))

    # --- maintenance, in the event loop's thread ---

    def close_stalled(self, write_timeout: float, max_unsent: int, interval: float) -> None:
        """Close stalled connections; called every `interval` seconds.

        These are connections that send no complete message in time or are idle, and those that
        `close_unreading` closes."""
        now = time.monotonic()
        self._close_idle_or_partial(now, interval)
        for client, since in list(self.draining.items()):
            if now - since > DRAIN_TIME:
                client.finish_half_close()
        self.close_unreading(write_timeout, max_unsent)

    def _close_idle_or_partial(self, now: float, interval: float) -> None:
        """Close connections that are idle, or stalled within a message with no more of it received."""
        for client in list(self.clients):
            stalled = not client.message_count or client.buffer.has_partial()
            idle_time = now - (client.message_started_at if stalled else client.used)
            limit = STALL_TIMEOUT - 2 * interval if stalled else IDLE_TIMEOUT + interval
            if client.close_reason is None and not client.open and idle_time > limit:
                self._close_if_idle(client, socket.SHUT_WR if client.taken else socket.SHUT_RDWR, stalled)

    def close_unreading(self, write_timeout: float, max_unsent: int) -> None:
        """Close connections that read nothing for `write_timeout` seconds and, while answers that wait for
        clients take up more than `max_unsent` bytes in total, those with the most; resume writing to the
        others."""
        now = time.monotonic()
        unsent = {client: client.backlog_cost for client in list(self.clients)}
        total = sum(unsent.values())
        for client in sorted(unsent, key=lambda client: -unsent[client]):
            if not unsent[client] or client.written != client.write_progress[0]:
                client.write_progress = (client.written, now)
            if unsent[client]:
                client.resume_writing()
            has_stalled = now - client.write_progress[1] > write_timeout
            if has_stalled or (total > max_unsent and unsent[client]):
                total -= unsent[client]
                self.counts["choked"] += client.close_reason is None
                client.close(CloseReason.CHOKED)

    # --- shutting down, in the event loop's thread ---

    def has_unaccepted(self) -> bool:
        """Return whether a client waits to be accepted."""
        return not self.is_closed and bool(poll_events(self.sock, select.POLLIN))

    def has_unread(self) -> bool:
        """Return whether a client waits to be accepted, or input to be read."""
        if self.has_unaccepted():
            return True
        for client in list(self.clients):
            with client.lock:
                if client.state is ConnectionState.OPEN and client.unread():
                    return True
        return False

    def close_idle(self) -> bool:
        """Close all idle connections; return whether any connections are left."""
        for client in list(self.clients):
            self._close_if_idle(client)
        return bool(self.clients or self.draining)

    def close_remaining(self) -> None:
        """Close our half of all connections, even with open requests, as nothing is answered here any more. A
        client whose request crosses this close sends it again elsewhere."""
        for client in list(self.clients):
            self.add_draining(client)
            client.half_close(CloseReason.RETIRED)
