"""Sends final answers to clients: one per request, and none to a client that has disconnected."""

from __future__ import annotations

import time
from enum import StrEnum

from lilacloft.gateway.context import GatewayContext
from lilacloft.net.client_request import ClientRequest


class AnswerKind(StrEnum):
    """The outcome that a final answer reports; the values are keys of `Counters.answers` and of records."""

    SERVED = "done"
    REJECTED = "denied"  # not served; safe to retry
    FAILED = "aborted"  # failed; the request may or may not have been executed


STATUS = {AnswerKind.SERVED: b"200", AnswerKind.REJECTED: b"503", AnswerKind.FAILED: b"500"}
AnswerFields = tuple[tuple[str, object], ...]  # names and values, in the order in which they are encoded


class FinalAnswers:
    """Sends the final answers of one gateway."""

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway

    def send(
        self, client_request: ClientRequest, kind: AnswerKind, fields: AnswerFields = (), body: bytes = b""
    ) -> None:
        """Send a request's final answer, unless it was answered already or its client has disconnected."""
        gateway = self.gateway
        if not gateway.downstream.close_request(client_request):
            return
        gateway.counters.answers[kind] += 1
        gateway.invariants.answered(client_request.history, gateway.clock.time)
        reason = client_request.request.reject_reason.name if client_request.request.reject_reason else ""
        if reason:
            gateway.counters.rejects[reason] += 1
        gateway.trace.add(gateway.clock.monotonic_time, client_request.name, kind, reason)
        if gateway.recorder:
            gateway.recorder.answered(client_request, kind.value)
        gateway.downstream.answer(client_request.client, client_request.tag, STATUS[kind], fields, body)
        client_request.client.used = time.monotonic()
        client_request.client.settled += 1  # last: from here on the connection may be closed
