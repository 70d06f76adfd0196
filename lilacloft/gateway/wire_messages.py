"""Encodes the message that sends an attempt to a backend. docs/gateway.md specifies its format."""

from __future__ import annotations

from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.resp import encode, encode_fields
from lilacloft.routing.host import Dispatch
from lilacloft.routing.model import Backend

DISPATCH = b"do"


def encode_dispatch(
    client_request: ClientRequest, dispatch: Dispatch, vhost: str, source: Backend | None
) -> bytes:
    """Return an attempt's message. `vhost`: the virtual host's name; `source`: the backend from which a miss
    is filled, None for no other backend."""
    request = dispatch.request
    fields = (
        ("profile", vhost),
        ("thing", request.key),
        ("nth", request.part),
        ("max", attempt_milliseconds(dispatch)),
        ("replay", client_request.idempotency_key),
        ("next", source.name if source else None),
        ("admit", dispatch.cache_rank or None),
        ("agelim", _max_age_milliseconds(dispatch)),
        ("ways", _fill_flags(dispatch)),
        ("cached", client_request.cached_version),
    )
    return encode(DISPATCH, client_request.name.encode(), encode_fields(fields), client_request.body)


def attempt_milliseconds(dispatch: Dispatch) -> int:
    """Return the time limit that an attempt carries; rounded down to at most what the gateway will wait."""
    return max(1, dispatch.timeout // TICKS_PER_MILLISECOND)


def _max_age_milliseconds(dispatch: Dispatch) -> int | None:
    """Return the maximum age of a copy, None for no limit. Never 0, which would mean the whole fresh time."""
    return max(1, dispatch.max_age // TICKS_PER_MILLISECOND) if dispatch.max_age else None


def _fill_flags(dispatch: Dispatch) -> str | None:
    flags = (
        ("share", dispatch.may_collapse),
        ("peek", dispatch.cache_only),
        ("swr", dispatch.revalidate),
    )
    return "+".join(flag for flag, is_set in flags if is_set) or None
