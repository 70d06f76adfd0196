"""Interfaces of the fleet towards its servers and gateways: virtual time, network and notifications.
Protocols only; `fleet.py` implements them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from lilacloft.emulator.events import Events
from lilacloft.emulator.links import Flow, Link
from lilacloft.emulator.rules import Checker


class Environment(Protocol):
    """Common interface. Times are in tenths of a millisecond, sizes in KB."""

    events: Events
    checker: Checker
    pace: float  # maximum rate of one transfer, KB per tenth of a millisecond
    world: Any

    def at(self, when: int, rank: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call; at the same time lower ranks run first."""


class ServerEnvironment(Environment, Protocol):
    """Interface for caches, parents and origins."""

    origin: Any
    ingress_links: list[Link]
    cold_cache: tuple[float, int, float]
    cold_parent: tuple[float, int, float]
    fall: int
    begin: int
    fill_patience: int
    hands: int
    step: int

    def transfer(
        self, links: tuple[Link, ...], kbytes: float, done: Callable[..., None], context: Any
    ) -> Flow:
        """Start a transfer over some links; `done` is called with `context` on completion."""

    def stop(self, flow: Flow) -> None:
        """Abort a transfer."""

    def resize(self, link: Link, capacity: float) -> None:
        """Change the capacity of a link."""

    def message(self, one: Any, other: Any, callback: Callable[..., None], *args: Any) -> None:
        """Send a message to another server; it may be lost."""

    def answer(self, dispatch: Any, word: str, note: int) -> None:
        """Answer a gateway; `reset` closes the connection."""

    def service(self) -> int:
        """Draw the origin's processing time for one part or write."""

    def effect(self, dispatch: Any, origin: Any) -> None:
        """Record that a write took effect."""


class GatewayEnvironment(Environment, Protocol):
    """Interface for gateways."""

    asked_at: dict[int, int]
    sends: int
    wasted: int
    believes: int

    def rows(self, zone: int) -> list[Any]:
        """Return the endpoint list for the gateways of a location."""

    def sending(self, dispatch: Any, number: int, source: Any) -> None:
        """Send a dispatch to its server."""

    def undo(self, dispatch: Any) -> int:
        """Cancel a dispatch; return when the cancellation reaches the server."""

    def check(self, gateway: Any, backend: Any, box: Any, life: int) -> None:
        """Send a health check."""

    def final(self, gateway: Any, number: int, ask: Any, word: str, after: int, dispatch: Any) -> None:
        """Deliver the final answer to a client."""

    def gone(self, number: int) -> None:
        """Record that a client disconnected, or that its gateway stopped."""

    def extend_deadline(self, number: int, until: int) -> None:
        """Extend the deadline of a request whose gateway is paused."""
