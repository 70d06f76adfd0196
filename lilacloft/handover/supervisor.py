"""The supervisor: a foreground process that keeps the listening socket open while its workers are replaced.

Carries out the decisions of `watchdog.WorkerWatchdog`. It neither accepts connections nor reads traffic.
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

from lilacloft.handover import process_arguments
from lilacloft.handover.watchdog import WorkerWatchdog
from lilacloft.log import logger

PR_SET_CHILD_SUBREAPER = (
    36  # prctl(2): orphaned processes that workers started become children of the supervisor
)
SIGNAL_NAMES = {
    signal.SIGTERM: "TERM",
    signal.SIGHUP: "HUP",
    signal.SIGUSR1: "USR1",
    signal.SIGINT: "TERM",
}
SIGNALS = {"TERM": signal.SIGTERM, "HUP": signal.SIGHUP, "USR1": signal.SIGUSR1}
PIPE_READ_BYTES = 4096
MAX_WAIT_SECONDS = 3600.0
STATUS_GATEWAY = b"gateway"  # first word of a worker's line on the status pipe; the second word is its pid


class Supervisor:
    """Runs the workers of one gateway; carries out the actions of a `WorkerWatchdog`."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Bind and listen; raises OSError if the address cannot be bound."""
        self.listener = self._listen(address)
        self.status_reader, self.status_writer = os.pipe()
        self.wakeup_reader, wakeup_writer = os.pipe()
        for descriptor in (self.status_reader, self.wakeup_reader, wakeup_writer):
            os.set_blocking(descriptor, False)
        signal.set_wakeup_fd(wakeup_writer, warn_on_full_buffer=False)
        for number in (*SIGNAL_NAMES, signal.SIGCHLD):
            signal.signal(number, lambda *_: None)  # the signal is read from the wake-up descriptor
        if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0):
            raise OSError(ctypes.get_errno(), "prctl(PR_SET_CHILD_SUBREAPER) failed")
        self.worker_command = [
            argument
            for argument in process_arguments.original_command(sys.orig_argv)
            if argument != process_arguments.SUPERVISED
        ]
        self.exit_code: int | None = None
        self.partial_status = b""
        self.workers: list[subprocess.Popen[bytes]] = []
        self.worker_starts = 0
        self.unserved_since = time.monotonic()  # since when no worker accepts connections, if none does
        self.watchdog = WorkerWatchdog(self)

    @staticmethod
    def _listen(address: tuple[str, int]) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(socket.SOMAXCONN)  # connections that arrive between two workers wait in the backlog
        return listener

    def run(self) -> int:
        """Run until the watchdog decides to exit; returns the exit code."""
        self.watchdog.start_first_worker()
        while self.exit_code is None:
            wait = min(self.watchdog.seconds_until_start(), MAX_WAIT_SECONDS)
            select.select([self.status_reader, self.wakeup_reader], [], [], wait)
            signals = b""
            with contextlib.suppress(BlockingIOError):
                signals = os.read(self.wakeup_reader, PIPE_READ_BYTES)
            self._read_status()  # before exits: a replaced worker exits after its successor has reported
            for number in signals:
                if number in SIGNAL_NAMES:
                    self.watchdog.signal_received(SIGNAL_NAMES[signal.Signals(number)])
            self._reap_workers()
            self.watchdog.start_if_due()
        return self.exit_code

    def _read_status(self) -> None:
        """Read which worker is the gateway."""
        with contextlib.suppress(BlockingIOError):
            self.partial_status += os.read(self.status_reader, PIPE_READ_BYTES)
        *lines, self.partial_status = self.partial_status.split(b"\n")
        for line in lines:
            status, _, pid = line.partition(b" ")
            if status == STATUS_GATEWAY and pid.isdigit():
                self.watchdog.worker_serving(int(pid))

    def _reap_workers(self) -> None:
        while self.exit_code is None:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return
            if not pid:
                return
            self._read_status()
            if pid == self.watchdog.gateway:
                self.unserved_since = time.monotonic()
            self.watchdog.worker_exited(pid, os.waitstatus_to_exitcode(status))

    # --- WatchdogActions ---

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def start_worker(self) -> int:
        """Start a worker; returns its process id, or 0 if it cannot be started."""
        listener = self.listener.fileno()
        self.worker_starts += 1
        environment = {**os.environ, process_arguments.WORKER_START: str(self.worker_starts)}
        command = [
            *self.worker_command,
            *(process_arguments.STATUS, str(self.status_writer)),
            *(process_arguments.LISTENER, str(listener)),
            *(process_arguments.UNSERVED_SINCE, f"{self.unserved_since:.4f}"),
        ]
        try:
            worker = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                pass_fds=(self.status_writer, listener),
                env=environment,
            )
        except OSError as error:
            logger.error("supervisor: {}", error)
            return 0
        # kept: the subprocess module waits for the children of unreferenced Popen objects
        self.workers.append(worker)
        return worker.pid

    def send_signal(self, pid: int, name: str) -> None:
        """Send a signal to a worker, which may have exited."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, SIGNALS[name])

    def exit(self, code: int) -> None:
        """Let `run` return with an exit code."""
        self.exit_code = code

    def log(self, text: str) -> None:
        """Log a decision."""
        logger.info("supervisor: {}", text)
