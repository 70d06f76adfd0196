"""Plays in which clients take up a gateway's memory and time, beside usual clients that are measured.

`python -m rigs.pressure PLAY... [--memory 32] [--sockets 1024] [--json]`. The gateway is a process started by
the `run` line of the deploy file; the usual clients are a process of their own, so that busy bad clients do
not delay their clocks. Nothing kills the gateway at its limit: a play reports its peak of anonymous memory.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import json
import os
import random
import selectors
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from lilacloft.net.resp import (
    MAX_FIELDS_SIZE,
    MAX_PART_SIZE,
    MAX_WRITE_SIZE,
    MessageBuffer,
    encode,
    encode_fields,
)
from rigs.stands import Stand, World, serves

ROOT = Path(__file__).resolve().parents[1]
CROWD = 340  # connections; by the protocol clients hold a third of 1,024 descriptors
OPEN_REQUESTS = 32  # on one connection, by the protocol
USUAL_CLIENTS = 2
USUAL_INTERVAL = 1 / 23  # seconds between two requests of a usual client
USUAL_ALLOW = 2_000  # milliseconds
SAMPLE_INTERVAL = 0.01  # seconds
SETTLE_TIME = 1.0  # seconds before and after the bad clients of a play
LARGE_KEYS = 1 << 32  # keys from here on have parts of the largest size
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"  # an idempotency key


def request_message(
    tag: int,
    name: int,
    vhost: bytes = b"clip",
    body: bytes = b"",
    allow: int = 2_500,
    key: int = 1,
    **more: Any,
) -> bytes:
    """Return the bytes of one request."""
    fields = {
        "ref": f"{name:016x}",
        "allow": allow,
        "lookup": f"{key:016x}",
        "nth": 0,
        "batch": key % 256,
        "room": 20.0,
        **more,
    }
    return encode(b"EXEC", b"%d" % tag, vhost, encode_fields(fields.items()), body)


def many_short_fields(tag: int, name: int) -> bytes:
    """Return a valid request whose field list is as long as allowed, and made of very short fields."""
    fields = f"ref={name:016x},allow=2500,lookup={name:016x},nth=0,batch=7,room=20.0"
    for first, second in itertools.product("ABCDEFGHIJKLMNOPQRSTUVWXYZ", repeat=2):
        longer = f"{fields},{first}{second}="
        if len(longer) > MAX_FIELDS_SIZE:
            break
        fields = longer
    return encode(b"EXEC", b"%d" % tag, b"clip", fields.encode(), b"")


def anonymous_memory(pid: int) -> int:
    """Return the anonymous pages of a process, in bytes; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/status").read_text().split("RssAnon:")[1].split()[0]) * 1024
    except (OSError, IndexError):
        return 0


class Memory:
    """Watches the anonymous memory of a process."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.peak = self.first = self.now()
        self.done = threading.Event()
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def now(self) -> int:
        """Return the anonymous pages now, in bytes; 0 once the process has ended."""
        return anonymous_memory(self.pid)

    def _watch(self) -> None:
        while not self.done.wait(SAMPLE_INTERVAL):
            self.peak = max(self.peak, self.now())

    def stop(self) -> None:
        """Stop watching."""
        self.done.set()
        self.thread.join()


@dataclass
class Answers:
    """What usual clients got."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    late: int = 0  # answered after the client's time
    slowest_ms: float = 0.0
    lags_ms: float = 0.0  # the most by which the clients' own process was late

    def add(self, word: bytes, seconds: float) -> None:
        """Add an answer."""
        self.served += word == b"200"
        self.refused += word == b"503"
        self.failed += word not in (b"200", b"503")
        self.late += seconds * 1000 > USUAL_ALLOW
        self.slowest_ms = max(self.slowest_ms, round(seconds * 1000, 1))


class UsualClient:
    """A client that asks at a steady pace on one connection."""

    def __init__(self, port: int, seconds: float, seed: int) -> None:
        self.rng, self.seconds, self.answers = random.Random(seed), seconds, Answers()
        self.sent: dict[bytes, float] = {}
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = threading.Thread(target=self._read, daemon=True)

    def run(self) -> None:
        """Ask until the time is over, then wait for the last answers."""
        self.reader.start()
        begin = time.monotonic()
        for tag in itertools.count(1):
            due = begin + tag * USUAL_INTERVAL
            time.sleep(max(0.0, due - time.monotonic()))
            lag = (time.monotonic() - due) * 1000
            self.answers.lags_ms = max(self.answers.lags_ms, round(lag, 1))
            if time.monotonic() > begin + self.seconds:
                break
            self.sent[b"%d" % tag] = time.monotonic()
            self.answers.asked += 1
            name, key = self.rng.getrandbits(64), 1 + tag % 40
            with contextlib.suppress(OSError):
                self.sock.sendall(request_message(tag, name, allow=USUAL_ALLOW, key=key))
        end = time.monotonic() + 4.0
        while self.sent and time.monotonic() < end:
            time.sleep(0.01)
        self.answers.unanswered = len(self.sent)

    def _read(self) -> None:
        buffer = MessageBuffer()
        with contextlib.suppress(OSError):
            while buffer.read_from(self.sock):
                while items := buffer.next_message():
                    sent = self.sent.pop(items[0], None)
                    if sent is not None:
                        self.answers.add(items[1], time.monotonic() - sent)


def run_usual_clients(port: int, seconds: float) -> None:
    """Run the usual clients, and print what they got as JSON."""
    clients = [UsualClient(port, seconds, seed) for seed in range(USUAL_CLIENTS)]
    threads = [threading.Thread(target=client.run) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    total = Answers()
    for one in (client.answers for client in clients):
        for name, value in asdict(one).items():
            is_most = name in ("slowest_ms", "lags_ms")
            setattr(
                total, name, max(getattr(total, name), value) if is_most else getattr(total, name) + value
            )
    print(json.dumps(asdict(total)))


class Crowd:
    """Connections of bad clients, driven by one thread: what they send is given by a generator each."""

    def __init__(self, port: int, many: int, reads: bool = True, receive_buffer: int = 0) -> None:
        self.reads, self.port = reads, port
        self.selector = selectors.DefaultSelector()
        self.socks: list[socket.socket] = []
        self.received = 0
        for _ in range(many):
            sock = socket.socket()
            if receive_buffer:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            sock.connect(("127.0.0.1", port))
            sock.setblocking(False)
            self.socks.append(sock)

    def send(self, data: Callable[[int], Iterator[bytes]], seconds: float) -> None:
        """Send on each connection what its generator yields, one piece after the other, for some seconds. An
        empty piece waits for a moment."""
        sources = {sock: data(number) for number, sock in enumerate(self.socks)}
        pending = dict.fromkeys(self.socks, b"")
        end = time.monotonic() + seconds
        while time.monotonic() < end and sources:
            sent = False
            for sock in list(sources):
                pending[sock] = pending[sock] or next(sources[sock], None)
                if pending[sock] is None:
                    del sources[sock]
                    continue
                sent = self._send_some(sock, pending, sources) or sent
            self._read_all()
            if not sent:
                time.sleep(0.002)
        while time.monotonic() < end:
            self._read_all()
            time.sleep(0.005)

    @staticmethod
    def _send_some(sock: socket.socket, pending: dict[Any, Any], sources: dict[Any, Any]) -> bool:
        if not pending[sock]:
            return False
        try:
            count = sock.send(pending[sock])
        except BlockingIOError:
            return False
        except OSError:
            del sources[sock]
            return False
        pending[sock] = pending[sock][count:]
        return count > 0

    def _read_all(self) -> None:
        if not self.reads:
            return
        for sock in self.socks:
            with contextlib.suppress(OSError):
                while data := sock.recv(1 << 16):
                    self.received += len(data)

    def close(self) -> None:
        """Close all connections."""
        for sock in self.socks:
            sock.close()


# --- plays: each gets the port and returns once its bad clients are done ---


def play_none(_port: int) -> None:
    """Do nothing beside the usual clients."""
    time.sleep(4.0)


def play_silent(port: int) -> None:
    """Connect and say nothing."""
    crowd = Crowd(port, CROWD)
    time.sleep(1.5)
    crowd.close()


def play_sound(port: int) -> None:
    """Two sound reads a second on each of many connections."""

    def reads(number: int) -> Iterator[bytes]:
        begin = time.monotonic() + number / CROWD / 2
        for tag in itertools.count(1):
            while time.monotonic() < begin + tag / 2:
                yield b""
            yield request_message(tag, number << 32 | tag, key=1 + number % 40)

    crowd = Crowd(port, CROWD)
    crowd.send(reads, 6.0)
    crowd.close()


def play_half(port: int) -> None:
    """Send most of a large write and stop."""
    crowd = Crowd(port, CROWD)
    message = request_message(1, 1, b"pay", bytes(MAX_WRITE_SIZE), replay=KEY)
    crowd.send(lambda _number: iter([message[:47_000]]), 5.0)
    crowd.close()


def play_slow_writes(port: int) -> None:
    """Send large writes over 2.5 s each, again and again."""

    def writes(number: int) -> Iterator[bytes]:
        for tag in range(1, 4):
            message = request_message(tag, number << 32 | tag, b"pay", bytes(MAX_WRITE_SIZE), replay=KEY)
            begin, size = time.monotonic(), len(message) // 10 + 1
            for step in range(10):
                while time.monotonic() < begin + step * 0.25:
                    yield b""
                yield message[step * size : (step + 1) * size]

    crowd = Crowd(port, CROWD)
    crowd.send(writes, 8.0)
    crowd.close()


def play_fields(port: int) -> None:
    """Keep as many requests open as allowed, each with very many short fields."""

    def requests(number: int) -> Iterator[bytes]:
        for tag in itertools.count(1):
            yield many_short_fields(tag, (LARGE_KEYS >> 1) + (number << 20 | tag))
            if tag % OPEN_REQUESTS == 0:
                end = time.monotonic() + 0.5
                while time.monotonic() < end:
                    yield b""

    crowd = Crowd(port, CROWD)
    crowd.send(requests, 6.0)
    crowd.close()


def play_unread(port: int) -> None:
    """Ask for many large parts and read nothing."""

    def requests(number: int) -> Iterator[bytes]:
        for tag in range(1, OPEN_REQUESTS + 1):
            yield request_message(tag, number << 20 | tag, key=LARGE_KEYS + tag, room=400.0)

    crowd = Crowd(port, 150, reads=False, receive_buffer=4096)
    crowd.send(requests, 6.0)
    crowd.close()


def _flood(port: int, message: Callable[[int], bytes], many: int = 1, reads: bool = True) -> None:
    def flood(number: int) -> Iterator[bytes]:
        for batch in itertools.count():
            first = batch * 64 + 1
            yield b"".join(message(number << 32 | tag) for tag in range(first, first + 64))

    command = Crowd(port, many, reads)
    command.send(flood, 6.0)
    command.close()


def _tag(number: int) -> int:
    return number & 0xFFFFFFFF


FLOODS: dict[str, Callable[[int], bytes]] = {
    "alive": lambda n: encode(b"ALIVE", b"%d" % _tag(n), b""),
    "forget": lambda n: encode(b"FORGET", b"%d" % _tag(n)),
    "withdrawn": lambda n: (
        request_message(_tag(n), n, key=LARGE_KEYS >> 1 | n) + encode(b"FORGET", b"%d" % _tag(n))
    ),
    "new_names": lambda n: request_message(_tag(n), n, key=LARGE_KEYS >> 1 | n),
    "same_name": lambda n: request_message(_tag(n), 7),
    "unusable": lambda n: request_message(_tag(n), n) + encode(b"NOPE", b"%d" % _tag(n)),
}


def _make_flood(name: str, many: int, reads: bool) -> Callable[[int], None]:
    return lambda port: _flood(port, FLOODS[name], many, reads)


PLAYS: dict[str, Callable[[int], None]] = {
    "none": play_none,
    "silent": play_silent,
    "sound": play_sound,
    "half": play_half,
    "slow_writes": play_slow_writes,
    "fields": play_fields,
    "unread": play_unread,
    **{f"flood_{name}": _make_flood(name, 1, True) for name in FLOODS},
    **{f"floods_{name}": _make_flood(name, 40, True) for name in FLOODS},
    **{f"unread_{name}": _make_flood(name, 100, False) for name in FLOODS},
}


def answers_by_size(stand: Stand, sock: socket.socket, items: list[bytes]) -> None:
    """The handler of a cache whose objects from `LARGE_KEYS` on have parts of the largest size."""
    if items[0] != b"do":
        serves()(stand, sock, items)
        return
    thing = int(dict(pair.split(b"=") for pair in items[2].split(b","))[b"thing"], 16)
    size = MAX_PART_SIZE if thing >= LARGE_KEYS else 400

    def answer() -> None:
        with contextlib.suppress(OSError), stand.locks.setdefault(sock, threading.Lock()):
            sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", bytes(size)))

    timer = threading.Timer(0.02, answer)
    timer.daemon = True
    timer.start()


class PressureWorld(World):
    """A world whose gateway is started by the `run` line of the deploy file."""

    def start(self) -> None:
        for stand in self.caches:
            stand.locks = {}
        self.path.write_text(json.dumps(self.config))
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        line = line.replace(".venv/bin/python", shlex.quote(sys.executable))
        sockets = self.config["limits"]["sockets"]
        self.log_path = self.path.with_name("log")
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"ulimit -n {sockets}; {line}"],
                cwd=ROOT,
                env={**os.environ, "EDGE_CONFIG": str(self.path)},
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        end = time.monotonic() + 30
        while "change log: " not in self.log_path.read_text():
            assert time.monotonic() < end and self.process.poll() is None, self.log_path.read_text()
            time.sleep(0.02)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


@dataclass
class Result:
    """What one play showed."""

    play: str
    memory_mb: int
    first_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    ended: bool = False  # whether the process ended by itself
    cpu_seconds: float = 0.0
    usual: dict[str, Any] = field(default_factory=dict)
    counters: list[str] = field(default_factory=list)


def _mb(size: int) -> float:
    return round(size / (1 << 20), 1)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_play(names: list[str], memory_mb: int, sockets: int = 1024) -> Result:
    """Run plays one after the other on one gateway, beside usual clients; return what was seen."""
    with tempfile.TemporaryDirectory() as folder:
        world = PressureWorld(Path(folder), [answers_by_size] * 2, sockets=sockets, memory_mb=memory_mb)
        try:
            return _measure(world, names, memory_mb)
        finally:
            world.close()


def _measure(world: PressureWorld, names: list[str], memory_mb: int) -> Result:
    memory, pid = Memory(world.process.pid), world.process.pid
    result = Result("+".join(names), memory_mb, first_mb=_mb(memory.first))
    usual = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "rigs.pressure",
            "--usual",
            str(world.port),
            "--seconds",
            str(8.0 * len(names) + 2),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    time.sleep(SETTLE_TIME)
    for name in names:
        PLAYS[name](world.port)
        time.sleep(SETTLE_TIME)
    result.usual = json.loads(usual.communicate()[0] or "{}")
    result.ended = world.process.poll() is not None
    memory.stop()
    result.peak_mb, result.after_mb = _mb(memory.peak), _mb(memory.now())
    if not result.ended:
        result.cpu_seconds = round(cpu_seconds(pid), 2)
        world.process.send_signal(signal.SIGUSR1)
        time.sleep(0.3)
    result.counters = world.log_path.read_text().splitlines()
    return result


def main() -> None:
    """Run the plays that are named, each on a gateway of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plays", nargs="*", default=[])
    parser.add_argument("--memory", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--log", action="store_true", help="print the gateway's log as well")
    parser.add_argument("--usual", type=int, help="run the usual clients alone, against this port")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    if options.usual:
        run_usual_clients(options.usual, options.seconds)
        return
    for name in options.plays or PLAYS:
        result = run_play(name.split("+"), options.memory, options.sockets)
        if options.json:
            print(json.dumps(asdict(result)), flush=True)
            continue
        print(
            f"{name}: {result.first_mb} -> {result.peak_mb} MB of {result.memory_mb},"
            f" {result.after_mb} after, cpu {result.cpu_seconds}; {result.usual}",
            flush=True,
        )
        if options.log:
            print("\n".join(result.counters), flush=True)


if __name__ == "__main__":
    main()
