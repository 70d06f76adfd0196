"""One row of the endpoint list as discovery reports it, with addresses and start times as reported."""

from __future__ import annotations

from typing import NamedTuple


class EndpointEntry(NamedTuple):
    """One row of the endpoint list."""

    name: str
    address: tuple[str, int]
    zone: int  # its index in the configuration's zones
    kind: int  # its index in the configuration's kinds
    cell: int
    status: int  # a value of `BackendStatus`
    capacity: float
    started: int  # Unix time in milliseconds

    def identity(self) -> tuple[str, tuple[str, int], int, int, int]:
        """Return what does not change as long as this is the same backend: its name and its place."""
        return self.name, self.address, self.zone, self.kind, self.cell
