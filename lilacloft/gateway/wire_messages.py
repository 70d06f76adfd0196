"""Builds the message of an attempt as it goes to a backend. docs/gateway.md has its form."""

from __future__ import annotations

from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.resp import encode, encode_fields
from lilacloft.routing.host import Dispatch
from lilacloft.routing.model import Backend

DISPATCH = b"do"


def encode_dispatch(call: ClientRequest, dispatch: Dispatch, vhost: str, source: Backend | None) -> bytes:
    """Return an attempt's message. `vhost`: the virtual host's name; `source`: the backend that fills a miss,
    None where nobody else does."""
    request = dispatch.request
    fields = (
        ("profile", vhost),
        ("thing", request.key),
        ("nth", request.part),
        ("max", attempt_milliseconds(dispatch)),
        ("replay", call.replay),
        ("next", source.name if source else None),
        ("admit", dispatch.cache_rank or None),
        ("agelim", _max_age_milliseconds(dispatch)),
        ("ways", _fill_flags(dispatch)),
        ("cached", call.got),
    )
    return encode(DISPATCH, call.name.encode(), encode_fields(fields), call.body)


def attempt_milliseconds(dispatch: Dispatch) -> int:
    """Return the time limit that an attempt carries: never longer than the gateway will wait."""
    return max(1, dispatch.timeout // TICKS_PER_MILLISECOND)


def _max_age_milliseconds(dispatch: Dispatch) -> int | None:
    """Return the age that a copy may have; None: any. 0 would mean the whole fresh time."""
    return max(1, dispatch.max_age // TICKS_PER_MILLISECOND) if dispatch.max_age else None


def _fill_flags(dispatch: Dispatch) -> str | None:
    flags = (
        ("share", dispatch.may_collapse),
        ("peek", dispatch.cache_only),
        ("swr", dispatch.revalidate),
    )
    return "+".join(flag for flag, is_set in flags if is_set) or None
