"""Checks whether memory and descriptors suffice for a second process of a gateway."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import asdict, dataclass

SPARE_DESCRIPTORS = 32  # used by the handover itself, in both processes together
MEMORY_GROWTH = (
    1.1  # upper bound of the receiver's memory as a multiple of the sender's, before anything is freed
)
BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True)
class ResourceUsage:
    """The resources that a process uses; the fields are named as the limits in the configuration."""

    memory_mb: float
    sockets: int  # descriptors of any kind


def current_usage(is_supervised: bool = False) -> ResourceUsage:
    """Return what this process uses, including its supervisor's memory if it is supervised."""
    pids = (os.getpid(), os.getppid()) if is_supervised else (os.getpid(),)
    pages = 0
    for pid in pids:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages += int(file.read().split()[1])
    memory_mb = pages * os.sysconf("SC_PAGESIZE") / BYTES_PER_MEGABYTE
    return ResourceUsage(memory_mb, len(os.listdir("/proc/self/fd")))


def missing_capacity(used: ResourceUsage, limits: Mapping[str, float]) -> str:
    """Return why the limits do not allow a second process beside one with this usage; empty if they do.

    At the end of a handover both processes hold all descriptors and the whole state.
    """
    needed = ResourceUsage(used.memory_mb * (1 + MEMORY_GROWTH), used.sockets * 2 + SPARE_DESCRIPTORS)
    for name, amount in asdict(needed).items():
        if amount > limits[name]:
            return f"insufficient resources: {amount:.0f} {name} needed, {limits[name]:.0f} allowed"
    return ""
