"""Follows gateways' records through their sockets, for the console, and returns them in the form in which
`lilacloft.record.reader.read` returns those of files."""

from __future__ import annotations

import socket
import threading
import time
from collections import deque

import msgspec

from lilacloft.record import record_types
from lilacloft.record.reader import Damage, Run

MAX_RECORDS = 2000  # of each run
RECONNECT_DELAY = 1.0  # seconds before a gateway is connected to again


class RecordFollower:
    """Follows the sockets of several gateways, with a thread for each."""

    def __init__(self, paths: tuple[str, ...]) -> None:
        self.lock = threading.Lock()
        self.runs: dict[tuple[str, str], tuple[record_types.Head, deque[record_types.Record]]] = {}
        self.damage: dict[str, Damage] = {}
        self.count = len(paths)
        for path in paths:
            threading.Thread(target=self._follow, args=(path,), daemon=True).start()

    def read(self) -> tuple[dict[str, list[Run]], list[Damage]]:
        """Return the records received so far, by gateway, and the errors."""
        runs: dict[str, list[Run]] = {}
        with self.lock:
            for (gateway, _), (head, records) in sorted(self.runs.items()):
                runs.setdefault(gateway, []).append(Run(head, list(records)))
            return runs, list(self.damage.values())

    def wait_for_records(self, timeout: float = 3.0) -> None:
        """Wait until each gateway has sent records or has failed, for at most `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            with self.lock:
                have_records = all(records for _, records in self.runs.values())
                if have_records and len(self.runs) + len(self.damage) >= self.count:
                    return
            time.sleep(0.02)

    def _follow(self, path: str) -> None:
        while True:
            try:
                with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                    sock.connect(path)
                    with sock.makefile("rb") as stream:
                        self._read_stream(path, stream)
            except OSError as error:
                with self.lock:
                    self.damage[path] = Damage(path, 0, f"cannot be followed: {error.strerror or error}")
            time.sleep(RECONNECT_DELAY)

    def _read_stream(self, path: str, stream: object) -> None:
        received: deque[record_types.Record] | None = None
        for number, line in enumerate(stream, 1):  # type: ignore[call-overload]
            try:
                record = record_types.decode(line)
            except msgspec.MsgspecError as error:
                with self.lock:
                    self.damage[path] = Damage(path, number, str(error))
                continue
            with self.lock:
                self.damage.pop(path, None)
                if isinstance(record, record_types.Head):
                    received = deque(maxlen=MAX_RECORDS)
                    self.runs[record.gateway, record.run] = (record, received)
                elif received is not None:
                    received.append(record)
