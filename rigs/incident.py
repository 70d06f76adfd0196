"""A scripted incident with records: `python -m rigs.incident --seed N --out DIR`.

Three gateways before four caches, two parents and an origin; one gateway's clock is a second ahead, and one
is killed and started again in the middle. One cache goes silent and comes back, then the origin turns slow
and recovers, then an object is purged. DIR gets the gateways' records and `truth.json`: what was scripted,
and when. The course of the records is compared with that: what was found, missed, invented, and how far off
the beginnings are. `--quiet` scripts nothing at all; `--seeds K` plays so many, one after the other, and
prints a table.
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

AHEAD = "1000"  # ms that one clock is ahead


class Incident:
    """One incident."""

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
        """Play it; the records and the truth are in the folder then."""
        scene = self.scene
        try:
            for gateway in scene.gateways:
                settings = gateway.settings('(record (folder "RECORDS"))')
                skew = AHEAD if gateway is scene.gateways[1] else "0"
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
    """What was found of the truth, what was not, and what never was."""
    left = list(found.incidents)
    errors, missed, wrong_end = {}, [], {}
    order = []
    for row in truth["episodes"]:
        mine = [
            one
            for one in left
            if one.kind == row["kind"]
            and one.subject == row["subject"]
            and abs(one.begin - row["begin"]) < 5000
        ]
        if not mine:
            missed.append(row["kind"])
            continue
        one = min(mine, key=lambda one: abs(one.begin - row["begin"]))
        left.remove(one)
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
        "invented": [one.title() for one in left],
        "in_order": order == sorted(order),
        "begin_error_ms": {kind: round(ms) for kind, ms in errors.items()},
        "end_error_ms": {kind: round(ms) for kind, ms in wrong_end.items()},
        "gap": bool(restart) if gap else None,
        "gaps_invented": [f"{one.gateway} {one.kind}: {one.why}" for one in gaps if one not in restart],
    }


def play(out: Path, seed: int, quiet: bool = False, pace: float = 1.0) -> tuple[Timeline, dict[str, Any]]:
    """Play one, read its records, and compare."""
    incident = Incident(out, seed, quiet, pace=pace)
    incident.run()
    runs, damage = read([str(out)])
    found = build_timeline(runs)
    told = compare(found, json.loads((out / "truth.json").read_text()))
    return found, {"seed": seed, "quiet": quiet, **told, "damage": [str(one) for one in damage]}


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.incident", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--out", required=True, metavar="DIR")
    parser.add_argument("--quiet", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    rows = []
    for seed in range(given.seed, given.seed + given.seeds):
        out = Path(given.out) if given.seeds == 1 else Path(given.out) / f"seed-{seed}"
        _, row = play(out, seed, given.quiet)
        rows.append(row)
        print(json.dumps(row), flush=True)
    if given.json:
        Path(given.json).write_text(json.dumps(rows, indent=1) + "\n")
    bad = [row for row in rows if row["missed"] or row["invented"] or not row["in_order"]]
    print(f"{len(rows)} played, {len(rows) - len(bad)} as scripted")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
