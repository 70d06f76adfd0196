"""Accounts: what each party of a rig saw, in its own words, for the checker and for reports.

An entry is a map with `at` (Unix time in seconds), `who`, `what` and the fields of that kind. They are
written by many threads and never changed. Kinds, with their fields:

    clients   req (ref vhost key part group allow replay effect gateway), written (ref crossed),
              answer (ref word sum born late), left (ref), lost (ref), extra (word)
    boxes     do (conn ref vhost key part next age peek replay limit late), end (conn ref word note),
              undo (conn ref late), closed (conn late), died (), effect (ref replay)
    relays    passed (late): a piece that its relay passed on later than it should have
    all       waited (main_ms others_ms longest_other_ms threads): for a processor, so far
    log       listed (be state started capacity kind), purge (key group)
    script    said (text)

`late` says how late the rig itself was: the seconds for which what an entry tells of had been in the kernel
of its party when that came to it, or less, but never more; 0 where the kernel proves nothing. What was read
counts from `at` less `late` for each rule. `written` and `left` have the time at which the kernel sent the
last byte, or an earlier one, but never a later one; no `req` is later than its `written`. `crossed` are the
seconds that a request which is sent again had been on the connection before. An `undo` is told also where the
box has ended the dispatch already: it may have lain in the kernel before that.
"""

from __future__ import annotations

import json
import threading
import time
from typing import Any


class Account:
    """All parties' entries of one run."""

    def __init__(self) -> None:
        self.entries: list[dict[str, Any]] = []
        self.lock = threading.Lock()

    def write(self, who: str, what: str, at: float | None = None, **fields: Any) -> None:
        """Add an entry."""
        entry = {"at": time.time() if at is None else at, "who": who, "what": what, **fields}
        with self.lock:
            self.entries.append(entry)

    def sorted(self) -> list[dict[str, Any]]:
        """All entries in the order of their times."""
        with self.lock:
            return sorted(self.entries, key=lambda entry: entry["at"])

    def save(self, path: str) -> None:
        """One JSON object a line."""
        with open(path, "w", encoding="utf-8") as file:
            for entry in self.sorted():
                file.write(json.dumps(entry) + "\n")
