"""Follows gateways' records on their sockets, for the console. It gives them as `read` gives those of
files."""

from __future__ import annotations

import socket
import threading
import time
from collections import deque

import msgspec

from lilacloft.record import record_types
from lilacloft.record.reader import Damage, Run

KEPT = 2000  # records of a run that are kept
AGAIN = 1.0  # seconds before a gateway that went away is tried again


class Follow:
    """Some gateways' sockets; a thread each."""

    def __init__(self, paths: tuple[str, ...]) -> None:
        self.lock = threading.Lock()
        self.runs: dict[tuple[str, str], tuple[record_types.Head, deque[record_types.Record]]] = {}
        self.wrong: dict[str, Damage] = {}
        self.count = len(paths)
        for path in paths:
            threading.Thread(target=self._follow, args=(path,), daemon=True).start()

    def read(self) -> tuple[dict[str, list[Run]], list[Damage]]:
        """All that is held now, by gateway."""
        out: dict[str, list[Run]] = {}
        with self.lock:
            for (gateway, _), (head, records) in sorted(self.runs.items()):
                out.setdefault(gateway, []).append(Run(head, list(records)))
            return out, list(self.wrong.values())

    def settle(self, most: float = 3.0) -> None:
        """Wait for the first records of each, or what keeps them away."""
        until = time.monotonic() + most
        while time.monotonic() < until:
            with self.lock:
                held = all(records for _, records in self.runs.values())
                if held and len(self.runs) + len(self.wrong) >= self.count:
                    return
            time.sleep(0.02)

    def _follow(self, path: str) -> None:
        while True:
            try:
                with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                    sock.connect(path)
                    with sock.makefile("rb") as stream:
                        self._lines(path, stream)
            except OSError as wrong:
                with self.lock:
                    self.wrong[path] = Damage(path, 0, f"not to be followed: {wrong.strerror or wrong}")
            time.sleep(AGAIN)

    def _lines(self, path: str, stream: object) -> None:
        held: deque[record_types.Record] | None = None
        for number, line in enumerate(stream, 1):  # type: ignore[call-overload]
            try:
                record = record_types.decode(line)
            except msgspec.MsgspecError as wrong:
                with self.lock:
                    self.wrong[path] = Damage(path, number, str(wrong))
                continue
            with self.lock:
                self.wrong.pop(path, None)
                if isinstance(record, record_types.Head):
                    held = deque(maxlen=KEPT)
                    self.runs[record.gateway, record.run] = (record, held)
                elif held is not None:
                    held.append(record)
