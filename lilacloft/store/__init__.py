"""The durable state of a gateway: an append-only log with snapshots and crash recovery.

From the bytes up: framing (the format), directory and files (where the bytes are), recovery (reading), log
(writing), group_commit (the writer thread). On top of it: record_types and recovered_state (what is stored),
endpoint_rows and learned_state (two kinds of it), idempotency and durability (what must be durable before a
dispatch), crash_recovery, background_records and gateway_store (the connection to the gateway).
"""
