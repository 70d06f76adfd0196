"""How a gateway divides its memory and descriptors between clients and backends.

Computes budgets from the limits of the configuration and of the system; nothing is opened or closed here.
"""

from __future__ import annotations

import resource
import sys
from collections.abc import Mapping
from typing import Any, NamedTuple

RESERVED = (
    10  # descriptors: standard streams, listening socket, two for the change log, a file, one being accepted
)


class Budgets(NamedTuple):
    """The maximum in use of each resource."""

    unwritten: int  # bytes buffered for clients that do not read
    requests: int  # bytes of clients' requests that are not finished
    replies: int  # bytes of backends' answers that the event loop has not handled
    clients: int  # client connections, including those that are closing
    caches: int  # connections to caches, parents and the origin


def budgets(limits: Mapping[str, Any], descriptors: int) -> Budgets:
    """Return the budgets for the configuration's `limits` and the system's limit on descriptors, whichever is
    lower. By the protocol clients use at most a third of the descriptors; they get up to a half, as
    connections that are closing still count. Backends get a third; the rest is reserved."""
    sockets = min(int(limits["sockets"]), descriptors)
    free = max(2, sockets - RESERVED)
    memory = int(limits["memory_mb"] * 1e6)
    return Budgets(
        unwritten=memory // 4,
        requests=memory // 4,
        replies=memory // 8,
        clients=max(1, min(sockets // 2, free * 3 // 5)),
        caches=max(1, min(sockets // 3, free * 2 // 5)),
    )


def descriptor_limit() -> int:
    """Return how many descriptors the system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft
