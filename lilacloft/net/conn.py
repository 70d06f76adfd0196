"""Owns one connection each: its socket, its single buffer, its threads, its state, the one way it ended in.

A connection reads in a thread of its own and hands whole messages on; it sends at once what the socket takes
and leaves the rest to a writing thread that lives only as long. It must never call the module, never block a
sender, never end more than once, and never know what a message means.
"""

from __future__ import annotations

import _thread
import contextlib
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from loguru import logger

from lilacloft.net import socket_errors
from lilacloft.net.resp import (
    BACKEND_BUFFER,
    BACKEND_MESSAGE_SIZES,
    MAX_PART_SIZE,
    GarbledError,
    MessageBuffer,
)
from lilacloft.net.tcp_info import bytes_received, since_last_data

CONNECT_AGAIN = 0.05  # seconds in which a connect that fails on this machine is tried again
OPTION_TRIES = 3  # for a socket's options
PARTING = 0.5  # seconds in which what still comes after our close is passed over, so that it is no reset
PASSED_OVER = 1 << 20  # and bytes
IN_HAND = 3.0  # seconds in which a reader is given to come to what it has in hand


def polled(
    sock: socket.socket, events: int, milliseconds: int | None = 0, unknown: int = select.POLLIN
) -> int:
    """Which of some events there are on a socket, within a time (None: without limit). `unknown` where the
    system cannot tell just now. ValueError where the socket's descriptor was given back."""
    watch = select.poll()
    watch.register(sock, events)
    try:
        found = watch.poll(milliseconds)
    except OSError as wrong:
        if not socket_errors.is_transient(wrong):
            raise
        return unknown
    return found[0][1] if found else 0


def broken(error: OSError) -> End:
    """The end of a connection on which a call has failed for good."""
    return End.RESET if socket_errors.is_ended_by_peer(error) else End.BROKEN


class State(Enum):
    """Where a connection is in its life; forwards only, by `Conn._to`. docs/gateway.md says who owes what."""

    CONNECTING = auto()  # made of an address, not up yet
    OPEN = auto()  # both sides send
    HALF_CLOSED = auto()  # the other side sends no more, and may read on or have left
    UNREADABLE = auto()  # what came was no message: what was read before is given up
    PARTING = auto()  # it has its end and our half is closed: what still comes is passed over
    CLOSING = auto()  # it has its end, both halves are closed, and threads are still in it
    CLOSED = auto()  # its descriptor is given back


class End(Enum):
    """Every way in which a connection, or a dispatch on one, can end."""

    # a connection's
    REFUSED = auto()  # the door is closed
    UNMADE = auto()  # not connected in time, or no way there
    CLOSED = auto()  # the other side closed it in order
    RESET = auto()  # the other side reset it
    BROKEN = auto()  # the way to the other side broke, which may not know yet
    GARBLED = auto()  # what came in cannot be read
    CHOKED = auto()  # the other side does not read
    SILENT = auto()  # given up by us: nothing came while dispatches ran out of time
    RETIRED = auto()  # given back by us: idle, or its cache has gone
    FAULT = auto()  # an exception of our own
    # a dispatch's alone
    NO_LINE = auto()  # no connection of ours is left for it
    UNWRITTEN = auto()  # its connection ended before its last byte was written
    DATA = auto()
    UNCHANGED = auto()
    ABSENT = auto()
    FULL = auto()
    FAILED = auto()
    MOOT = auto()
    TIME_UP = auto()
    CALLED_OFF = auto()


OUTCOMES = {  # the one place where ends become the module's outcomes
    End.REFUSED: "unreached",
    End.UNMADE: "unreached",
    End.NO_LINE: "unsent",  # our own limit: no cache is to blame
    End.UNWRITTEN: "unsent",
    End.CLOSED: "reset",
    End.RESET: "reset",
    End.BROKEN: "reset",
    End.GARBLED: "spoilt",
    End.CHOKED: "reset",
    End.SILENT: "timeout",
    End.RETIRED: "reset",
    End.FAULT: "reset",
    End.DATA: "done",
    End.UNCHANGED: "done",
    End.ABSENT: "miss",
    End.FULL: "full",
    End.FAILED: "error",
    End.MOOT: "unsent",
    End.TIME_UP: "timeout",
    End.CALLED_OFF: "cancelled",
}


@dataclass(eq=False, slots=True)
class Waiting:
    """A message, or what is left of one, that the socket has not taken yet."""

    place: int  # where it ends in the stream
    rest: memoryview
    begun: bool = False  # has any byte of it gone out?


class Conn:
    """One connection. Made of an accepted socket, or of an address to connect to within a time.

    Where a process may hand its connections to another (`movable`, for all of them), a reader waits without
    taking anything, and reads and passes on only under its gate. Whoever holds gate and lock (`hold`) has the
    connection at rest: what the kernel has of it is unread, and what is here is in `MessageBuffer.unread` and
    the backlog."""

    movable = False

    def __init__(
        self,
        takes: Callable[[Conn, list[bytes]], None],
        gone: Callable[[Conn], None],
        sock: socket.socket | None = None,
        address: tuple[str, int] = ("", 0),
        patience: float = 0.0,
        sizes: tuple[int, ...] = BACKEND_MESSAGE_SIZES,
        small: int = BACKEND_BUFFER,
    ) -> None:
        self.takes, self.gone = takes, gone  # both are called by the reading thread
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.address, self.patience = address, patience
        self.state = State.CONNECTING if sock is None else State.OPEN
        self.buffer = MessageBuffer(sizes, small)
        self.lock = threading.Lock()
        self.backlog: deque[Waiting] = deque()
        self.queued = self.written = 0  # bytes, since the start; what was withdrawn is in both
        self.reached = 0  # the place in the stream up to which all that was not withdrawn has gone out
        self.writing = False  # is there a writing thread?
        self.threads = 1  # how many use the socket: the last one gives it back
        self.drained = threading.Condition(self.lock)
        self.end: End | None = None
        self.ended = 0.0  # when, by the steady clock in seconds
        self.came = self.begun = time.monotonic()  # when it last brought anything; the message in hand began
        self.received = 0  # bytes read so far
        self.passed_on = 0  # of those, the bytes whose messages were passed on, or are held in part
        self.gate = threading.Lock()  # held while the reader reads, and by who wants it to rest

    def _to(self, state: State) -> None:
        """The one place where the state changes; called under the lock. Never backwards."""
        if state.value > self.state.value:
            self.state = state

    # --- rest ---

    def hold(self) -> None:
        """Bring the reader to rest between two messages; `still` does the same for what is sent."""
        self.gate.acquire()

    def still(self) -> None:
        self.lock.acquire()

    def free(self, still: bool = True) -> None:
        """Let it go on."""
        if still:
            self.lock.release()
        self.gate.release()

    def start(self) -> None:
        # not threading.Thread: its start waits until the new thread has run, and so for all others that are
        # ready; under hundreds of new connections a second that wait is most of what accepting one takes
        _thread.start_new_thread(self._run, ())

    # --- sending ---

    def send(self, data: bytes) -> int:
        """Send in order, without ever waiting; returns the place in the stream where it ends."""
        with self.lock:
            self.queued += len(data)
            if self.end is None:
                rest = memoryview(data)
                if self.state is not State.CONNECTING and not self.backlog and not self.writing:
                    rest = self._try(rest, self.queued)
                if rest:
                    self.backlog.append(Waiting(self.queued, rest, begun=len(rest) < len(data)))
                    self._write_on()
            return self.queued

    def _try(self, rest: memoryview, place: int) -> memoryview:
        """Send what the socket takes at once of what ends at a place; returns the rest."""
        try:
            count = self.sock.send(rest, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        except BlockingIOError:
            return rest
        except OSError as wrong:
            if socket_errors.is_transient(wrong):
                return rest
            self._finish(broken(wrong))
            return rest[:0]
        self.written += count
        self.reached = place - len(rest) + count
        return rest[count:]

    def _flush(self) -> None:
        """Send of the backlog what the socket takes at once; called under the lock."""
        while self.backlog and self.end is None:
            waiting = self.backlog.popleft()
            if not waiting.begun and not self._begin(waiting):
                continue
            size = len(waiting.rest)
            waiting.rest = self._try(waiting.rest, waiting.place)
            if waiting.rest:
                waiting.begun = waiting.begun or len(waiting.rest) < size
                self.backlog.appendleft(waiting)
                return

    def _begin(self, waiting: Waiting) -> bool:
        """A message is about to go out that had to wait; False where it may not any more. What is left out of
        it counts as written, so that the places of all that follows stay as they are."""
        fresh = self.refreshed(waiting.place, waiting.rest)
        self.written += len(waiting.rest) - len(fresh)
        waiting.rest = fresh
        return bool(fresh)

    def refreshed(self, place: int, message: memoryview) -> memoryview:
        """What is to go out in place of a message that had to wait, and that ends at a place in the stream:
        never more bytes than it has, and none where it is not to be begun any more. Asked under the lock, by
        whichever thread is about to send."""
        return message

    def _write_on(self) -> None:
        if self.state is not State.CONNECTING and self.backlog and not self.writing and self.end is None:
            self.writing = True
            self.threads += 1
            try:
                _thread.start_new_thread(self._write, ())
            except RuntimeError as wrong:  # no thread to be had: it passes, and `write_on` asks again
                logger.error("no writing thread: {}", wrong)
                self.writing = False
                self.threads -= 1
                self.write_soon()

    def write_on(self) -> None:
        """See to it that what waits is being written: there may have been no thread for it."""
        with self.lock:
            self._write_on()

    def write_soon(self) -> None:
        """No thread was to be had for what waits: see to it that `write_on` is called in a moment. Called
        under the lock."""

    def _write(self) -> None:
        """The writing thread: lives until the backlog is gone."""
        while True:
            with self.lock:
                if not self.backlog or self.end is not None:
                    self.writing = False
                    self.drained.notify_all()
                    self._leave()
                    return
            try:
                # outside the lock; what is sent is sent under it, so that it can be held still
                polled(self.sock, select.POLLOUT, None)
                with self.lock:
                    before = self.written
                    self._flush()
                    stuck = self.written == before
                if stuck:  # the socket would take it, and the system lacks something just now
                    time.sleep(socket_errors.RETRY_INTERVAL)
            except Exception:
                logger.exception("a connection's writing thread failed")
                self.close(End.FAULT)

    def withdraw(self, place: int) -> bool:
        """Take back the message that ends at a place, if it has not begun to go out; False where it has."""
        with self.lock:
            for waiting in self.backlog:
                if waiting.place == place and not waiting.begun:
                    self.backlog.remove(waiting)
                    self.written += len(waiting.rest)  # places of what follows stay as they are
                    return True
        return False

    def went(self, place: int) -> bool:
        """Has all gone out up to a place in the stream?"""
        return self.reached >= place

    def waits(self) -> int:
        """Bytes that have not gone out."""
        return self.queued - self.written

    def held_back(self, most: int, span: float) -> bool:
        """Wait until no more than so many bytes wait to go out, for some seconds at most; tells whether more
        still do."""
        with self.lock:
            if self.waits() > most and self.end is None:
                self.drained.wait(span)
            return self.waits() > most and self.end is None

    # --- ending ---

    def close(self, end: End) -> None:
        """End it, in this way unless it has ended already."""
        with self.lock:
            self._finish(end)

    def part(self, end: End) -> None:
        """End it, though what was sent last may be on its way yet: our half is closed, and what comes across
        is passed over until the other side has closed as well. A close over unread bytes would be a reset,
        which takes what has not arrived along. The reading thread does the rest, and `cut` where it must."""
        with self.lock:
            self._finish(end, socket.SHUT_WR)

    def cut(self) -> None:
        """The other side was left time enough to close its half."""
        with self.lock:
            if self.state is State.PARTING:
                self._to(State.CLOSING)
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def _finish(self, end: End, how: int = socket.SHUT_RDWR) -> None:
        if self.end is None:
            self.end, self.ended = end, time.monotonic()
            self._to(State.PARTING if how == socket.SHUT_WR else State.CLOSING)
            self.backlog.clear()
            self.drained.notify_all()
            with contextlib.suppress(OSError):
                self.sock.shutdown(how)  # both wakes both threads

    def _leave(self) -> None:
        """One thread is done with the socket; the last one gives it back, as a thread in mid-call must not
        meet another's descriptor. Called under the lock."""
        self.threads -= 1
        if not self.threads:
            self._to(State.CLOSED)
            with contextlib.suppress(OSError):  # the descriptor is the system's again also where it fails
                self.sock.close()
            self.released()

    def released(self) -> None:
        """Its descriptor is given back. Called under the lock."""

    def _pass_over(self) -> None:
        """After `part`: read what still comes, and take nothing of it."""
        until, left = time.monotonic() + PARTING, PASSED_OVER
        with contextlib.suppress(OSError):
            while left > 0 and (span := until - time.monotonic()) > 0:
                self.sock.settimeout(span)
                data = self.sock.recv(1 << 16)
                if not data:
                    break
                left -= len(data)

    def unread(self) -> bool:
        """Does anything lie there, bytes or an end, that was not read yet, or that the reader has in hand?
        Called under the lock."""
        if self.state is State.CLOSED:
            return False
        return self.received != self.passed_on or self._given() or bool(polled(self.sock, select.POLLIN))

    def _given(self) -> bool:
        """Has the kernel given the reader bytes, and it got no processor since? Only the kernel's own count
        tells; not for ever, as it counts urgent data too, which nobody is given."""
        return bytes_received(self.sock) > self.passed_on and since_last_data(self.sock) < IN_HAND

    # --- the reading thread ---

    def rest(self) -> None:
        """Called after each read, outside the gate: the place to wait for the other side to read as well."""

    def linger(self, end: End) -> None:
        """Nothing more can be read: wait as long as what was read before is still owed something."""

    def farewell(self, end: End) -> None:
        """Nothing is owed any more."""
        self.close(end)

    def _connect(self) -> None:
        self._plain()  # before anything is sent: a small write must never be held back
        try:
            self._come_up()
        except ConnectionRefusedError:
            return self.close(End.REFUSED)
        except OSError as wrong:
            return self.close(End.NO_LINE if socket_errors.is_local_fault(wrong) else End.UNMADE)
        self.sock.settimeout(None)
        with self.lock:
            self._to(State.OPEN)
            self._flush()
            self._write_on()
        return None

    def _come_up(self) -> None:
        """Connect within the time that there is; what fails for a moment on this machine is tried again."""
        begun = time.monotonic()
        while True:
            self.sock.settimeout(max(socket_errors.RETRY_INTERVAL, begun + self.patience - time.monotonic()))
            try:
                return self.sock.connect(self.address)
            except OSError as wrong:
                if time.monotonic() >= begun + CONNECT_AGAIN or not socket_errors.is_transient_connect(wrong):
                    raise
            time.sleep(socket_errors.RETRY_INTERVAL)

    def _plain(self) -> None:
        for _ in range(OPTION_TRIES):  # a socket that has broken says so when it is read
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_PART_SIZE)
                return

    def _run(self) -> None:
        """The reading thread: it leaves the connection in order, whatever fails."""
        end = End.FAULT
        try:
            if self.state is State.CONNECTING:
                self._connect()
            elif self.end is None:
                self._plain()
            end = self._read_all()
            if self.end is None and end in (End.CLOSED, End.GARBLED):
                with self.lock:
                    self._to(State.HALF_CLOSED)
                self.linger(end)
        except Exception:
            logger.exception("a connection's thread failed")
        try:
            self.farewell(end)
            if self.state is State.PARTING:
                self._pass_over()
        finally:
            with self.lock:
                self._leave()
            self.gone(self)

    def _read_all(self) -> End:
        """Read and pass on until nothing more can be read; tells why."""
        try:
            while self.end is None:
                if self.movable and not self._waited():
                    continue
                with self.gate:
                    if not self._read_once():
                        return End.CLOSED
                self.rest()
        except GarbledError:
            return End.GARBLED
        except OSError as wrong:
            return broken(wrong)
        return End.FAULT  # it has its end already

    def _waited(self) -> bool:
        """Wait until there is something to read, and take nothing of it; False where that failed for a
        moment."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as wrong:
            if not socket_errors.is_transient(wrong):
                raise
            time.sleep(socket_errors.RETRY_INTERVAL)
            return False
        return True

    def passes_on(self) -> None:
        """The message in hand is passed on; what lies behind it is not."""
        self.passed_on = self.received - self.buffer.unread_size()

    def _read_once(self) -> bool:
        """Read once, and pass on each message that is whole then. False at the end of the stream."""
        fresh = not self.buffer.has_partial()
        try:
            count = self.buffer.read_from(self.sock)
        except OSError as wrong:
            if self.end is not None or not socket_errors.is_transient(wrong):
                raise
            time.sleep(socket_errors.RETRY_INTERVAL)
            return True
        if not count:
            return False
        self.received += count
        self.came = time.monotonic()
        if self.end is not None:
            return True  # it crossed our close
        try:
            while (items := self.buffer.next_message()) is not None:
                fresh = True
                self.takes(self, items)
        except GarbledError:
            with self.lock:
                self._to(State.UNREADABLE)
            raise
        if fresh:
            self.begun = self.came
        self.passed_on = self.received
        return True
