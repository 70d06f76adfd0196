"""Whether a second process of a gateway may run beside the first: memory and descriptors."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import asdict, dataclass

SPARE_DESCRIPTORS = 32  # that a handover itself needs, on both sides
MEMORY_GROWTH = 1.1  # the receiver's memory at most, in shares of the sender's, before anything is freed
BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True)
class ResourceUsage:
    """What a process uses of the resources that the configuration limits, by the names of those limits."""

    memory_mb: float
    sockets: int  # descriptors of any kind


def current_usage(is_supervised: bool = False) -> ResourceUsage:
    """Return what this process uses; if it is supervised, with its supervisor's memory."""
    pids = (os.getpid(), os.getppid()) if is_supervised else (os.getpid(),)
    pages = 0
    for pid in pids:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages += int(file.read().split()[1])
    memory_mb = pages * os.sysconf("SC_PAGESIZE") / BYTES_PER_MEGABYTE
    return ResourceUsage(memory_mb, len(os.listdir("/proc/self/fd")))


def missing_capacity(used: ResourceUsage, limits: Mapping[str, float]) -> str:
    """Return why a second process may not run beside one that uses so much; empty if it may.

    At the end of a handover both hold every descriptor, and both hold the state.
    """
    needed = ResourceUsage(used.memory_mb * (1 + MEMORY_GROWTH), used.sockets * 2 + SPARE_DESCRIPTORS)
    for name, amount in asdict(needed).items():
        if amount > limits[name]:
            return f"no room: {amount:.0f} {name} are needed, {limits[name]:.0f} allowed"
    return ""
