"""The durable state of a gateway: an append-only log with snapshots and crash recovery.

Storage layer, bottom up: framing (file format), directory and files (file access), recovery (reading), log
(writing), group_commit (writer thread). Contents: record_types and recovered_state (records and their
decoding), endpoint_rows and learned_state (two kinds of records), idempotency and durability (what must be
durable before a dispatch). Integration with the gateway: crash_recovery, background_records, gateway_store.
"""
