"""Removes obsolete entries from a heap before they are due, so that they do not hold memory until then.

No I/O and no clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_SIZE = 256  # entries; a smaller heap is left as it is


class HeapCompaction:
    """Keeps a heap at no more than twice its entries that are not obsolete, or `MIN_SIZE`."""

    def __init__(self) -> None:
        self.due_at_size = MIN_SIZE

    def apply(self, heap: list[Any], is_obsolete: Callable[[Any], bool]) -> None:
        """Remove the obsolete entries if the heap has doubled since they were removed last. The order in
        which the others are popped does not change if no two entries are equal."""
        if len(heap) < self.due_at_size:
            return
        heap[:] = [entry for entry in heap if not is_obsolete(entry)]
        heapq.heapify(heap)
        self.due_at_size = max(MIN_SIZE, 2 * len(heap))
