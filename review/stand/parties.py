"""Stand-ins for caches, the change log and clients, each of which writes what it sees to the case's record."""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any

from stand.wire import decode_fields, encode, encode_fields, messages

GONE, READY, LEAVING = 2, 0, 1  # state codes of the change log's frames


class Record:
    """The record of a case: one line for each thing that a party saw, in the order of its time."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.lock, self.began = threading.Lock(), time.time()

    def write(self, who: str, what: str, **fields: Any) -> float:
        """Write a line; return its Unix time."""
        with self.lock:
            now = time.time()
            rest = " ".join(f"{name}={value}" for name, value in fields.items() if value is not None)
            self.file.write(f"{now - self.began:9.4f} {who:<10} {what} {rest}\n")
            self.file.flush()
            return now


class Timers:
    """Calls made after a wait, each in a thread of its own."""

    @staticmethod
    def after(wait: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function after a wait."""
        timer = threading.Timer(wait, call, arguments)
        timer.daemon = True
        timer.start()


class Listener:
    """A server on a loopback address, one thread for each connection."""

    def __init__(self, name: str, record: Record, host: str = "127.0.0.1", backlog: int = 128) -> None:
        self.name, self.record, self.host = name, record, host
        self.sock = socket.create_server((host, 0), backlog=backlog)
        self.port = self.sock.getsockname()[1]
        self.open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.host}:{self.port}"

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(sock)
            threading.Thread(target=self._serve_until_end, args=(sock,), daemon=True).start()

    def _serve_until_end(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError, struct.error):
            self.serve(sock)
        self.open.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""


class Dispatch:
    """One `do` that a backend has received."""

    def __init__(self, backend: Backend, sock: socket.socket, items: list[bytes], at: float) -> None:
        self.backend, self.sock, self.at = backend, sock, at
        self.id, self.fields = items[1].decode(), decode_fields(items[2])
        self.body = items[3] if len(items) > 3 else b""
        self.key, self.part = self.fields["thing"], int(self.fields["nth"])
        self.max_age = int(self.fields.get("agelim", 0)) / 1000  # seconds; 0: the fresh time of the class
        self.word = ""  # of the answer, once there is one
        self.born = 0.0  # Unix time at which the origin gave out the copy in the answer
        self.withdrawn = False  # by `undo`


class Backend(Listener):
    """A cache, parent or origin. `handle(dispatch)` decides on each dispatch."""

    def __init__(
        self, name: str, record: Record, handle: Callable[[Dispatch], None], host: str = "127.0.0.1"
    ) -> None:
        self.handle, self.dispatches = handle, []
        self.tells = True  # do answers tell how they were filled?
        self.lock = threading.Lock()
        super().__init__(name, record, host)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection of a gateway."""
        mine: dict[str, Dispatch] = {}
        for items in filter(None, messages(sock)):
            verb = items[0]
            if verb == b"do":
                dispatch = Dispatch(self, sock, items, time.time())
                mine[dispatch.id] = dispatch
                with self.lock:
                    self.dispatches.append(dispatch)
                self.record.write(
                    self.name, "do", id=dispatch.id, fields=items[2].decode(), body=len(dispatch.body)
                )
                self.handle(dispatch)
            elif verb == b"undo":
                self.record.write(self.name, "undo", id=items[1].decode())
                if items[1].decode() in mine:
                    mine[items[1].decode()].withdrawn = True
            elif verb in (b"ping", b"top"):
                with self.lock:
                    sock.sendall(encode(items[1], b"well", b"report=inflight:1;util:0.2"))

    def answer(
        self,
        dispatch: Dispatch,
        word: str = "data",
        body: bytes = b"",
        born: float | None = None,
        note: str = "TCP_HIT",
    ) -> None:
        """Answer a dispatch, unless it was withdrawn."""
        if dispatch.withdrawn or dispatch.word:
            return
        dispatch.word = word
        dispatch.born = time.time() if born is None else born
        pairs: list[tuple[str, object]] = [("remark", note if self.tells else None)]
        if word == "data":
            pairs += [("sum", "%016x" % (hash((dispatch.key, dispatch.born)) & (1 << 64) - 1))]
            pairs += [("t0", int(dispatch.born * 1000))]
        self.record.write(self.name, word, id=dispatch.id, note=note, size=len(body))
        with contextlib.suppress(OSError), self.lock:
            dispatch.sock.sendall(encode(dispatch.id.encode(), word.encode(), encode_fields(pairs), body))


class ChangeLog(Listener):
    """The change log. It sends the events after the number that a connection brings, and each second an
    empty frame. `delay`: seconds until it answers on a new connection."""

    def __init__(self, record: Record, last: int) -> None:
        self.events: list[tuple[int, int, bytes, float]] = []
        self.last, self.delay, self.is_left = last, 0.0, False
        self.change = threading.Condition()
        super().__init__("log", record)

    def serve(self, sock: socket.socket) -> None:
        """Serve one watch."""
        data = b""
        while len(data) < 8:
            got = sock.recv(8 - len(data))
            if not got:
                return
            data += got
        seen = struct.unpack(">Q", data)[0]
        self.record.write("log", "watched", since=seen)
        time.sleep(self.delay)
        beat = time.monotonic()
        while True:
            with self.change:
                due = [event for event in self.events if event[0] > seen]
                if not due and time.monotonic() < beat:
                    self.change.wait(beat - time.monotonic())
                    due = [event for event in self.events if event[0] > seen]
            if self.is_left:
                time.sleep(0.1)
                continue
            for number, kind, payload, _ in due:
                sock.sendall(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
                seen = number
            if time.monotonic() >= beat:
                sock.sendall(struct.pack(">IQB", 9, 0, 0))
                beat = time.monotonic() + 1.0

    def leave(self, seconds: float) -> None:
        """Accept no new connection and tell nothing more; close the open ones after a wait."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.is_left = True
        self.record.write("log", "left", address=self.address)

        def end() -> None:
            for sock in list(self.open):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

        Timers.after(seconds, end)

    def break_off(self, kind: int, payload: bytes, what: str, **fields: Any) -> float:
        """Add an event, break off in the middle of its frame on all connections, and be gone: connections
        are refused until `come_back`. Return the Unix time."""
        with self.change:
            self.last += 1
            at = self.record.write("log", what, seq=self.last, **fields)
            frame = struct.pack(">IQB", 9 + len(payload), self.last, kind) + payload
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock.close()
            self.is_left = True
            for sock in list(self.open):
                with contextlib.suppress(OSError):
                    sock.sendall(frame[: len(frame) // 2])
                    sock.shutdown(socket.SHUT_RDWR)
            self.events.append((self.last, kind, payload, at))
        self.record.write("log", "broke off", seq=self.last)
        return at

    def come_back(self) -> None:
        """Listen at the same address again."""
        self.is_left = False
        self.sock = socket.create_server((self.host, self.port))
        threading.Thread(target=self._accept, daemon=True).start()
        self.record.write("log", "is back")

    def add(self, kind: int, payload: bytes, what: str, **fields: Any) -> float:
        """Add an event; return the Unix time at which it is told."""
        with self.change:
            self.last += 1
            at = self.record.write("log", what, seq=self.last, **fields)
            self.events.append((self.last, kind, payload, at))
            self.change.notify_all()
        return at

    def purge(self, key: str) -> float:
        """Tell the purge of an object; return when it was told, which is the purge's own time."""
        now = int(time.time() * 1000)
        self.add(3, struct.pack(">QQ", int(key, 16), now), "purge", object=key)
        return now / 1000

    def change_state(self, row: dict[str, Any], state: int) -> float:
        """Tell another state of a listed backend."""
        host, port = row["endpoint"].split(":")
        payload = struct.pack(
            ">I4sHBBBHIQ",
            int(row["uid"][2:], 16),
            socket.inet_aton(host),
            int(port),
            state,
            row["zone"],
            row["kind"],
            row["pod_group"],
            1000,
            row["boot_ms"],
        )
        word = {READY: "active", LEAVING: "leaving", GONE: "left"}[state]
        return self.add(2, payload, "list", uid=row["uid"], state=word)


class Request:
    """One request of a client, and its answer."""

    def __init__(self, ref: str, key: str, part: int, at: float, allow: int) -> None:
        self.ref, self.key, self.part, self.at, self.allow = ref, key, part, at, allow
        self.word = ""  # the answer's word; empty: none yet
        self.body = b""
        self.answers = 0
        self.answered_at = 0.0


class Client:
    """A client's connection, with a thread that reads its answers."""

    numbers = itertools.count(1)

    def __init__(self, record: Record, port: int, host: str = "127.0.0.1", rate: float = 0.0) -> None:
        """`rate`: bytes per second that it reads at most; 0: as fast as it can."""
        self.record, self.name = record, f"client{next(self.numbers)}"
        self.sock = socket.create_connection((host, port), 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tags, self.rate = itertools.count(1), rate
        self.requests: dict[str, Request] = {}
        self.alive: list[str] = []
        self.partial = False  # did the connection end within an answer?
        self.ended = threading.Event()
        self.lock = threading.Lock()
        threading.Thread(target=self._read, daemon=True).start()

    def ask(
        self,
        service: str,
        key: str,
        part: int = 0,
        allow: int = 3000,
        body: bytes = b"",
        group: int = 7,
        kbytes: float | None = 400.0,
        replay: str | None = None,
    ) -> Request:
        """Send a request. Raises OSError if the connection has ended."""
        ref = "%016x" % random.getrandbits(64)
        tag = str(next(self.tags))
        fields = [("ref", ref), ("allow", allow), ("replay", replay), ("lookup", key), ("nth", part)]
        fields += [("batch", group), ("room", kbytes)]
        request = Request(ref, key, part, 0.0, allow)
        with self.lock:
            self.requests[tag] = request
            items = [b"EXEC", tag.encode(), service.encode(), encode_fields(fields)]
            self.sock.sendall(encode(*items, body))
            request.at = self.record.write(
                self.name, "EXEC", tag=tag, ref=ref, service=service, object=key, part=part, allow=allow
            )
        return request

    def ask_alive(self) -> None:
        """Send a health check."""
        with self.lock:
            self.sock.sendall(encode(b"ALIVE", str(next(self.tags)).encode(), b""))

    def open_requests(self) -> list[Request]:
        """Return the requests without an answer."""
        return [request for request in list(self.requests.values()) if not request.word]

    def _read(self) -> None:
        why = "end"
        try:
            for items in messages(self.sock, self.rate, 16384 if self.rate else 65536):
                if items:
                    self._answered(items)
                self.partial = not items
        except (OSError, ValueError) as error:
            why = repr(error)
        self.record.write(self.name, "ended", why=why, open=len(self.open_requests()))
        self.ended.set()

    def _answered(self, items: list[bytes]) -> None:
        tag, word = items[0].decode(), items[1].decode()
        request = self.requests.get(tag)
        body = items[3] if len(items) > 3 else b""
        if request is None:
            self.alive.append(word)
            self.record.write(self.name, "health", word=word)
            return
        request.answers += 1
        request.word, request.body, request.answered_at = word, body, time.time()
        self.record.write(self.name, "answer", tag=tag, word=word, ref=request.ref, size=len(body))

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
