"""Names of message fields on the wire, where they differ from the names of the attributes.

There is one table for each message of `lilacloft.handover.messages`, from attribute to wire name. Gateways of
other versions must be able to read what this one writes, and the reverse, so the wire names never change.
Those of the router's state are defined in `lilacloft.routing.snapshot`.
"""

from __future__ import annotations

from lilacloft.routing import snapshot

UPGRADE_REQUEST_KEYS = {"command": "to"}
PHASE_REPORT_KEYS = {
    "reason": "why",
    "previous_phase_seconds": "took",
    "is_final": "done",
    "succeeded": "ok",
}
REASON_KEYS = {"reason": "why"}
HELLO_KEYS = {"state_version": "form", "store_folder": "store"}
LISTED_BACKEND_KEYS = {"capacity": "size"}
WARM_UP_KEYS = {"sender_pid": "parent", "oldest_reader": "least", "backends": "listed"}
EFFECT_KEYS = {
    "previous_intent": "before",
    "in_flight": "users",
    "was_sent": "sent",
    "is_synced": "down",
    "of_earlier_process": "earlier",
}
STORE_STATE_KEYS = {"effects": "chains", "attempts": "out"}
LIMIT_KEYS = snapshot.LIMIT_KEYS
REFERENCE_KEYS = {"backend": "be", "backends": "bes", "requests": "reqs", "object_parts": "objs"}
BACKEND_KEYS = {
    **snapshot.BACKEND_KEYS,
    **REFERENCE_KEYS,
    "concurrency_limit": "way",
    "canary": "trial",
}
OBJECT_PART_KEYS = {**snapshot.OBJECT_PART_KEYS, "part_key": "place", "last_served_by": "home"}
REQUEST_KEYS = {
    **snapshot.REQUEST_KEYS,
    **REFERENCE_KEYS,
    "first_executed_by": "ran_at",
    "failed_backends": "avoid",
    "fill_limit": "way",
}
ROUTER_KEYS = {**REFERENCE_KEYS, "link_limit": "link", "deadlines": "due"}
CONNECTION_KEYS = {
    "descriptor": "sock",
    "partial_message": "held",
    "unsent": "backlog",
    "queued_bytes": "queued",
    "written_bytes": "written",
    "last_read_at": "came",
    "message_began_at": "begun",
    "consumed_bytes": "passed_on",
}
CLIENT_CONNECTION_KEYS = {
    **CONNECTION_KEYS,
    "message_count": "said",
    "useless_message_count": "offences",
    "request_count": "taken",
    "settled_request_count": "settled",
    "last_used_at": "used",
    "write_progress": "moved",
}
BACKEND_CONNECTION_KEYS = {
    **CONNECTION_KEYS,
    "backend": "be",
    "backend_started": "life",
    "last_answer_at": "heard",
    "last_used_at": "used",
    "created_at": "made",
    "is_retired": "shunned",
}
CLIENT_REQUEST_KEYS = {
    "purge_group": "group",
    "timeout_ms": "allow",
    "received_at": "at",
    "idempotency_key": "replay",
    "cached_version": "got",
    "is_open": "open",
    "connections": "lines",
}
ATTEMPT_KEYS = {
    "request": "call",
    "backend": "be",
    "sent_at": "at",
    "connection": "line",
    "stream_end": "place",
    "deadline": "until",
    "pending_end": "over",
}
CLOCK_OFFSET_KEYS = {"minimum_lag": "lag", "measured_at": "at", "backend_starts": "starts"}
GATEWAY_KEYS = {
    "oldest_reader": "least",
    "monotonic_time": "steady",
    "last_event": "last",
    "backends": "listed",
    "clock_offset": "stamps",
    "router": "module",
    "health_check_count": "checks",
    "backend_connections": "lines",
    "requests": "calls",
    "attempts": "sents",
    "descriptor_count": "sockets",
    "must_reload": "reload",
}
