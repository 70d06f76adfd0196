"""Messages between two processes of a gateway, and between a gateway and the upgrade command.

Each message is a MessagePack map of its fields, in the order in which they are defined here and under the
names given by `lilacloft.handover.wire_names`. `lilacloft.handover.framing` encodes messages as frames.

Times are `Ticks` of the gateway's own clock unless stated otherwise. Monotonic times are those of the
machine's monotonic clock, which both processes share. Connections and requests refer to each other by index.
"""

from __future__ import annotations

from msgspec import UNSET, Struct, UnsetType

from lilacloft.handover import wire_names
from lilacloft.handover.framing import OLDEST_READER_VERSION, STATE_VERSION
from lilacloft.routing.units import Ticks

MAX_REASON_CHARACTERS = 4096  # longer reasons are truncated

# --- upgrade command and gateway ---


class UpgradeRequest(Struct, rename=wire_names.UPGRADE_REQUEST_KEYS):
    """Asks a gateway to start a handover."""

    command: str = ""  # starts the new process; empty: the command that started the gateway
    mode: str = ""  # a HandoverMode; empty: the mode from the gateway's settings


class PhaseReport(Struct, rename=wire_names.PHASE_REPORT_KEYS):
    """Reports that a phase of the handover has begun."""

    phase: str
    reason: str = ""
    previous_phase_seconds: float = 0.0
    pid: int = 0  # of the new process; 0: not started yet
    is_final: bool = False
    succeeded: bool = False


# --- before the state is sent ---


class Reason(Struct, rename=wire_names.REASON_KEYS):
    """Why the sender dismisses the receiver, or the receiver refuses the state."""

    reason: str = ""


class Hello(Struct, rename=wire_names.HELLO_KEYS):
    """The first message of a receiver."""

    version: str
    state_version: int  # the newest version that it can read
    vhosts: list[str] = []
    store_folder: str = ""  # empty: no store is configured


class ListedBackend(Struct, rename=wire_names.LISTED_BACKEND_KEYS):
    """One row of the endpoint list."""

    name: str
    host: str
    port: int
    zone: int
    kind: int
    cell: int
    status: int  # a BackendStatus; GONE: no longer listed, but with requests in flight
    capacity: float
    started: Ticks


class WarmUp(Struct, rename=wire_names.WARM_UP_KEYS):
    """What the receiver can prepare while the sender still serves."""

    sender_pid: int
    oldest_reader: int = OLDEST_READER_VERSION
    mode: str = "whole"
    backends: list[ListedBackend] = []


# --- after the commit ---


class FinalCounters(Struct):
    """What the sender has counted since its state was exported, by group and name."""

    counts: dict[str, dict[str, int]] = {}


class StoreRecord(Struct):
    """A record that a draining sender needs written to the store, which the receiver now owns."""

    ticket: int
    kind: int
    key: bytes
    value: bytes | None = None  # None: removes the key


# --- the state: store ---


class EffectState(Struct, rename=wire_names.EFFECT_KEYS):
    """The attempts under one idempotency key (lilacloft/store/durability.py)."""

    key: bytes
    previous_intent: bytes | None = None
    in_flight: int = 0
    was_sent: bool = False
    is_synced: bool = False
    of_earlier_process: bool = False


class StoreState(Struct, rename=wire_names.STORE_STATE_KEYS):
    """The state of the store's writer. The lock on the store's folder is sent as the last descriptor."""

    folder: str
    effects: list[EffectState] = []
    attempts: list[tuple[str, bytes]] = []  # token and key of each attempt in flight
    budgets: dict[str, int] = {}
    counts: dict[str, int] = {}


# --- the state: routing (as `snapshot.export_state` returns it) ---


class LimitState(Struct, rename=wire_names.LIMIT_KEYS):
    """An adaptive concurrency limit."""

    limit: float | UnsetType = UNSET
    late_share: float | UnsetType = UNSET
    next_cut_at: Ticks | UnsetType = UNSET
    last_ended_at: Ticks | UnsetType = UNSET
    last_duration: Ticks | UnsetType = UNSET


class BackendState(Struct, rename=wire_names.BACKEND_KEYS):
    """Learned state of a backend, and its requests in flight."""

    started: Ticks
    concurrency_limit: LimitState | None = None
    canary: int | None = None  # index of a request
    requests: list[int] = []  # indices of requests in flight, in the order in which they were sent
    reported_load: float | UnsetType = UNSET
    saturation_in_flight: float | UnsetType = UNSET
    health_checked_at: Ticks | UnsetType = UNSET
    last_answer_at: Ticks | UnsetType = UNSET
    consecutive_failures: int | UnsetType = UNSET
    late_fill_share: float | UnsetType = UNSET
    ejected: bool | UnsetType = UNSET
    retry_at: Ticks | UnsetType = UNSET
    backoff: Ticks | UnsetType = UNSET
    recent_work: list[tuple[Ticks, float]] = []


class ObjectPartState(Struct, rename=wire_names.OBJECT_PART_KEYS):
    """Known state of the cached copies of one object part."""

    part_key: tuple[str, int]
    last_served_by: str | None = None
    revalidated_at: Ticks | None | UnsetType = UNSET
    request_count: int | UnsetType = UNSET
    filled_at: Ticks | UnsetType = UNSET
    min_transfer_time: float | UnsetType = UNSET


class RequestState(Struct, rename=wire_names.REQUEST_KEYS):
    """An open request as the router sees it; backends are given by name."""

    key: str
    part: int
    purge_group: int
    kbytes: float
    arrived_at: Ticks
    deadline: Ticks
    vhost: int
    tenant: int = 0
    is_write: bool = False
    is_client_retry: bool = False
    streaming: bool = False
    in_flight: bool = False
    attempts: int = 0
    sent_at: Ticks = 0
    load_units: float = 0.0
    transfer_time: float = 0.0
    expects_fill: bool = False
    first_executed_at: Ticks | None = None
    revalidates: bool = False
    may_collapse: bool = True
    cache_only: bool = False
    send_by: Ticks = 0
    backend: str | None = None
    source: str | None = None
    first_executed_by: str | None = None
    failed_backends: list[str] = []
    cached: bool = False
    fill_limit: str | None = None  # empty: the link limit; else the source whose limit counts the fill


class RouterState(Struct, rename=wire_names.ROUTER_KEYS):
    """The whole state of the router."""

    router: dict[str, int | float]
    vhosts: list[dict[str, int | float]]
    link_limit: LimitState
    backends: dict[str, BackendState]
    purges: list[tuple[str | int, Ticks]] = []
    object_parts: list[ObjectPartState] = []
    requests: list[RequestState] = []
    deadlines: list[tuple[Ticks, int, int]] = []  # time, index of the request, number of the attempt


# --- the state: connections, and the requests and attempts on them ---


class ConnectionState(Struct, rename=wire_names.CONNECTION_KEYS):
    """A quiesced connection; its times are monotonic, in seconds."""

    descriptor: int  # index among the transferred descriptors
    partial_message: bytes = b""  # received bytes of an incomplete message
    unsent: list[tuple[int, bytes]] = []  # for each message: end position in the outgoing stream, unsent rest
    queued_bytes: int = 0
    written_bytes: int = 0
    last_read_at: float = 0.0
    message_began_at: float = 0.0
    consumed_bytes: int = -1  # bytes read; -1: the sender did not count them


class ClientConnectionState(ConnectionState, kw_only=True, rename=wire_names.CLIENT_CONNECTION_KEYS):
    """A client's connection."""

    message_count: int = 0
    useless_message_count: int = 0  # since the last request
    request_count: int = 0
    settled_request_count: int = 0  # requests that need no answer any more
    last_used_at: float = 0.0
    write_progress: tuple[int, float] = (0, 0.0)  # bytes written, and the time of the last progress


class BackendConnectionState(ConnectionState, kw_only=True, rename=wire_names.BACKEND_CONNECTION_KEYS):
    """A connection to a backend."""

    backend: str
    host: str
    port: int
    backend_started: Ticks
    last_answer_at: Ticks = 0
    last_used_at: Ticks = 0
    created_at: Ticks = 0
    is_retired: bool = False  # gets no new attempts


class ClientRequestState(Struct, rename=wire_names.CLIENT_REQUEST_KEYS):
    """An open request as its client sent it."""

    client: int  # descriptor index of its connection
    tag: bytes
    name: str
    vhost: int
    key: str
    part: int
    purge_group: int
    kbytes: float
    timeout_ms: int
    received_at: Ticks  # monotonic
    idempotency_key: str | None = None
    cached_version: str | None = None
    body: bytes = b""
    is_open: bool = True
    connections: list[int] = []  # indices of the connections it was sent on; -1: the connection has ended


class AttemptState(Struct, rename=wire_names.ATTEMPT_KEYS):
    """An attempt or a health check in flight."""

    request: int | None  # index; None: a health check
    backend: str
    seq: int
    name: bytes
    data: bytes
    sent_at: Ticks
    connection: int | None = None  # index; None: not sent on a connection
    stream_end: int = 0  # end position in the outgoing stream
    deadline: Ticks | None = None
    pending_end: tuple[str, Ticks] | None = (
        None  # set for an abandoned attempt: name of its end, and when that is reported
    )


class ClockOffsetState(Struct, rename=wire_names.CLOCK_OFFSET_KEYS):
    """The estimate by `lilacloft.clock_offset` of the offset of discovery's clock.

    `backend_starts`: for each backend the time stamp of its start, that time by the gateway's clock, and
    whether it may still be corrected.
    """

    minimum_lag: Ticks | None = None
    measured_at: Ticks = 0
    backend_starts: dict[str, tuple[int, Ticks, bool]] = {}


class GatewayState(Struct, rename=wire_names.GATEWAY_KEYS):
    """The state of a quiesced gateway."""

    version: int = STATE_VERSION
    oldest_reader: int = OLDEST_READER_VERSION
    mode: str = "whole"
    time: Ticks = 0
    monotonic_time: Ticks = 0
    vhosts: list[str] = []
    last_event: int = 0  # number of the last event from discovery
    backends: list[ListedBackend] = []
    clock_offset: ClockOffsetState | None = None
    router: RouterState | None = None
    counts: dict[str, dict[str, int]] = {}
    health_check_count: int = 0
    clients: list[ClientConnectionState] = []
    backend_connections: list[BackendConnectionState] = []
    requests: list[ClientRequestState] = []
    attempts: list[AttemptState] = []
    descriptor_count: int = 0
    must_reload: bool = False  # SIGHUP was received during the handover
    store: StoreState | None = None
