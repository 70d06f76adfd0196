"""Fault injection for the system calls of a gateway: sockets, polls and threads fail as Linux documents.

A `Failures` decides which call fails with which error, and how often. `inject_failures` makes the
connections, the listening socket, polls and threads of this process consult it before each call. The
failures are seeded, so that a run can be repeated as far as threads allow; reads and writes may be short as
well.
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

# transient errors by call, from the manual pages
TRANSIENT_ERRORS: Mapping[str, tuple[int, ...]] = {
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
# errors by which a connection shows that its network path has failed
PATH_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


class Failures:
    """Decides which calls fail. Any thread may use it."""

    def __init__(self, rates: Mapping[str, float] | None = None, seed: int = 0, short: float = 0.0) -> None:
        """`rates`: fraction of the calls that fail, by call; `short`: fraction of reads and writes that are
        short."""
        self.rates, self.short = dict(rates or {}), short
        self.chance, self.lock = random.Random(seed), threading.Lock()
        self.due: dict[str, deque[int]] = {}  # errors requested by a test, by call
        self.seen: Counter[str] = Counter()

    def next(self, call: str, *errors: int) -> None:
        """Let the next calls of a kind fail with these errors."""
        self.due.setdefault(call, deque()).extend(errors)

    def before(self, call: str) -> None:
        """Called before each system call; raises the OSError with which it fails."""
        with self.lock:
            error = self._next_error(call)
            self.seen[call] += error is not None
        if error is not None:
            raise OSError(error, f"injected failure of {call}")

    def _next_error(self, call: str) -> int | None:
        if self.due.get(call):
            return self.due[call].popleft()
        if self.chance.random() < self.rates.get(call, 0.0):
            return self.chance.choice(TRANSIENT_ERRORS[call])
        return None

    def size(self, most: int) -> int:
        """The number of bytes that a read or write of `most` bytes processes."""
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

    def setsockopt(self, *args: Any) -> None:
        self._failures.before("setsockopt")
        self._sock.setsockopt(*args)

    def accept(self) -> tuple[socket.socket, Any]:
        self._failures.before("accept")
        return self._sock.accept()

    def close(self) -> None:
        """Close the descriptor even if the call then fails, as on Linux."""
        self._sock.close()
        self._failures.before("close")


class FailingPoll:
    """A poll object whose calls may fail."""

    def __init__(self, failures: Failures) -> None:
        self._poll, self._failures = select.poll(), failures

    def register(self, *args: Any) -> None:
        self._poll.register(*args)

    def poll(self, *args: Any) -> list[tuple[int, int]]:
        self._failures.before("poll")
        return self._poll.poll(*args)


def _delegating(module: Any, **changed: Any) -> SimpleNamespace:
    """A copy of the namespace of a module with some functions replaced."""
    return SimpleNamespace(**{**vars(module), **changed})


@contextlib.contextmanager
def inject_failures(failures: Failures) -> Iterator[Failures]:
    """Let the connections that are created from now on, and the related calls, consult `failures` before each
    call."""
    connection_init, downstream_init = connection.Connection.__init__, downstream.Downstream.__init__
    polls = _delegating(select, poll=lambda: FailingPoll(failures))

    def init_connection(self: connection.Connection, *args: Any, **more: Any) -> None:
        if more.get("sock") is None and "target" in more:
            failures.before("socket")
        connection_init(self, *args, **more)
        self.sock = FailingSocket(self.sock, failures)  # type: ignore[assignment]

    def init_downstream(self: downstream.Downstream, *args: Any, **more: Any) -> None:
        downstream_init(self, *args, **more)
        self.sock = FailingSocket(self.sock, failures)  # type: ignore[assignment]

    def start_thread(*args: Any) -> int:
        writes = args[0].__name__ == connection.Connection._write.__name__
        try:
            failures.before("thread that writes" if writes else "thread")
        except OSError as wrong:
            raise RuntimeError("can't start new thread") from wrong
        return _thread.start_new_thread(*args)

    threads = _delegating(_thread, start_new_thread=start_thread)
    modules = tuple(map(vars, (connection, write_backlog, polling, downstream, upstream)))
    before = [
        (names, name, names[name]) for names in modules for name in ("select", "_thread") if name in names
    ]
    connection.Connection.__init__, downstream.Downstream.__init__ = init_connection, init_downstream  # type: ignore[method-assign]
    for names, name, _ in before:
        names[name] = polls if name == "select" else threads
    try:
        yield failures
    finally:
        connection.Connection.__init__, downstream.Downstream.__init__ = connection_init, downstream_init  # type: ignore[method-assign]
        for names, name, original in before:
            names[name] = original
