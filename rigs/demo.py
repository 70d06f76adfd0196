"""A demonstration fleet on loopback: `python -m rigs.demo`.

Runs four stand-in caches, two parents, an origin and a change log, and two real gateways with clients. During
the run one cache is killed and restarted cold, an object is purged, and one gateway is upgraded. At the
end it prints the answers, the latencies, and any breach of a rule. `--keep` leaves everything running and
prints commands to inspect it.
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lilacloft.handover.request import request_upgrade
from rigs.checker import check
from rigs.load import Load
from rigs.scene import Scene
from rigs.upgrade_probes import histogram


def print_progress(text: str, began: float) -> None:
    print(f"{time.monotonic() - began:5.1f} s  {text}", flush=True)


def print_table(rows: list[tuple[Any, ...]]) -> None:
    widths = [max(len(str(row[place])) for row in rows) for place in range(len(rows[0]))]
    for row in rows:
        print("  " + "  ".join(str(cell).rjust(width) for cell, width in zip(row, widths, strict=True)))


def run_events(scene: Scene, seconds: float, began: float) -> None:
    """Run the events of the demonstration at their times."""
    dying, draining = scene.caches[1], scene.caches[2]

    def upgrade() -> None:
        gateway = scene.gateways[0]
        done, why = request_upgrade(gateway.handover, "", "", lambda phase: gateway.pids.append(phase.pid))
        print_progress(f"gateway n0 upgraded under load{'' if done else ': failed, ' + why}", began)

    steps: list[tuple[float, str, Callable[[], None]]] = [
        (0.2, f"cache {dying.name} is killed", lambda: scene.kill(dying)),
        (0.4, f"object {0:016x} is purged", lambda: scene.log.purge(f"{0:016x}")),
        (0.5, f"cache {dying.name} returns cold", lambda: scene.returns(dying)),
        (0.65, "gateway n0 is being upgraded", upgrade),
        (0.8, f"cache {draining.name} drains", lambda: scene.drain(draining)),
    ]
    for part, text, action in steps:
        time.sleep(max(0.0, began + part * seconds - time.monotonic()))
        print_progress(text, began)
        action()
    time.sleep(max(0.0, began + seconds - time.monotonic()))


def print_results(scene: Scene, load: Load) -> int:
    """Print the results; returns the number of breaches."""
    entries = scene.account.sorted()
    breaches = check(entries, scene.limits())
    reads = {entry["ref"] for entry in entries if entry["what"] == "req" and entry["effect"] == "replayable"}
    notes = [entry["note"] for entry in entries if entry["what"] == "end" and entry["ref"] in reads]
    print("\nanswers: " + ", ".join(f"{count} {name}" for name, count in load.counts.items() if count))
    print(
        f"hit share of reads: {notes.count('TCP_HIT') / max(1, len(notes)):.0%}; dispatches per request: "
        f"{sum(entry['what'] == 'do' for entry in entries) / max(1, load.counts['asked']):.2f}"
    )
    print("latency in ms, by vhost:")
    rows: list[tuple[Any, ...]] = [("", "requests", "p50", "p99", "max")]
    for vhost in dict.fromkeys(one[2] for one in sorted(load.times, key=lambda one: one[2])):
        found = histogram([took for _, took, name, _ in load.times if name == vhost])
        rows.append((vhost, found["count"], *(f"{found[name]:.1f}" for name in ("p50", "p99", "max"))))
    print_table(rows)
    for breach in breaches[:20]:
        print(breach)
    print(
        f"five rules checked on {len(entries)} entries: "
        + (f"{len(breaches)} breaches" if breaches else "no rule broken")
    )
    return len(breaches)


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--rate", type=float, default=150.0, help="requests per second over both gateways")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", help="folder for configurations and logs (default: a temporary one)")
    parser.add_argument("--keep", action="store_true", help="leave it running until Ctrl-C")
    given = parser.parse_args(words)
    with tempfile.TemporaryDirectory(prefix="lilacloft-demo-") as temporary:
        scene = Scene(Path(given.folder or temporary), given.seed, gateways=2)
        began = time.monotonic()
        try:
            print_progress("4 caches, 2 parents, an origin and a change log listen on loopback", began)
            for gateway in scene.gateways:
                gateway.start("--handover", gateway.handover)
                print_progress(f"gateway {gateway.name} serves on 127.0.0.1:{gateway.port}", began)
            load = Load(scene, given.rate)
            load.start()
            print_progress(f"clients send {given.rate:g} requests per second", began)
            run_events(scene, given.seconds, began)
            load.stop()
            breach_count = print_results(scene, load)
            if given.keep:
                keep(scene)
        finally:
            scene.close()
    return 1 if breach_count else 0


def keep(scene: Scene) -> None:
    """Keep the fleet running, and print commands to inspect it."""
    print("\nstill running; stop it with Ctrl-C. To inspect it:")
    for gateway in scene.gateways:
        print(f"  tail -f {gateway.log}")
        print(f"  kill -USR1 {gateway.pids[-1]}    # counters, in that log")
        print(f"  python -m lilacloft check --config {gateway.config}")
        print(f"  python -m lilacloft upgrade --handover {gateway.handover}")
    over = threading.Event()
    signal.signal(signal.SIGINT, lambda *_: over.set())
    signal.signal(signal.SIGTERM, lambda *_: over.set())
    load = Load(scene, 50.0, seed="kept")
    load.start()
    over.wait()
    load.stop()


if __name__ == "__main__":
    sys.exit(main())
