"""How a gateway divides its memory between clients, backends, requests, answers and what it remembers.

Only what the process does not need for itself is divided. Each share bounds a quantity that a peer can make
large; the sum of all shares and of the process stays below the limit, with a reserve for the allocator.
Clients come first, as each of them is owed answers, then backends; requests and answers share what is left.

No I/O and no clock. All sizes are bytes.
"""

from __future__ import annotations

from dataclasses import dataclass

PROCESS_SIZE = 13_000_000  # of a process that serves, before its first client, with its trace of requests
CLIENT_SIZE = 25_000  # of a client's connection: its thread, objects, and a buffer for half a message
BACKEND_SIZE = 22_000  # of a connection to a backend
OBJECT_PART_SIZE = 500  # of an entry in the table of object parts
MAX_OBJECT_PARTS = 1 << 15
EXECUTED_REQUEST_SIZE = 300  # of an id in the table of executed requests
MAX_EXECUTED_REQUESTS = 1 << 14
MAX_CLIENTS_SHARE = 0.6  # of what is free
MAX_BACKENDS_SHARE = 0.1
OBJECT_PARTS_SHARE = 0.1
EXECUTED_REQUESTS_SHARE = 0.03
REQUESTS_SHARE = 0.4  # of what is left behind connections and object parts
ANSWERS_SHARE = 0.4
MAX_REQUESTS_SHARE = 0.25  # of the limit
MAX_ANSWERS_SHARE = 0.375
MAX_REPLIES_SHARE = 0.125
UNREAD_ANSWERS_SHARE = 0.5  # of answers; the rest stays for clients that read
RESERVE_SHARE = 0.06  # of the limit, for memory that the allocator cannot reuse
MIN_FREE = 1_000_000  # so that a limit below what the process needs still leaves it able to answer


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """The maximum of each quantity."""

    clients: int  # connections
    backends: int  # connections
    requests: int  # bytes of requests that are not finished
    answers: int  # bytes of answers that are being read, not handled, or not read by their clients
    replies: int  # bytes of these that are being read or not handled
    object_parts: int  # entries
    executed_requests: int  # ids

    @property
    def unread_answers(self) -> int:
        """The bytes of answers that clients may leave unread."""
        return int(self.answers * UNREAD_ANSWERS_SHARE)

    def total(self) -> int:
        """Return the memory of a process in which each quantity is at its maximum, in bytes."""
        connections = self.clients * CLIENT_SIZE + self.backends * BACKEND_SIZE
        tables = self.object_parts * OBJECT_PART_SIZE + self.executed_requests * EXECUTED_REQUEST_SIZE
        return PROCESS_SIZE + connections + tables + self.requests + self.answers


def divide_memory(limit: int, max_clients: int, max_backends: int) -> MemoryShares:
    """Return the shares of a memory limit. `max_clients`, `max_backends`: as many connections as there are
    descriptors for."""
    free = max(MIN_FREE, int(limit * (1 - RESERVE_SHARE)) - PROCESS_SIZE)
    clients = max(1, min(max_clients, int(free * MAX_CLIENTS_SHARE) // CLIENT_SIZE))
    backends = max(1, min(max_backends, int(free * MAX_BACKENDS_SHARE) // BACKEND_SIZE))
    object_parts = max(1, min(MAX_OBJECT_PARTS, int(free * OBJECT_PARTS_SHARE) // OBJECT_PART_SIZE))
    executed = min(MAX_EXECUTED_REQUESTS, int(free * EXECUTED_REQUESTS_SHARE) // EXECUTED_REQUEST_SIZE)
    connections = clients * CLIENT_SIZE + backends * BACKEND_SIZE
    tables = object_parts * OBJECT_PART_SIZE + executed * EXECUTED_REQUEST_SIZE
    left = max(0, free - connections - tables)
    answers = min(int(limit * MAX_ANSWERS_SHARE), int(left * ANSWERS_SHARE))
    return MemoryShares(
        clients,
        backends,
        min(int(limit * MAX_REQUESTS_SHARE), int(left * REQUESTS_SHARE)),
        answers,
        min(answers, int(limit * MAX_REPLIES_SHARE)),
        object_parts,
        executed,
    )
