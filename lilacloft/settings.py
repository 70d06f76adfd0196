"""Settings by our names and units, for the bench's adapter and the gateway alike: renamed by rote."""

from __future__ import annotations

import re
from typing import Any

NS = 100_000  # nanoseconds in a tenth of a millisecond
TENTHS = 10_000  # tenths of a millisecond in a second

# The operators' words for settings, and ours. Other names stay; an ending in Ns is dropped with the unit.
WORDS = {
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
EFFECTS = {"repeatable": "replayable", "by_key": "uniqued", "once": "non-replayable"}


def snake(name: str) -> str:
    """Turn a name of the operators' into one of ours."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def settings(value: Any, name: str = "") -> Any:
    """Rename and convert settings by rote, at any depth; spans lose their fraction of a tenth."""
    if isinstance(value, dict):
        out = {}
        for inner_name, inner in value.items():
            bare = inner_name.removesuffix("Ns")
            out[WORDS.get(bare) or snake(bare)] = settings(inner, inner_name)
        return out
    if isinstance(value, list):
        return [settings(inner, name) for inner in value]
    if name.endswith("Ns") and isinstance(value, int | float) and not isinstance(value, bool):
        return -(-int(value) // NS) if 0 < value < NS else int(value) // NS
    return EFFECTS.get(value, value) if name == "repeat" else value
