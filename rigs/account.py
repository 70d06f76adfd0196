"""Accounts: what each party of a rig observed, for the checker and for reports.

An entry is a map with `at` (Unix time in seconds), `who`, `what` and the fields of its kind. Entries are
written by many threads and never changed. The kinds and their fields:

    clients   req (ref vhost key part group allow replay effect gateway), written (ref crossed),
              answer (ref word sum born late), left (ref), lost (ref), extra (word)
    boxes     do (conn ref vhost key part next age peek replay limit late), end (conn ref word note),
              undo (conn ref late), closed (conn late), died (), effect (ref replay)
    relays    passed (late): a chunk that its relay forwarded late
    all       waited (main_ms others_ms longest_other_ms threads): total wait for a processor so far
    log       listed (be state started capacity kind), purge (key group)
    script    said (text)

`late` is the delay of the rig itself: the seconds for which the event had been in the kernel of the party
before the party read it, or less, but never more; 0 where the kernel gives no evidence. Each rule uses `at`
minus `late` for what was read. `written` and `left` have the time at which the kernel sent the last byte, or
an earlier one, but never a later one; no `req` is later than its `written`. `crossed` is the time in seconds
that a resent request had been on the previous connection. An `undo` is written even if the backend has ended
the dispatch already, as the message may have lain in the kernel before that.
"""

from __future__ import annotations

import json
import threading
import time
from typing import Any


class Account:
    """The entries of all parties of one run."""

    def __init__(self) -> None:
        self.entries: list[dict[str, Any]] = []
        self.lock = threading.Lock()

    def write(self, who: str, what: str, at: float | None = None, **fields: Any) -> None:
        """Add an entry."""
        entry = {"at": time.time() if at is None else at, "who": who, "what": what, **fields}
        with self.lock:
            self.entries.append(entry)

    def sorted(self) -> list[dict[str, Any]]:
        """All entries, ordered by time."""
        with self.lock:
            return sorted(self.entries, key=lambda entry: entry["at"])

    def save(self, path: str) -> None:
        """Write the entries to a file, one JSON object per line."""
        with open(path, "w", encoding="utf-8") as file:
            for entry in self.sorted():
                file.write(json.dumps(entry) + "\n")
