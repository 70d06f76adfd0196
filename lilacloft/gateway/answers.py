"""Sends the final answers to clients: one for each request, and none to a client that has left."""

from __future__ import annotations

import time
from enum import StrEnum

from lilacloft.gateway.context import GatewayContext
from lilacloft.net.client_request import ClientRequest


class AnswerKind(StrEnum):
    """What a final answer says; the values are keys of `Counters.answers` and of records."""

    SERVED = "done"
    REJECTED = "denied"  # not served, and safe to send again
    FAILED = "aborted"  # failed, with nothing promised


STATUS = {AnswerKind.SERVED: b"200", AnswerKind.REJECTED: b"503", AnswerKind.FAILED: b"500"}
AnswerFields = tuple[tuple[str, object], ...]  # names and values, in the order in which they are written


class FinalAnswers:
    """Sends one gateway's final answers."""

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway

    def send(
        self, call: ClientRequest, kind: AnswerKind, fields: AnswerFields = (), body: bytes = b""
    ) -> None:
        """Send a request's final answer, unless it has had one or its client has left."""
        gateway = self.gateway
        if not gateway.front.close_request(call):
            return
        gateway.counters.answers[kind] += 1
        gateway.invariants.answered(call.history, gateway.clock.time)
        reason = call.request.reject_reason.name if call.request.reject_reason else ""
        if reason:
            gateway.counters.rejects[reason] += 1
        gateway.trace.add(gateway.clock.monotonic_time, call.name, kind, reason)
        if gateway.recorder:
            gateway.recorder.answered(call, kind.value)
        gateway.front.answer(call.client, call.tag, STATUS[kind], fields, body)
        call.client.used = time.monotonic()
        call.client.settled += 1  # after the answer: its connection may end now
