"""A scripted world: boxes with copies, parents, an origin, a change log, and real gateway processes between
them.

Everything that is drawn is drawn from one seed, one stream a purpose. What each party sees goes to one
Account. A box keeps copies and fills misses from the source it is told, inside this process; how it behaves
is switched by the script: silent, dead, slow, resetting, cold, draining.
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
from rigs.stands import ENV, Log, Replaced, Stand, processes, record, unused

KINDS = ["small", "large", "parent", "origin"]
STATES = {"active": 0, "leaving": 1, "left": 2}
DROPS = 5.0  # seconds after which purged copies are gone everywhere; the settings promise 6
HIT, HELD, FILL, WRITE = 0.004, 0.012, 0.030, 0.060  # seconds, besides what is drawn
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
    """The bytes of a part: they say what they are, and are checked by whoever gets them."""
    head = f"{key} {part} {born:.4f} {size} ".encode()
    data = head + b"." * max(0, size - len(head) - 8)
    return data + b"%08x" % zlib.crc32(data)


def whole(data: bytes, key: str, part: int) -> float | None:
    """When the origin gave out a copy; None where these are not the bytes of that part."""
    if len(data) < 8 or data[-8:] != b"%08x" % zlib.crc32(data[:-8]):
        return None
    words = data.split(b" ", 3)
    return float(words[2]) if words[:2] == [key.encode(), b"%d" % part] else None


class Timers:
    """One thread that does things when they are due."""

    def __init__(self) -> None:
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.number, self.over = 0, False
        self.change = threading.Condition()
        threading.Thread(target=self._run, daemon=True).start()

    def after(self, wait: float, what: Callable[[], None]) -> None:
        """Do something in a while."""
        with self.change:
            self.number += 1
            heapq.heappush(self.due, (time.monotonic() + wait, self.number, what))
            self.change.notify()

    def _run(self) -> None:
        while not self.over:
            with self.change:
                left = self.due[0][0] - time.monotonic() if self.due else 1.0
                if left > 0:
                    self.change.wait(left)
                    continue
                what = heapq.heappop(self.due)[2]
            with contextlib.suppress(OSError):
                what()


class Box(Stand):
    """A cache, a parent or the origin."""

    def __init__(self, scene: Scene, number: int, kind: str, port: int = 0) -> None:
        self.scene, self.number, self.kind = scene, number, kind
        self.name = f"s-{number:08x}"
        self.copies: dict[tuple[str, int], float] = {}
        self.chance = scene.chance(self.name)
        self.silent = False
        self.slow = 0.0  # seconds more for each answer
        self.resets = 0.0  # part of the dispatches that are answered by a reset
        self.state, self.started = "active", 0.0
        self.open: dict[tuple[int, bytes], bool] = {}  # what waits for an answer
        self.numbers: dict[Any, int] = {}
        self.buffers: dict[socket.socket, TimestampedBuffer] = {}
        self.lock = threading.Lock()
        super().__init__(self._says, port)
        timestamp_received_bytes(self.sock)

    def _serve(self, sock: socket.socket) -> None:
        with self.lock:
            self.numbers[sock] = len(self.numbers) + 1
        super()._serve(sock)

    def new_buffer(self, sock: socket.socket) -> TimestampedBuffer:
        """The read buffer of a new connection."""
        buffer = self.buffers[sock] = TimestampedBuffer(sock)
        return buffer

    def _note(self, what: str, received_at: float, **told: Any) -> None:
        """Account for what came at a time, by the kernel, and is read only now."""
        now = time.time()
        self.scene.account.write(self.name, what, at=now, late=max(0.0, now - received_at), **told)

    def closed(self, sock: socket.socket) -> None:
        """A connection has ended; what was open on it is given up."""
        self._gives_up(self.numbers[sock], closed_by_peer_at(sock))
        self.buffers.pop(sock, None)
        sock.close()

    def _gives_up(self, number: int, closed_at: float) -> None:
        """What is open on a connection is over. Before a reset of ours, as a gateway that has seen that may
        send elsewhere at once."""
        with self.lock:
            for place in [place for place in self.open if place[0] == number]:
                del self.open[place]
            self._note("closed", closed_at, conn=number)

    def _says(self, stand: Stand, sock: socket.socket, items: list[bytes]) -> None:
        number, verb = self.numbers[sock], items[0]
        received_at = self.buffers[sock].received_at
        if verb == b"undo":
            with self.lock:
                self.open.pop((number, items[1]), None)
                # also where the answer is out by now: the undo may have been here before it
                self._note("undo", received_at, conn=number, ref=items[1].decode())
        elif verb in (b"top", b"ping"):
            if not self.silent:
                busy = min(0.9, len(self.open) / 20)
                report = b"report=inflight:%d;util:%.2f" % (len(self.open), busy)
                sock.sendall(encode(items[1], b"well", report))
        elif verb == b"do":
            self._do(sock, number, items[1], parse_fields(items[2]))

    def _taken(
        self, sock: socket.socket, number: int, ref: bytes, told: dict[str, str], of_gateway: bool = True
    ) -> tuple[str, int, float]:
        """A dispatch has come, or another box's question; returns the object, its part, the oldest copy that
        will do."""
        key, part = told["thing"], int(told["nth"])
        age = int(told["agelim"]) / 1000 if int(told.get("agelim", 0)) else 8.0
        with self.lock:
            self.open[number, ref] = True
            if of_gateway:
                self._note(
                    "do",
                    self.buffers[sock].received_at,
                    conn=number,
                    ref=ref.decode(),
                    vhost=told["profile"],
                    key=key,
                    part=part,
                    next=told.get("next"),
                    age=age,
                    replay=told.get("replay"),
                    limit=int(told["max"]) / 1000,
                )
        return key, part, age

    def drop(self, key: str, at: float) -> None:
        """A while after a purge it has no older copy any more. (All objects here are of one group.)"""
        for place, born in list(self.copies.items()):
            if born < at and (not key or place[0] == key):
                self.copies.pop(place, None)

    def _answers_by_reset(self, sock: socket.socket, number: int) -> bool:
        """Is a dispatch answered by a reset of its connection? Then that is done."""
        if self.chance.random() >= self.resets:
            return False
        self._gives_up(number, time.time())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
        return True

    def _do(self, sock: socket.socket, number: int, ref: bytes, told: dict[str, str]) -> None:
        key, part, age = self._taken(sock, number, ref, told)
        if self.silent:
            return
        if self._answers_by_reset(sock, number):
            return
        wait = self.slow + self.chance.expovariate(250)
        if EFFECTS[told["profile"]] != "replayable":
            self.scene.timers.after(wait + WRITE / 2, lambda: self._effect(number, ref, told))
            self.scene.timers.after(
                wait + WRITE,
                lambda: self._answer(
                    sock, number, ref, b"data", b"remark=TCP_MISS", body(key, part, 0.0, 64)
                ),
            )
            return
        now, born = time.time(), self.copies.get((key, part))
        source = self.scene.boxes.get(told.get("next", ""))
        if born is not None and now - born <= age:
            note, wait = b"TCP_HIT", wait + HIT
            if "swr" in told.get("ways", "") and source and now - born > 6.4:
                self.copies[key, part] = now  # renewed behind
        elif source is None:
            return self.scene.timers.after(
                wait + HIT, lambda: self._answer(sock, number, ref, b"absent", b"remark=PEER_MISS", b"")
            )
        else:
            held = source.copies.get((key, part))
            wait += source.slow
            if held is not None and now - held <= age:
                note, wait, born = b"TCP_MISS", wait + HELD, held
            elif "peek" in told.get("ways", ""):
                return self.scene.timers.after(
                    wait + HELD, lambda: self._answer(sock, number, ref, b"absent", b"remark=PEER_MISS", b"")
                )
            else:
                note, wait, born = b"TCP_MISS_ROOT", wait + FILL + self.scene.origin.slow, now
                source.copies[key, part] = born
            self.copies[key, part] = born
        data = body(key, part, born, 2000)
        self.scene.timers.after(
            wait, lambda: self._answer(sock, number, ref, b"data", b"remark=" + note, data)
        )
        return None

    def _effect(self, number: int, ref: bytes, told: dict[str, str]) -> None:
        """A write has its effect, unless it was given up before; one key has one, wherever it comes to."""
        with self.lock:
            if (number, ref) not in self.open:
                return
        with self.scene.lock:
            key = told.get("replay")
            if key in self.scene.seen:
                return
            if key:
                self.scene.seen.add(key)
        self.scene.account.write(self.name, "effect", ref=ref.decode(), replay=key)

    def _answer(
        self, sock: socket.socket, number: int, ref: bytes, word: bytes, told: bytes, data: bytes
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
                note=told.partition(b"=")[2].decode(),
            )
            sock.sendall(encode(ref, word, told, data))


class ChangeLog(Log):
    """The change log of a scene: numbers events, and keeps an account of them."""

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
        """A box's state has changed."""
        self.number += 1
        self.scene.listed(box)
        self.add(
            self.number,
            2,
            record(box.number, box.port, STATES[box.state], KINDS.index(box.kind), int(box.started * 1000)),
        )

    def purge(self, key: str = "", group: int = 0) -> None:
        """An object, or a group, is purged."""
        self.number += 1
        now = time.time()
        self.scene.account.write("log", "purge", at=now, key=key, group=group)
        self.scene.timers.after(DROPS, lambda: self.drop(key, now))
        if key:
            self.add(self.number, 3, struct.pack(">QQ", int(key, 16), int(now * 1000)))
        else:
            self.add(self.number, 4, struct.pack(">HQ", group, int(now * 1000)))

    def drop(self, key: str, at: float) -> None:
        """A while after a purge no box has an older copy any more, as the settings promise: from then on
        gateways may forget it."""
        for box in list(self.scene.boxes.values()):
            box.drop(key, at)


class Gateway:
    """One gateway process and its successors; what they log goes to one file."""

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
        """Operators' settings of its own, as words for `start`; RECORDS stands for its folder of records."""
        path = self.scene.folder / f"{self.name}.sexp"
        path.write_text(f"(lilacloft {text.replace('RECORDS', 'records-' + self.name)})")
        return "--settings", str(path)

    def start(self, *more: str) -> None:
        """Run it, and wait until it serves."""
        place = self.spawn(*more)
        self.wait("serving on", place)
        assert self.process is not None
        self.pids.append(self.process.pid)

    def spawn(self, *more: str) -> int:
        """Run it; returns where in its log it begins to write."""
        self.config.write_text(json.dumps(self.scene.config(self)))
        self.words = [sys.executable, "-m", *self.program, "serve", "--config", str(self.config), *more]
        with self.log.open("ab") as file:
            place = file.tell()
            self.process = subprocess.Popen(self.words, stderr=file, stdin=subprocess.DEVNULL)
        return place

    def wait(self, text: str, place: int = 0, most: float = 20.0) -> str:
        """Until a line of its log holds a text; returns the line."""
        until = time.monotonic() + most
        while time.monotonic() < until:
            for line in self.log.read_bytes()[place:].decode().split("\n"):
                if text in line:
                    return line
            if self.process is not None and self.process.poll() not in (None, 0):
                break
            time.sleep(0.01)
        raise RuntimeError(f"{self.name} never said {text!r}: {self.log.read_text()[-2000:]}")

    def alive(self) -> bool:
        """Does it answer a check?"""
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 1.0) as sock:
            sock.sendall(encode(b"ALIVE", b"1", b""))
            return b"serving" in sock.recv(100)
        return False


class Scene:
    """The whole world of a rig."""

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
        """A stream of random numbers of its own."""
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
        """The platform's file for one gateway, as the change log stands."""
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
        """What the checker holds the gateways to."""
        rules, family = ENV["obligations"], ENV["familyInfo"]
        cache = (rules["startCapacity"], rules["coldNs"] / 1e9, rules["tipMultiple"])
        parent = (family["parentFloor"], family["parentWarmsInNs"] / 1e9, family["parentBreaksAt"])
        return Limits(
            cold={"small": cache, "large": cache, "parent": parent, "origin": (1.0, 0.0, 1e9)},
            pace=family["paceKbPerS"],
        )

    # --- what a script does ---

    def say(self, text: str) -> None:
        """Note something in the account."""
        self.account.write("script", "said", text=text)

    def kill(self, box: Box) -> None:
        """A box dies: its door closes, its connections are reset."""
        self.say(f"{box.name} dies")
        box.close()
        box.break_off()

    def returns(self, box: Box) -> None:
        """It comes back at its address, cold, and is listed so."""
        self.say(f"{box.name} returns cold")
        again = Box(self, box.number, box.kind, box.port)
        again.started = time.time()
        self.boxes[box.name] = again
        pool = self.caches if box in self.caches else self.parents
        pool[pool.index(box)] = again
        self.log.tell(again)

    def drain(self, box: Box, state: str = "leaving") -> None:
        """A box is to be left, or (`active`) may be used again."""
        self.say(f"{box.name} {state}")
        box.state = state
        self.log.tell(box)

    def close(self) -> None:
        """End everything that was started here."""
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


class Booked(Replaced):
    """One that books and takes fares. Its clients wait long: on a machine that is slow at starting processes
    an upgrade took longer than their time, and what they got said nothing of it."""

    allow = 9000

    def start(self):
        settings = self.config["settings"]
        settings["classes"] = [
            {**vhost, "promiseNs": 4_000_000_000, "deadlineNs": 10_000_000_000} for vhost in VHOSTS
        ]
        settings["familyInfo"].update(FAMILY)
        super().start()


@contextlib.contextmanager
def booked(folder: Path, **usual: Any) -> Iterator[Callable[..., Booked]]:
    """Makes such worlds, of some caches and with what is usual for them; all end with it."""
    worlds: list[Booked] = []

    def make(*caches: Any, **more: Any) -> Booked:
        worlds.append(Booked(folder, caches or (None,), **{**usual, **more}))
        return worlds[-1]

    try:
        yield make
    finally:
        for one in worlds:
            one.close()
