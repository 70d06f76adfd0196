"""What a gateway may hold at once, of its memory and its descriptors, for clients and for caches.

Arithmetic over the limits of the configuration and of the system. It must never open or close anything.
"""

from __future__ import annotations

import resource
import sys
from typing import Any, NamedTuple

RESERVED = 10  # descriptors: standard streams, listening socket, change log, a file that is read, one coming


class Budgets(NamedTuple):
    """The most that may be held of each."""

    unwritten: int  # bytes that wait for clients to read
    clients: int  # connections of clients, closing ones among them
    caches: int  # connections to caches, parents and the origin


def budgets(limits: dict[str, Any], descriptors: int) -> Budgets:
    """Of the configuration's `limits`, and of the system's limit on descriptors where that is lower. Clients
    hold a third of the descriptors at most, by the protocol, and what closes counts for a while."""
    sockets = min(int(limits["sockets"]), descriptors)
    free = max(2, sockets - RESERVED)
    return Budgets(
        unwritten=int(limits["memory_mb"] * 1e6) // 4,
        clients=max(1, min(sockets // 2, free * 3 // 5)),
        caches=max(1, min(sockets // 3, free * 2 // 5)),
    )


def descriptor_limit() -> int:
    """How many descriptors the system lets this process have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft
