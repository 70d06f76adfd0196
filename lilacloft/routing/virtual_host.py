"""Virtual hosts: their settings, and statistics of their requests at this gateway."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lilacloft.routing.averages import SMOOTHING
from lilacloft.routing.model import Idempotency, IdempotencyScope
from lilacloft.routing.units import Ticks

# Steps of the threshold for large requests, in mean transfer times: it converges to the 70th percentile, so
# that the largest three tenths of the requests are above it.
LARGE_STEP_UP, LARGE_STEP_DOWN = 0.7, -0.3


class VirtualHost:
    """One virtual host. Durations are ticks."""

    def __init__(self, config: Mapping[str, Any], family: Mapping[str, Any], index: int) -> None:
        """`config`: its own settings; `family`: shared settings with one list entry per virtual host, at
        `index`."""
        self.first_byte_target: Ticks = config["first_byte_target"]
        self.objective_stretch = config.get("aim_stretch") or 0.0
        self.value: float = config["value"]
        self.idempotency = Idempotency(config["effect"])
        self.is_safe = self.idempotency is Idempotency.SAFE  # may be executed any number of times
        self.idempotency_scope = IdempotencyScope(config.get("repeat_group", "cell"))
        self.idempotency_window: Ticks = config.get("repeat_window", 0)
        self.fresh, self.grace, self.uncacheable = (
            (family.get(name) or [0] * (index + 1))[index] for name in ("fresh", "grace", "uncacheable")
        )
        # until the first answer, assume half of the target, as the target must leave room for the transfer
        self.mean_transfer_time = self.first_byte_target / 2
        self.usual_answer_time = self.first_byte_target / 2  # mean duration of the answers in time
        self.has_traffic = False
        self.answered_share = self.large_answered_share = 1.0  # of the recent requests, of the large ones
        self.large_threshold = 0.0  # transfer time above which a request is large

    def latency_objective(self, transfer_time: float) -> Ticks:
        """Return the duration within which an answer earns its full value."""
        return int(self.first_byte_target + self.objective_stretch * transfer_time)

    def record_first(self, transfer_time: float) -> None:
        """Record the first request; a transfer time of 0 means unknown."""
        self.has_traffic = True
        self.mean_transfer_time = transfer_time or self.mean_transfer_time
        self.large_threshold = self.mean_transfer_time

    def record_arrival(self, transfer_time: float) -> None:
        """Move the threshold for large requests towards its quantile."""
        step = LARGE_STEP_UP if transfer_time > self.large_threshold else LARGE_STEP_DOWN
        self.large_threshold += SMOOTHING * self.mean_transfer_time * step

    def record_final(self, transfer_time: float, answered: bool) -> None:
        """Record whether a request was served in the end."""
        self.answered_share += SMOOTHING * (answered - self.answered_share)
        if transfer_time > self.large_threshold:
            self.large_answered_share += SMOOTHING * (answered - self.large_answered_share)

    def record_answer(self, transfer_time: float, duration: Ticks, late: bool) -> None:
        """Record the transfer time and the total duration of an answer."""
        self.mean_transfer_time += SMOOTHING * (transfer_time - self.mean_transfer_time)
        if not late:
            self.usual_answer_time += SMOOTHING * (duration - self.usual_answer_time)
