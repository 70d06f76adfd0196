"""The bytes that clients' unfinished requests occupy in this process.

Readers reserve them for each request that they pass on, and the event loop releases them once the request is
finished. lilacloft/routing/request_memory.py decides who may occupy how much.
"""

from __future__ import annotations

import threading

from lilacloft.net.client_request import ClientRequest
from lilacloft.routing.request_memory import may_occupy, memory_of_request


class RequestLedger:
    """The bytes reserved for the requests of all clients. Any thread may call its methods."""

    def __init__(self, budget: int) -> None:
        """`budget`: the maximum of bytes for all clients together."""
        self.budget = budget
        self.reserved = 0
        self.most_reserved = 0  # at any time so far
        self.rejections = 0  # requests for which no memory was reserved
        self.lock = threading.Lock()

    def reserve(self, request: ClientRequest) -> bool:
        """Reserve the memory of a request that was read; False if its client may not occupy as much."""
        size = memory_of_request(len(request.body))
        with self.lock:
            if not may_occupy(size, request.client.reserved_bytes, self.reserved, self.budget):
                self.rejections += 1
                return False
            self._add(request, size)
            return True

    def reserve_restored(self, request: ClientRequest) -> None:
        """Reserve the memory of a request that another process has accepted, whatever the budget is."""
        with self.lock:
            self._add(request, memory_of_request(len(request.body)))

    def release(self, request: ClientRequest) -> None:
        """Release the memory of a finished request, with its body; once, if called again."""
        with self.lock:
            self._add(request, -request.reserved_bytes)
        request.body = b""  # timers may keep the request for as long as its client would have waited

    def summary(self) -> dict[str, int]:
        """Return the ledger's figures, in bytes and requests, for the log."""
        return {"budget": self.budget, "most": self.most_reserved, "rejected": self.rejections}

    def _add(self, request: ClientRequest, size: int) -> None:
        """Change what a request occupies by `size` bytes. Called with the lock held."""
        request.reserved_bytes += size
        request.client.reserved_bytes += size
        self.reserved += size
        self.most_reserved = max(self.most_reserved, self.reserved)
