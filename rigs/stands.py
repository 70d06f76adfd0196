"""Stand-ins for what a gateway talks to: caches, the change log, clients, and a world of them."""

import contextlib
import copy
import itertools
import json
import os
import queue
import shlex
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import zlib

from loguru import logger

from lilacloft.handover.request import request_upgrade
from lilacloft.net.resp import MessageBuffer, encode, encode_fields
from rigs.named_numbers import NamedNumbers

logger.remove()  # threads of earlier tests may log when the test runner's standard error is gone

ENV = {
    "balancers": 1,
    "discovery": "automatic",
    "granularityNs": 2000000,
    "zone": 0,
    "zones": ["here", "hub"],
    "kinds": ["small", "large", "parent", "origin"],
    "weightSource": "rough",
    "slotNo": 0,
    "classes": [
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
            "repeatWindowNs": 2000000000,
            "aimStretch": 2.0,
        },
    ],
    "familyInfo": {
        "freshForNs": [8000000000, 0],
        "staleForNs": [2000000000, 0],
        "passOn": [False, True],
        "zoneBalancers": [1, 0],
        "parentKind": 2,
        "sourceKind": 3,
        "joins": True,
        "paceKbPerS": 4000.0,
        "feedKbPerS": [40000.0, 0],
        "passThroughOk": False,
        "purgeDoneNs": 6000000000,
        "obeyAfterNs": 300000000,
        "parentFloor": 0.06,
        "parentBreaksAt": 2.0,
        "parentWarmsInNs": 20000000000,
    },
    "stats": {"names": ["inflight", "util"]},
    "limits": {
        "maxAttempts": 6,
        "cancel": True,
        "probes": True,
        "retryAfter": True,
        "streamsPerConn": 32,
        "maxRetryAfterNs": 500000000,
        "connectTimeoutNs": 200000000,
        "keepaliveNs": 30000000000,
    },
    "obligations": {
        "startCapacity": 0.2,
        "coldNs": 15000000000,
        "tipMultiple": 2.0,
        "fallNs": 1000000000,
        "answerSlackNs": 8000000,
    },
}


class Stand:
    """A party on a listening socket: each connection has a buffer, and what comes in goes to `says`."""

    def __init__(self, says=None, port=0):
        self.says = says or (lambda stand, sock, items: None)
        self.seen, self.socks = queue.SimpleQueue(), []
        # none of those that outgoing connections take: one that is closed could not be opened there again
        self.port = port or unused()
        self.sock = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.socks.append(sock)
            thread = threading.Thread(target=self._serve, args=(sock,), daemon=True)
            self.accepted(thread)
            thread.start()

    def accepted(self, thread):
        """A connection was accepted, which a thread will serve."""

    def _serve(self, sock):
        buffer = self.new_buffer(sock)
        with contextlib.suppress(OSError):
            while buffer.read_from(sock):
                while items := buffer.next_message():
                    self.seen.put((time.monotonic(), sock, items))
                    self.says(self, sock, items)
        self.closed(sock)

    def new_buffer(self, sock):
        """The read buffer of a new connection."""
        return MessageBuffer()

    def closed(self, sock):
        """A connection has ended."""

    def next(self, verb=b"do", wait=5):
        """The next message of a kind."""
        while True:
            at, sock, items = self.seen.get(timeout=wait)
            if items[0] == verb:
                return at, sock, items

    def break_off(self, reset=True):
        for sock in self.socks:
            with contextlib.suppress(OSError):  # it may have ended
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with contextlib.suppress(OSError):
                # a thread that waits to read would keep the connection alive past the close
                sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            sock.close()
        self.socks.clear()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def serves(body=b"bytes", told=b"remark=TCP_HIT"):
    """A cache that answers all it is asked."""

    def says(stand, sock, items):
        if items[0] == b"do":
            sock.sendall(encode(items[1], b"data", told, body))
        elif items[0] in (b"top", b"ping"):
            sock.sendall(encode(items[1], b"well", b"report=inflight:1;util:0.2"))

    return says


def silent(stand, sock, items):
    """A cache that takes all and answers checks only; the test answers the rest."""
    if items[0] in (b"top", b"ping"):
        sock.sendall(encode(items[1], b"well", b"report=inflight:1;util:0.2"))


class Log(Stand):
    """The change log. Who connects gets all later frames at once, and an empty one behind them."""

    beats_at_once = True  # else the first empty frame comes when the subclass sends it
    released = threading.Event()  # while it is not set, who connects is told nothing
    released.set()

    def __init__(self, frames=(), port=0):
        self.frames, self.since = list(frames), NamedNumbers()
        self.order, self.follow = threading.Lock(), []  # who has had all frames so far
        super().__init__(port=port)

    def accepted(self, thread):
        self.since.expect(thread)

    def hold(self):
        """Accept connections from now on, and tell nothing on them before `released` is set."""
        self.released = threading.Event()

    def _serve(self, sock):
        with contextlib.suppress(OSError, struct.error):
            last = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0]
            is_held = not self.released.is_set()
            if is_held:
                self.since.put(last)
                self.released.wait()
            with self.order:
                for number, kind, payload in self.frames:
                    if number > last:
                        sock.sendall(framed(number, kind, payload))
                if self.beats_at_once:
                    sock.sendall(framed(0, 0))
                self.follow.append(sock)
            if not is_held:
                self.since.put(last)

    def add(self, *frame):
        with self.order:
            self.frames.append(frame)
            for sock in list(self.follow):
                try:
                    sock.sendall(framed(*frame))
                except OSError:
                    self.follow.remove(sock)


def framed(number, kind, payload=b""):
    return struct.pack(">IQB", len(payload) + 9, number, kind) + payload


def record(name, port, state=0, kind=0, started=0):
    here = socket.inet_aton("127.0.0.1")
    return struct.pack(">I4sHBBBHIQ", name, here, port, state, int(kind > 1), kind, 0, 5000, started)


def _blocks():
    """Ports below those that outgoing connections take, in blocks: who listens on a block's first port, to
    the end of its process, has the others to itself. So processes side by side never name the same one."""
    first, many = 10_000, 88
    for turn in itertools.count(os.getpid()):
        begin = first + turn * 37 % many * 250
        try:
            held = socket.create_server(("127.0.0.1", begin), backlog=1)
        except OSError:
            continue
        yield from range(begin + 1, begin + 250)
        held.close()


def unused(ports=_blocks()):
    """A port to listen on later, which no other test or rig of this machine takes."""
    for port in ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    return None


class Asker:
    """A client's connection."""

    def __init__(self, port, allow=1500):
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.buffer, self.tag, self.allow = MessageBuffer(), 0, allow

    def ask(self, vhost=b"clip", key=1, body=b"", **more):
        self.tag += 1
        ref = f"{zlib.crc32(b'%d %d' % (id(self), self.tag)):016x}"
        told = {"ref": ref, "allow": self.allow, "lookup": f"{key:016x}", "nth": 0, "batch": 7, "room": 400.0}
        told.update(more)
        self.send(b"EXEC", b"%d" % self.tag, vhost, encode_fields(told.items()), body)
        return b"%d" % self.tag

    def send(self, *items):
        self.sock.sendall(encode(*items))

    def answer(self):
        """The next answer; None once the connection has ended."""
        while True:
            if items := self.buffer.next_message():
                return items
            if not self.buffer.read_from(self.sock):
                return None


class World:
    """Caches, a parent and the origin of our own, a change log, and one real gateway process before them."""

    allow = 1500  # ms that its clients wait

    def __init__(
        self,
        tmp_path,
        caches=(None,),
        sockets=1024,
        memory_mb=192,
        python=(),
        changes=lambda settings: None,
        descriptors=None,
        program=("lilacloft",),
    ):
        """`descriptors`: how many the system lets the gateway have; none: as many as this process. `program`:
        the module to run, with arguments of its own before those of the program."""
        self.python, self.early = python, []  # the interpreter's options; what was written before it served
        self.program = program
        self.descriptors = descriptors
        self.caches = [Stand(says or serves()) for says in caches]
        self.parent, self.origin, self.log = Stand(), Stand(), Log()
        self.port = unused()
        kinds = ["small"] * len(caches) + ["parent", "origin"]
        stands = enumerate(zip([*self.caches, self.parent, self.origin], kinds, strict=True), 1)
        targets = [
            {
                "uid": f"s-{number:08x}",
                "endpoint": f"127.0.0.1:{stand.port}",
                "model": kind,
                "state": "active",
                "az": "here" if kind == "small" else "hub",
                "pod_group": 0,
                "capacity_hint": 5,
                "boot_ms": 0,
            }
            for number, (stand, kind) in stands
        ]
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "00",
            "settings": copy.deepcopy(ENV),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": f"127.0.0.1:{self.log.port}",
            "known": {
                "seq": 1,
                "results": [{"seq": 1, "fleet": {"rev": 1, "all": True, "targets": targets}}],
            },
        }
        changes(self.config["settings"])
        self.path = tmp_path / "config.json"
        self.start()

    def start(self):
        self.path.write_text(json.dumps(self.config))
        words = [sys.executable, *self.python, "-m", *self.program, "serve", "--config", str(self.path)]
        if self.descriptors is not None:
            words = ["sh", "-c", f'ulimit -n {self.descriptors}; exec "$@"', "sh", *words]
        self.process = subprocess.Popen(words, stderr=subprocess.PIPE, text=True)
        awaited = {"serving on", *self.said_by_watch()}
        while awaited:
            line = self.process.stderr.readline()
            assert line, f"the process ended: {self.early}"
            self.early.append(line)
            awaited = {text for text in awaited if text not in line}
        self.log.since.get(timeout=5)

    def said_by_watch(self):
        """What a gateway says of the change log soon after its start: that it has read it to its end, or
        could not reach it; nothing while the log is held."""
        return ["change log: "] if self.log.released.is_set() else []

    def asker(self):
        return Asker(self.port, self.allow)

    def stop(self):
        """SIGTERM; returns the exit code and what was written."""
        self.process.terminate()
        told = self.process.communicate(timeout=10)[1]
        return self.process.returncode, told

    def close(self):
        self.process.kill()
        self.process.communicate()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


def processes(config):
    """All processes of a gateway, also those that it was upgraded to, or that a supervisor started: known by
    their words, as nobody else has a configuration at this place."""
    found = []
    for name in filter(str.isdigit, os.listdir("/proc")):
        with contextlib.suppress(OSError), open(f"/proc/{name}/cmdline", "rb") as file:
            if config.encode() in file.read().split(b"\0"):
                found.append(int(name))
    return found


class Replaced(World):
    """A world whose gateway can be replaced: its log is a file, as its successors write to it too."""

    def __init__(
        self, tmp_path, caches=(None,), words=(), limits="", forms=None, program=("lilacloft",), **more
    ):
        """`forms`: other operators' settings than that it can be replaced."""
        self.handover, self.file, self.words = str(tmp_path / "h.sock"), tmp_path / "log", words
        self.settings = tmp_path / "settings.sexp"
        forms = f'(upgrade (handover "h.sock") (limits {limits}))' if forms is None else forms
        self.settings.write_text(f"(lilacloft {forms})")
        self.pids = []
        super().__init__(tmp_path, caches, program=program, **more)

    def start(self):
        self.path.write_text(json.dumps(self.config))
        self.command = [
            sys.executable,
            "-m",
            *self.program,
            "serve",
            "--config",
            str(self.path),
            "--settings",
            str(self.settings),
            *self.words,
        ]
        awaited = ["serving on", *self.said_by_watch()]
        before = self.file.read_text() if self.file.exists() else ""
        with self.file.open("ab") as file:
            self.process = subprocess.Popen(self.command, stderr=file, stdin=subprocess.DEVNULL)
        self.pids.append(self.process.pid)
        for text in awaited:
            self.told(text, before.count(text) + 1)
        if not before:
            self.log.since.get(timeout=5)

    def killed(self):
        """Kill it, and start it again."""
        self.process.kill()
        self.process.wait()
        self.start()

    def told(self, text, count=1, wait=10):
        """Until the log has a text so often; returns the last such line."""
        until = time.monotonic() + wait
        while time.monotonic() < until:
            lines = [line for line in self.file.read_text().split("\n") if text in line]
            if len(lines) >= count:
                return lines[count - 1]
            time.sleep(0.005)
        raise AssertionError(f"{text!r} not {count} times in {self.file.read_text()}")

    def upgrade(self, step="fine", mode="whole", seen=lambda phase: None, to=None):
        """Replace it by a process that fails at a step, or does not; returns whether that went well, and why
        not."""

        def tell(phase):
            if phase.pid and phase.pid not in self.pids:
                self.pids.append(phase.pid)
            seen(phase)

        words = [word for word in self.command[self.command.index("serve") :] if word != "--supervised"]
        if to is None:
            to = shlex.join([sys.executable, "-m", "rigs.crash", step, *words])
        return request_upgrade(self.handover, to, mode, tell, 30.0)

    def close(self):
        for _ in range(2):  # a supervisor may have started one meanwhile
            for pid in processes(str(self.path)):
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
        self.process.wait()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


def made(kind, folder):
    """For a fixture: yields a function that makes worlds of a kind, and closes them all at the end."""
    worlds = []

    def make(*caches, **more):
        worlds.append(kind(folder, caches or (None,), **more))
        return worlds[-1]

    yield make
    for one in worlds:
        one.close()
