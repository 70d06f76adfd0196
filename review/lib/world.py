"""Stand-ins for the parties that a gateway talks to, and the gateway process itself, for the review's cases.

Only the standard library is used. The stand-ins follow the protocol pages: clients, caches (also as parents
and origin) and the change log listen on, or connect to, loopback addresses. All that happens is kept as one
list of entries, which a case writes to its `record.txt`.
"""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
BROKEN_PIPE = (OSError, ValueError)  # errors of a connection that has ended
SLACK = 0.05  # seconds that the protocol adds to each limit on sockets
READY, DRAINING, GONE = 0, 1, 2  # states in the change log's records
STATE_NAMES = ("active", "leaving", "left")


class CannotRunError(Exception):
    """The case could not run; says nothing about the gateway."""


class Record:
    """The entries of one run, in the order in which they were made."""

    def __init__(self) -> None:
        self.lock, self.entries = threading.Lock(), []  # type: ignore[var-annotated]
        self.began = time.time()

    def add(self, what: str, **details: Any) -> float:
        """Add an entry; returns its Unix time."""
        with self.lock:
            at = time.time()
            self.entries.append((at, what, details))
        return at

    def of(self, what: str) -> list[tuple[float, dict[str, Any]]]:
        """Return the entries of one kind."""
        with self.lock:
            return [(at, details) for at, kind, details in self.entries if kind == what]

    def write(self, path: Path) -> None:
        """Write all entries, one a line, with times in seconds since the beginning."""
        with self.lock, path.open("w") as file:
            for at, what, details in self.entries:
                words = " ".join(f"{name}={value}" for name, value in details.items())
                file.write(f"{at - self.began:9.4f} {what} {words}\n")


# --- messages ---


def encode(*elements: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(elements) + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in elements)


def fields_of(data: bytes) -> dict[str, str]:
    """Parse a list of fields."""
    if data in (b"", b"-"):
        return {}
    return dict(pair.split("=", 1) for pair in data.decode().split(","))


def encode_fields(**fields: Any) -> bytes:
    """Encode a list of fields, without those that are None."""
    return ",".join(f"{name}={value}" for name, value in fields.items() if value is not None).encode() or b"-"


def messages(sock: socket.socket) -> Iterator[list[bytes]]:
    """Yield the messages that arrive on a connection until it ends."""
    with sock.makefile("rb") as stream, contextlib.suppress(OSError, ValueError):
        while line := stream.readline():
            elements = []
            for _ in range(int(line[1:])):
                length = int(stream.readline()[1:])
                elements.append(stream.read(length))
                stream.read(2)
            yield elements


class Listener:
    """A server on a free loopback port, with one thread a connection."""

    def __init__(self, port: int = 0) -> None:
        self.sock = socket.create_server(("127.0.0.1", port), backlog=256)
        self.port = self.sock.getsockname()[1]
        self.open: set[socket.socket] = set()
        self.is_closed = False

    def start(self) -> None:
        """Accept connections from now on."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(sock)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError):
                self.serve(sock)
        finally:
            self.open.discard(sock)
            sock.close()

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and end all connections."""
        self.is_closed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


# --- caches ---


class Cache(Listener):
    """A sound cache: answers each request after a service time, with the copy that it keeps or with a new one
    from its source. `handler` may take over single requests: it returns True for those."""

    def __init__(self, record: Record, uid: int, kind: str, zone: str, service: float = 0.03) -> None:
        super().__init__()
        self.record, self.uid, self.kind, self.zone = record, uid, kind, zone
        self.name, self.service, self.boot_ms, self.state = f"s-{uid:08x}", service, 0, READY
        self.copies: dict[
            tuple[str, str], tuple[int, bytes]
        ] = {}  # time at the origin and tag, by object and part
        self.lock, self.undone = threading.Lock(), set()  # type: ignore[var-annotated]
        self.connections = 0
        self.fresh_ms: dict[str, int] = {}  # fresh time of the copies, by virtual host; none: until purged
        self.not_kept: set[str] = set()  # virtual hosts whose answers are not kept
        self.handler: Callable[[Cache, socket.socket, bytes, dict[str, str], bytes], bool] | None = None
        self.start()

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        with self.lock:
            self.connections += 1
            conn = f"{self.name}/{self.connections}"
        try:
            self._serve(sock, conn)
        finally:
            self.record.add("closed", conn=conn)

    def _serve(self, sock: socket.socket, conn: str) -> None:
        write = threading.Lock()
        for verb, name, *rest in messages(sock):
            if verb in (b"ping", b"top"):
                with write:
                    sock.sendall(encode(name, b"well", b"report=util:0.20;x0:0.70;inflight:1"))
            elif verb == b"undo":
                self.record.add("undo", cache=self.name, ref=name.decode(), conn=conn)
                self.undone.add((sock, name))
            elif verb == b"do":
                fields, body = fields_of(rest[0]), rest[1] if len(rest) > 1 else b""
                self.record.add("do", cache=self.name, ref=name.decode(), body=len(body), **fields, conn=conn)
                if self.handler is not None and self.handler(self, sock, name, fields, body):
                    continue
                threading.Timer(self.service, self.answer, (sock, write, name, fields)).start()

    def answer(self, sock: socket.socket, write: Any, name: bytes, fields: dict[str, str]) -> None:
        """Answer one request as a sound cache does."""
        if (sock, name) in self.undone:
            return
        key, now = (fields["thing"], fields["nth"]), int(time.time() * 1000)
        limit = int(fields.get("agelim", 0)) or self.fresh_ms.get(fields["profile"], 0)
        may_fill = "next" in fields and "peek" not in fields.get("ways", "").split("+")
        with self.lock:
            copy = None if fields["profile"] in self.not_kept else self.copies.get(key)
            fresh = copy is not None and (not limit or now - copy[0] <= limit)
            if not fresh:
                copy = (now, b"%016x" % random.getrandbits(64)) if may_fill or self.kind == "origin" else None
            if copy is not None and not fresh and fields["profile"] not in self.not_kept:
                self.copies[key] = copy
        with contextlib.suppress(OSError), write:
            if copy is None:
                self.record.add("end", cache=self.name, ref=name.decode(), word="absent")
                sock.sendall(encode(name, b"absent", b"-"))
                return
            note = "TCP_HIT" if fresh else "TCP_MISS"
            self.record.add("end", cache=self.name, ref=name.decode(), word="data", t0=copy[0])
            sock.sendall(
                encode(
                    name, b"data", encode_fields(sum=copy[1].decode(), t0=copy[0], remark=note), copy[1] * 64
                )
            )

    def drop_older(self, purges: dict[str, float]) -> None:
        """Drop the copies that are older than the purges of their objects."""
        with self.lock:
            for key, (born, _) in list(self.copies.items()):
                if key[0] in purges and born < purges[key[0]] * 1000:
                    del self.copies[key]

    def row(self) -> dict[str, Any]:
        """Return the entry of this cache in the list of a configuration."""
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": self.kind,
            "pod_group": 0,
            "state": STATE_NAMES[self.state],
            "capacity_hint": 5,
            "boot_ms": self.boot_ms,
        }

    def packed(self, zones: list[str], kinds: list[str]) -> bytes:
        """Return the record of this cache in the change log."""
        return struct.pack(
            ">I4sHBBBHIQ",
            self.uid,
            socket.inet_aton("127.0.0.1"),
            self.port,
            self.state,
            zones.index(self.zone),
            kinds.index(self.kind),
            0,
            5000,
            self.boot_ms,
        )


# --- the change log ---


class ChangeLog(Listener):
    """The change log: sends all later events on each connection, and an empty frame each second.

    All that it sends arrives `delay` seconds late. While `stopped` is set it sends nothing at all: its
    connections stay open, and new ones come up, as for a process that stands still."""

    def __init__(self, record: Record, first: int = 1, delay: float = 0.0) -> None:
        super().__init__()
        self.record, self.last, self.delay = record, first, delay
        self.frames: list[tuple[float, int, bytes]] = []  # when added, number, frame
        self.stopped = False
        self.start()

    @staticmethod
    def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
        """Return one frame."""
        return struct.pack(">IQB", len(payload) + 9, number, kind) + payload

    def add(self, kind: int, payload: bytes, text: str) -> float:
        """Add an event; returns when."""
        self.last += 1
        at = self.record.add("event", number=self.last, text=text)
        self.frames.append((at, self.last, self.frame(self.last, kind, payload)))
        return at

    def purge(self, key: int) -> float:
        """Add the purge of an object; returns when."""
        return self.add(3, struct.pack(">QQ", key, int(time.time() * 1000)), f"purge:{key:016x}")

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        data = b""
        while len(data) < 8:
            more = sock.recv(8 - len(data))
            if not more:
                return
            data += more
        last = struct.unpack(">Q", data)[0]
        self.record.add("asked", last=last, conn=sock.fileno())
        next_beat = time.time() + self.delay
        try:
            time.sleep(self.delay)
            while not self.is_closed:
                due = [] if self.stopped else [one for one in self.frames if one[1] > last]
                for at, number, frame in due:
                    if at + self.delay <= time.time():
                        sock.sendall(frame)
                        last = number
                        self.record.add("told", number=number, conn=sock.fileno())
                if time.time() >= next_beat and not self.stopped:
                    sock.sendall(self.frame(0, 0))
                    next_beat = time.time() + 1.0
                time.sleep(0.005)
        except OSError:
            self.record.add("gone", conn=sock.fileno(), last=last)


# --- clients ---


class Client:
    """One connection of a client; answers are recorded as they come."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.tag, self.lock = record, 0, threading.Lock()
        self.waiting: dict[bytes, str] = {}
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ended = threading.Event()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def ask(
        self, vhost: str, key: int, allow: int, body: bytes = b"", room: float | None = 400.0, **more: Any
    ) -> str:
        """Send one request; returns its `ref`."""
        ref = f"{random.getrandbits(64):016x}"
        fields = encode_fields(
            ref=ref, allow=allow, lookup=f"{key:016x}", nth=0, batch=key % 256, room=room, **more
        )
        with self.lock:
            self.tag += 1
            tag = b"%d" % self.tag
            self.waiting[tag] = ref
            elements = [b"EXEC", tag, vhost.encode(), fields] + ([body] if body else [])
            self.record.add("ask", ref=ref, vhost=vhost, key=f"{key:016x}", allow=allow)
            self.sock.sendall(encode(*elements))
        self.record.add("asked_whole", ref=ref)
        return ref

    def _read(self) -> None:
        for tag, word, *rest in messages(self.sock):
            ref = self.waiting.pop(tag, "unknown")
            fields = fields_of(rest[0]) if rest and rest[0] else {}
            self.record.add(
                "answer", ref=ref, word=word.decode(), body=len(rest[1]) if len(rest) > 1 else 0, **fields
            )
        for ref in self.waiting.values():
            self.record.add("lost", ref=ref)
        self.ended.set()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


# --- the gateway ---


def run_line() -> str:
    """Return the line `run` of the deploy file."""
    import tomllib

    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Gateway:
    """One gateway process, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        self.record, self.folder, self.config = record, folder, config
        self.path = folder / "config.json"
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: subprocess.Popen[bytes] | None = None

    def write(self) -> None:
        """Write the configuration file, replacing it whole."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    def start(self) -> None:
        """Start the process, without waiting for it."""
        self.write()
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        name, listen = self.config["name"], self.config["listen"]
        more = {
            "EDGE_CONFIG": str(self.path),
            "EDGE_NAME": name,
            "EDGE_LISTEN": listen,
            "TMPDIR": str(temporary),
        }
        with (self.folder / "gateway.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_line()],
                cwd=ROOT,
                env={**os.environ, **more},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record.add("gateway", event="started", pid=self.process.pid)

    def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until the gateway answers `ALIVE` with `serving`."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRunError(f"the gateway exited at its start; see {self.folder / 'gateway.log'}")
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 1) as sock:
                sock.sendall(encode(b"ALIVE", b"1", b""))
                for _, word, *_ in messages(sock):
                    if word == b"serving":
                        self.record.add("gateway", event="ready")
                        return
            time.sleep(0.05)
        raise CannotRunError("the gateway was not ready in time")

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process; returns when."""
        assert self.process is not None
        self.process.send_signal(number)
        return self.record.add("gateway", event=number.name)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def end_with_parent() -> None:
    """Have the kernel kill this process when the one that started it ends."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


def free_port() -> int:
    """Return a loopback port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(20_000, 30_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class World:
    """All parties of one case, in a temporary folder."""

    def __init__(self) -> None:
        self.record = Record()
        self.folder = Path(tempfile.mkdtemp(prefix="lilacloft-review-"))
        self.parties: list[Any] = []
        self.gateways: list[Gateway] = []

    def close(self) -> None:
        """End all processes and connections, and remove the folder."""
        for gateway in self.gateways:
            gateway.kill()
            with contextlib.suppress(OSError):
                for line in (gateway.folder / "gateway.log").read_text().splitlines():
                    self.record.add("log_line", text=line)
        for party in self.parties:
            party.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case: Callable[[Any, bool], list[str]], folder: Path, make: Callable[[], Any]) -> int:
    """Run a case, which returns the breaches of its rule. `TROUBLE=0` leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(*_: Any) -> None:
        raise CannotRunError("told to end")

    signal.signal(signal.SIGTERM, stop)
    world = make()
    try:
        breaches = case(world, trouble)
        code = BROKEN if breaches else HELD
    except (CannotRunError, OSError) as error:
        breaches, code = [f"could not run: {error}"], CANNOT_RUN
    finally:
        world.close()
    for line in breaches[:20]:
        world.record.add("verdict", text=line)
    word = ("the rule held", "the rule was broken", "could not run")[code]
    world.record.add("verdict", trouble=trouble, breaches=len(breaches), code=code, text=word)
    world.record.write(folder / "record.txt")
    print(f"{word}: {len(breaches)} breaches" if code != HELD else word, *breaches[:5], sep="\n  ")
    sys.stdout.flush()
    return code
