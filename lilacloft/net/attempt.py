"""An attempt: one dispatch of a request to a backend, or one health check, as it is sent."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from lilacloft.invariants import FirstByte
from lilacloft.net.connection import Connection
from lilacloft.net.resp import MessageBuffer, encode, encode_fields, parse_fields
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.routing.model import Backend
from lilacloft.routing.retries import last_send_time
from lilacloft.routing.units import TICKS_PER_MILLISECOND, Ticks

ALREADY_PASSED: Ticks = 1  # a time in the past; 0 stands for none
TIME_LIMIT_MAX_AGE = 10  # ticks after which the time limit in an encoded dispatch is updated


def with_time_limit(dispatch: bytes, milliseconds: int) -> bytes:
    """Return an encoded dispatch with its time limit (`max`) lowered to `milliseconds`, never raised."""
    buffer = MessageBuffer()
    buffer.append(dispatch)
    verb, name, field_list, body = buffer.next_message() or []
    pairs = parse_fields(field_list)
    pairs["max"] = str(min(int(pairs["max"]), milliseconds))
    return encode(verb, name, encode_fields(pairs.items()), body)


@dataclass(eq=False, slots=True)
class Attempt:
    """A dispatch of a request, or a health check. Times, except `at` and `passed_on_at`, are by the monotonic
    clock; 0: none."""

    client_request: Any  # the `ClientRequest`; None: a health check
    backend: Backend
    seq: int  # number of the attempt within its request
    name: bytes  # the id that the backend's answer carries
    connection: Connection | None = field(default=None, init=False)  # None: not sent, or ended
    data: bytes  # the encoded message
    position: int = field(default=0, init=False)  # where the message ends in its connection's stream
    at: Ticks  # when it was created, by the gateway's clock
    # when it was passed to its connection, by the gateway's clock; 0: unknown
    passed_on_at: Ticks = field(default=0, init=False)
    encoded_at: Ticks = 0  # when `data` was encoded
    time_limit: Ticks = 0  # the time limit that `data` holds
    deadline: Ticks = 0  # when the attempt times out
    send_by: Ticks = 0  # from when on it may no longer be sent
    window_over: Ticks = 0  # when its idempotency window ends
    expired_unsent: bool = field(default=False, init=False)  # dropped from the backlog because it had expired
    confirmation: Attempt | None = field(default=None, init=False)  # health check sent after its cancellation
    confirms: Attempt | None = field(default=None, init=False)  # of a health check: the cancelled attempt

    def has_waited(self, now: Ticks) -> bool:
        """Return whether it has waited since it was encoded, so that its contents may be outdated."""
        return now - self.encoded_at >= TIME_LIMIT_MAX_AGE

    def refresh(self) -> None:
        """Lower the encoded time limit to the remaining time, if it has waited since it was encoded."""
        now = time.monotonic_ns() // NS_PER_TICK
        if self.deadline and self.has_waited(now):
            milliseconds = max(1, (self.deadline - now) // TICKS_PER_MILLISECOND)
            self.data = with_time_limit(self.data, milliseconds)
            self.encoded_at, self.time_limit = now, TICKS_PER_MILLISECOND * milliseconds

    def first_byte(self, drained: Ticks) -> FirstByte:
        """Return the data for checking its first byte; `drained`: since when its backend drains."""
        client_left_at = self.client_request.cancelled_at or self.client_request.client.input_ended or 0
        return FirstByte(
            self.name.decode(),
            time.monotonic_ns() // NS_PER_TICK,
            self.time_limit,
            self.deadline,
            client_left_at,
            self.window_over,
            drained,
        )

    def abandon(self) -> None:
        """Forbid to send it, as another process does. Called while its connection is paused."""
        self.send_by = ALREADY_PASSED

    def expired(self) -> bool:
        """Return whether it must not be sent: its deadline has passed, or its client may have disconnected.

        Any thread may call this."""
        if self.client_request is None:
            return False
        now = time.monotonic_ns() // NS_PER_TICK
        if (self.send_by and now >= self.send_by) or (self.deadline and now >= self.deadline):
            return True
        disconnected_at = self.client_request.disconnected_since()
        return disconnected_at is not None and now >= last_send_time(disconnected_at)
