"""A gateway whose system calls fail for a moment now and then, and whose wall clock is off and stepped:
`python -m rigs.shim SPEC serve ...`.

SPEC is a JSON object: `seed`; `rates`, the part of calls that fail, by call (rigs.failing); `short`, the part
of reads and writes that are short; `offset`, milliseconds by which the wall clock is ahead; `steps`, a list
of pairs, seconds after the start and milliseconds by which the clock is set then; `disk`, a pair, the part of
the store's writes and syncs that fail and for how many seconds from the start on (rigs.failing_disk).
"""

from __future__ import annotations

import json
import socket
import sys
import time
from typing import Any

SPEC: dict[str, Any] = json.loads(sys.argv[1])
BEGAN, REAL = time.monotonic(), time.time_ns


def stepped() -> int:
    """Unix time in nanoseconds by the clock that is off."""
    gone = time.monotonic() - BEGAN
    ahead = SPEC.get("offset", 0) + sum(by for at, by in SPEC.get("steps", ()) if gone >= at)
    return REAL() + int(ahead * 1e6)


time.time_ns = stepped
time.time = lambda: stepped() / 1e9


def run() -> int:
    """Serve with the failures of the spec under it."""
    from lilacloft.__main__ import main
    from rigs import failing_disk
    from rigs.failing import Failures, put_under

    if "disk" in SPEC:
        rate, seconds = SPEC["disk"]
        failing_disk.put_under(failing_disk.FailingDisk(rate, seconds, SPEC.get("seed", 0)))
    failures = Failures(SPEC.get("rates"), SPEC.get("seed", 0), SPEC.get("short", 0.0))
    connect = socket.create_connection

    def fails(*told: Any, **more: Any) -> socket.socket:
        failures.before("connect")
        return connect(*told, **more)

    socket.create_connection = fails  # the change log's connection
    with put_under(failures):
        return main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(run())
