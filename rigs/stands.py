"""Stand-ins for the parties that a gateway talks to (caches, change log, clients), and test worlds made of
them."""

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

from lilacloft.handover.request import request_upgrade
from lilacloft.log import logger
from lilacloft.net.discovery_watch import HEARTBEAT_INTERVAL
from lilacloft.net.resp import MessageBuffer, encode, encode_fields
from rigs.named_numbers import NamedNumbers

logger.remove()  # threads of earlier tests may log after the test runner has closed standard error

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
    """A server on a listening socket: each connection has a read buffer, and each message is passed to
    `says`."""

    def __init__(self, says=None, port=0):
        self.says = says or (lambda stand, sock, items: None)
        self.seen, self.socks = queue.SimpleQueue(), []
        # outside the range of ephemeral ports: an outgoing connection could take the port of a closed server,
        # which could then not listen on it again
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
        """Called for each accepted connection with the thread that will serve it."""

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
        """Called when a connection has ended."""

    def next(self, verb=b"do", wait=5):
        """The next message with a given verb."""
        while True:
            at, sock, items = self.seen.get(timeout=wait)
            if items[0] == verb:
                return at, sock, items

    def break_off(self, reset=True):
        for sock in self.socks:
            with contextlib.suppress(OSError):  # the connection may have ended
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with contextlib.suppress(OSError):
                # a blocked read of the serving thread would keep the connection open after the close
                sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            sock.close()
        self.socks.clear()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def serves(body=b"bytes", details=b"remark=TCP_HIT"):
    """The handler of a cache that answers every dispatch and health check."""

    def says(stand, sock, items):
        if items[0] == b"do":
            sock.sendall(encode(items[1], b"data", details, body))
        elif items[0] in (b"top", b"ping"):
            sock.sendall(encode(items[1], b"well", b"report=inflight:1;util:0.2"))

    return says


def silent(stand, sock, items):
    """The handler of a cache that answers health checks only; the test answers the dispatches."""
    if items[0] in (b"top", b"ping"):
        sock.sendall(encode(items[1], b"well", b"report=inflight:1;util:0.2"))


class Log(Stand):
    """The change log. A client that connects gets all later frames at once, followed by an empty frame."""

    beats_at_once = True  # if not, the subclass sends the first empty frame
    released = threading.Event()  # no frames are sent to new connections until this is set
    released.set()

    def __init__(self, frames=(), port=0):
        self.frames, self.since = list(frames), NamedNumbers()
        self.order, self.follow = threading.Lock(), []  # connections that have had all frames so far
        super().__init__(port=port)

    def accepted(self, thread):
        self.since.expect(thread)

    def hold(self):
        """From now on accept connections but send no frames on them until `released` is set."""
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

    def send_heartbeats(self, over):
        """Send a heartbeat to all connections each half of their maximum interval, until an event is set."""
        while not over.wait(HEARTBEAT_INTERVAL / 2):
            self.add(0, 0, b"")


def framed(number, kind, payload=b""):
    return struct.pack(">IQB", len(payload) + 9, number, kind) + payload


def record(name, port, state=0, kind=0, started=0):
    here = socket.inet_aton("127.0.0.1")
    return struct.pack(">I4sHBBBHIQ", name, here, port, state, int(kind > 1), kind, 0, 5000, started)


def _blocks():
    """Yields ports below the ephemeral range, in blocks. A process reserves a block by listening on its first
    port until it ends, so that concurrent processes never use the same port."""
    first, block_count = 10_000, 88
    for turn in itertools.count(os.getpid()):
        begin = first + turn * 37 % block_count * 250
        try:
            held = socket.create_server(("127.0.0.1", begin), backlog=1)
        except OSError:
            continue
        yield from range(begin + 1, begin + 250)
        held.close()


def unused(ports=_blocks()):
    """A port to listen on later that no other test or rig on this machine uses."""
    for port in ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    return None


class StandInClient:
    """A client's connection."""

    def __init__(self, port, allow=1500):
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.buffer, self.tag, self.allow = MessageBuffer(), 0, allow

    def ask(self, vhost=b"clip", key=1, body=b"", **more):
        self.tag += 1
        ref = f"{zlib.crc32(b'%d %d' % (id(self), self.tag)):016x}"
        fields = {
            "ref": ref,
            "allow": self.allow,
            "lookup": f"{key:016x}",
            "nth": 0,
            "batch": 7,
            "room": 400.0,
        }
        fields.update(more)
        self.send(b"EXEC", b"%d" % self.tag, vhost, encode_fields(fields.items()), body)
        return b"%d" % self.tag

    def send(self, *items):
        self.sock.sendall(encode(*items))

    def answer(self):
        """The next answer; None if the connection has ended."""
        while True:
            if items := self.buffer.next_message():
                return items
            if not self.buffer.read_from(self.sock):
                return None


class World:
    """Stand-in caches, parent, origin and change log, and one real gateway process."""

    allow = 1500  # client timeout in ms

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
        """`descriptors`: the gateway's limit of file descriptors; None: that of this process. `program`: the
        module to run, with its own arguments before those of the gateway."""
        self.python, self.early = python, []  # interpreter options; log lines from before it served
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
        awaited = {"serving on", *self.change_log_texts()}
        while awaited:
            line = self.process.stderr.readline()
            assert line, f"the gateway exited before it served: {self.early}"
            self.early.append(line)
            awaited = {text for text in awaited if text not in line}
        self.log.since.get(timeout=5)

    def change_log_texts(self):
        """The text that a gateway logs about the change log soon after its start (that it has read it to the
        end, or could not reach it); nothing while the log is held."""
        return ["change log: "] if self.log.released.is_set() else []

    def asker(self):
        return StandInClient(self.port, self.allow)

    def stop(self):
        """Send SIGTERM; returns the exit code and the rest of the log."""
        self.process.terminate()
        log_text = self.process.communicate(timeout=10)[1]
        return self.process.returncode, log_text

    def close(self):
        self.process.kill()
        self.process.communicate()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


def processes(config):
    """All processes of a gateway, including its successors and those that a supervisor started. They are
    found by their command lines, as the path of the configuration file is unique."""
    found = []
    for name in filter(str.isdigit, os.listdir("/proc")):
        with contextlib.suppress(OSError), open(f"/proc/{name}/cmdline", "rb") as file:
            if config.encode() in file.read().split(b"\0"):
                found.append(int(name))
    return found


class UpgradableWorld(World):
    """A world whose gateway can be upgraded: it logs to a file, as its successors log there too."""

    def __init__(
        self, tmp_path, caches=(None,), words=(), limits="", forms=None, program=("lilacloft",), **more
    ):
        """`forms`: operator settings that replace the default ones, which enable upgrades."""
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
        awaited = ["serving on", *self.change_log_texts()]
        before = self.file.read_text() if self.file.exists() else ""
        with self.file.open("ab") as file:
            self.process = subprocess.Popen(self.command, stderr=file, stdin=subprocess.DEVNULL)
        self.pids.append(self.process.pid)
        for text in awaited:
            self.told(text, before.count(text) + 1)
        if not before:
            self.log.since.get(timeout=5)

    def kill_and_restart(self):
        """Kill the gateway and start it again."""
        self.process.kill()
        self.process.wait()
        self.start()

    def told(self, text, count=1, wait=10):
        """Wait until the log has `count` lines with a text; returns the last of these."""
        until = time.monotonic() + wait
        while time.monotonic() < until:
            lines = [line for line in self.file.read_text().split("\n") if text in line]
            if len(lines) >= count:
                return lines[count - 1]
            time.sleep(0.005)
        raise AssertionError(f"{text!r} logged fewer than {count} times in {self.file.read_text()}")

    def upgrade(self, step="fine", mode="whole", seen=lambda phase: None, to=None):
        """Upgrade the gateway to a process that fails at `step`, or does not; returns whether the upgrade
        succeeded, and the reason if not."""

        def tell(phase):
            if phase.pid and phase.pid not in self.pids:
                self.pids.append(phase.pid)
            seen(phase)

        words = [word for word in self.command[self.command.index("serve") :] if word != "--supervised"]
        if to is None:
            to = shlex.join([sys.executable, "-m", "rigs.crash", step, *words])
        return request_upgrade(self.handover, to, mode, tell, 30.0)

    def close(self):
        for _ in range(2):  # a supervisor may have started another one meanwhile
            for pid in processes(str(self.path)):
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
        self.process.wait()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


def made(kind, folder):
    """The generator of a fixture: yields a function that creates worlds of a class, and closes them all at
    the end."""
    worlds = []

    def make(*caches, **more):
        worlds.append(kind(folder, caches or (None,), **more))
        return worlds[-1]

    yield make
    for one in worlds:
        one.close()
