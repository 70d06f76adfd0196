"""Who was late in a run: the rig's clients, boxes and relays, by their accounts, and the gateways, by their
counters.

A report of it judges nothing: it tells whose threads got too little processor time while a rule was broken.
The checker counts what clients and boxes read from when their kernels had it, so their lags alone break no
rule. But a dispatch that lay unread with its undo behind it is dated by that, and a relay's lag is part of
what it carries.
"""

from __future__ import annotations

import json
import re
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from rigs.checker import Breach

Entry = dict[str, Any]
NAMED = re.compile(r"\b[0-9a-f]{16}\b")
LAG_LINE = re.compile(r" lag of (\w+): .*longest_ms=(\d+)")
NOTABLE = 0.02  # seconds; lags that are shorter are not told
SPAN = 0.5  # seconds around a breach in which a relay's lags are told


def relay_entries(folder: Path) -> list[Entry]:
    """What relays told of their own lags."""
    lines = [line for path in folder.glob("relay-*.log") for line in path.read_text().splitlines()]
    return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]


def party(entry: Entry) -> str:
    """The kind of party that wrote an entry."""
    return "boxes" if str(entry["who"]).startswith("s-") else str(entry["who"])


def lateness(entries: Iterable[Entry], logs: Iterable[str]) -> dict[str, Any]:
    """For each kind of party its longest lag in milliseconds and how many were notable; for gateways the
    longest by kind of work."""
    found: dict[str, list[float]] = defaultdict(list)
    for entry in entries:
        if "late" in entry:
            found[party(entry)].append(entry["late"])
    report: dict[str, Any] = {
        who: {
            "of": len(lags),
            "over_20ms": sum(lag > NOTABLE for lag in lags),
            "longest_ms": round(1000 * max(lags)),
        }
        for who, lags in found.items()
    }
    longest: dict[str, int] = defaultdict(int)
    for text in logs:
        for kind, milliseconds in LAG_LINE.findall(text):
            longest[kind] = max(longest[kind], int(milliseconds))
    return {**report, "gateways_longest_ms": dict(longest)}


def who_was_late(breach: Breach, entries: Iterable[Entry]) -> str:
    """The lags of the rig's parties that had to do with a request that a breach names; "" where there were
    none."""
    name = NAMED.search(breach.text)
    told = []
    for entry in entries:
        late = entry.get("late", 0.0)
        if late <= NOTABLE:
            continue
        if name and entry.get("ref") == name[0]:
            told.append(f"{entry['who']} read its {entry['what']} {late:.3f} s late")
        elif entry["what"] == "passed" and abs(entry["at"] - breach.at) < SPAN:
            told.append(f"a relay passed a piece on {late:.3f} s late")
    return "; ".join(told[:4])
