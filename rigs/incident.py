"""Plays a scripted incident with records: `python -m rigs.incident --seed N --out DIR`.

Three gateways run in front of four caches, two parents and an origin. One gateway's clock is a second ahead,
and one gateway is killed and restarted. One cache stops answering and recovers, then the origin becomes slow
and recovers, then an object is purged. DIR gets the gateways' records and `truth.json`, the scripted events
and their times. The timeline of the records is compared with it: events found, missed and invented, and the
errors of the start times. With `--quiet` nothing is scripted. `--seeds K` plays K incidents one after the
other and prints a row for each.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from lilacloft.record.reader import read
from lilacloft.timeline.timeline import Timeline, build_timeline
from rigs.load import Load
from rigs.scene import Scene

CLOCK_OFFSET_MS = "1000"  # of the gateway whose clock is ahead


class Incident:
    """One scripted incident."""

    def __init__(
        self, out: Path, seed: int, quiet: bool = False, rate: float = 170.0, pace: float = 1.0
    ) -> None:
        self.out, self.quiet, self.rate, self.pace = out, quiet, rate, pace
        self.scene = Scene(out, seed, gateways=3)
        self.chance = self.scene.chance("incident")
        self.truth: list[dict[str, Any]] = []
        self.gap: dict[str, Any] | None = None

    def begin(self, kind: str, subject: str) -> dict[str, Any]:
        row = {"kind": kind, "subject": subject, "begin": time.time() * 1000, "end": None}
        self.truth.append(row)
        return row

    def wait(self, seconds: float) -> None:
        time.sleep(seconds * self.pace)

    def run(self) -> None:
        """Play the incident; leaves the records and the scripted events in the folder."""
        scene = self.scene
        try:
            for gateway in scene.gateways:
                settings = gateway.settings('(record (folder "RECORDS"))')
                skew = CLOCK_OFFSET_MS if gateway is scene.gateways[1] else "0"
                gateway.program = ("rigs.skewed", skew)
                gateway.start(*settings)
            load = Load(scene, self.rate, held=18)
            load.start()
            self.wait(8.0)
            if self.quiet:
                self.wait(16.0)
            else:
                self.course()
            load.stop(1.0)
            for gateway in scene.gateways:
                os.kill(gateway.process.pid, signal.SIGTERM)
            for gateway in scene.gateways:
                gateway.process.wait(10)
        finally:
            scene.close()
        truth = {"episodes": self.truth, "gap": self.gap}
        (self.out / "truth.json").write_text(json.dumps(truth, indent=1) + "\n")

    def course(self) -> None:
        scene = self.scene
        box = self.chance.choice(scene.caches)
        row = self.begin("silent", box.name)
        box.silent = True
        self.wait(2.0 + self.chance.random())
        last = scene.gateways[2]
        self.gap = {"gateway": last.name, "begin": time.time() * 1000}
        last.process.kill()
        last.process.wait()
        time.sleep(0.3)
        last.start(*last.settings('(record (folder "RECORDS"))'))
        self.gap["end"] = time.time() * 1000
        self.wait(2.0 + self.chance.random())
        box.silent = False
        row["end"] = time.time() * 1000
        self.wait(7.0 + 2 * self.chance.random())
        row = self.begin("origin slow", "")
        scene.origin.slow = 0.35 + 0.2 * self.chance.random()
        self.wait(5.0 + self.chance.random())
        scene.origin.slow = 0.0
        row["end"] = time.time() * 1000
        self.wait(5.0 + self.chance.random())
        key = f"{self.chance.randrange(40):016x}"
        row = self.begin("purge", key)
        scene.log.purge(key)
        row["end"] = row["begin"]
        self.wait(4.0)


def compare(found: Timeline, truth: dict[str, Any]) -> dict[str, Any]:
    """Compare a timeline with the scripted events: found, missed and invented incidents, and errors of
    times."""
    unmatched = list(found.incidents)
    errors, missed, wrong_end = {}, [], {}
    order = []
    for row in truth["episodes"]:
        candidates = [
            one
            for one in unmatched
            if one.kind == row["kind"]
            and one.subject == row["subject"]
            and abs(one.begin - row["begin"]) < 5000
        ]
        if not candidates:
            missed.append(row["kind"])
            continue
        one = min(candidates, key=lambda one: abs(one.begin - row["begin"]))
        unmatched.remove(one)
        order.append(found.incidents.index(one))
        errors[row["kind"]] = one.begin - row["begin"]
        if one.end is not None and row["end"] is not None:
            wrong_end[row["kind"]] = one.end - row["end"]
    gap = truth["gap"]
    gaps = [one for one in found.gaps if one.kind not in ("clock",)]
    restart = [
        one
        for one in gaps
        if gap
        and one.kind == "restart"
        and one.gateway == gap["gateway"]
        and one.begin - 1500 < gap["begin"]
        and (one.end or 0) > gap["end"] - 1500
    ]
    return {
        "found": len(errors),
        "missed": missed,
        "invented": [one.title() for one in unmatched],
        "in_order": order == sorted(order),
        "begin_error_ms": {kind: round(ms) for kind, ms in errors.items()},
        "end_error_ms": {kind: round(ms) for kind, ms in wrong_end.items()},
        "gap": bool(restart) if gap else None,
        "gaps_invented": [f"{one.gateway} {one.kind}: {one.why}" for one in gaps if one not in restart],
    }


def play(out: Path, seed: int, quiet: bool = False, pace: float = 1.0) -> tuple[Timeline, dict[str, Any]]:
    """Play one incident, read its records and compare them with the script."""
    incident = Incident(out, seed, quiet, pace=pace)
    incident.run()
    runs, damage = read([str(out)])
    found = build_timeline(runs)
    comparison = compare(found, json.loads((out / "truth.json").read_text()))
    return found, {"seed": seed, "quiet": quiet, **comparison, "damage": [str(one) for one in damage]}


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.incident", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--out", required=True, metavar="DIR")
    parser.add_argument("--quiet", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    rows = []
    for seed in range(args.seed, args.seed + args.seeds):
        out = Path(args.out) if args.seeds == 1 else Path(args.out) / f"seed-{seed}"
        _, row = play(out, seed, args.quiet)
        rows.append(row)
        print(json.dumps(row), flush=True)
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1) + "\n")
    failed = [row for row in rows if row["missed"] or row["invented"] or not row["in_order"]]
    print(f"{len(rows)} played, {len(rows) - len(failed)} as scripted")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
