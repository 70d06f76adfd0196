"""Export and restore of a durability gate as plain values, for the handover to the next process.

Only state that is not in the store is exported: the dispatches in flight. Their outcomes decide which intents
stay stored, and all attempts under a key are tracked together, including those that an earlier process began.
No dispatch is pending at a handover.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lilacloft.store.durability import DurabilityGate, KeyUse
from lilacloft.store.record_types import unpack_intent

# Attributes of a gate and of a `KeyUse`, and their keys in the exported maps, in the exported order.
GATE_KEYS = {"key_uses": "chains", "in_flight": "out", "work_written_at": "budgets", "counts": "counts"}
KEY_USE_KEYS = {
    "key": "key",
    "previous_intent": "before",
    "dispatches": "users",
    "may_have_executed": "sent",
    "intent_durable": "down",
    "is_earlier_key": "earlier",
}


def export(gate: DurabilityGate) -> dict[str, Any]:
    """Return the state of a gate, with the keys of GATE_KEYS."""
    values = {
        "key_uses": [_export_use(key, use, key in gate.earlier_keys) for key, use in gate.key_uses.items()],
        "in_flight": [[token, key] for token, key in gate.in_flight.items()],
        "work_written_at": dict(gate.work_written_at),
        "counts": dict(gate.counts),
    }
    return {stored: values[attribute] for attribute, stored in GATE_KEYS.items()}


def _export_use(key: bytes, use: KeyUse, is_earlier_key: bool) -> dict[str, Any]:
    values = {
        "key": key,
        "previous_intent": use.previous_intent.pack() if use.previous_intent else None,
        "dispatches": use.dispatches,
        "may_have_executed": use.may_have_executed,
        "intent_durable": use.intent_durable,
        "is_earlier_key": is_earlier_key,
    }
    return {stored: values[attribute] for attribute, stored in KEY_USE_KEYS.items()}


def restore(gate: DurabilityGate, exported: Mapping[str, Any]) -> None:
    """Restore the state that the previous process exported. All other intents in the store count as those of
    an earlier process."""
    values = {attribute: exported[stored] for attribute, stored in GATE_KEYS.items()}
    for use in values["key_uses"]:
        _restore_use(gate, {attribute: use[stored] for attribute, stored in KEY_USE_KEYS.items()})
    gate.in_flight = {token: key for token, key in values["in_flight"]}
    gate.work_written_at = dict(values["work_written_at"])
    for name, count in values["counts"].items():
        gate.counts[name] = gate.counts.get(name, 0) + count


def _restore_use(gate: DurabilityGate, values: Mapping[str, Any]) -> None:
    key, previous_intent = values["key"], values["previous_intent"]
    gate.key_uses[key] = KeyUse(
        unpack_intent(previous_intent) if previous_intent else None,
        values["dispatches"],
        values["may_have_executed"],
        values["intent_durable"],
    )
    if not values["is_earlier_key"]:
        gate.earlier_keys.discard(key)
