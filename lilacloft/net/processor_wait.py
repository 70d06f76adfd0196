"""How long the threads of this process waited for a processor, as counted by the Linux kernel.

Reads `/proc/self/task/*/schedstat` (proc(5)). If the kernel does not provide it, all values are 0.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TASKS = Path("/proc/self/task")
NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ProcessorWait:
    """How long the live threads waited while they were runnable, in milliseconds."""

    main_ms: int = 0  # the main thread, which is a gateway's event loop
    others_ms: int = 0  # all others together
    longest_other_ms: int = 0  # the one with the longest total wait
    threads: int = 0


def processor_wait(tasks: Path = TASKS) -> ProcessorWait:
    """Return how long the threads of this process have waited since they started."""
    main, others = 0, []
    try:
        names = os.listdir(tasks)
    except OSError:
        return ProcessorWait()
    for name in names:
        waited = _run_delay(tasks / name / "schedstat") // NS_PER_MS
        if name == str(os.getpid()):
            main = waited
        else:
            others.append(waited)
    return ProcessorWait(main, sum(others), max(others, default=0), len(names))


def _run_delay(path: Path) -> int:
    """Return the run delay of one thread, in nanoseconds; 0 if it has ended."""
    try:
        return int(path.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
