"""Validates the platform's configuration and its settings: names, types, ranges and defaults.

Given values are never changed. Names are those of the protocol; `lilacloft/protocol_settings.py` maps them to
internal names.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from lilacloft.protocol_settings import IDEMPOTENCY


class Kind(NamedTuple):
    """The type and range of a setting."""

    description: str  # for error messages
    accepts: Callable[[Any], bool]


REQUIRED = object()  # instead of a default: the setting is required
REQUIRED_ON_SOCKETS = object()  # instead of a default: required only by a gateway on sockets


def is_number(value: Any) -> bool:
    """Return whether a value is a finite number, and not a Boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def is_integer(value: Any) -> bool:
    """Return whether a value is an integer, and not a Boolean."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_string_list(value: Any) -> bool:
    """Return whether a value is a list of strings."""
    return isinstance(value, list) and all(isinstance(one, str) for one in value)


def one_of(*allowed: str) -> Kind:
    """Return the kind of a string that is one of those given."""
    return Kind(" or ".join(allowed), lambda value: value in allowed)


DURATION = Kind("a duration of 0 or more", lambda value: is_number(value) and value >= 0)
POSITIVE_DURATION = Kind("a duration greater than 0", lambda value: is_number(value) and value > 0)
AMOUNT = Kind("a number of 0 or more", lambda value: is_number(value) and value >= 0)
POSITIVE = Kind("a number greater than 0", lambda value: is_number(value) and value > 0)
COUNT = Kind("a whole number of 0 or more", lambda value: is_integer(value) and value >= 0)
POSITIVE_COUNT = Kind("a whole number of 1 or more", lambda value: is_integer(value) and value >= 1)
INDEX_OR_NONE = Kind("a list index, or -1", lambda value: is_integer(value) and value >= -1)
FLAG = Kind("true or false", lambda value: isinstance(value, bool))
TEXT = Kind("a non-empty string", lambda value: isinstance(value, str) and bool(value))
NAMES = Kind("a list of strings", is_string_list)
NON_EMPTY_NAMES = Kind("a non-empty list of strings", lambda value: is_string_list(value) and bool(value))
OBJECT = Kind("an object", lambda value: isinstance(value, dict))
LIST = Kind("a list", lambda value: isinstance(value, list))
ADDRESS = Kind(
    "host:port",
    lambda value: isinstance(value, str)
    and bool(re.fullmatch(r"[^:]+:[0-9]{1,5}", value))
    and int(value.rpartition(":")[2]) < 1 << 16,
)
OBJECTS = Kind(
    "a non-empty list of objects",
    lambda value: isinstance(value, list) and bool(value) and all(isinstance(one, dict) for one in value),
)
AMOUNTS = Kind(
    "a list of numbers of 0 or more",
    lambda value: isinstance(value, list) and all(is_number(one) and one >= 0 for one in value),
)
FLAGS = Kind(
    "a list of Booleans",
    lambda value: isinstance(value, list) and all(isinstance(one, bool) for one in value),
)
COUNTS = Kind(
    "a list of whole numbers of 0 or more",
    lambda value: isinstance(value, list) and all(is_integer(one) and one >= 0 for one in value),
)

# By protocol name: the kind, and the default for a setting that is missing or null.
SETTINGS: Mapping[str, tuple[Kind, Any]] = {
    "balancers": (POSITIVE_COUNT, REQUIRED),
    "classes": (OBJECTS, REQUIRED),
    "granularityNs": (DURATION, REQUIRED),
    "discovery": (one_of("automatic", "subscribe"), REQUIRED),
    "slotNo": (COUNT, REQUIRED),
    "zone": (COUNT, REQUIRED),
    "zones": (NON_EMPTY_NAMES, REQUIRED_ON_SOCKETS),
    "kinds": (NON_EMPTY_NAMES, REQUIRED_ON_SOCKETS),
    "stats": (OBJECT, REQUIRED),
    "familyInfo": (OBJECT, REQUIRED),
    "limits": (OBJECT, REQUIRED),
    "obligations": (OBJECT, REQUIRED),
    "weightSource": (TEXT, "silent"),
}
CLASS_SETTINGS: Mapping[str, tuple[Kind, Any]] = {
    "name": (TEXT, REQUIRED_ON_SOCKETS),
    "promiseNs": (POSITIVE_DURATION, REQUIRED),
    "deadlineNs": (POSITIVE_DURATION, REQUIRED),
    "gain": (AMOUNT, REQUIRED),
    "repeat": (one_of(*IDEMPOTENCY), REQUIRED),
    "aimStretch": (AMOUNT, 0.0),
    # the narrowest scope, so that no request is executed twice whatever the actual scope is
    "dedupScope": (one_of("all", "zone", "cell"), "cell"),
    "repeatWindowNs": (DURATION, 0),
}
NESTED_SETTINGS: Mapping[str, Mapping[str, tuple[Kind, Any]]] = {
    "stats": {"names": (NAMES, REQUIRED)},
    "familyInfo": {
        "zoneBalancers": (COUNTS, REQUIRED),
        "parentKind": (INDEX_OR_NONE, REQUIRED),
        "sourceKind": (COUNT, REQUIRED),
        "paceKbPerS": (POSITIVE, REQUIRED),
        "feedKbPerS": (AMOUNTS, []),
        "passThroughOk": (FLAG, REQUIRED),
        "joins": (FLAG, REQUIRED),
        "purgeDoneNs": (DURATION, REQUIRED),
        "obeyAfterNs": (DURATION, 0),
        "parentFloor": (AMOUNT, REQUIRED),
        "parentWarmsInNs": (DURATION, REQUIRED),
        "parentBreaksAt": (AMOUNT, REQUIRED),
        "freshForNs": (AMOUNTS, []),
        "staleForNs": (AMOUNTS, []),
        "passOn": (FLAGS, []),
    },
    "obligations": {
        "answerSlackNs": (DURATION, REQUIRED_ON_SOCKETS),
        "startCapacity": (AMOUNT, REQUIRED),
        "coldNs": (DURATION, REQUIRED),
        "tipMultiple": (AMOUNT, REQUIRED),
        "fallNs": (DURATION, REQUIRED),
    },
    "limits": {
        "maxAttempts": (POSITIVE_COUNT, REQUIRED),
        "cancel": (FLAG, REQUIRED),
        "probes": (FLAG, REQUIRED),
        "retryAfter": (FLAG, REQUIRED),
        "maxRetryAfterNs": (DURATION, 0),
        "streamsPerConn": (COUNT, 1),
        "connectTimeoutNs": (POSITIVE_DURATION, REQUIRED_ON_SOCKETS),
        "keepaliveNs": (DURATION, REQUIRED_ON_SOCKETS),
    },
}


def check_configuration(value: Mapping[str, Any]) -> None:
    """Check that a gateway can be created from a configuration. Raises ValueError with the path of an invalid
    value."""
    _checked(
        value,
        {
            "listen": (ADDRESS, REQUIRED),
            "changelog": (ADDRESS, REQUIRED),
            "known": (OBJECT, REQUIRED),
            "limits": (OBJECT, REQUIRED),
            "settings": (OBJECT, REQUIRED),
        },
        "the configuration",
    )
    _checked(
        value["limits"], {"sockets": (POSITIVE_COUNT, REQUIRED), "memory_mb": (POSITIVE, REQUIRED)}, "limits"
    )
    _checked(value["known"], {"seq": (COUNT, REQUIRED), "results": (LIST, REQUIRED)}, "known")
    with_defaults(value["settings"])


def with_defaults(value: Any, sockets: bool = True) -> dict[str, Any]:
    """Return settings with defaults for missing ones; without sockets, fewer are required. Raises ValueError
    with the path of an invalid setting, in protocol names."""
    if not isinstance(value, dict):
        raise ValueError(f"settings: an object is wanted, not {value!r:.60}")
    out = _checked(value, SETTINGS, "settings", sockets)
    for name, kinds in NESTED_SETTINGS.items():
        out[name] = _checked(out[name], kinds, f"settings.{name}", sockets)
    out["classes"] = [
        _checked(one, CLASS_SETTINGS, f"settings.classes[{index}]", sockets)
        for index, one in enumerate(out["classes"])
    ]
    for problem in _conflicts(out):
        raise ValueError(problem)
    return out


def _checked(
    value: Mapping[str, Any], kinds: Mapping[str, tuple[Kind, Any]], path: str, sockets: bool = True
) -> dict[str, Any]:
    """Return an object with defaults for missing values. Raises ValueError with the path of an invalid
    value."""
    out = dict(value)
    for name, (kind, default) in kinds.items():
        if out.get(name) is None:
            if default is REQUIRED or (default is REQUIRED_ON_SOCKETS and sockets):
                raise ValueError(f"{path} lacks {name}")
            if default is not REQUIRED_ON_SOCKETS:
                out[name] = default
        elif not kind.accepts(out[name]):
            raise ValueError(f"{path}.{name}: {kind.description} is wanted, not {out[name]!r:.60}")
    return out


def _conflicts(value: Mapping[str, Any]) -> Iterator[str]:
    """Yield a message for each setting that conflicts with another."""
    family, classes = value["familyInfo"], value["classes"]
    if "zones" in value and value["zone"] >= len(value["zones"]):
        yield f"settings.zone: {value['zone']} is no place in zones"
    for name in ("parentKind", "sourceKind"):
        if "kinds" in value and family[name] >= len(value["kinds"]):
            yield f"settings.familyInfo.{name}: {family[name]} is no place in kinds"
    for name in ("zoneBalancers", "feedKbPerS"):
        if (family[name] or name == "zoneBalancers") and len(family[name]) <= value["zone"]:
            yield f"settings.familyInfo.{name}: has no entry for zone {value['zone']}"
    for name in ("freshForNs", "staleForNs", "passOn"):
        if family[name] and len(family[name]) != len(classes):
            yield f"settings.familyInfo.{name}: {len(family[name])} entries for {len(classes)} classes"
    names = [one.get("name") for one in classes]
    for index, name in enumerate(names if None not in names else ()):
        if name in names[:index]:
            yield f"settings.classes[{index}].name: {name} is another class's"
