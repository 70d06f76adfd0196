"""Request memory: how many bytes the unfinished requests of each client may occupy.

The budget is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds in a
Shared-Memory Packet Switch", IEEE/ACM Transactions on Networking 6(2), 1998): a client may occupy as much as
is free for all. One client alone gets half of the budget, and however many send as much as they can, a part
stays free for the others.

No I/O and no clock.
"""

from __future__ import annotations

REQUEST_OVERHEAD = 4096  # bytes of a request without its body, in all of the gateway's tables
BODY_COPIES = 2  # as received, and in the message to a backend


def memory_of_request(body_size: int) -> int:
    """Return the bytes that a request with a body of `body_size` bytes occupies until it is finished."""
    return REQUEST_OVERHEAD + BODY_COPIES * body_size


def may_occupy(size: int, by_client: int, in_total: int, budget: int) -> bool:
    """Return whether a client may occupy `size` more bytes. `by_client`, `in_total`: the bytes that this
    client and all clients occupy already; `budget`: the maximum for all."""
    return by_client + size <= budget - in_total
