"""Maps the settings of the protocol to internal names and units. This is the only place where the operators'
names for settings are translated.

Durations become ticks (tenths of a millisecond).
"""

from __future__ import annotations

import re
from typing import Any

NS_PER_TICK = 100_000

# Protocol names and internal names. Other names are only converted to snake case. The suffix Ns is dropped,
# as the unit is converted.
NAMES = {
    "classes": "vhosts",
    "promise": "first_byte_target",
    "deadline": "client_timeout",
    "gain": "value",
    "repeat": "effect",
    "dedupScope": "repeat_group",
    "lateWorth": "late_value",
    "oldCopyWorth": "old_copy_value",
    "maxAttempts": "max_dispatches",
    "answerSlack": "answer_slack",
    "familyInfo": "family",
    "obligations": "rules",
    "projects": "tenants",
    "worthBy": "value_by",
    "freshFor": "fresh",
    "staleFor": "grace",
    "passOn": "uncacheable",
    "balancers": "gateways",
    "zoneBalancers": "zone_gateways",
    "worstClass": "worst_vhost",
    "overShareWorth": "over_share_value",
    "mayDuplicate": "may_send_two",
    "cpuUsPerRequest": "cpu_us_per_req",
}
IDEMPOTENCY = {"repeatable": "replayable", "by_key": "uniqued", "once": "non-replayable"}


def _snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def from_protocol(value: Any, name: str = "") -> Any:
    """Return settings with internal names and units, at any depth. `name`: the protocol name of the value.
    Durations are rounded down to whole ticks, but a positive one never to 0."""
    if isinstance(value, dict):
        out = {}
        for inner_name, inner in value.items():
            bare = inner_name.removesuffix("Ns")
            out[NAMES.get(bare) or _snake_case(bare)] = from_protocol(inner, inner_name)
        return out
    if isinstance(value, list):
        return [from_protocol(inner, name) for inner in value]
    if name.endswith("Ns") and isinstance(value, int | float) and not isinstance(value, bool):
        return -(-int(value) // NS_PER_TICK) if 0 < value < NS_PER_TICK else int(value) // NS_PER_TICK
    return IDEMPOTENCY.get(value, value) if name == "repeat" else value
