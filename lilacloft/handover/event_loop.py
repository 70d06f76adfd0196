"""Calls from other threads into a gateway's event loop."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Any

POLL_SECONDS = 2.0  # between two checks whether the event loop still runs


def run_on_event_loop(gateway: Any, function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a function in the thread of a gateway's event loop, and wait until it has.

    Returns its result; None if it raises, or if the gateway ends before it runs.
    """
    results: queue.SimpleQueue[Any] = queue.SimpleQueue()

    def run() -> None:
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
            if gateway.gone:
                return None
