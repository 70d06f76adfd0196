"""Moving averages over the requests of one gateway."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 1 / 16  # weight of one observation in a moving average


@dataclass(slots=True)
class TrafficAverages:
    """What a mean request of this gateway is like; 0: none has come."""

    value: float = 0.0  # what its answer is worth, in the settings' unit
    transfer_time: float = 0.0  # ticks
    load: float = 0.0  # KB, or 1 where sizes are not known

    def record(self, value: float, load: float) -> None:
        """Take in a request that has come."""
        self.load += SMOOTHING * (load - self.load) if self.load else load
        self.value += SMOOTHING * (value - self.value)

    def record_transfer_time(self, transfer_time: float) -> None:
        """Take in how long a request that has come takes to send."""
        self.transfer_time += SMOOTHING * (transfer_time - self.transfer_time)
