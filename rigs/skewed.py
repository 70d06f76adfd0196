"""A gateway with a skewed clock: `python -m rigs.skewed MILLISECONDS[:STEP@SECONDS] serve ...`.

Its Unix clock is ahead by MILLISECONDS (or, if negative, behind); with a step, it is moved by a further
STEP milliseconds SECONDS after the start. The monotonic clock is unchanged, as on a real machine.
"""

import sys
import time

OFFSET, _, STEP_SPEC = sys.argv[1].partition(":")
STEP, _, STEP_AFTER = STEP_SPEC.partition("@")
STARTED, REAL_TIME_NS = time.monotonic(), time.time_ns


def skewed_time_ns() -> int:
    """Unix time in nanoseconds by the skewed clock."""
    step = float(STEP or 0) if STEP_AFTER and time.monotonic() - STARTED >= float(STEP_AFTER) else 0.0
    return REAL_TIME_NS() + int((float(OFFSET) + step) * 1e6)


time.time_ns = skewed_time_ns
time.time = lambda: skewed_time_ns() / 1e9

if __name__ == "__main__":
    from lilacloft.__main__ import main

    sys.exit(main(sys.argv[2:]))
