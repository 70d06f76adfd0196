"""Request memory: how many bytes the unfinished requests of each client may occupy.

The budget is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds in a
Shared-Memory Packet Switch", IEEE/ACM Transactions on Networking 6(2), 1998): a client may occupy as much as
is free for all. A part is reserved for clients that occupy little, as many others that each take the last
bytes would leave none. However many send as much as they can, a part stays free for the others.

No I/O and no clock.
"""

from __future__ import annotations

REQUEST_OVERHEAD = 4096  # bytes of a request without its body, in all of the gateway's tables
BODY_COPIES = 2  # as received, and in the message to a backend
RESERVED_SHARE = 4  # one in so many bytes of the budget is for clients that occupy little
LITTLE_SHARE = 64  # up to one in so many bytes of the budget is little


def memory_of_request(body_size: int) -> int:
    """Return the bytes that a request with a body of `body_size` bytes occupies until it is finished."""
    return REQUEST_OVERHEAD + BODY_COPIES * body_size


def may_occupy(size: int, by_client: int, in_total: int, budget: int) -> bool:
    """Return whether a client may occupy `size` more bytes. `by_client`, `in_total`: the bytes that this
    client and all clients occupy already; `budget`: the maximum for all."""
    occupies_little = by_client + size <= budget // LITTLE_SHARE
    reserved = 0 if occupies_little else budget // RESERVED_SHARE
    return by_client + size <= budget - in_total - reserved
