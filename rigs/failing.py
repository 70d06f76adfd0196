"""System calls that fail as Linux documents, put under a gateway's own code: sockets, polls and threads.

A `Failures` says which call fails with which error, and how often; `put_under` makes the connections, the
listening socket, polls and threads of this process ask it before each call. Seeded, so that a run can be
repeated as far as threads allow; reads and writes may be short as well.
"""

from __future__ import annotations

import _thread
import contextlib
import errno
import random
import select
import socket
import threading
from collections import Counter, deque
from collections.abc import Iterator, Mapping
from types import SimpleNamespace
from typing import Any

from lilacloft.net import connection, downstream, polling, upstream, write_backlog

# errors that pass by themselves, by call, as the manual pages have them
PASSING: Mapping[str, tuple[int, ...]] = {
    "accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO),
    "recv": (errno.ENOMEM, errno.EINTR),
    "send": (errno.ENOBUFS, errno.ENOMEM, errno.EINTR),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    "socket": (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "setsockopt": (errno.ENOBUFS, errno.ENOMEM),
    "poll": (errno.ENOMEM,),
    "close": (errno.EINTR, errno.EIO),
    "thread": (errno.EAGAIN,),
    "thread that writes": (errno.EAGAIN,),
}
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH)  # how a connection may show that its way has broken


class Failures:
    """Which calls fail next. Any thread may ask."""

    def __init__(self, rates: Mapping[str, float] | None = None, seed: int = 0, short: float = 0.0) -> None:
        """`rates`: part of the calls that fail, by call; `short`: part of reads and writes that are short."""
        self.rates, self.short = dict(rates or {}), short
        self.chance, self.lock = random.Random(seed), threading.Lock()
        self.due: dict[str, deque[int]] = {}  # errors that a test asks for, by call
        self.seen: Counter[str] = Counter()

    def next(self, call: str, *errors: int) -> None:
        """The next calls of a kind fail, with these errors."""
        self.due.setdefault(call, deque()).extend(errors)

    def before(self, call: str) -> None:
        """A call is about to be made; raises the OSError with which it fails."""
        with self.lock:
            error = self._drawn(call)
            self.seen[call] += error is not None
        if error is not None:
            raise OSError(error, f"{call} fails on purpose")

    def _drawn(self, call: str) -> int | None:
        if self.due.get(call):
            return self.due[call].popleft()
        if self.chance.random() < self.rates.get(call, 0.0):
            return self.chance.choice(PASSING[call])
        return None

    def size(self, most: int) -> int:
        """Bytes that a read or write of so many takes."""
        with self.lock:
            if most > 1 and self.chance.random() < self.short:
                return self.chance.randrange(1, most)
        return most


class FailingSocket:
    """A socket whose calls may fail, and whose reads and writes may be short."""

    def __init__(self, sock: socket.socket, failures: Failures) -> None:
        self._sock, self._failures = sock, failures

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def recv_into(self, view: memoryview) -> int:
        self._failures.before("recv")
        return self._sock.recv_into(view[: self._failures.size(len(view))])

    def recv(self, size: int, *flags: int) -> bytes:
        self._failures.before("recv")
        return self._sock.recv(size, *flags)

    def send(self, data: memoryview, *flags: int) -> int:
        self._failures.before("send")
        return self._sock.send(data[: self._failures.size(len(data))], *flags)

    def connect(self, address: tuple[str, int]) -> None:
        self._failures.before("connect")
        self._sock.connect(address)

    def setsockopt(self, *told: Any) -> None:
        self._failures.before("setsockopt")
        self._sock.setsockopt(*told)

    def accept(self) -> tuple[socket.socket, Any]:
        self._failures.before("accept")
        return self._sock.accept()

    def close(self) -> None:
        """The descriptor is given back also where the call fails, as on Linux."""
        self._sock.close()
        self._failures.before("close")


class FailingPoll:
    """A poll object whose calls may fail."""

    def __init__(self, failures: Failures) -> None:
        self._poll, self._failures = select.poll(), failures

    def register(self, *told: Any) -> None:
        self._poll.register(*told)

    def poll(self, *told: Any) -> list[tuple[int, int]]:
        self._failures.before("poll")
        return self._poll.poll(*told)


def _delegating(module: Any, **changed: Any) -> SimpleNamespace:
    """A module with some of its functions changed, for those who have it by name."""
    return SimpleNamespace(**{**vars(module), **changed})


@contextlib.contextmanager
def put_under(failures: Failures) -> Iterator[Failures]:
    """Let all connections made from now on, and the calls around them, ask before each call."""
    begun, opened = connection.Connection.__init__, downstream.Downstream.__init__
    polls = _delegating(select, poll=lambda: FailingPoll(failures))

    def begin(self: connection.Connection, *told: Any, **more: Any) -> None:
        if more.get("sock") is None and "target" in more:
            failures.before("socket")
        begun(self, *told, **more)
        self.sock = FailingSocket(self.sock, failures)  # type: ignore[assignment]

    def open_door(self: downstream.Downstream, *told: Any, **more: Any) -> None:
        opened(self, *told, **more)
        self.sock = FailingSocket(self.sock, failures)  # type: ignore[assignment]

    def start_thread(*told: Any) -> int:
        writes = told[0].__name__ == connection.Connection._write.__name__
        try:
            failures.before("thread that writes" if writes else "thread")
        except OSError as wrong:
            raise RuntimeError("can't start new thread") from wrong
        return _thread.start_new_thread(*told)

    threads = _delegating(_thread, start_new_thread=start_thread)
    modules = tuple(map(vars, (connection, write_backlog, polling, downstream, upstream)))
    before = [
        (names, name, names[name]) for names in modules for name in ("select", "_thread") if name in names
    ]
    connection.Connection.__init__, downstream.Downstream.__init__ = begin, open_door  # type: ignore[method-assign]
    for names, name, _ in before:
        names[name] = polls if name == "select" else threads
    try:
        yield failures
    finally:
        connection.Connection.__init__, downstream.Downstream.__init__ = begun, opened  # type: ignore[method-assign]
        for names, name, was in before:
            names[name] = was
