"""How a gateway divides its memory and descriptors between clients and backends.

Computes budgets from the limits of the configuration and of the system; nothing is opened or closed here.
"""

from __future__ import annotations

import resource
import sys
from collections.abc import Mapping
from typing import Any, NamedTuple

from lilacloft.net.reply_backlog import AnswerLimits
from lilacloft.routing.memory_budget import divide_memory

MEGABYTE = 1_000_000  # bytes
RESERVED = (
    10  # descriptors: standard streams, listening socket, two for the change log, a file, one being accepted
)


class Budgets(NamedTuple):
    """The maximum in use of each resource."""

    answers: int  # bytes of `unwritten` and `replies` together
    unwritten: int  # bytes buffered for clients that do not read
    replies: int  # bytes of backends' answers that are being read, or that the event loop has not handled
    requests: int  # bytes of clients' requests that are not finished
    clients: int  # client connections, including those that are closing
    caches: int  # connections to caches, parents and the origin
    object_parts: int  # object parts that are remembered
    executed_requests: int  # ids of requests that may have been executed

    def answer_limits(self) -> AnswerLimits:
        """Return the limits of answers that this process holds."""
        return AnswerLimits(self.answers, self.unwritten, self.replies)


def budgets(limits: Mapping[str, Any], descriptors: int) -> Budgets:
    """Return the budgets for the configuration's `limits` and the system's limit on descriptors, whichever is
    lower. By the protocol clients use at most a third of the descriptors; they get up to a half, as
    connections that are closing still count. Backends get a third; the rest is reserved. Where the memory
    limit allows fewer connections, there are fewer."""
    sockets = min(int(limits["sockets"]), descriptors)
    free = max(2, sockets - RESERVED)
    max_clients = max(1, min(sockets // 2, free * 3 // 5))
    max_caches = max(1, min(sockets // 3, free * 2 // 5))
    shares = divide_memory(int(limits["memory_mb"] * MEGABYTE), max_clients, max_caches)
    return Budgets(
        shares.answers,
        shares.unread_answers,
        shares.replies,
        shares.requests,
        shares.clients,
        shares.backends,
        shares.object_parts,
        shares.executed_requests,
    )


def protocol_clients(limits: Mapping[str, Any], descriptors: int) -> int:
    """Return how many connections clients may hold by the protocol."""
    return min(int(limits["sockets"]), descriptors) // 3


def descriptor_limit() -> int:
    """Return how many descriptors the system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft
