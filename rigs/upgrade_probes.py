"""Measuring tools of the upgrade rigs: an accept probe, a resource sampler, histograms."""

from __future__ import annotations

import os
import shlex
import socket
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from hdrh.histogram import HdrHistogram

from lilacloft.net.resp import encode

PROBE_SECONDS = 0.01  # between two connections of the accept probe
SAMPLE_SECONDS = 0.005  # between two samples of the processes' resources
CONNECT_TIMEOUT = 5.0  # seconds


def histogram(spans: list[float]) -> dict[str, float]:
    """Return the count of durations in seconds, and their percentiles and maximum in milliseconds."""
    recorded = HdrHistogram(1, 60_000_000, 3)
    for span in spans:
        recorded.record_value(max(1, int(span * 1e6)))
    percentiles = {
        name: recorded.get_value_at_percentile(percentile) / 1000
        for name, percentile in (("p50", 50), ("p99", 99), ("p99.9", 99.9))
    }
    return {"count": len(spans), **percentiles, "max": max(spans, default=0.0) * 1000}


class AcceptProbe(threading.Thread):
    """Connects and sends ALIVE repeatedly, to measure how long connections are not accepted."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.is_stopped = False
        self.waits: list[tuple[float, float]] = []  # start time and duration of each
        self.refused = 0

    def run(self) -> None:
        """Probe until `is_stopped` is set."""
        while not self.is_stopped:
            began = time.time()
            try:
                with socket.create_connection(("127.0.0.1", self.port), CONNECT_TIMEOUT) as sock:
                    sock.sendall(encode(b"ALIVE", b"1", b""))
                    if sock.recv(100):
                        self.waits.append((began, time.time() - began))
                    else:
                        self.refused += 1
            except OSError:
                self.refused += 1
            time.sleep(PROBE_SECONDS)

    def finish(self) -> None:
        """Stop the thread and wait until it has ended."""
        self.is_stopped = True
        self.join()


class ResourceSampler(threading.Thread):
    """Samples the memory and descriptors of processes; keeps the maximum of their sum."""

    def __init__(self, pids: list[int]) -> None:
        super().__init__(daemon=True)
        self.pids = pids
        self.is_stopped = False
        self.memory_mb = self.sockets = 0.0

    def run(self) -> None:
        """Sample until `is_stopped` is set."""
        while not self.is_stopped:
            memory_mb = sockets = 0.0
            for pid in list(self.pids):
                with suppress(OSError, ValueError, IndexError):
                    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                    memory_mb += pages * os.sysconf("SC_PAGESIZE") / 1e6
                    sockets += len(os.listdir(f"/proc/{pid}/fd"))
            self.memory_mb, self.sockets = max(self.memory_mb, memory_mb), max(self.sockets, sockets)
            time.sleep(SAMPLE_SECONDS)

    def finish(self) -> None:
        """Stop the thread and wait until it has ended."""
        self.is_stopped = True
        self.join()


def crash_command(step: str, arguments: list[str]) -> str:
    """Return a command that starts a gateway which fails at a step of rigs.crash."""
    return shlex.join([sys.executable, "-m", "rigs.crash", step, *arguments])


def show_progress(text: str) -> None:
    """Show the progress on one line, if standard error is a terminal."""
    if sys.stderr.isatty():
        print(f"\r{text}", end="", file=sys.stderr)
