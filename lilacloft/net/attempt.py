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

TIME_LIMIT_MAX_AGE = 10  # ticks after which the time limit in an encoded dispatch is encoded again


def with_time_limit(dispatch: bytes, milliseconds: int) -> bytes:
    """An encoded dispatch whose time limit (`max`) is at most `milliseconds`; it is never raised."""
    buffer = MessageBuffer()
    buffer.append(dispatch)
    verb, name, field_list, body = buffer.next_message() or []
    pairs = parse_fields(field_list)
    pairs["max"] = str(min(int(pairs["max"]), milliseconds))
    return encode(verb, name, encode_fields(pairs.items()), body)


@dataclass(eq=False, slots=True)
class Attempt:
    """A dispatch of a request, or a health check. Times but `at` are by the monotonic clock, 0: none."""

    call: Any  # the client's request; None: a health check
    backend: Backend
    seq: int  # the number of the attempt within its request
    name: bytes  # the id under which the backend answers
    connection: Connection | None = field(default=None, init=False)  # None: it has ended
    data: bytes  # the encoded message
    position: int = field(default=0, init=False)  # where it ends in its connection's stream
    at: Ticks  # when it was made, by the gateway's clock
    passed_on_at: Ticks = field(default=0, init=False)  # to its connection, by the same clock; 0: not known
    encoded_at: Ticks = 0  # when `data` was encoded
    time_limit: Ticks = 0  # the time limit that `data` holds
    deadline: Ticks = 0  # when it times out
    send_by: Ticks = 0  # from when on it may not be sent, if it was not before
    window_over: Ticks = 0  # when its idempotency window ends
    expired_unsent: bool = field(default=False, init=False)  # removed from the backlog, as it had expired
    confirmation: Attempt | None = field(default=None, init=False)  # the health check behind its cancellation
    confirms: Attempt | None = field(default=None, init=False)  # of a health check: the cancelled attempt

    def has_waited(self, now: Ticks) -> bool:
        """Has it waited since it was encoded, so that what was decided then may hold no more?"""
        return now - self.encoded_at >= TIME_LIMIT_MAX_AGE

    def refresh(self) -> None:
        """Lower the encoded time limit to the time that is left: it may have waited since it was encoded."""
        now = time.monotonic_ns() // NS_PER_TICK
        if self.deadline and self.has_waited(now):
            milliseconds = max(1, (self.deadline - now) // TICKS_PER_MILLISECOND)
            self.data = with_time_limit(self.data, milliseconds)
            self.encoded_at, self.time_limit = now, TICKS_PER_MILLISECOND * milliseconds

    def begun(self, drained: Ticks) -> FirstByte:
        """What the invariants check as its first byte is sent; `drained`: since when its backend drains."""
        left = self.call.cancelled_at or self.call.client.input_ended or 0
        return FirstByte(
            self.name.decode(),
            time.monotonic_ns() // NS_PER_TICK,
            self.time_limit,
            self.deadline,
            left,
            self.window_over,
            drained,
        )

    def expired(self) -> bool:
        """May it not be sent any more, as its time is up or its client may have disconnected?

        Any thread may call this."""
        if self.call is None:
            return False
        now = time.monotonic_ns() // NS_PER_TICK
        if (self.send_by and now >= self.send_by) or (self.deadline and now >= self.deadline):
            return True
        departed_at = self.call.departed()
        return departed_at is not None and now >= last_send_time(departed_at)
