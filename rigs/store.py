"""What a store bears: `python -m rigs.store cut|crash|speed|kill`.

`cut` writes a log of a size, cuts a copy at every byte, recovers each, and asks for exactly what was
committed before that byte. `crash` runs generated work on the modelled disk (rigs/disk.py), cuts the power
at a random call, recovers, and goes on, many times a seed; with `--break` a sync does nothing, which must
be caught. `speed` commits on the real disk with 1, 16 and 256 writers, against bare appends with a sync
each, and recovers stores of several sizes.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import random
import shutil
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from lilacloft.store import form
from lilacloft.store.commits import Commits
from lilacloft.store.files import Folder
from lilacloft.store.log import Store, log
from rigs.checker import check
from rigs.disk import CrashError, Disk
from rigs.load import Load
from rigs.scene import Scene
from rigs.told import tell
from rigs.upgrade_probes import histogram

# --- every cut ---


class Bytes:
    """Files in memory that only hold what was given, for a recovery that reads one cut file."""

    def __init__(self, held: dict[str, bytes]) -> None:
        self.held = held

    def names(self) -> list[str]:
        return sorted(self.held)

    def read(self, name: str) -> bytes:
        return self.held[name]


def make_log(size: int, seed: int) -> tuple[bytes, list[tuple[int, int]]]:
    """A log of so many bytes, and where each commit ends with how many records there are by then."""
    chance = random.Random(seed)
    data, ends, count = bytearray(form.head(1)), [], 0
    while len(data) < size:
        batch = []
        for _ in range(chance.choice([1, 1, 2, 8])):
            value = None if chance.random() < 0.1 else chance.randbytes(chance.randrange(200))
            batch.append(form.Record(chance.randrange(1, 4), b"k%d" % chance.randrange(500), value, count))
        data += form.frame(count + 1, batch)
        count += len(batch)
        ends.append((len(data), count))
    return bytes(data), ends


def _cut(told: tuple[bytes, list[tuple[int, int]], int, int]) -> list[str]:
    data, ends, begin, end = told
    wrong = []
    place = 0
    state: dict[tuple[int, bytes], form.Record] = {}
    commits = [one for one in form.frames(data, form.VERSION) if isinstance(one, form.Frame)]
    for cut in range(begin, end):
        while place < len(ends) and ends[place][0] <= cut:
            for record in commits[place].records:
                state.pop((record.kind, record.key), None)
                if record.value is not None:
                    state[record.kind, record.key] = record
            place += 1
        want = ends[place - 1][1] if place else 0
        whole = cut in (form.HEAD.size,) or (place and ends[place - 1][0] == cut)
        # what comes before the last commits is the same for all cuts here, so each starts near its own
        store = Store(Bytes({log(1): data[:cut]}))
        if store.down != want:
            wrong.append(f"cut at {cut}: {store.down} records instead of {want}")
        kept = {(kind, key): record for kind, mine in store.kept.items() for key, record in mine.items()}
        if kept != state:
            wrong.append(f"cut at {cut}: another state than after {want} records")
        if store.found.damage or bool(store.found.torn) == bool(whole):
            wrong.append(f"cut at {cut}: told {store.found}")
    return wrong


def cut(size: int, seed: int, step: int = 1, section: int = 1 << 14) -> dict[str, Any]:
    """Cut at every byte (or each so many-th). A megabyte is recovered a million times: in sections, each a
    log of its own, so that no recovery reads more than its section; or as one log."""
    began = time.monotonic()
    jobs = []
    total = 0
    number = 0
    while total < size:
        data, ends = make_log(section, seed * 1000 + number)
        if step == 1:
            jobs += [(data, ends, at, min(at + 1024, len(data) + 1)) for at in range(0, len(data) + 1, 1024)]
        else:
            jobs += [(data, ends, at, at + 1) for at in range(0, len(data) + 1, step)]
        total += len(data)
        number += 1
    with multiprocessing.Pool() as pool:
        wrong = [line for lines in pool.imap_unordered(_cut, jobs, 1) for line in lines]
    return {
        "bytes": total,
        "sections": number,
        "cuts": sum(end - begin for _, _, begin, end in jobs),
        "wrong": wrong[:20],
        "seconds": time.monotonic() - began,
    }


# --- crashes on the modelled disk ---


def crash(seed: int, faults: float = 0.03, lies: bool = False, rounds: int = 5) -> list[str]:
    """One seed; what was wrong."""
    chance = random.Random(f"work {seed}")
    disk = Disk(seed, faults if seed % 2 else 0.0)
    disk.lies = lies
    puts: list[form.Record] = []
    for turn in range(rounds):
        acked, may = len(puts), {len(puts)}
        disk.crash_at = None
        store = Store(disk, segment=chance.choice([300, 1000, 1 << 20]))
        if store.down != len(puts):
            return [f"seed {seed} round {turn}: recovered again, {store.down} records instead of {len(puts)}"]
        disk.crash_at = disk.calls + chance.randrange(1, 80)
        try:
            for _ in range(200):
                doing = chance.random()
                if doing < 0.6:
                    value = None if chance.random() < 0.2 else chance.randbytes(chance.randrange(120))
                    key = b"k%d" % chance.randrange(9)
                    record = form.Record(chance.randrange(1, 4), key, value, len(puts))
                    store.put(record.kind, record.key, record.value, record.stamp)
                    puts.append(record)
                    continue
                may.add(len(puts))
                try:
                    acked = store.commit() if doing < 0.95 else (store.compact(), store.down)[1]
                except OSError:
                    continue
        except CrashError:
            pass
        disk.power()
        store = Store(disk)
        if store.down < acked:
            return [f"seed {seed} round {turn}: {store.down} records, {acked} told as down; {store.found}"]
        if store.down not in may:
            return [f"seed {seed} round {turn}: half a commit: {store.down} of {sorted(may)}"]
        want: dict[tuple[int, bytes], form.Record] = {}
        for record in puts[: store.down]:
            want.pop((record.kind, record.key), None)
            if record.value is not None:
                want[record.kind, record.key] = record
        found = {(kind, key): record for kind, mine in store.kept.items() for key, record in mine.items()}
        if found != want:
            return [f"seed {seed} round {turn}: another state than that after {store.down} records"]
        if store.found.damage:
            return [f"seed {seed} round {turn}: damage where there was but a crash: {store.found.damage}"]
        puts = puts[: store.down]
    return []


def _crash(told: tuple[int, bool]) -> list[str]:
    return crash(told[0], lies=told[1])


def crashes(seeds: int, first: int = 0, lies: bool = False) -> dict[str, Any]:
    """Many seeds, on all cores."""
    began = time.monotonic()
    with multiprocessing.Pool() as pool:
        found = pool.map(_crash, [(seed, lies) for seed in range(first, first + seeds)], 50)
    wrong = [line for lines in found for line in lines]
    return {"seeds": seeds, "failed": len(wrong), "first": wrong[:5], "seconds": time.monotonic() - began}


# --- speed ---


def bare(folder: Path, seconds: float, size: int) -> dict[str, Any]:
    """Appends with a sync each, and nothing else: what this disk gives."""
    fd = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    spans, data = [], b"x" * size
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        os.write(fd, data)
        os.fdatasync(fd)
        spans.append(time.monotonic() - began)
    os.close(fd)
    return {"writers": 1, "commits_a_second": len(spans) / seconds, "ms": histogram(spans)}


def writers(folder: Path, count: int, seconds: float, size: int, group: bool) -> dict[str, Any]:
    """So many threads that each put and wait until it is down."""
    files = Folder(str(folder))
    commits = Commits(Store(files), group=group)
    spans: list[list[float]] = [[] for _ in range(count)]
    until = time.monotonic() + seconds

    def work(mine: list[float], number: int) -> None:
        place = 0
        while time.monotonic() < until:
            began = time.monotonic()
            commits.put(1, b"%d-%d" % (number, place % 50), b"x" * size, 0, wait=30.0)
            mine.append(time.monotonic() - began)
            place += 1

    threads = [threading.Thread(target=work, args=(mine, number)) for number, mine in enumerate(spans)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    commits.close()
    files.close()
    every = [span for mine in spans for span in mine]
    return {
        "writers": count,
        "group": group,
        "records_a_second": len(every) / seconds,
        "syncs_a_second": commits.syncs / seconds,
        "ms": histogram(every),
    }


def recovery(folder: Path, size: int) -> dict[str, Any]:
    """How long a store of a size takes to recover, and what a compaction of it writes."""
    files = Folder(str(folder))
    store = Store(files, segment=1 << 40)
    value, count = b"v" * 1000, 0
    while count * 1000 < size:
        for _ in range(1000):
            store.put(1, b"%d" % (count % 50_000), value, count)
            count += 1
        store.commit()
    files.close()
    began = time.monotonic()
    files = Folder(str(folder))
    store = Store(files, segment=1 << 40)
    took = time.monotonic() - began
    assert store.down == count
    began = time.monotonic()
    store.compact()
    compacted = time.monotonic() - began
    kept = sum((folder / name).stat().st_size for name in files.names())
    files.close()
    began = time.monotonic()
    files = Folder(str(folder))
    Store(files)
    again = time.monotonic() - began
    files.close()
    return {
        "bytes": size,
        "records": count,
        "recovery_s": took,
        "compaction_s": compacted,
        "kept_bytes": kept,
        "written_again": kept / size,
        "recovery_after_s": again,
    }


def speed(seconds: float, sizes: list[int], where: str) -> dict[str, Any]:
    out: dict[str, Any] = {"commits": [], "recovery": []}
    runs = [("store", count, group) for group in (True, False) for count in (1, 16, 256)]
    runs = [("bare", 1, False), *runs, ("bare", 1, False)]
    for kind, count, group in runs:
        folder = Path(tempfile.mkdtemp(prefix="store", dir=where))
        try:
            out["commits"].append(
                {
                    "kind": kind,
                    **(
                        bare(folder, seconds, 200)
                        if kind == "bare"
                        else writers(folder, count, seconds, 200, group)
                    ),
                }
            )
        finally:
            shutil.rmtree(folder)
    for size in sizes:
        folder = Path(tempfile.mkdtemp(prefix="store", dir=where))
        try:
            out["recovery"].append(recovery(folder, size))
        finally:
            shutil.rmtree(folder)
    return out


def side(turns: int, seconds: float, where: str) -> dict[str, Any]:
    """Bare appends and group commits by turns, so that a disk whose answers change is the same to both: the
    median over the turns of records a second, and of each turn's ratio."""
    counts = (1, 16, 256)
    bares: list[float] = []
    stores: dict[int, list[float]] = {count: [] for count in counts}
    for _ in range(turns):
        for count in (0, *counts):
            folder = Path(tempfile.mkdtemp(prefix="store", dir=where))
            try:
                if count:
                    told = writers(folder, count, seconds, 200, True)
                    stores[count].append(told["records_a_second"])
                else:
                    bares.append(bare(folder, seconds, 200)["commits_a_second"])
            finally:
                shutil.rmtree(folder)
    ratios = {
        count: sorted(one / other for one, other in zip(mine, bares, strict=True))
        for count, mine in stores.items()
    }
    return {
        "turns": turns,
        "bare": statistics.median(bares),
        "store": {count: statistics.median(mine) for count, mine in stores.items()},
        "part_of_bare": {
            count: [mine[0], statistics.median(mine), mine[-1]] for count, mine in ratios.items()
        },
    }


# --- real processes ---


def kill(times: int, rate: float, seed: int, kept: bool = True) -> dict[str, Any]:
    """Kill a gateway with a store at random points under load, and start it again each time; clients send
    again, under its name, what crossed the end of their connection, bookings too. Objects are purged
    just before kills. Judged by the accounts of stand-ins and clients. Without a store (`kept` false)
    breaches are expected."""
    with tempfile.TemporaryDirectory(prefix="storekill") as name:
        scene = Scene(Path(name), seed)
        gateway = scene.gateways[0]
        words = gateway.settings('(store (folder "store"))') if kept else ()
        chance = scene.chance("kills")
        backs = []
        try:
            gateway.start(*words)
            load = Load(scene, rate)
            load.bold = True
            load.start()
            for _ in range(times):
                time.sleep(0.1 + 0.4 * chance.random())
                if chance.random() < 0.5:
                    scene.log.purge(f"{chance.randrange(40):016x}")
                    time.sleep(0.02 * chance.random())
                gateway.process.kill()
                gateway.process.wait()
                began = time.monotonic()
                gateway.start(*words)
                backs.append(time.monotonic() - began)
            time.sleep(0.5)
            load.stop()
            entries = scene.account.sorted()
            breaches = check(entries, scene.limits())
            text = gateway.log.read_text()
        finally:
            scene.close()
    cut_off = [one for one in breaches if "its connection ended" in one.text]
    others = [one for one in breaches if one not in cut_off]
    lines = [line for line in text.split("\n") if "recovered in" in line]
    recovered = [float(line.split(" in ")[1].split()[0]) for line in lines]
    return {
        "kills": times,
        "store": kept,
        "counts": load.counts,
        "sent_again": load.again,
        "cut_off": len(cut_off),
        "doubled": sum(one.rule == 2 for one in others),
        "purges": sum(entry["what"] == "purge" for entry in entries),
        "forgotten_purges": sum(one.rule == 5 for one in others),
        "breaches": [str(one) for one in others[:10]],
        "back_ms": histogram(backs),
        "recovery_ms": {"count": len(recovered), "max": max(recovered, default=0)},
        "faults": text.count("Traceback"),
    }


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.store", description=__doc__)
    parser.add_argument("what", choices=("cut", "crash", "speed", "side", "kill"))
    parser.add_argument("--size", type=int, default=1 << 20, help="bytes of the log that is cut")
    parser.add_argument("--section", type=int, default=1 << 14, help="bytes of each log that is cut")
    parser.add_argument("--step", type=int, default=1, help="bytes from one cut to the next")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--break", dest="lies", action="store_true", help="leave the syncs out")
    parser.add_argument("--seconds", type=float, default=3.0, help="of each measurement of speed")
    parser.add_argument("--sizes", default="1e6,1e7,1e8", help="bytes of the stores that are recovered")
    parser.add_argument("--folder", default=None, help="where the real disk's stores go")
    parser.add_argument("--times", type=int, default=200, help="kills")
    parser.add_argument("--rate", type=float, default=200.0, help="reqs a second while killing")
    parser.add_argument("--without", action="store_true", help="kill one that has no store")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    if given.what == "cut":
        report = cut(given.size, given.seed, given.step, given.section)
        good = not report["wrong"]
    elif given.what == "crash":
        report = crashes(given.seeds, given.seed, given.lies)
        good = bool(report["failed"]) == given.lies
    elif given.what == "side":
        report, good = side(given.times, given.seconds, given.folder), True
    elif given.what == "kill":
        report = kill(given.times, given.rate, given.seed, not given.without)
        good = not (report["breaches"] or report["faults"]) or given.without
    else:
        sizes = [int(float(one)) for one in given.sizes.split(",")]
        report, good = speed(given.seconds, sizes, given.folder), True
    tell(report, given.json)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
