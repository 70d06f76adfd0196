"""A gateway with failing system calls and a wall clock that is skewed and stepped:
`python -m rigs.shim SPEC serve ...`.

SPEC is a JSON object: `seed`; `rates`, the fraction of calls that fail, by call (rigs.failing); `short`,
the fraction of reads and writes that are short; `offset`, milliseconds by which the wall clock is ahead;
`steps`, a list of pairs, seconds after the start and milliseconds by which the clock is moved then;
`disk`, a pair, the fraction of the writes and syncs of the store that fail and for how many seconds from
the start (rigs.failing_disk).
"""

from __future__ import annotations

import json
import socket
import sys
import time
from typing import Any

SPEC: dict[str, Any] = json.loads(sys.argv[1])
STARTED, REAL_TIME_NS = time.monotonic(), time.time_ns


def skewed_time_ns() -> int:
    """Unix time in nanoseconds by the skewed clock."""
    elapsed = time.monotonic() - STARTED
    ahead = SPEC.get("offset", 0) + sum(by for at, by in SPEC.get("steps", ()) if elapsed >= at)
    return REAL_TIME_NS() + int(ahead * 1e6)


time.time_ns = skewed_time_ns
time.time = lambda: skewed_time_ns() / 1e9


def run() -> int:
    """Run the gateway with the failures that the specification describes."""
    from lilacloft.__main__ import main
    from rigs import failing_disk
    from rigs.failing import Failures, inject_failures

    if "disk" in SPEC:
        rate, seconds = SPEC["disk"]
        failing_disk.inject_failures(failing_disk.FailingDisk(rate, seconds, SPEC.get("seed", 0)))
    failures = Failures(SPEC.get("rates"), SPEC.get("seed", 0), SPEC.get("short", 0.0))
    connect = socket.create_connection

    def connect_or_fail(*args: Any, **more: Any) -> socket.socket:
        failures.before("connect")
        return connect(*args, **more)

    socket.create_connection = connect_or_fail  # the connection to the change log is made with it
    with inject_failures(failures):
        return main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(run())
