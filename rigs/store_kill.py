"""Kills a gateway with a store at random points under load, and restarts it each time."""

from __future__ import annotations

import json
import random
import tempfile
import time
from pathlib import Path
from typing import Any

from rigs.checker import check
from rigs.load import Load
from rigs.scene import Scene
from rigs.upgrade_probes import histogram

STORE_SETTINGS = '(store (folder "store"))'
DISK_FAILURES = 0.5  # share of a failing disk's calls that fail
PURGE_SHARE = 0.5  # share of the kills that follow a purge


def kill(
    times: int, rate: float, seed: int, with_store: bool = True, disk_fails_for: float = 0.0
) -> dict[str, Any]:
    """Kill a gateway `times` times at `rate` requests per second; half of its disk's writes and syncs fail in
    the first `disk_fails_for` seconds after each start.

    Clients resend requests that were in flight when their connection ended, under the same reference, even
    non-idempotent ones. The event logs of backends and clients are checked against the rules. Without a store
    breaches are expected.
    """
    with tempfile.TemporaryDirectory(prefix="storekill") as name:
        spec = json.dumps({"seed": seed, "disk": [DISK_FAILURES, disk_fails_for]})
        program = ("rigs.shim", spec) if disk_fails_for else ("lilacloft",)
        scene = Scene(Path(name), seed, program=program)
        gateway = scene.gateways[0]
        settings = gateway.settings(STORE_SETTINGS) if with_store else ()
        try:
            gateway.start(*settings)
            load = Load(scene, rate)
            load.resends_bookings = True
            load.start()
            restart_seconds = _kill_and_restart(scene, times, scene.chance("kills"), settings)
            time.sleep(0.5)
            load.stop()
            entries = scene.account.sorted()
            breaches = check(entries, scene.limits())
            log = gateway.log.read_text()
        finally:
            scene.close()
    cut_off = [breach for breach in breaches if "its connection ended" in breach.text]
    others = [breach for breach in breaches if breach not in cut_off]
    return {
        "kills": times,
        "store": with_store,
        "counts": load.counts,
        "sent_again": load.again,
        "cut_off": len(cut_off),
        "doubled": sum(breach.rule == 2 for breach in others),
        "purges": sum(entry["what"] == "purge" for entry in entries),
        "forgotten_purges": sum(breach.rule == 5 for breach in others),
        "breaches": [str(breach) for breach in others[:10]],
        "back_ms": histogram(restart_seconds),
        "recovery_ms": _recovery_times(log),
        "faults": log.count("Traceback"),
    }


def _kill_and_restart(
    scene: Scene, times: int, random_source: random.Random, settings: tuple[str, ...]
) -> list[float]:
    """Kill the gateway `times` times; return how long each start took, in seconds."""
    gateway = scene.gateways[0]
    restart_seconds = []
    for _ in range(times):
        time.sleep(0.1 + 0.4 * random_source.random())
        if random_source.random() < PURGE_SHARE:
            scene.log.purge(f"{random_source.randrange(40):016x}")
            time.sleep(0.02 * random_source.random())
        gateway.process.kill()
        gateway.process.wait()
        began = time.monotonic()
        gateway.start(*settings)
        restart_seconds.append(time.monotonic() - began)
    return restart_seconds


def _recovery_times(log: str) -> dict[str, float]:
    """Return how many recoveries a gateway has logged, and the longest in milliseconds."""
    lines = [line for line in log.split("\n") if "recovered in" in line]
    times = [float(line.split(" in ")[1].split()[0]) for line in lines]
    return {"count": len(times), "max": max(times, default=0)}
