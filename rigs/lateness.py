"""Reports the processing delays of a run: of the rig's clients, backends and relays, from their event logs,
and of the gateways, from their counters.

The report is no verdict: it shows whose threads got too little processor time while a rule was broken. The
checker counts what clients and backends read from when their kernels had it, so their delays alone break no
rule. But a dispatch that lay unread with its cancellation behind it gets the cancellation's time, and a
relay's delay adds to the time of what it forwards.
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
REF = re.compile(r"\b[0-9a-f]{16}\b")
LAG_LINE = re.compile(r" lag of (\w+): .*longest_ms=(\d+)")
NOTABLE = 0.02  # seconds; shorter delays are not reported
SPAN = 0.5  # seconds before and after a breach in which a relay's delays are reported


def relay_entries(folder: Path) -> list[Entry]:
    """Return the entries in which relays logged their own delays."""
    lines = [line for path in folder.glob("relay-*.log") for line in path.read_text().splitlines()]
    return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]


def process_kind(entry: Entry) -> str:
    """Return the kind of process that wrote an entry."""
    return "boxes" if str(entry["who"]).startswith("s-") else str(entry["who"])


def lateness(entries: Iterable[Entry], logs: Iterable[str]) -> dict[str, Any]:
    """Return for each kind of process its longest delay in milliseconds and the number of notable ones, and
    for gateways the longest by kind of work."""
    found: dict[str, list[float]] = defaultdict(list)
    for entry in entries:
        if "late" in entry:
            found[process_kind(entry)].append(entry["late"])
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
    """Return the delays in the rig that affected the request of a breach; empty if there were none."""
    ref = REF.search(breach.text)
    delays = []
    for entry in entries:
        late = entry.get("late", 0.0)
        if late <= NOTABLE:
            continue
        if ref and entry.get("ref") == ref[0]:
            delays.append(f"{entry['who']} read its {entry['what']} {late:.3f} s late")
        elif entry["what"] == "passed" and abs(entry["at"] - breach.at) < SPAN:
            delays.append(f"a relay passed a piece on {late:.3f} s late")
    return "; ".join(delays[:4])
