"""Calls from other threads into a gateway's event loop."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

Result = TypeVar("Result")

POLL_SECONDS = 2.0  # interval at which a waiting thread checks whether the event loop still runs


def run_on_event_loop(gateway: Gateway, function: Callable[..., Result], *arguments: Any) -> Result | None:
    """Run a function in the thread of a gateway's event loop, and wait for its result.

    Returns None if the function raises an exception, or if the gateway ends before it runs.
    """
    results: queue.SimpleQueue[Result | None] = queue.SimpleQueue()

    def run() -> None:
        """Run the function, and release the waiting thread even if it raises an exception."""
        result = None
        try:
            result = function(*arguments)
        finally:
            results.put(result)

    gateway.post(run)
    while True:
        try:
            return results.get(timeout=POLL_SECONDS)
        except queue.Empty:
            if gateway.has_ended:
                return None
