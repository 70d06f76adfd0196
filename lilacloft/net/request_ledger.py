"""The bytes that clients' unfinished requests occupy in this process.

Readers reserve them for each large body before they read it, and for each request that they pass on; the
event loop releases them once the request is finished. lilacloft/routing/request_memory.py decides who may
occupy how much.
"""

from __future__ import annotations

import threading

from lilacloft.net.client_request import ClientRequest, RequestingClient
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
        if not self._reserve(request.client, memory_of_request(len(request.body))):
            return False
        request.reserved_bytes += memory_of_request(len(request.body))
        return True

    def reserve_body(self, client: RequestingClient, body_size: int) -> int:
        """Reserve the memory of a request whose body is yet to be read; return its size in bytes, 0 if its
        client may not occupy as much. `adopt` or `release_body` ends this reservation."""
        size = memory_of_request(body_size)
        return size if self._reserve(client, size) else 0

    def adopt(self, request: ClientRequest, size: int) -> None:
        """Turn what `reserve_body` has reserved into the memory of the request that was read by now."""
        request.reserved_bytes += size

    def release_body(self, client: RequestingClient, size: int) -> None:
        """Release what `reserve_body` has reserved, as no request has come of it."""
        with self.lock:
            self._add(client, -size)

    def reserve_restored(self, request: ClientRequest) -> None:
        """Reserve the memory of a request that another process has accepted, whatever the budget is."""
        size = memory_of_request(len(request.body))
        with self.lock:
            self._add(request.client, size)
        request.reserved_bytes += size

    def release(self, request: ClientRequest) -> None:
        """Release the memory of a finished request, with its body; once, if called again."""
        with self.lock:
            self._add(request.client, -request.reserved_bytes)
            request.reserved_bytes = 0
        request.body = b""  # timers may keep the request for as long as its client would have waited

    def summary(self) -> dict[str, int]:
        """Return the ledger's figures, in bytes and requests, for the log."""
        return {"budget": self.budget, "most": self.most_reserved, "rejected": self.rejections}

    def _reserve(self, client: RequestingClient, size: int) -> bool:
        """Reserve memory for a client; False, and counted, if it may not occupy as much."""
        with self.lock:
            if not may_occupy(size, client.reserved_bytes, self.reserved, self.budget):
                self.rejections += 1
                return False
            self._add(client, size)
            return True

    def _add(self, client: RequestingClient, size: int) -> None:
        """Change what a client occupies by `size` bytes. Called with the lock held."""
        client.reserved_bytes += size
        self.reserved += size
        self.most_reserved = max(self.most_reserved, self.reserved)
