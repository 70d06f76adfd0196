"""Values of the simulator's messages: validation, and conversion to the router's types."""

from __future__ import annotations

from typing import Any

from lilacloft.errors import LilacloftError
from lilacloft.routing.host import ListMode
from lilacloft.routing.model import Outcome

OUTCOMES = {  # by `stateCode`
    "Ok": Outcome.DONE,
    "Failed": Outcome.ERROR,
    "QueueFull": Outcome.QUEUE_FULL,
    "TimedOut": Outcome.TIMEOUT,
    "ConnectError": Outcome.CONNECT_FAILED,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.UNSENT,
    "Miss": Outcome.MISS,
}
LIST_MODES = {0: ListMode.CACHED, 1: ListMode.FAILED, 2: ListMode.FULL, 3: ListMode.DELTA}  # by `mode`
NUMBER = (int, float)
# Flag bits of `fetchThrough`.
COLLAPSE_BIT, CACHE_ONLY_BIT, REVALIDATE_BIT = 1, 2, 8
# Flag bits of `ingress`.
CLIENT_RETRY_BIT, WRITE_BIT = 2, 4


class MalformedError(LilacloftError):
    """The input is not a valid message of the simulator; the message says what is wrong."""


def value_at(
    values: list[Any], index: int, kind: type | tuple[type, ...], name: str, default: Any = None
) -> Any:
    """Return one value of a message, or the default if it is missing or null. `name`: for the error message.

    Raises MalformedError if the value has another type, or is missing and has no default.
    """
    value = values[index] if index < len(values) else None
    if value is None:
        if default is None:
            raise MalformedError(f"{name} is missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedError(
            f"{name} is not of type {kind if isinstance(kind, tuple) else kind.__name__}: {value!r}"
        )
    return value


def outcome_at(values: list[Any], index: int) -> Outcome:
    """Return the outcome for a `stateCode`. Raises MalformedError if the code is unknown."""
    code = value_at(values, index, str, "stateCode")
    if code not in OUTCOMES:
        raise MalformedError(f"unknown stateCode: {code}")
    return OUTCOMES[code]
