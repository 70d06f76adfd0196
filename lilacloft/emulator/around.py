"""What boxes and gateways of the emulator find around them: time, ways, and who is told. It names these for
the parts below the fleet, which provides them; it holds nothing and decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from lilacloft.emulator.events import Events
from lilacloft.emulator.links import Flow, Link
from lilacloft.emulator.rules import Checker


class Around(Protocol):
    """Times and spans in tenths of a millisecond, sizes in KB."""

    events: Events
    checker: Checker
    pace: float  # KB in a tenth of a millisecond
    world: Any

    def at(self, when: int, rank: int, what: Callable[..., None], *told: Any) -> None:
        """Call at a time; what has the lower rank comes first."""


class AroundBox(Around, Protocol):
    """What a box has."""

    origin: Any
    ways_in: list[Link]
    cold_cache: tuple[float, int, float]
    cold_parent: tuple[float, int, float]
    fall: int
    begin: int
    fill_patience: int
    hands: int
    step: int

    def transfer(self, links: tuple[Link, ...], kbytes: float, done: Callable[..., None], told: Any) -> Flow:
        """Send over some links; `done` is called with `told` once it has come."""

    def stop(self, flow: Flow) -> None:
        """End a transfer where it is."""

    def resize(self, link: Link, capacity: float) -> None:
        """A link's capacity is another."""

    def message(self, one: Any, other: Any, what: Callable[..., None], *told: Any) -> None:
        """Say something to another box, which may not hear it."""

    def answer(self, dispatch: Any, word: str, note: int) -> None:
        """Answer a gateway; `reset` ends its connection."""

    def service(self) -> int:
        """What the origin takes for one part or effect."""

    def effect(self, dispatch: Any, origin: Any) -> None:
        """A write has run."""


class AroundGateway(Around, Protocol):
    """What a gateway has."""

    asked_at: dict[int, int]
    sends: int
    wasted: int
    believes: int

    def rows(self, zone: int) -> list[Any]:
        """The list as a gateway of a location gets it."""

    def sending(self, dispatch: Any, number: int, source: Any) -> None:
        """Send a req to a box."""

    def undo(self, dispatch: Any) -> int:
        """Take a dispatch back; tells when that is sure."""

    def check(self, gateway: Any, backend: Any, box: Any, life: int) -> None:
        """Ask a box for its load."""

    def final(self, gateway: Any, number: int, ask: Any, word: str, after: int, dispatch: Any) -> None:
        """Give a client its final answer."""

    def gone(self, number: int) -> None:
        """A client has gone, or lost its gateway."""

    def excuse(self, number: int, until: int) -> None:
        """Nobody can answer a req before then: its gateway is stopped."""
