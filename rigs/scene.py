"""A scripted test environment: stand-in backends (caches, parents, an origin), a change log, and real gateway
processes.

All random choices derive from one seed, with one random stream per purpose. Everything that a party observes
is written to one Account. The backends run as threads of this process: they keep copies and fill misses from
the source that the dispatch names. The script controls how each behaves: silent, dead, slow, resetting, cold
or draining.
"""

from __future__ import annotations

import contextlib
import copy
import heapq
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from lilacloft.net.resp import encode, parse_fields
from rigs.account import Account
from rigs.checker import Limits
from rigs.kernel_times import TimestampedBuffer, closed_by_peer_at, timestamp_received_bytes
from rigs.stands import ENV, Log, Stand, UpgradableWorld, processes, record, unused

KINDS = ["small", "large", "parent", "origin"]
STATES = {"active": 0, "leaving": 1, "left": 2}
PURGE_SECONDS = 5.0  # time until purged copies are gone from all backends; the settings promise 6
HIT, SOURCE_HIT, FILL, WRITE = 0.004, 0.012, 0.030, 0.060  # seconds, without the random part
VHOSTS = [
    {
        "name": "clip",
        "promiseNs": 400000000,
        "deadlineNs": 3000000000,
        "gain": 2.0,
        "repeat": "repeatable",
        "aimStretch": 2.0,
    },
    {
        "name": "pay",
        "promiseNs": 400000000,
        "deadlineNs": 3000000000,
        "gain": 2.0,
        "repeat": "by_key",
        "dedupScope": "all",
        "repeatWindow": 2,
        "repeatWindowNs": 2000000000,
        "aimStretch": 2.0,
    },
    {
        "name": "book",
        "promiseNs": 400000000,
        "deadlineNs": 3000000000,
        "gain": 4.0,
        "repeat": "once",
        "aimStretch": 2.0,
    },
]
EFFECTS = {"clip": "replayable", "pay": "uniqued", "book": "non-replayable"}
FAMILY = {"freshForNs": [8000000000, 0, 0], "staleForNs": [2000000000, 0, 0], "passOn": [False, True, True]}


def body(key: str, part: int, born: float, size: int) -> bytes:
    """The body of an object part; it names the part and ends with a checksum, so that any receiver can verify
    it."""
    head = f"{key} {part} {born:.4f} {size} ".encode()
    data = head + b"." * max(0, size - len(head) - 8)
    return data + b"%08x" % zlib.crc32(data)


def whole(data: bytes, key: str, part: int) -> float | None:
    """The time at which the origin issued a copy; None if the data is not an intact body of that part."""
    if len(data) < 8 or data[-8:] != b"%08x" % zlib.crc32(data[:-8]):
        return None
    words = data.split(b" ", 3)
    return float(words[2]) if words[:2] == [key.encode(), b"%d" % part] else None


class Timers:
    """A timer thread that runs callbacks when they are due."""

    def __init__(self) -> None:
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.number, self.over = 0, False
        self.change = threading.Condition()
        threading.Thread(target=self._run, daemon=True).start()

    def after(self, wait: float, callback: Callable[[], None]) -> None:
        """Schedule a callback in `wait` seconds."""
        with self.change:
            self.number += 1
            heapq.heappush(self.due, (time.monotonic() + wait, self.number, callback))
            self.change.notify()

    def _run(self) -> None:
        while not self.over:
            with self.change:
                left = self.due[0][0] - time.monotonic() if self.due else 1.0
                if left > 0:
                    self.change.wait(left)
                    continue
                callback = heapq.heappop(self.due)[2]
            with contextlib.suppress(OSError):
                callback()


class Box(Stand):
    """A stand-in backend: a cache, a parent or the origin."""

    def __init__(self, scene: Scene, number: int, kind: str, port: int = 0) -> None:
        self.scene, self.number, self.kind = scene, number, kind
        self.name = f"s-{number:08x}"
        self.copies: dict[tuple[str, int], float] = {}
        self.chance = scene.chance(self.name)
        self.silent = False
        self.slow = 0.0  # additional seconds per answer
        self.resets = 0.0  # fraction of the dispatches that are answered by a reset
        self.state, self.started = "active", 0.0
        self.open: dict[tuple[int, bytes], bool] = {}  # unanswered, by connection and reference
        self.numbers: dict[Any, int] = {}
        self.buffers: dict[socket.socket, TimestampedBuffer] = {}
        self.lock = threading.Lock()
        super().__init__(self._handle_message, port)
        timestamp_received_bytes(self.sock)

    def _serve(self, sock: socket.socket) -> None:
        with self.lock:
            self.numbers[sock] = len(self.numbers) + 1
        super()._serve(sock)

    def new_buffer(self, sock: socket.socket) -> TimestampedBuffer:
        """The read buffer of a new connection."""
        buffer = self.buffers[sock] = TimestampedBuffer(sock)
        return buffer

    def _write_received(self, what: str, received_at: float, **fields: Any) -> None:
        """Write an entry for a message that the kernel received at `received_at` and that is read now."""
        now = time.time()
        self.scene.account.write(self.name, what, at=now, late=max(0.0, now - received_at), **fields)

    def closed(self, sock: socket.socket) -> None:
        """Called when a connection has ended; abandons the dispatches that are open on it."""
        self._abandon_dispatches(self.numbers[sock], closed_by_peer_at(sock))
        self.buffers.pop(sock, None)
        sock.close()

    def break_off(self, reset: bool = True) -> None:
        """Close all connections; first abandon the dispatches on them, as a gateway that sees a connection
        end may send elsewhere before the thread that serves it has."""
        for sock in list(self.socks):
            if sock in self.numbers:
                self._abandon_dispatches(self.numbers[sock], time.time())
        super().break_off(reset)

    def _abandon_dispatches(self, number: int, closed_at: float) -> None:
        """Abandon the dispatches that are open on a connection. Called before this backend resets a
        connection, as a gateway that has seen the reset may send elsewhere at once."""
        with self.lock:
            for place in [place for place in self.open if place[0] == number]:
                del self.open[place]
            self._write_received("closed", closed_at, conn=number)

    def _handle_message(self, stand: Stand, sock: socket.socket, items: list[bytes]) -> None:
        number, verb = self.numbers[sock], items[0]
        received_at = self.buffers[sock].received_at
        if verb == b"undo":
            with self.lock:
                self.open.pop((number, items[1]), None)
                # written even if the answer has been sent: the undo may have been received before that
                self._write_received("undo", received_at, conn=number, ref=items[1].decode())
        elif verb in (b"top", b"ping"):
            if not self.silent:
                busy = min(0.9, len(self.open) / 20)
                report = b"report=inflight:%d;util:%.2f" % (len(self.open), busy)
                sock.sendall(encode(items[1], b"well", report))
        elif verb == b"do":
            self._handle_dispatch(sock, number, items[1], parse_fields(items[2]))

    def _register_dispatch(
        self, sock: socket.socket, number: int, ref: bytes, fields: dict[str, str], of_gateway: bool = True
    ) -> tuple[str, int, float]:
        """Register a dispatch, or a fill request of another backend; returns the object, its part and the
        maximum age of an acceptable copy."""
        key, part = fields["thing"], int(fields["nth"])
        age = int(fields["agelim"]) / 1000 if int(fields.get("agelim", 0)) else 8.0
        with self.lock:
            self.open[number, ref] = True
            if of_gateway:
                self._write_received(
                    "do",
                    self.buffers[sock].received_at,
                    conn=number,
                    ref=ref.decode(),
                    vhost=fields["profile"],
                    key=key,
                    part=part,
                    next=fields.get("next"),
                    age=age,
                    replay=fields.get("replay"),
                    limit=int(fields["max"]) / 1000,
                )
        return key, part, age

    def drop(self, key: str, at: float) -> None:
        """Remove copies that are older than a purge. (All objects here are in one purge group.)"""
        for place, born in list(self.copies.items()):
            if born < at and (not key or place[0] == key):
                self.copies.pop(place, None)

    def _reset_at_random(self, sock: socket.socket, number: int) -> bool:
        """Reset the connection instead of answering, at random; returns whether it was reset."""
        if self.chance.random() >= self.resets:
            return False
        self._abandon_dispatches(number, time.time())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
        return True

    def _handle_dispatch(self, sock: socket.socket, number: int, ref: bytes, fields: dict[str, str]) -> None:
        key, part, age = self._register_dispatch(sock, number, ref, fields)
        if self.silent:
            return
        if self._reset_at_random(sock, number):
            return
        wait = self.slow + self.chance.expovariate(250)
        if EFFECTS[fields["profile"]] != "replayable":
            self.scene.timers.after(wait + WRITE / 2, lambda: self._apply_effect(number, ref, fields))
            self.scene.timers.after(
                wait + WRITE,
                lambda: self._send_answer(
                    sock, number, ref, b"data", b"remark=TCP_MISS", body(key, part, 0.0, 64)
                ),
            )
            return
        now, born = time.time(), self.copies.get((key, part))
        source = self.scene.boxes.get(fields.get("next", ""))
        if born is not None and now - born <= age:
            note, wait = b"TCP_HIT", wait + HIT
            if "swr" in fields.get("ways", "") and source and now - born > 6.4:
                self.copies[key, part] = now  # revalidated in the background
        elif source is None:
            return self.scene.timers.after(
                wait + HIT, lambda: self._send_answer(sock, number, ref, b"absent", b"remark=PEER_MISS", b"")
            )
        else:
            copy_created_at = source.copies.get((key, part))
            wait += source.slow
            if copy_created_at is not None and now - copy_created_at <= age:
                note, wait, born = b"TCP_MISS", wait + SOURCE_HIT, copy_created_at
            elif "peek" in fields.get("ways", ""):
                return self.scene.timers.after(
                    wait + SOURCE_HIT,
                    lambda: self._send_answer(sock, number, ref, b"absent", b"remark=PEER_MISS", b""),
                )
            else:
                note, wait, born = b"TCP_MISS_ROOT", wait + FILL + self.scene.origin.slow, now
                source.copies[key, part] = born
            self.copies[key, part] = born
        data = body(key, part, born, 2000)
        self.scene.timers.after(
            wait, lambda: self._send_answer(sock, number, ref, b"data", b"remark=" + note, data)
        )
        return None

    def _apply_effect(self, number: int, ref: bytes, fields: dict[str, str]) -> None:
        """Apply the effect of a write unless it was cancelled; each key has one effect over all backends."""
        with self.lock:
            if (number, ref) not in self.open:
                return
        with self.scene.lock:
            key = fields.get("replay")
            if key in self.scene.seen:
                return
            if key:
                self.scene.seen.add(key)
        self.scene.account.write(self.name, "effect", ref=ref.decode(), replay=key)

    def _send_answer(
        self, sock: socket.socket, number: int, ref: bytes, word: bytes, details: bytes, data: bytes
    ) -> None:
        with self.lock:
            if self.silent or self.open.pop((number, ref), None) is None:
                return
            self.scene.account.write(
                self.name,
                "end",
                conn=number,
                ref=ref.decode(),
                word=word.decode(),
                note=details.partition(b"=")[2].decode(),
            )
            sock.sendall(encode(ref, word, details, data))


class ChangeLog(Log):
    """The change log of a scene: numbers the events and writes them to the account."""

    beats_at_once = False

    def __init__(self, scene: Scene) -> None:
        self.scene, self.number = scene, 1
        super().__init__()

    def _serve(self, sock: socket.socket) -> None:
        super()._serve(sock)
        beat = struct.pack(">IQB", 9, 0, 0)
        with contextlib.suppress(OSError):
            while not self.scene.timers.over:
                time.sleep(0.5)
                sock.sendall(beat)

    def tell(self, box: Box) -> None:
        """Publish the changed state of a backend."""
        self.number += 1
        self.scene.listed(box)
        self.add(
            self.number,
            2,
            record(box.number, box.port, STATES[box.state], KINDS.index(box.kind), int(box.started * 1000)),
        )

    def purge(self, key: str = "", group: int = 0) -> None:
        """Publish a purge of an object or of a purge group."""
        self.number += 1
        now = time.time()
        self.scene.account.write("log", "purge", at=now, key=key, group=group)
        self.scene.timers.after(PURGE_SECONDS, lambda: self.drop(key, now))
        if key:
            self.add(self.number, 3, struct.pack(">QQ", int(key, 16), int(now * 1000)))
        else:
            self.add(self.number, 4, struct.pack(">HQ", group, int(now * 1000)))

    def drop(self, key: str, at: float) -> None:
        """Remove copies that are older than a purge from all backends, within the time that the settings
        promise; from then on gateways may forget the purge."""
        for box in list(self.scene.boxes.values()):
            box.drop(key, at)


class Gateway:
    """One gateway process and its successors; all of them log to one file."""

    def __init__(self, scene: Scene, number: int) -> None:
        self.scene, self.name, self.program = scene, f"n{number}", scene.program
        self.port = unused()
        self.config = scene.folder / f"{self.name}.json"
        self.handover = str(scene.folder / f"{self.name}.sock")
        self.log = scene.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.pids: list[int] = []
        self.words: list[str] = []

    def settings(self, text: str) -> tuple[str, str]:
        """Write this gateway's operator settings; returns the arguments for `start`. RECORDS in the text
        stands for its folder of records."""
        path = self.scene.folder / f"{self.name}.sexp"
        path.write_text(f"(lilacloft {text.replace('RECORDS', 'records-' + self.name)})")
        return "--settings", str(path)

    def start(self, *more: str) -> None:
        """Start the process and wait until it serves."""
        place = self.spawn(*more)
        self.wait("serving on", place)
        assert self.process is not None
        self.pids.append(self.process.pid)

    def spawn(self, *more: str) -> int:
        """Start the process; returns the offset in the log file at which its lines begin."""
        self.config.write_text(json.dumps(self.scene.config(self)))
        self.words = [sys.executable, "-m", *self.program, "serve", "--config", str(self.config), *more]
        with self.log.open("ab") as file:
            place = file.tell()
            self.process = subprocess.Popen(self.words, stderr=file, stdin=subprocess.DEVNULL)
        return place

    def wait(self, text: str, place: int = 0, most: float = 20.0) -> str:
        """Wait for a log line that contains a text; returns the line."""
        until = time.monotonic() + most
        while time.monotonic() < until:
            for line in self.log.read_bytes()[place:].decode().split("\n"):
                if text in line:
                    return line
            if self.process is not None and self.process.poll() not in (None, 0):
                break
            time.sleep(0.01)
        raise RuntimeError(f"{self.name} did not log {text!r}: {self.log.read_text()[-2000:]}")

    def alive(self) -> bool:
        """Whether it answers a health check."""
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 1.0) as sock:
            sock.sendall(encode(b"ALIVE", b"1", b""))
            return b"serving" in sock.recv(100)
        return False


class Scene:
    """The complete environment of a rig."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        caches: int = 4,
        parents: int = 2,
        gateways: int = 1,
        sockets: int = 1024,
        memory_mb: int = 192,
        program: tuple[str, ...] = ("lilacloft",),
    ) -> None:
        self.folder, self.seed, self.program = folder, seed, program
        folder.mkdir(parents=True, exist_ok=True)
        self.account, self.timers, self.lock = Account(), Timers(), threading.Lock()
        self.seen: set[str] = set()
        self.sockets, self.memory_mb = sockets, memory_mb
        kinds = ["small"] * caches + ["parent"] * parents + ["origin"]
        self.boxes = {
            box.name: box for box in (Box(self, number, kind) for number, kind in enumerate(kinds, 1))
        }
        self.caches = [box for box in self.boxes.values() if box.kind == "small"]
        self.parents = [box for box in self.boxes.values() if box.kind == "parent"]
        self.origin = next(box for box in self.boxes.values() if box.kind == "origin")
        self.log = ChangeLog(self)
        for box in self.boxes.values():
            self.listed(box)
        self.gateways = [Gateway(self, number) for number in range(gateways)]

    def chance(self, purpose: str) -> random.Random:
        """A random number generator for one purpose, derived from the seed."""
        return random.Random(f"{self.seed} {purpose}")

    def listed(self, box: Box) -> None:
        self.account.write(
            "log",
            "listed",
            backend=box.name,
            state=box.state,
            started=box.started,
            capacity=5.0,
            kind=box.kind,
        )

    def config(self, gateway: Gateway) -> dict[str, Any]:
        """The platform configuration file of one gateway, at the current position of the change log."""
        settings = copy.deepcopy(ENV)
        settings["classes"] = copy.deepcopy(VHOSTS)
        settings["familyInfo"].update(FAMILY)
        settings["balancers"] = len(self.gateways)
        settings["familyInfo"]["zoneBalancers"] = [len(self.gateways), 0]
        settings["slotNo"] = self.gateways.index(gateway)
        targets = [
            {
                "uid": box.name,
                "endpoint": f"127.0.0.1:{box.port}",
                "model": box.kind,
                "state": box.state,
                "az": "here" if box.kind == "small" else "hub",
                "pod_group": 0,
                "capacity_hint": 5,
                "boot_ms": int(box.started * 1000),
            }
            for box in self.boxes.values()
        ]
        known = {"seq": self.log.number, "fleet": {"rev": 1, "all": True, "targets": targets}}
        return {
            "name": gateway.name,
            "listen": f"127.0.0.1:{gateway.port}",
            "seed": "00",
            "settings": settings,
            "changelog": f"127.0.0.1:{self.log.port}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"seq": self.log.number, "results": [known]},
        }

    def limits(self) -> Limits:
        """The limits against which the checker verifies the gateways."""
        rules, family = ENV["obligations"], ENV["familyInfo"]
        cache = (rules["startCapacity"], rules["coldNs"] / 1e9, rules["tipMultiple"])
        parent = (family["parentFloor"], family["parentWarmsInNs"] / 1e9, family["parentBreaksAt"])
        return Limits(
            cold={"small": cache, "large": cache, "parent": parent, "origin": (1.0, 0.0, 1e9)},
            pace=family["paceKbPerS"],
        )

    # --- actions of a script ---

    def say(self, text: str) -> None:
        """Write a remark of the script to the account."""
        self.account.write("script", "said", text=text)

    def kill(self, box: Box) -> None:
        """Kill a backend: close its listening socket and reset its connections."""
        self.say(f"{box.name} dies")
        box.close()
        box.break_off()

    def returns(self, box: Box) -> None:
        """Restart a killed backend at its address with no copies, and publish its new start time."""
        self.say(f"{box.name} returns cold")
        restarted = Box(self, box.number, box.kind, box.port)
        restarted.started = time.time()
        self.boxes[box.name] = restarted
        pool = self.caches if box in self.caches else self.parents
        pool[pool.index(box)] = restarted
        self.log.tell(restarted)

    def drain(self, box: Box, state: str = "leaving") -> None:
        """Publish that a backend is leaving or, with `active`, that it may be used again."""
        self.say(f"{box.name} {state}")
        box.state = state
        self.log.tell(box)

    def close(self) -> None:
        """Stop all processes and stand-ins of this scene."""
        self.timers.over = True
        for gateway in self.gateways:
            for pid in processes(str(gateway.config)):
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.kill(pid, signal.SIGKILL)
            if gateway.process:
                gateway.process.wait()
        for stand in [*self.boxes.values(), self.log]:
            stand.break_off()
            stand.close()


class WriteWorld(UpgradableWorld):
    """A world with virtual hosts for writes. Its clients have a long timeout: where processes start slowly,
    an upgrade outlasted a shorter one, and the timed-out answers showed nothing about the upgrade."""

    allow = 9000

    def start(self):
        settings = self.config["settings"]
        settings["classes"] = [
            {**vhost, "promiseNs": 4_000_000_000, "deadlineNs": 10_000_000_000} for vhost in VHOSTS
        ]
        settings["familyInfo"].update(FAMILY)
        super().start()


@contextlib.contextmanager
def write_worlds(folder: Path, **usual: Any) -> Iterator[Callable[..., WriteWorld]]:
    """Yields a function that creates such worlds, with `usual` as default arguments; closes them all at the
    end."""
    worlds: list[WriteWorld] = []

    def make(*caches: Any, **more: Any) -> WriteWorld:
        worlds.append(WriteWorld(folder, caches or (None,), **{**usual, **more}))
        return worlds[-1]

    try:
        yield make
    finally:
        for one in worlds:
            one.close()
