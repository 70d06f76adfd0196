"""The supervisor: one foreground process that holds the listener while the workers under it change.

Carries out what `watch.Watch` decides. It must never accept a connection, never read a worker's traffic,
and hold nothing that a worker needs but the listening socket.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import select
import signal
import socket
import subprocess
import sys
import time

from loguru import logger

from lilacloft.handover.process_arguments import command
from lilacloft.handover.watchdog import Watch

SUBREAPER = 36  # prctl(2): workers started by workers come to us when theirs ends
SIGNALS = {signal.SIGTERM: "TERM", signal.SIGHUP: "HUP", signal.SIGUSR1: "USR1", signal.SIGINT: "TERM"}
NAMES = {"TERM": signal.SIGTERM, "HUP": signal.SIGHUP, "USR1": signal.SIGUSR1}


class Supervisor:
    """The Hands of one Watch."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(socket.SOMAXCONN)  # those who come between two workers wait
        self.status, self.tells = os.pipe()
        self.woken, wakes = os.pipe()
        os.set_blocking(self.status, False)
        os.set_blocking(self.woken, False)
        os.set_blocking(wakes, False)
        signal.set_wakeup_fd(wakes, warn_on_full_buffer=False)
        for number in (*SIGNALS, signal.SIGCHLD):
            signal.signal(number, lambda *_: None)  # heard of by the wake-up descriptor
        if ctypes.CDLL(None, use_errno=True).prctl(SUBREAPER, 1, 0, 0, 0):
            raise OSError(ctypes.get_errno(), "cannot become the parent of its workers' workers")
        words = command(sys.orig_argv)
        self.words = [word for word in words if word != "--supervised"]
        self.code: int | None = None
        self.held = b""
        self.workers: list[subprocess.Popen[bytes]] = []
        self.unserved = time.monotonic()  # since when nobody lets clients in, where nobody does
        self.watch = Watch(self)

    def run(self) -> int:
        """Until the gateway has ended for good; returns the code."""
        self.watch.begin()
        while self.code is None:
            wait = self.watch.wait()
            select.select([self.status, self.woken], [], [], min(wait, 3600.0))
            signals = b""
            with contextlib.suppress(BlockingIOError):
                signals = os.read(self.woken, 4096)
            self._says()  # before who has ended: who lets go ends after its successor has told of itself
            for number in signals:
                if number in SIGNALS:
                    self.watch.asked(SIGNALS[signal.Signals(number)])
            self._reap()
            self.watch.tick()
        return self.code

    def _says(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self.held += os.read(self.status, 4096)
        *lines, self.held = self.held.split(b"\n")
        for line in lines:
            word, _, pid = line.partition(b" ")
            if word == b"gateway" and pid.isdigit():
                self.watch.says(int(pid))

    def _reap(self) -> None:
        while self.code is None:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return
            if not pid:
                return
            self._says()
            if pid == self.watch.gateway:
                self.unserved = time.monotonic()
            self.watch.ended(pid, os.waitstatus_to_exitcode(status))

    # --- Hands ---

    def now(self) -> float:
        return time.monotonic()

    def start(self) -> int:
        words = [*self.words, "--status", str(self.tells), "--listener", str(self.sock.fileno())]
        words += ["--unserved-since", f"{self.unserved:.4f}"]
        try:
            worker = subprocess.Popen(
                words, stdin=subprocess.DEVNULL, pass_fds=(self.tells, self.sock.fileno())
            )
        except OSError as wrong:
            logger.error("supervisor: {}", wrong)
            return 0
        self.workers.append(worker)  # kept, as the library would wait for one that is let go of
        return worker.pid

    def signal(self, pid: int, name: str) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, NAMES[name])

    def leave(self, code: int) -> None:
        self.code = code

    def log(self, text: str) -> None:
        logger.info("supervisor: {}", text)
