"""The simulator adapter: names, units, framing, and error messages for malformed input."""

import io
import json

import pytest

from lilacloft.protocol_settings import from_protocol
from lilacloft.simulator_adapter.adapter import Adapter, main
from rigs.model import SEC

ENV = json.loads("""{"balancers": 2, "discovery": "subscribe", "granularityNs": 2000000, "zone": 0,
"classes": [{"promiseNs": 400000000, "deadlineNs": 5000000000, "gain": 2.0, "repeat": "by_key", "new": 1,
"aimStretch": null}],
"familyInfo": {"freshForNs": [8000000000], "zoneBalancers": [2], "parentKind": 1, "sourceKind": 2,
"joins": true, "paceKbPerS": 4000.0, "passThroughOk": true, "purgeDoneNs": 6000000000, "parentFloor": 0.06,
"parentBreaksAt": 2.0, "parentWarmsInNs": 20000000000},
"stats": {"names": []}, "slotNo": 0,
"limits": {"maxAttempts": 6, "cancel": true, "probes": false,
"retryAfter": true, "maxRetryAfterNs": 500000000},
"obligations": {"startCapacity": 0.2, "coldNs": 15000000000, "tipMultiple": 2.0, "fallNs": 1000000000}}""")
LIST = ["fleet", 1, 0, [["c.b", 0, 0, 0, 1, 2.0], ["c.a", 0, 1, 0, 1], ["c.o", 0, 2, 0, 1, None, None]]]
ASK = ["ingress", "id-1", 0, 3, None, 4000000000, 0, 0, None, "91f0"]


def batch(adapter, *events, at=10**12, who="gateway-0"):
    line = json.dumps({"tNs": at, "parts": [{"who": who, "happened": list(events)}]}).encode()
    return [action for part in adapter.batch(line)["parts"] for action in part["actions"]]


def test_settings_are_renamed_and_converted():
    result = from_protocol(ENV)
    assert result["vhosts"][0]["first_byte_target"] == 4000 and result["vhosts"][0]["effect"] == "uniqued"
    assert result["family"]["fresh"] == [8 * SEC] and result["vhosts"][0]["new"] == 1
    assert from_protocol({"aNs": 1, "bNs": 0}) == {"a": 1, "b": 0}


def test_an_instance_restarts_within_one_batch_and_results_for_unknown_ids_are_ignored():
    adapter = Adapter()
    assert adapter.batch(b'{"tNs":1,"parts":[]}') == {"parts": []}
    actions = batch(adapter, ["up", 7, ENV], LIST, ASK)
    assert ["subscribe", True] in actions
    sent = next(action for action in actions if action[0] == "fetchThrough")
    assert sent[1:3] == ["id-1", "c.b"] and sent[4] == "c.a" and sent[6] == 8 * 10**9 and sent[7] & 1
    done = ["resolved", "id-1", 0, "c.b", "Ok", 9000000, True]
    assert (
        batch(adapter, done, done, ["cancelledByClient", "id-1"], ["resolved", "id-9", 0, "c.z", "Ok"]) == []
    )
    actions = batch(adapter, ["down"], ["up", 7, ENV], LIST, done)
    assert [action[0] for action in actions].count("subscribe") == 1


@pytest.mark.parametrize(
    "who, event, message",
    [
        ("gateway-1", ASK, "gateway-1"),
        ("gateway-0", ["novel"], "novel"),
        ("gateway-0", [], "event is not an array that begins with a name"),
        ("gateway-0", ["resolved", "x", 0, "c.b", "Maybe"], "Maybe"),
        ("gateway-0", ["ingress"], "id is missing"),
        ("gateway-0", ["up", 1, {"zone": 0}], "settings lacks balancers"),
        (None, None, "line is not valid JSON"),
    ],
)
def test_malformed_input_ends_the_adapter_with_a_one_line_error_message(who, event, message):
    begin = [["up", 7, ENV], LIST]
    first = json.dumps({"tNs": 1, "parts": [{"who": "gateway-0", "happened": begin}]}).encode()
    line = json.dumps({"tNs": 2, "parts": [{"who": who, "happened": [event]}]}).encode() if who else b"{"
    errors = io.StringIO()
    assert main(iter([first, line]), io.BytesIO(), errors) != 0
    assert errors.getvalue().count("\n") == 1 and message in errors.getvalue()


def test_an_exception_in_the_router_is_reported_as_a_crash(monkeypatch):
    adapter = Adapter()
    batch(adapter, ["up", 7, ENV], LIST)
    monkeypatch.setattr(adapter.instances["gateway-0"].router, "request_arrived", lambda request: 1 / 0)
    assert batch(adapter, ASK) == [["die", "ZeroDivisionError: division by zero"]]
