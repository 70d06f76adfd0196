"""Generates records of a large fleet:
`python -m rigs.bulk --gateways 50 --bes 200 --seconds 3600 --out DIR`.

No gateway runs. The records are random, from a seed, in the format that gateways write, with clock offsets
and a few faults, which are also written to a file. Gateways are spread over locations; each uses the caches
of its own location and all parents.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
from pathlib import Path
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from lilacloft.record import record_types

START = 17_961_400_000_000  # Unix time in tenths of a millisecond


def stream(seed: int, purpose: str) -> np.random.Generator:
    """Return a random generator for one purpose."""
    return np.random.default_rng([seed, *purpose.encode()])


class Fleet:
    """The fleet, and the faults that the records shall show."""

    def __init__(self, seed: int, gateways: int, backends: int, seconds: int, zones: int = 5) -> None:
        self.seed, self.gateways, self.seconds, self.zones = seed, gateways, seconds, zones
        chance = stream(seed, "fleet")
        self.parents = [f"s-{number:08x}" for number in range(1, 5)]
        self.caches = [f"s-{number:08x}" for number in range(16, 16 + backends - 4)]
        self.zone = {cache: place % zones for place, cache in enumerate(self.caches)}
        self.silent: list[tuple[str, float, float]] = []
        for number in range(max(2, seconds // 600)):
            begin = (number + 0.5) * seconds / max(2, seconds // 600) + chance.uniform(-20, 20)
            self.silent.append((str(chance.choice(self.caches)), begin, begin + chance.uniform(15, 60)))
        self.slow = (0.62 * seconds, 0.62 * seconds + 40)
        self.purges = [
            (f"{int(chance.integers(1 << 40)):016x}", float(at))
            for at in np.sort(chance.uniform(10, seconds - 10, max(8, seconds // 120)))
        ]
        self.offsets = chance.normal(0, 300, gateways)
        self.drift = chance.normal(0, 3e-5, gateways)

    def truth(self) -> dict[str, Any]:
        base = START / 10
        rows = [("silent", *one) for one in self.silent] + [("origin slow", "", *self.slow)]
        rows += [("purge", key, at, at) for key, at in self.purges]
        return {
            "offsets_ms": [float(one) for one in self.offsets],
            "episodes": [
                {"kind": kind, "subject": subject, "begin": base + 1000 * begin, "end": base + 1000 * end}
                for kind, subject, begin, end in rows
            ],
        }


def histograms(chance: np.random.Generator, slow: bool) -> str:
    found = HdrHistogram(1, 1_000_000, 2)
    for took in chance.exponential(900 if slow else 200, 40):
        found.record_value(max(1, int(took)))
    return found.encode().decode("ascii")


def write(fleet: Fleet, number: int, out: Path) -> int:
    """Write one gateway's records; return their size in bytes."""
    chance = stream(fleet.seed, f"gateway {number}")
    name, zone = f"g{number:03}", number % fleet.zones
    mine = [cache for cache in fleet.caches if fleet.zone[cache] == zone]
    wall = START + int(fleet.offsets[number] * 10)
    steady = 1_000_000 + number * 777
    took = [histograms(chance, False) for _ in range(4)]
    slow_took = [histograms(chance, True) for _ in range(4)]
    lines: list[bytes] = []
    size, count = 0, 0

    def add(record: record_types.Record, at: float) -> None:
        nonlocal count
        count += 1
        own = int(at * 10_000 * (1 + fleet.drift[number]))
        record.number, record.unix_time, record.monotonic_time = count, wall + own, steady + own
        lines.append(record_types.encode(record) + b"\n")

    run = f"{wall:015}-{1000 + number}"
    head = record_types.Head(
        schema=record_types.SCHEMA_VERSION,
        gateway=name,
        run=run,
        zone=str(zone),
        version="made up",
        gateways=fleet.gateways,
        vhosts={"clip": [4000, 30000, 2.0], "pay": [4000, 30000, 2.0]},
        unix_time=wall,
        monotonic_time=steady,
    )
    add(record_types.Start(backend_count=len(mine) + 4), 0.0)
    rows = [(backend, "small", str(zone), 1, 0, 5.0) for backend in mine]
    rows += [(backend, "parent", "hub", 1, 0, 5.0) for backend in fleet.parents]
    add(record_types.BackendList(event=0, whole=True, backends=rows), 0.0)
    events = [
        (at, record_types.Purge(event=place + 2, key=key, purged_at=START + int(at * 10_000)))
        for place, (key, at) in enumerate(fleet.purges)
    ]
    for backend, begin, end in fleet.silent:
        if backend in mine:
            seen = begin + chance.uniform(0.5, 2.0)
            events.append(
                (
                    seen,
                    record_types.HealthChange(
                        backend=backend, change="left alone", reason="3 symptoms in a row"
                    ),
                )
            )
            again = end + chance.uniform(0.5, 6.0)
            events.append(
                (again, record_types.HealthChange(backend=backend, change="back", reason="answers again"))
            )
    events.sort(key=lambda event: event[0])
    for second in range(1, fleet.seconds + 1):
        while events and events[0][0] < second:
            at, record = events.pop(0)
            add(record, at + chance.uniform(0.0, 0.02))
        slow = fleet.slow[0] <= second <= fleet.slow[1]
        gone = {backend for backend, begin, end in fleet.silent if begin <= second - 1 and second <= end}
        asked = chance.poisson(5, len(mine))
        backends = {
            backend: record_types.BackendCounts(
                dispatches=int(sent),
                done=0 if backend in gone else int(sent),
                utilization=0.3,
                limit=12.0,
                ends={"time_up": int(sent)} if backend in gone else {},
                ejected=backend in gone,
            )
            for backend, sent in zip(mine, asked, strict=True)
            if sent
        }
        for parent in fleet.parents:
            waits = int(chance.poisson(4))
            backends[parent] = record_types.BackendCounts(
                fills=waits,
                source_waits=waits,
                source_wait_total=waits * int(chance.normal(4500 if slow else 400, 40)),
                limit=40.0,
            )
        done = int(sum(backend.done for backend in backends.values()))
        clip = record_types.VhostCounts(
            requests=int(asked.sum()),
            done=done,
            late_answers=done // 3 if slow else 0,
            hits=int(done * 0.7),
            dispatches=int(asked.sum()),
            fills={"TCP_MISS_ROOT": done // 5},
            value=2.0 * done,
            durations=(slow_took if slow else took)[second % 4],
        )
        add(
            record_types.SummaryRecord(
                duration=10_000, vhosts={"clip": clip}, backends=backends, link_limit=40.0
            ),
            second,
        )
    out.mkdir(parents=True, exist_ok=True)
    file, part = None, 0
    for line in lines:
        if file is None or size > 8_000_000:
            part += 1
            file = (out / f"{name}.{run}.{part:05}.jsonl").open("wb")
            head.file_number, size = part, 0
            file.write(record_types.encode(head) + b"\n")
        file.write(line)
        size += len(line)
    return sum(map(len, lines))


def _write_one(arguments: tuple[Fleet, int, Path]) -> int:
    return write(*arguments)


def make(out: Path, seed: int, gateways: int, backends: int, seconds: int) -> tuple[Fleet, int]:
    """Write all records; return the fleet and their size in bytes."""
    fleet = Fleet(seed, gateways, backends, seconds)
    with multiprocessing.Pool() as pool:
        size = sum(
            pool.map(_write_one, [(fleet, number, out / f"g{number:03}") for number in range(gateways)])
        )
    (out / "truth.json").write_text(json.dumps(fleet.truth(), indent=1) + "\n")
    return fleet, size


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.bulk", description=__doc__)
    parser.add_argument("--gateways", type=int, default=50)
    parser.add_argument("--bes", dest="backends", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=3600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", required=True, metavar="DIR")
    args = parser.parse_args(argv)
    _, size = make(Path(args.out), args.seed, args.gateways, args.backends, args.seconds)
    fleet = f"{args.gateways} gateways, {args.backends} backends, {args.seconds} s"
    print(f"{size / 1e6:.0f} MB of records: {fleet}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
