"""Clients of a rig: an open-loop load at a steady rate, on long-lived and on short-lived connections.

Each client follows the protocol: it resends once a request that was sent at most 50 ms before its
connection was closed, sends FORGET for a request that it no longer waits for, and writes every request and
answer to the account. It retries in no other case.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lilacloft.net.resp import encode, encode_fields
from rigs.kernel_times import TimestampedBuffer, closed_by_peer_at, write_timed
from rigs.scene import EFFECTS, Scene, whole

CROSSING_SECONDS = 0.05  # seconds; a request that was sent less than this before a close may be resent


@dataclass
class SentRequest:
    """One request with what its client knows about it."""

    ref: str
    vhost: str
    key: str
    part: int
    sent: float  # Unix time; the last byte was sent then or later
    message: bytes
    again: bool = False
    counted: bool = False
    allow: float = 2.5  # client timeout in seconds
    whole: bool = True  # whether the last byte has been sent
    crossed: float = 0.0  # seconds from sending to the close of the connection that caused the resend


class Link:
    """A client connection; a thread reads its answers."""

    def __init__(self, load: Load, port: int, alone: bool) -> None:
        self.load, self.port, self.alone = load, port, alone
        self.sock = socket.create_connection(("127.0.0.1", port), 3.0)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = TimestampedBuffer(self.sock)
        self.lock = threading.Lock()
        self.open: dict[str, SentRequest] = {}
        self.forgotten: set[str] = set()
        self.tag, self.over, self.used = 0, False, time.monotonic()
        threading.Thread(target=self._read_answers, daemon=True).start()

    def send(self, asked: SentRequest, pause: float = 0.0) -> None:
        """Send a request; with a pause, in two halves."""
        with self.lock:
            if self.over:  # it has just ended, and no thread would report the loss of this request
                raise ConnectionResetError("the connection has ended")
            self.tag += 1
            tag = b"%d" % self.tag
            data = asked.message.replace(b"TAG", tag, 1).replace(b"$3\r\n", b"$%d\r\n" % len(tag), 1)
            self.open[tag.decode()] = asked
            if pause:
                half = len(data) // 2
                write_timed(self.sock, data[:half])
                asked.sent, asked.whole = time.time() + pause, False
                self.load.timers.after(pause, lambda: self._send_rest(asked, data[half:]))
            else:
                self._send_end(asked, data)
            self.used = time.monotonic()

    def _send_rest(self, asked: SentRequest, data: bytes) -> None:
        """Send the second half, which completes the request, unless the connection has ended."""
        with self.lock:
            if not self.over:
                asked.sent, asked.whole = time.time(), True
                self.load.write_request(asked, self.port)
                self._send_end(asked, data)

    def _send_end(self, asked: SentRequest, data: bytes) -> None:
        """Write the rest of a request. On a busy machine this may happen late; the time of the request is
        taken here."""
        asked.sent = write_timed(self.sock, data)
        self.load.account.write("clients", "written", at=asked.sent, ref=asked.ref, crossed=asked.crossed)

    def forget(self, ref: str) -> None:
        """Cancel a request and stop waiting for it."""
        with self.lock:
            for tag, asked in list(self.open.items()):
                if asked.ref == ref:
                    del self.open[tag]
                    self.forgotten.add(tag)
                    written_at = write_timed(self.sock, encode(b"FORGET", tag.encode()))
                    self.load.account.write("clients", "left", at=written_at, ref=ref)
                    self.load.count("left")

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _read_answers(self) -> None:
        with contextlib.suppress(OSError):
            while self.buffer.read_from(self.sock):
                while (items := self.buffer.next_message()) is not None:
                    self._handle_answer(items)
        ended = closed_by_peer_at(self.sock)
        with self.lock:
            self.over = True
            left, self.open = list(self.open.values()), {}
        self.sock.close()
        for asked in left:
            if not asked.whole:  # no answer is owed to half a request
                self.load.count("unsent")
                continue
            # a client cannot tell a close that crossed its request from a crash: bookings are not resent
            crossed = not asked.again and ended - asked.sent < CROSSING_SECONDS and not self.load.over
            if crossed and (self.load.resends_bookings or EFFECTS[asked.vhost] != "non-replayable"):
                asked.again, asked.crossed = True, max(0.0, ended - asked.sent)
                self.load.again += 1
                self.load.link(asked, fresh=True)
            else:
                self.load.account.write("clients", "lost", at=ended, ref=asked.ref)
                self.load.count("lost")

    def _handle_answer(self, items: list[bytes]) -> None:
        now, tag = time.time(), items[0].decode()
        received_at = self.buffer.received_at
        with self.lock:
            asked = self.open.pop(tag, None)
            done = self.alone and not self.open
        if asked is None:
            if tag in self.forgotten:
                return None  # the answer was sent before the FORGET arrived
            return self.load.account.write("clients", "extra", word=items[1].decode())
        word, data = items[1].decode(), items[3] if len(items) > 3 else b""
        born = whole(data, asked.key, asked.part) if word == "200" else None
        self.load.account.write(
            "clients",
            "answer",
            at=now,
            ref=asked.ref,
            word=word,
            born=born,
            whole=born is not None,
            late=max(0.0, now - received_at),
        )
        self.load.count_answer(asked, word, received_at)
        if done:
            self.close()
        return None


class Load:
    """A load of requests at a given rate on one or several gateways."""

    def __init__(
        self,
        scene: Scene,
        rate: float,
        held: int = 8,
        seed: str = "load",
        objects: int = 300,
        mix: tuple[tuple[str, float], ...] = (("clip", 0.8), ("pay", 0.1), ("book", 0.1)),
    ) -> None:
        self.scene, self.rate, self.held, self.mix, self.objects = scene, rate, held, mix, objects
        self.account, self.timers = scene.account, scene.timers
        self.chance = scene.chance(seed)
        self.links: dict[int, list[Link]] = {gateway.port: [] for gateway in scene.gateways}
        self.weights: list[float] = []  # of the gateways, in the order of `links`; empty: equal
        self.lock = threading.Lock()
        self.counts = dict.fromkeys(("asked", "done", "denied", "aborted", "left", "lost", "unsent"), 0)
        self.times: list[tuple[float, float, str, str]] = []  # time sent, latency, vhost, status
        self.again = 0
        self.over = False
        self.allows: tuple[int, ...] = (2500,)  # client timeouts in milliseconds, one drawn per request
        self.forgets = 0.01  # fraction of the requests that their clients cancel
        self.resends_bookings = (
            False  # resends bookings too, for gateways that remember what they have dispatched
        )
        self.heard: Callable[[str], None] = lambda word: None
        self.number = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self, wait: float = 3.5) -> None:
        """Stop sending, and wait until all requests are answered or the wait is over."""
        self.over = True
        self.thread.join()
        until = time.monotonic() + wait
        while time.monotonic() < until and any(link.open for links in self.links.values() for link in links):
            time.sleep(0.02)

    def count(self, what: str) -> None:
        with self.lock:
            self.counts[what] += 1

    def write_request(self, asked: SentRequest, port: int) -> None:
        """Write a request to the account, dated by its last byte."""
        self.account.write(
            "clients",
            "req",
            at=asked.sent,
            ref=asked.ref,
            vhost=asked.vhost,
            key=asked.key,
            part=asked.part,
            group=7,
            allow=asked.allow,
            kbytes=400.0,
            effect=EFFECTS[asked.vhost],
            gateway=port,
        )

    def count_answer(self, asked: SentRequest, word: str, now: float) -> None:
        kind = {"200": "done", "503": "denied"}.get(word, "aborted")
        with self.lock:
            self.counts[kind] += 1
            self.times.append((asked.sent, now - asked.sent, asked.vhost, word))
        self.heard(word)

    # --- sending ---

    def _run(self) -> None:
        due = time.monotonic()
        while not self.over:
            due += self.chance.expovariate(self.rate)
            left = due - time.monotonic()
            if left > 0:
                time.sleep(left)
            asked = self.make()
            drawn = self.chance.random()
            self.link(
                asked, fresh=drawn < 0.1, pause=0.03 if drawn < 0.02 else 0.0, forget=drawn > 1 - self.forgets
            )

    def make(self) -> SentRequest:
        """Draw a random request."""
        drawn, vhost = self.chance.random(), self.mix[0][0]
        for name, part in self.mix:
            vhost = name
            drawn -= part
            if drawn < 0:
                break
        self.number += 1
        ref = f"{self.chance.getrandbits(64):016x}"
        key = f"{int(self.objects * self.chance.random() ** 3):016x}"
        part = self.chance.randrange(3) if vhost == "clip" else 0
        allow = self.allows[0] if len(self.allows) == 1 else self.chance.choice(self.allows)
        fields: dict[str, Any] = {
            "ref": ref,
            "allow": allow,
            "lookup": key,
            "nth": part,
            "batch": 7,
            "room": 400.0,
        }
        if vhost == "pay":
            fields["replay"] = f"{self.chance.getrandbits(128):032x}"
        load = b"" if vhost == "clip" else b"x" * 99
        data = encode(b"EXEC", b"TAG", vhost.encode(), encode_fields(fields.items()), load)
        return SentRequest(ref, vhost, key, part, 0.0, data, allow=allow / 1000)

    def link(self, asked: SentRequest, fresh: bool = False, pause: float = 0.0, forget: bool = False) -> None:
        """Send a request on a connection to one of the gateways."""
        ports = list(self.links)
        port = self.chance.choices(ports, self.weights)[0] if self.weights else self.chance.choice(ports)
        links = self.links[port]
        links[:] = [link for link in links if not link.over]
        asked.sent = time.time() + pause
        if not asked.again and not asked.counted:
            asked.counted = True
            self.count("asked")
            if not pause:
                self.write_request(asked, port)
        try:
            if fresh or len(links) < self.held:
                link = Link(self, port, alone=fresh)
                links.append(link)
            else:
                link = self.chance.choice([link for link in links if not link.alone] or links)
        except OSError:
            self.count("unsent")  # no gateway accepted the connection: no byte of it was sent
            self.account.write("clients", "left", ref=asked.ref)
            return None
        try:
            link.send(asked, pause)
        except ConnectionResetError:
            return self.link(asked, True, pause, forget)
        if forget:
            self.timers.after(0.02, lambda: link.forget(asked.ref))
        return None
