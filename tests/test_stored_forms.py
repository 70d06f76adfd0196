"""What an earlier version has stored, sent or handed over is read as it was meant, and is written the same.

The files in tests/data/ were written by the code at revision 86f6e99 from the values below. They and this
file stay as they are: a renaming in the code may only change rigs/stored_forms.py, which calls the code.
"""

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from rigs import stored_forms as forms

DATA = Path(__file__).parent / "data"
ROOT = DATA.parent.parent
NOW = 17_000_000_000_000  # Unix time in tenths of a millisecond
PURGE_DONE = 60_000


def cli(*words):
    """Run a command; returns its code and what it printed."""
    done = subprocess.run(
        [sys.executable, "-m", "lilacloft", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout


def same_files(one, other):
    names = sorted(path.name for path in one.iterdir() if path.name != "lock")
    assert names == sorted(path.name for path in other.iterdir() if path.name != "lock")
    for name in names:
        assert (one / name).read_bytes() == (other / name).read_bytes(), name
    return names


# --- the store ---

LEARNED = {
    "router": {"late": 0.25, "value": 3.5, "work": 1234.5, "unit": 410.25},
    "link": {"limit": 12.5, "late": 0.125, "calm": NOW - 9_000, "ended": NOW - 800, "took": 730},
    "vhost clip": {"work": 1500.5, "usual": 1400.25},
    "be s-00000001": {
        "started": NOW - 5_000_000,
        "holds": 33.5,
        "late": 0.5,
        "suspect": True,
        "retry_at": NOW + 400_000,
        "backoff": 20_000,
        "crowd": 1.75,
        "way": {"limit": 8.0, "late": 0.0625, "calm": NOW + 7_000, "ended": NOW - 600, "took": 510},
    },
    "be s-00000005": {
        "started": NOW - 4_000_000,
        "holds": 11.5,
        "late": 0.375,
        "suspect": False,
        "retry_at": 0,
        "backoff": 0,
        "crowd": 0.5,
        "way": None,
    },
}
BE_1 = ["s-00000001", ["10.0.0.1", 7001], 0, 0, 3, 1, 5.5, 1_699_999_500]
BE_2 = ["s-00000002", ["10.0.0.2", 7002], 1, 2, 4, 2, 2.25, 1_699_999_400]
BE_3 = ["s-00000003", ["10.0.0.3", 7003], 1, 3, 5, 0, 1.5, 1_699_999_300]


def learned(name):
    return {"kind": 6, "key": name, "stamp": NOW, "value": LEARNED[name]}


def intent(key, sent, effect, over, cell, stamp):
    value = {"sent": sent, "effect": effect, "over": over, "cell": cell}
    return {"kind": 2, "key": key, "stamp": stamp, "value": value}


STORE_BEFORE = [
    [
        {"kind": 1, "key": "00000000000000aa", "stamp": NOW - 50_000, "value": NOW - 51_000},
        {"kind": 1, "key": 7, "stamp": NOW - 49_000, "value": NOW - 49_500},
        {"kind": 1, "key": "00000000000000bb", "stamp": NOW - 90_000, "value": NOW - 90_001},
    ],
    [
        intent("5c0f6e1a2b3d4c59a8b7c6d5e4f30211", NOW - 4_000, "uniqued", False, 513, NOW - 3_999),
        intent("ref-2", NOW - 3_000, "non-replayable", True, 2, NOW - 2_999),
        intent("ref-3", NOW - 2_500, "replayable", False, 3, NOW - 2_499),
        {
            "kind": 3,
            "key": "s-00000001",
            "stamp": NOW - 2_000,
            "value": [[NOW - 2_100, 1.5], [NOW - 2_050, 0.25]],
        },
        {"kind": 4, "key": "", "stamp": NOW - 1_900, "value": [41, 30]},
        {"kind": 5, "key": "#full", "stamp": NOW - 1_800, "value": [35, []]},
        {"kind": 5, "key": "s-00000001", "stamp": NOW - 1_700, "value": [35, BE_1]},
        {"kind": 5, "key": "s-00000002", "stamp": NOW - 1_600, "value": [35, BE_2]},
        learned("router"),
        learned("link"),
    ],
]
STORE_AFTER = [
    [
        {"kind": 5, "key": "s-00000003", "stamp": NOW - 1_500, "value": [43, BE_3]},
        {"kind": 5, "key": "s-00000002", "stamp": NOW - 1_450, "value": [44, BE_2]},
        {"kind": 2, "key": "ref-3", "stamp": NOW - 1_400},
        {"kind": 4, "key": "", "stamp": NOW - 1_300, "value": [44, 31]},
    ],
    [
        learned("vhost clip"),
        learned("be s-00000001"),
        learned("be s-00000005"),
        {"kind": 3, "key": "s-00000002", "stamp": NOW - 1_200, "value": [[NOW - 1_250, 2.75]]},
    ],
]


def test_a_stores_files_hold_every_record_with_its_bytes():
    found = forms.store_values(DATA / "store")
    # those of the snapshot with the one that ends it, and those of the log; the older log is gone
    assert (found["frames"], found["records"], found["down"]) == (4, 22, 21)
    assert found["torn"] == found["damage"] == found["ignored"] == []
    kept = {(kind, key): (value, stamp) for kind, key, value, stamp in found["kept"]}
    assert len(kept) == len(found["kept"]) == 17
    assert kept[1, "00000000000000aa"] == (struct.pack(">Q", NOW - 51_000).hex(), NOW - 50_000)
    assert kept[1, "#7"] == (struct.pack(">Q", NOW - 49_500).hex(), NOW - 49_000)
    key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    assert kept[2, key] == (struct.pack(">QBBH", NOW - 4_000, 1, 0, 513).hex(), NOW - 3_999)
    assert kept[2, "ref-2"] == (struct.pack(">QBBH", NOW - 3_000, 2, 1, 2).hex(), NOW - 2_999)
    assert (2, "ref-3") not in kept
    budget = struct.pack(">QdQd", NOW - 2_100, 1.5, NOW - 2_050, 0.25)
    assert kept[3, "s-00000001"] == (budget.hex(), NOW - 2_000)
    assert kept[4, ""] == (struct.pack(">QQ", 44, 31).hex(), NOW - 1_300)
    assert kept[5, "#full"] == ("922390", NOW - 1_800)
    row = "922398aa732d303030303030303192a831302e302e302e31cd1b590000030" + "1cb4016000000000000ce6553ef0c"
    assert kept[5, "s-00000001"] == (row, NOW - 1_700)
    assert kept[6, "vhost clip"] == (
        "82a4776f726bcb4097720000000000a5757375616ccb4095e10000000000",
        NOW,
    )


def test_a_stores_dump_says_every_kind():
    assert forms.store_values(DATA / "store")["dump"] == [
        ["purge", "00000000000000aa", NOW - 51_000],
        ["purge", "#7", NOW - 49_500],
        ["purge", "00000000000000bb", NOW - 90_001],
        [
            "intent",
            "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
            {"sent": NOW - 4_000, "effect": "uniqued", "over": False, "cell": 513},
        ],
        ["intent", "ref-2", {"sent": NOW - 3_000, "effect": "non-replayable", "over": True, "cell": 2}],
        ["cold", "s-00000001", [[NOW - 2_100, 1.5], [NOW - 2_050, 0.25]]],
        ["cold", "s-00000002", [[NOW - 1_250, 2.75]]],
        ["last", "", [44, 31]],
        ["row", "#full", [35, []]],
        ["row", "s-00000001", [35, BE_1]],
        ["row", "s-00000003", [43, BE_3]],
        ["row", "s-00000002", [44, BE_2]],
        *(["learned", name, value] for name, value in LEARNED.items()),
    ]


def test_a_gateway_recovers_everything_from_a_store():
    found = forms.store_recovered(DATA / "store", NOW, PURGE_DONE)
    assert found["purges"] == {"00000000000000aa": NOW - 51_000, 7: NOW - 49_500}
    assert found["intents"] == {
        "5c0f6e1a2b3d4c59a8b7c6d5e4f30211": {
            "sent": NOW - 4_000,
            "effect": "uniqued",
            "over": False,
            "cell": 513,
        },
        "ref-2": {"sent": NOW - 3_000, "effect": "non-replayable", "over": True, "cell": 2},
    }
    assert found["cold"] == {
        "s-00000001": [[NOW - 2_100, 1.5], [NOW - 2_050, 0.25]],
        "s-00000002": [[NOW - 1_250, 2.75]],
    }
    assert (found["last"], found["base"], found["skipped"]) == (44, 31, [])
    assert found["rows"] == {
        "#full": [35, []],
        "s-00000001": [35, BE_1],
        "s-00000002": [44, BE_2],
        "s-00000003": [43, BE_3],
    }
    assert found["learned"] == {name: [NOW, value] for name, value in LEARNED.items()}


def test_a_start_restricts_its_list_by_the_backend_list_in_a_store():
    listing = forms.store_listing(DATA / "store", NOW, PURGE_DONE, 34)
    assert listing == {"base": 31, "full": 35, "rows": [BE_1, BE_3, BE_2], "whole": True, "from": 34}
    listing = forms.store_listing(DATA / "store", NOW, PURGE_DONE, 40)
    assert listing == {"base": 31, "full": 35, "rows": [BE_3, BE_2], "whole": False, "from": 40}
    assert forms.store_listing(DATA / "store", NOW, PURGE_DONE, 50)["from"] == 44


def test_change_log_events_become_the_rows_of_a_store():
    assert forms.listing_rows("full", [BE_1], 35) == {"#full": [35, []], "s-00000001": [35, BE_1]}
    assert forms.listing_rows("delta", [BE_3], 43) == {"s-00000003": [43, BE_3]}


def test_learned_state_is_weakened_by_its_age():
    age = 300_000
    starts = {"s-00000001": 2.0, "s-00000005": 2.0}
    found = forms.store_learned(DATA / "store", NOW + age, PURGE_DONE, ["clip", "pay"], starts, 50.0)
    assert found["router"] == {"value": 3.5, "work": 1234.5, "unit": 410.25, "late": 0.125}
    assert found["vhosts"] == [{"work": 1500.5, "usual": 1400.25}, {}]
    assert found["link"].pop("limit") == pytest.approx(25.0)
    assert found["link"] == {"late": 0.0625, "calm": NOW - 9_000, "ended": NOW - 800, "took": 730}
    one = found["bes"]["s-00000001"]
    assert one["way"].pop("limit") == pytest.approx(4.0)
    assert one["way"] == {"late": 0.03125, "calm": NOW + 7_000, "ended": NOW - 600, "took": 510}
    assert {key: one[key] for key in ("started", "late", "holds", "suspect", "retry_at", "backoff")} == {
        "started": NOW - 5_000_000,
        "late": 0.25,
        "holds": 33.5,
        "suspect": True,
        "retry_at": NOW + 400_000,
        "backoff": 20_000,
    }
    assert found["bes"]["s-00000005"]["way"] is None
    fresh = forms.store_learned(DATA / "store", NOW, PURGE_DONE, ["clip"], starts, 50.0)
    assert (fresh["bes"]["s-00000001"]["crowd"], fresh["bes"]["s-00000005"]["crowd"]) == (1.75, 0.5)


def test_the_command_checks_a_store():
    assert cli("store", "check", str(DATA / "store")) == (0, "21 records written, 17 kept, in 2 files\n")


def test_the_command_dumps_a_store():
    code, output = cli("store", "dump", str(DATA / "store"))
    lines = [json.loads(line) for line in output.splitlines()]
    assert (code, len(lines)) == (0, 17)
    assert lines[1] == {"kind": "purge", "key": "#7", "stamp": NOW - 49_000, "value": NOW - 49_500}
    assert lines[-1] == {
        "kind": "learned",
        "key": "be s-00000005",
        "stamp": NOW,
        "value": LEARNED["be s-00000005"],
    }


def test_a_store_is_written_as_before(tmp_path):
    forms.store_written(tmp_path, STORE_BEFORE, STORE_AFTER)
    assert same_files(tmp_path, DATA / "store") == ["log-000000000002", "snap-000000000002"]


# --- records ---

HEAD = {
    "kind": "head",
    "number": 0,
    "wall": NOW,
    "steady": 500,
    "schema": 1,
    "gateway": "n0",
    "run": "017000000000000-77",
    "zone": "here",
    "version": "3.2.1",
    "gateways": 4,
    "file": 1,
    "vhosts": {"clip": [4000.0, 30000.0, 2.5], "pay": [2000.0, 20000.0, 9.0]},
}
RECORDS = [
    {"kind": "start", "why": "upgrade", "listed": 3},
    {
        "kind": "listed",
        "event": 41,
        "whole": True,
        "bes": [["s-1", "small", "here", 1, NOW - 900, 5.5], ["s-2", "parent", "hub", 2, NOW - 800, 2.25]],
    },
    {"kind": "purge", "event": 42, "key": "00000000000000aa", "group": 7, "at": NOW - 700},
    {"kind": "belief", "be": "s-1", "what": "left alone", "why": "silent", "strikes": 5, "late": 0.375},
    {"kind": "cut", "be": "link", "was": 20.5, "limit": 14.25, "late": 0.5, "grown": True},
    {
        "kind": "planned",
        "planner": "p1",
        "epoch": 6,
        "issued": 12,
        "out": ["s-1", "s-2"],
        "limits": 2,
        "link": 17.5,
    },
    {"kind": "away", "zone": "hub", "back": 9, "of": 64, "failed": 2, "why": "lost", "alone": True},
    {
        "kind": "second",
        "span": 10_001,
        "vhosts": {
            "clip": {
                "reqs": 11,
                "done": 8,
                "denied": 2,
                "aborted": 1,
                "left": 3,
                "late": 4,
                "dispatches": 12,
                "hits": 5,
                "fills": {"TCP_MISS": 2, "TCP_JOIN": 1},
                "at_once": 6,
                "value": 17.5,
                "took": "HISTFAAAAB94",
            }
        },
        "bes": {
            "s-1": {
                "dispatches": 9,
                "done": 7,
                "late": 1,
                "ends": {"reset": 2, "time_up": 1},
                "fills": 4,
                "waited": 555,
                "waits": 3,
                "flight": 2,
                "util": 0.625,
                "limit": 8.5,
                "suspect": True,
                "status": 2,
            }
        },
        "link": 16.5,
        "refused": {"turned_away": 3, "faults": 1},
        "lag": 88,
    },
    {"kind": "lost", "count": 13, "why": "No space left on device", "since": NOW - 600},
    {"kind": "clock", "step": -36_000_000},
    {"kind": "log", "up": False, "event": 44},
    {"kind": "upgrade", "phase": "warming", "why": "too slow"},
    {"kind": "over", "why": "upgrade"},
]
RECORDS = [
    {**record, "number": number, "wall": NOW + number, "steady": 500 + number}
    for number, record in enumerate(RECORDS, 1)
]


def test_records_of_every_kind_are_read_with_every_field():
    found = forms.records_values(DATA / "records")
    assert found["damage"] == []
    ((run,),) = found["runs"].values()
    assert list(found["runs"]) == ["n0"]
    assert run["files"] == ["n0.017000000000000-77.00001.jsonl"]
    assert {"number": 0, **run["head"]} == HEAD
    assert run["records"] == RECORDS
    assert len({record["kind"] for record in run["records"]}) == 13


def test_the_command_shows_records():
    code, output = cli("records", "cat", str(DATA / "records"))
    lines = [json.loads(line) for line in output.splitlines()]
    assert code == 0
    assert lines == [{"gateway": "n0", "run": "017000000000000-77", **record} for record in RECORDS]
    code, output = cli("records", "cat", "--kind", "belief", "--be", "s-1", str(DATA / "records"))
    assert (code, json.loads(output)["what"]) == (0, "left alone")


def test_the_command_checks_records():
    assert cli("records", "check", str(DATA / "records")) == (
        0,
        "n0 017000000000000-77: 13 records in 1 files, version 3.2.1, schema 1\n",
    )


def test_records_are_written_as_before(tmp_path):
    forms.records_written(tmp_path, HEAD, RECORDS)
    same_files(tmp_path, DATA / "records")


def test_a_records_line_is_plain_json():
    lines = (DATA / "records" / "n0.017000000000000-77.00001.jsonl").read_text().splitlines()
    plain = [json.loads(line) for line in lines]
    assert {"number": 0, **plain[0]} == HEAD
    assert plain[1:] == RECORDS


def test_a_seconds_summary_counts_by_the_stored_names():
    found = forms.summary_values()
    took = found["vhosts"]["clip"].pop("took")
    assert took.startswith("HISTFAAAA")
    assert found == {
        "kind": "second",
        "span": 10_000,
        "link": 6.25,
        "refused": {"unusable": 3},
        "lag": 42,
        "vhosts": {
            "clip": {
                "reqs": 4,
                "done": 2,
                "denied": 1,
                "aborted": 1,
                "left": 1,
                "late": 1,
                "dispatches": 11,
                "hits": 3,
                "fills": {
                    "TCP_MISS": 2,
                    "TCP_MISS_ROOT": 1,
                    "TCP_JOIN": 1,
                    "PEER_DENY": 1,
                    "PEER_DEAD": 1,
                    "PEER_MISS": 1,
                    "FILL_FULL": 1,
                    "ROOT_FAIL": 1,
                },
                "at_once": 1,
                "value": 2.5,
            }
        },
        "bes": {
            "s-1": {
                "dispatches": 11,
                "done": 12,
                "late": 1,
                "ends": {end.lower(): 1 for end, outcome in ENDS.items() if outcome != "done"},
                "flight": 3,
                "util": 0.75,
                "limit": 12.5,
                "suspect": True,
                "status": 2,
            },
            "s-9": {
                "fills": sum(outcome != "done" for outcome in ENDS.values()) + 1,
                "waited": 120,
                "waits": 1,
            },
        },
    }
    assert forms.cut_values(20.5, 14.25, 0.5) == {
        "kind": "cut",
        "be": "s-1",
        "was": 20.5,
        "limit": 14.25,
        "late": 0.5,
    }


def test_the_recorder_writes_every_event_under_the_stored_names(tmp_path):
    assert forms.recorded_values(tmp_path, json.loads(PLATFORM.read_text())) == [
        {
            "kind": "head",
            "schema": 1,
            "gateway": "n0",
            "zone": "here",
            "gateways": 6,
            "vhosts": {"clip": [4100, 31000, 2.5], "pay": [4200, 32000, 9], "book": [4300, 33000, 0]},
        },
        {"kind": "upgrade", "phase": "warming", "why": "too slow"},
        {
            "kind": "belief",
            "be": "s-00000001",
            "what": "left alone",
            "why": "silent",
            "strikes": 5,
            "late": 0.375,
        },
        {
            "kind": "planned",
            "planner": "p1",
            "epoch": 6,
            "issued": 12,
            "out": ["s-1", "s-2"],
            "limits": 1,
            "link": 17.5,
        },
        {"kind": "away", "zone": "hub", "back": 9, "of": 64, "failed": 2, "why": "lost", "alone": True},
        {"kind": "cut", "be": "s-00000001", "was": 20.5, "limit": 14.25, "late": 0.5},
        {"kind": "purge", "event": 42, "key": "00000000000000aa", "group": 7, "at": 16_999_999_990},
        {
            "kind": "listed",
            "event": 43,
            "bes": [
                ["s-00000001", "small", "here", 1, 900, 5.0],
                ["s-00000009", "large", "here", 0, 16_999_991_000, 1.5],
            ],
        },
        {"kind": "second", "bes": {"s-00000002": {"limit": 0.0, "status": 2}}, "link": 6.25},
    ]
    assert forms.refusal_names() == ["unusable", "turned_away", "closed_idle", "choked", "not_taken"]


ENDS = {
    "REFUSED": "unreached",
    "UNMADE": "unreached",
    "NO_LINE": "unsent",
    "UNWRITTEN": "unsent",
    "CLOSED": "reset",
    "RESET": "reset",
    "BROKEN": "reset",
    "GARBLED": "spoilt",
    "CHOKED": "reset",
    "SILENT": "timeout",
    "RETIRED": "reset",
    "FAULT": "reset",
    "DATA": "done",
    "UNCHANGED": "done",
    "ABSENT": "miss",
    "FULL": "full",
    "FAILED": "error",
    "MOOT": "unsent",
    "TIME_UP": "timeout",
    "CALLED_OFF": "cancelled",
}


def test_outcomes_have_the_names_that_are_stored():
    assert forms.end_names() == ENDS


# --- handover between processes ---

LIMIT_1 = LEARNED["be s-00000001"]["way"]
LIMIT_2 = {"limit": 6.5, "late": 0.25, "calm": NOW - 100, "ended": NOW - 110, "took": 120}
LIMIT_4 = {"limit": 9.25, "late": 0.75, "calm": NOW - 200, "ended": NOW - 210, "took": 220}
LIMIT_3 = {"limit": 7.75, "late": 0.5, "calm": NOW - 300, "ended": NOW - 310, "took": 320}
BES = {
    "s-00000001": {
        "started": NOW - 5_000_000,
        "way": LIMIT_1,
        "trial": 0,
        "reqs": [0],
        "crowd": 1.75,
        "holds": 33.5,
        "asked": NOW - 11,
        "heard": NOW - 12,
        "strikes": 4,
        "late": 0.5,
        "suspect": True,
        "retry_at": NOW + 400_000,
        "backoff": 20_000,
        "budget": [[NOW - 30, 1.25], [NOW - 20, 2.5]],
    },
    "s-00000002": {
        "started": NOW - 4_900_000,
        "way": LIMIT_2,
        "trial": None,
        "reqs": [1],
        "crowd": 0.75,
        "holds": 22.5,
        "asked": NOW - 21,
        "heard": NOW - 22,
        "strikes": 1,
        "late": 0.0625,
        "suspect": False,
        "retry_at": NOW - 23,
        "backoff": 10_000,
        "budget": [],
    },
    "s-00000003": {
        "started": NOW - 4_800_000,
        "way": LIMIT_3,
        "trial": None,
        "reqs": [],
        "crowd": 0.125,
        "holds": 44.5,
        "asked": NOW - 31,
        "heard": NOW - 32,
        "strikes": 2,
        "late": 0.1875,
        "suspect": False,
        "retry_at": NOW - 33,
        "backoff": 11_000,
        "budget": [[NOW - 40, 3.5]],
    },
    "s-00000004": {
        "started": 0,
        "way": LIMIT_4,
        "trial": None,
        "reqs": [],
        "crowd": 0.0,
        "holds": 55.5,
        "asked": NOW - 41,
        "heard": NOW - 42,
        "strikes": 3,
        "late": 0.3125,
        "suspect": False,
        "retry_at": NOW - 43,
        "backoff": 12_000,
        "budget": [],
    },
    "s-00000005": {
        "started": NOW - 4_000_000,
        "way": None,
        "trial": None,
        "reqs": [],
        "crowd": 0.5,
        "holds": 11.5,
        "asked": NOW - 51,
        "heard": NOW - 52,
        "strikes": 6,
        "late": 0.375,
        "suspect": False,
        "retry_at": 0,
        "backoff": 0,
        "budget": [],
    },
}
OBJS = [
    {
        "place": ["00000000000000c1", 2],
        "home": "s-00000001",
        "marked": NOW - 61,
        "seen": 5,
        "filled": NOW - 62,
        "work": 123.5,
    },
    {
        "place": ["00000000000000c3", 0],
        "home": None,
        "marked": None,
        "seen": 1,
        "filled": NOW - 72,
        "work": 45.5,
    },
]
REQS = [
    {
        "key": "00000000000000c1",
        "part": 2,
        "group": 7,
        "kbytes": 410.5,
        "arrived": NOW - 1_000,
        "until": NOW + 14_000,
        "vhost": 0,
        "tenant": 3,
        "write": False,
        "repeat": True,
        "flowing": False,
        "out": True,
        "tries": 2,
        "sent": NOW - 500,
        "units": 410.5,
        "work": 1026.25,
        "fill": True,
        "first_ran": NOW - 900,
        "renew": True,
        "rejoin": False,
        "looked": False,
        "send_by": NOW + 9_000,
        "be": "s-00000001",
        "source": "s-00000004",
        "ran_at": "s-00000005",
        "avoid": ["s-00000005", "s-00000002"],
        "cached": True,
        "way": "s-00000004",
    },
    {
        "key": "00000000000000c2",
        "part": 1,
        "group": 8,
        "kbytes": 20.25,
        "arrived": NOW - 2_000,
        "until": NOW + 13_000,
        "vhost": 1,
        "tenant": 1,
        "write": True,
        "repeat": False,
        "flowing": True,
        "out": True,
        "tries": 1,
        "sent": NOW - 600,
        "units": 20.25,
        "work": 50.5,
        "fill": False,
        "first_ran": None,
        "renew": False,
        "rejoin": True,
        "looked": True,
        "send_by": 0,
        "be": "s-00000002",
        "source": "s-00000003",
        "ran_at": None,
        "avoid": [],
        "cached": False,
        "way": "",
    },
    {
        "key": "00000000000000c3",
        "part": 0,
        "group": 9,
        "kbytes": 30.75,
        "arrived": NOW - 3_000,
        "until": NOW + 12_000,
        "vhost": 0,
        "tenant": 0,
        "write": False,
        "repeat": False,
        "flowing": False,
        "out": False,
        "tries": 0,
        "sent": 0,
        "units": 30.75,
        "work": 75.5,
        "fill": False,
        "first_ran": None,
        "renew": False,
        "rejoin": True,
        "looked": False,
        "send_by": NOW + 8_000,
        "be": None,
        "source": None,
        "ran_at": None,
        "avoid": [],
        "cached": True,
        "way": None,
    },
]
MODULE = {
    "router": {**LEARNED["router"], "arrivals": 77, "caught_up": NOW - 81, "borne": 6.5},
    "vhosts": [
        {"work": 1500.5, "usual": 1400.25},
        {"work": 700.5, "usual": 600.25},
        {"work": 90.5, "usual": 80.25},
    ],
    "link": LEARNED["link"],
    "bes": BES,
    "purges": [["00000000000000aa", NOW - 51_000], [7, NOW - 49_500]],
    "objs": OBJS,
    "reqs": REQS,
    "due": [[NOW + 5_000, 0, 1], [NOW + 6_000, 1, 0], [NOW + 12_000, 2, -1]],
}


def listed(number, zone, kind, cell, status, size, started):
    return {
        "name": f"s-{number:08x}",
        "host": f"10.0.0.{number}",
        "port": 7000 + number,
        "zone": zone,
        "kind": kind,
        "cell": cell,
        "status": status,
        "size": size,
        "started": started,
    }


LISTED = [
    listed(1, 1, 0, 3, 1, 5.5, NOW - 5_000_000),
    listed(2, 1, 1, 4, 1, 2.25, NOW - 4_900_000),
    listed(3, 2, 2, 5, 1, 1.5, NOW - 4_800_000),
    listed(4, 0, 3, 6, 1, 3.5, 0),
    listed(5, 1, 0, 7, 0, 4.5, NOW - 4_000_000),
]
CLIENT = {
    "sock": 1,
    "held": b"*2\r\n$4",
    "backlog": [[3, b"\x00\xffrest"], [9, b""]],
    "queued": 901,
    "written": 17,
    "came": 1234.5,
    "begun": 1233.25,
    "passed_on": 4321,
    "said": 21,
    "offences": 2,
    "taken": 19,
    "settled": 18,
    "used": 1232.5,
    "moved": [55, 1231.5],
}
LINE = {
    "sock": 2,
    "held": b"$9\r\nab",
    "backlog": [[5, b"xyz"]],
    "queued": 802,
    "written": 16,
    "came": 1224.5,
    "begun": 1223.25,
    "passed_on": 5432,
    "be": "s-00000001",
    "host": "10.0.0.1",
    "port": 7001,
    "life": NOW - 5_000_000,
    "heard": 411,
    "used": 412,
    "made": 413,
    "shunned": True,
}
STATE = {
    "version": 2,
    "least": 1,
    "mode": "drain",
    "time": NOW,
    "steady": 98_765,
    "vhosts": ["clip", "pay", "book"],
    "last": 44,
    "listed": LISTED,
    "stamps": {
        "lag": -37,
        "at": NOW - 91,
        "starts": {"s-00000001": [1_699_999_500, NOW - 5_000_000, True], "s-00000002": [2, 3, False]},
    },
    "module": MODULE,
    "counts": {
        "answers": {"done": 501, "faults": 1},
        "front": {"turned_away": 3},
        "back": {"made": 9},
        "ends": {"done": 400, "reset": 7},
        "log": {"connects": 2, "events": 41},
    },
    "checks": 71,
    "clients": [CLIENT],
    "lines": [LINE],
    "calls": [
        {
            "client": 1,
            "tag": b"17",
            "name": "00c0ffee00c0ffee",
            "vhost": 1,
            "key": "00000000000000c2",
            "part": 1,
            "group": 8,
            "kbytes": 20.25,
            "allow": 15_000,
            "at": 97_000,
            "replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
            "got": "etag-1",
            "body": b"\x01\x02body",
            "open": False,
            "lines": [0, -1],
        }
    ],
    "sents": [
        {
            "call": 0,
            "be": "s-00000002",
            "seq": 3,
            "name": b"00c0ffee.3",
            "data": b"do it",
            "at": NOW - 600,
            "line": 1,
            "place": 802,
            "until": NOW + 700,
            "over": ["TIME_UP", NOW + 800],
        },
        {
            "call": None,
            "be": "s-00000001",
            "seq": 4,
            "name": b"top.4",
            "data": b"",
            "at": NOW - 601,
            "line": None,
            "place": 0,
            "until": None,
            "over": None,
        },
    ],
    "sockets": 5,
    "reload": True,
    "store": {
        "folder": "/var/lib/lilacloft/store",
        "chains": [
            {
                "key": b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
                "before": b"0123456789ab",
                "users": 2,
                "sent": True,
                "down": True,
                "earlier": True,
            }
        ],
        "out": [["00c0ffee00c0ffee 3", b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"]],
        "budgets": {"s-00000001": NOW - 30},
        "counts": {"kept": 4, "held": 3, "refused": 2, "barred": 1},
    },
}
FRAMES = [
    [1, {"to": "python -m lilacloft serve", "mode": "drain"}],
    [2, {"phase": "warming", "why": "too slow", "took": 0.75, "pid": 4711, "done": True, "ok": True}],
    [
        3,
        {
            "version": "3.2.1",
            "form": 2,
            "vhosts": ["clip", "pay", "book"],
            "store": "/var/lib/lilacloft/store",
        },
    ],
    [4, {"parent": 4710, "least": 1, "mode": "drain", "listed": LISTED}],
    [5, OBJS],
    [6, b""],
    [7, 5],
    [8, STATE],
    [9, b""],
    [10, b""],
    [11, b""],
    [12, b""],
    [13, CLIENT],
    [14, {"why": "no more"}],
    [15, b""],
    [16, b""],
    [17, {"why": "another form"}],
    [18, {"counts": {"answers": {"done": 4}, "ends": {"reset": 2}}}],
    [19, {"ticket": 12, "kind": 2, "key": b"ref-2", "value": b"\x00\x01"}],
    [20, 12],
]
PLATFORM = DATA / "platform.json"
COUNTS = {
    "answers": {
        "done": 101,
        "denied": 102,
        "aborted": 103,
        "left": 104,
        "faults": 105,
    },
    "front": {
        "checks": 106,
        "choked": 107,
        "closed_idle": 108,
        "connections": 109,
        "crossed": 110,
        "forgotten": 111,
        "not_taken": 112,
        "reqs": 113,
        "turned_away": 114,
        "unusable": 115,
    },
    "back": {
        "answers": 116,
        "checks": 117,
        "connections": 118,
        "dispatches": 119,
        "undone": 120,
        "unknown": 121,
        "unmade": 122,
    },
    "ends": {
        "REFUSED": 123,
        "UNMADE": 124,
        "CLOSED": 125,
        "RESET": 126,
        "BROKEN": 127,
        "GARBLED": 128,
        "CHOKED": 129,
        "SILENT": 130,
        "RETIRED": 131,
        "FAULT": 132,
        "NO_LINE": 133,
        "UNWRITTEN": 134,
        "DATA": 135,
        "UNCHANGED": 136,
        "ABSENT": 137,
        "FULL": 138,
        "FAILED": 139,
        "MOOT": 140,
        "TIME_UP": 141,
        "CALLED_OFF": 142,
    },
    "log": {
        "connects": 143,
        "events": 144,
    },
}


def platform():
    return json.loads(PLATFORM.read_text())["settings"]


def handover():
    return (DATA / "handover.bin").read_bytes()


def frame(kind):
    """A frame of the file with the handover."""
    data = handover()
    while data:
        size = 14 + struct.unpack(">I", data[6:10])[0]
        if data[5] == kind:
            return data[:size]
        data = data[size:]
    raise AssertionError(kind)


def test_frames_of_every_kind_are_read_with_every_field():
    found = forms.handover_values(handover())
    assert [frame[:2] for frame in found] == [[2, kind] for kind, _ in FRAMES]
    for (_, kind, value), (_, wanted) in zip(found, FRAMES, strict=True):
        assert value == wanted, kind
    assert forms.handover_kinds() == [kind for kind, _ in FRAMES] == list(range(1, 21))


@pytest.mark.parametrize("kind, value", [row for row in FRAMES if row[0] not in (5, 8)])
def test_a_frame_is_written_as_before(kind, value):
    assert forms.handover_frame(kind, value) == frame(kind)


def test_a_state_and_its_table_are_written_as_before_after_being_taken():
    assert forms.state_frame(frame(8), platform()) == frame(8)
    assert forms.table_frame(frame(8), platform()) == frame(5)


def test_learned_state_is_stored_with_the_same_bytes():
    found = forms.learned_values(frame(8), platform(), ["clip", "pay", "book"])
    assert list(found) == [
        "router",
        "link",
        "vhost clip",
        "vhost pay",
        "vhost book",
        "be s-00000001",
        "be s-00000002",
        "be s-00000003",
        "be s-00000004",
    ]
    kept = {key: value for kind, key, value, _ in forms.store_values(DATA / "store")["kept"] if kind == 6}
    for key in ("router", "link", "vhost clip", "be s-00000001"):
        assert found[key] == [LEARNED[key], kept[key]]


def taken():
    return forms.state_taken(frame(8), platform())


def test_the_next_process_goes_on_with_what_was_counted_and_learned():
    found = taken()
    assert found["router"] == {
        "late": 0.25,
        "value": 3.5,
        "work": 1234.5,
        "unit": 410.25,
        "arrivals": 77,
        "caught_up": NOW - 81,
        "borne": 6.5,
    }
    assert found["vhosts"] == [
        {"work": 1500.5, "usual": 1400.25},
        {"work": 700.5, "usual": 600.25},
        {"work": 90.5, "usual": 80.25},
    ]
    assert found["link"] == {**LEARNED["link"], "count": 1}
    assert found["purges"] == [["00000000000000aa", NOW - 51_000], [7, NOW - 49_500]]
    assert found["due"] == [[NOW + 5_000, 0, 1], [NOW + 6_000, 1, 0], [NOW + 12_000, 2, -1]]


def test_the_next_process_goes_on_with_the_backends():
    found = taken()["bes"]
    assert list(found) == list(BES)
    for row in LISTED:
        one = found[row["name"]]
        fields = ("zone", "kind", "cell", "status", "size", "started")
        assert {name: one[name] for name in fields} == {name: row[name] for name in fields}
    for name, kept in BES.items():
        one = dict(found[name])
        if kept["way"]:
            assert {key: one["way"][key] for key in kept["way"]} == kept["way"]
        else:
            assert one["way"] is None
        assert {key: one[key] for key in kept if key != "way"} == {
            key: value for key, value in kept.items() if key != "way"
        }
    assert {name: one["load"] for name, one in found.items()} == {
        "s-00000001": 410.5,
        "s-00000002": 20.25,
        "s-00000003": 0,
        "s-00000004": 0,
        "s-00000005": 0,
    }
    assert [one["way"] and one["way"]["count"] for one in found.values()] == [1, 1, 0, 1, None]


def test_the_next_process_goes_on_with_the_table():
    assert taken()["objs"] == [
        [*row["place"], {key: value for key, value in row.items() if key != "place"}] for row in OBJS
    ]


def test_the_next_process_goes_on_with_the_open_requests():
    ways = {"s-00000004": "source", "": "link", None: None}
    assert taken()["reqs"] == [
        {
            **{key: value for key, value in row.items() if key != "cached"},
            "way": ways[row["way"]],
            "object": row["cached"],
        }
        for row in REQS
    ]


NEXT_CALL = {
    "client": 0,
    "tag": b"18",
    "name": "00c0ffee00c0ffe1",
    "vhost": 0,
    "key": "00000000000000c1",
    "part": 2,
    "group": 7,
    "kbytes": 410.5,
    "allow": 15_001,
    "at": 97_001,
    "replay": None,
    "got": None,
    "body": b"",
    "open": True,
    "lines": [-1],
}
OWNER_STATE = {
    **STATE,
    "mode": "whole",
    "listed": [*LISTED[:4], {**LISTED[4], "host": "", "port": 0}],
    "clients": [{**CLIENT, "sock": 0}],
    "lines": [
        {**LINE, "sock": 1},
        {
            **LINE,
            "sock": 2,
            "be": "s-00000002",
            "host": "10.0.0.2",
            "port": 7002,
            "life": NOW - 4_900_000,
            "shunned": False,
            "made": 414,
        },
    ],
    "calls": [
        NEXT_CALL,
        {**STATE["calls"][0], "client": 0, "open": True, "lines": [1, -1]},
        {**NEXT_CALL, "tag": b"19", "name": "00c0ffee00c0ffe2", "key": "00000000000000c3", "part": 0},
    ],
    "sents": [
        {
            "call": 0,
            "be": "s-00000001",
            "seq": 1,
            "name": b"00c0ffee.1",
            "data": b"do that",
            "at": NOW - 500,
            "line": None,
            "place": 702,
            "until": None,
            "over": ["TIME_UP", NOW + 800],
        },
        {
            "call": 1,
            "be": "s-00000002",
            "seq": 0,
            "name": b"00c0ffee.0",
            "data": b"do it",
            "at": NOW - 600,
            "line": 1,
            "place": 802,
            "until": NOW + 700,
            "over": None,
        },
        {
            "call": None,
            "be": "s-00000001",
            "seq": 4,
            "name": b"top.4",
            "data": b"top",
            "at": NOW - 601,
            "line": 0,
            "place": 803,
            "until": NOW + 701,
            "over": None,
        },
    ],
    "sockets": 3,
    "reload": False,
    "store": None,
    "counts": COUNTS,
}


def test_a_whole_gateway_hands_over_the_state_that_it_was_handed():
    data = (DATA / "handover_owner.bin").read_bytes()
    ((_, _, before),) = forms.handover_values(data)
    after, written = forms.state_through_owner(data, json.loads(PLATFORM.read_text()))
    assert before == after == OWNER_STATE
    assert written == data


def test_open_effects_are_handed_over_unchanged_by_a_second_handover():
    before = struct.pack(">QBBH", NOW - 4_000, 1, 0, 513)
    (chain,) = STATE["store"]["chains"]
    for effect in (before, None):
        kept = {**STATE["store"], "chains": [{**chain, "before": effect}]}
        assert forms.open_effects_values(kept, DATA / "store", NOW, PURGE_DONE) == kept
    kept["chains"][0].update(earlier=False, sent=False, down=False)
    assert forms.open_effects_values(kept, DATA / "store", NOW, PURGE_DONE) == kept


def test_options_between_processes():
    assert forms.process_options() == ["--takeover", "--status", "--listener", "--unserved-since"]


# --- forwarders and planners ---

PLAN = {
    "name": {"epoch": 6, "number": 12, "planner": "p1"},
    "listed": 44,
    "out": {"s-1": "fails", "s-2": "silent"},
    "trials": {"s-1": "n0"},
    "ways": {"s-1": 8.5, "s-3": 2.25},
    "links": {0: 17.5, 1: 3.75},
    "parts": {"n0": 0.625, "n1": 0.375},
    "renews": {0: ["n0", "n1"], 1: ["n2"]},
    "zones": {
        1: {
            "back": 9,
            "fails": 2,
            "rate": 2.5,
            "trial": "n2",
            "why": "lost",
            "to": [[0, 0.75], [2, 0.25]],
        }
    },
}
CHANGED = {
    "name": {"epoch": 6, "number": 13, "planner": "p1"},
    "listed": 45,
    "out": {"s-2": "late"},
    "trials": {"s-2": "n1"},
    "ways": {"s-1": 8.5, "s-3": 2.5},
    "links": {0: 17.5},
    "parts": {"n0": 1.0},
    "renews": {1: ["n2", "n3"]},
    "zones": {2: {"back": 3, "fails": 1, "rate": 1.5, "trial": "n4", "why": "past", "to": [[1, 1.0]]}},
}
ASKS = [{"number": 31, "be": "s-1", "part": 0.125, "span": 150_000}]
GIVEN = [
    {"number": 32, "be": "s-2", "part": 0.25, "delay": 500, "span": 140_000},
    {"number": 33, "be": "s-3", "part": 0.5, "delay": 600, "span": 130_000},
]
HELLO = {"name": "n0", "role": "forwarder", "incarnation": 17, "newest": 1, "oldest": 1, "agreed": 1}
SUMMARY = {
    "name": "n0",
    "incarnation": 17,
    "number": 901,
    "zone": 1,
    "listed": 44,
    "reqs": 123.5,
    "fills": {"clip": 410.5, "pay": 20.25},
    "worth": {"clip": 0.5, "pay": 4.5},
    "sights": {
        "s-1": {
            "well": 11,
            "late": 12,
            "failed": 13,
            "out": 14,
            "alone": True,
            "limit": 8.5,
            "streak": 15,
            "quiet": 16,
            "unfilled": 17,
            "filled": 18,
        },
        "s-2": {
            "well": 21,
            "late": 22,
            "failed": 23,
            "out": 24,
            "alone": False,
            "limit": 2.25,
            "streak": 25,
            "quiet": 26,
            "unfilled": 27,
            "filled": 28,
        },
    },
    "cold": {"s-3": [0.75, 0.5]},
    "asks": ASKS,
    "given": GIVEN,
    "holds": {"epoch": 6, "number": 11, "planner": "p1"},
    "leaves": True,
    "asked": 812.5,
    "past": 30.5,
    "tallies": {
        0: {"well": 41, "late": 42, "failed": 43, "hits": 44},
        2: {"well": 51, "late": 52, "failed": 53, "hits": 54},
    },
    "left": {2: [7, 3]},
}
REPLY = {
    "planner": "p1",
    "incarnation": 18,
    "number": 901,
    "span": 50_000,
    "plan": PLAN,
    "delta": None,
    "applied": None,
    "asks": ASKS,
    "given": GIVEN,
    "whole": True,
}
REPLY_CHANGED = {
    "planner": "p2",
    "incarnation": 19,
    "number": 902,
    "span": 40_000,
    "plan": None,
    "delta": {"since": PLAN["name"], "name": CHANGED["name"], "listed": 45},
    "applied": CHANGED,
    "asks": [],
    "given": GIVEN[:1],
    "whole": False,
}
WORD = {
    "name": "p1",
    "incarnation": 18,
    "epoch": 6,
    "seen": 7,
    "rows": [
        ["n0", "forwarder", 17, 1, "10.0.0.9:7100", 250, "alive"],
        ["p2", "planner", 19, 2, "10.0.0.8:7200", -350, "suspect"],
    ],
}
LINES = ["epoch 6, number 12", "", "s-1: fails"]


def plan_frames():
    return forms.plan_frames((DATA / "plan.bin").read_bytes())


def test_what_forwarders_and_planners_send_is_read_with_every_field():
    hello, summary, reply, changed, word, show, shown = plan_frames()
    assert forms.hello_values(hello) == HELLO
    assert forms.summary_of_forwarder(summary) == SUMMARY
    assert forms.reply_values(reply) == REPLY
    assert forms.reply_values(changed, PLAN) == REPLY_CHANGED
    assert forms.word_values(word) == WORD
    assert forms.show_values(show) == "verdicts"
    assert forms.shown_values(shown) == LINES


def test_what_forwarders_and_planners_send_is_written_as_before():
    assert [
        forms.hello_frame(HELLO),
        forms.summary_frame(SUMMARY),
        forms.reply_frame(REPLY),
        forms.reply_frame(REPLY_CHANGED, PLAN),
        forms.word_frame(WORD),
        forms.show_frame("verdicts"),
        forms.shown_frame(LINES),
    ] == plan_frames()


def test_a_frame_of_a_planners_begins_with_magic_version_and_length():
    frames = plan_frames()
    assert [frame[:5] for frame in frames] == [b"llpl\x01"] * 7
    assert [struct.unpack(">I", frame[5:9])[0] for frame in frames] == [len(frame) - 9 for frame in frames]


# --- settings ---


def test_a_platforms_settings_are_read_with_every_one_of_them():
    assert forms.platform_values(PLATFORM) == {
        "balancers": 6,
        "discovery": "subscribe",
        "granularity": 30,
        "zone": 1,
        "zones": ["far", "here", "hub"],
        "kinds": ["small", "large", "parent", "origin"],
        "weightSource": "nominal",
        "slotNo": 3,
        "classes": [
            {
                "name": "clip",
                "promise": 4100,
                "deadline": 31_000,
                "gain": 2.5,
                "repeat": "replayable",
                "aimStretch": 2.25,
                "dedupScope": "all",
                "repeatWindow": 1,
            },
            {
                "name": "pay",
                "promise": 4200,
                "deadline": 32_000,
                "gain": 9,
                "repeat": "uniqued",
                "aimStretch": 1.5,
                "dedupScope": "zone",
                "repeatWindow": 21_000,
            },
            {
                "name": "book",
                "promise": 4300,
                "deadline": 33_000,
                "gain": 0,
                "repeat": "non-replayable",
                "aimStretch": 0.0,
                "dedupScope": "cell",
                "repeatWindow": 0,
            },
        ],
        "stats": {"names": ["util", "inflight"]},
        "familyInfo": {
            "zoneBalancers": [1, 2, 0],
            "parentKind": 2,
            "sourceKind": 3,
            "paceKbPerS": 4100.5,
            "feedKbPerS": [100.0, 41000.5, 0],
            "passThroughOk": True,
            "joins": False,
            "purgeDone": 61_000,
            "parentFloor": 0.07,
            "parentWarmsIn": 201_000,
            "parentBreaksAt": 2.5,
            "freshFor": [81_000, 0, 1],
            "staleFor": [22_000, 5, 0],
            "passOn": [False, True, True],
        },
        "obligations": {
            "answerSlack": 81,
            "startCapacity": 0.21,
            "cold": 151_000,
            "tipMultiple": 2.1,
            "fall": 10_100,
        },
        "limits": {
            "maxAttempts": 7,
            "cancel": False,
            "probes": False,
            "retryAfter": False,
            "maxRetryAfter": 5_100,
            "streamsPerConn": 33,
            "connectTimeout": 2_100,
            "keepalive": 310_000,
        },
    }


def test_what_a_platforms_settings_may_leave_out_has_its_values():
    found = forms.platform_values(DATA / "platform_least.json")
    assert found["weightSource"] == "silent"
    (one,) = found["classes"]
    assert (one["aimStretch"], one["dedupScope"], one["repeatWindow"]) == (0.0, "cell", 0)
    family = found["familyInfo"]
    assert [family[name] for name in ("feedKbPerS", "freshFor", "staleFor", "passOn")] == [[]] * 4
    assert (found["limits"]["maxRetryAfter"], found["limits"]["streamsPerConn"]) == (0, 1)


def test_the_events_in_a_platforms_configuration_are_read():
    assert forms.platform_events(PLATFORM) == [
        [
            30,
            [
                "full",
                [
                    ["s-00000001", ["10.0.0.1", 7001], 1, 0, 3, 1, 5, 1_699_999_500],
                    ["s-00000002", ["10.0.0.2", 7002], 2, 2, 4, 2, 2.25, 1_699_999_400],
                ],
            ],
        ],
        [31, ["delta", [["s-00000003", ["10.0.0.3", 7003], 0, 3, 0, 0, 1, 0]]]],
        [32, ["purge", ["00000000000000aa", 0, 1_699_999_999]]],
        [33, ["purge", ["", 7, 1_699_999_998]]],
    ]


def test_the_frames_of_a_change_log_are_read():
    row = struct.pack(">I4sHBBBHIQ", 1, bytes([10, 0, 0, 1]), 7001, 1, 2, 3, 513, 5250, 1_699_999_500)
    entry = ["s-00000001", ["10.0.0.1", 7001], 2, 3, 513, 2, 5.25, 1_699_999_500]
    assert forms.log_event(1, 1, row) == ["full", [entry]]
    assert forms.log_event(1, 2, row) == ["delta", [entry]]
    assert forms.log_event(1, 3, struct.pack(">QQ", 170, 9)) == ["purge", ["00000000000000aa", 0, 9]]
    assert forms.log_event(1, 4, struct.pack(">HQ", 7, 9)) == ["purge", ["", 7, 9]]


def test_operators_settings_are_read_with_every_one_of_them():
    found = forms.operators_values(DATA / "operators.sexp")
    limits = found["upgrade"].pop("limits")
    assert limits == pytest.approx(
        {
            "starting": 11.0,
            "warming": 12.5,
            "ready": 2.5,
            "taking": 0.35,
            "committed": 0.45,
            "letting_go": 90.0,
        }
    )
    assert found == {
        "log": {"format": "json"},
        "record": {
            "folder": str(DATA / "run/records"),
            "file": 2_500_000.0,
            "age": 1_800.0,
            "total": 33_554_432.0,
            "prometheus": str(DATA / "run/metrics.prom"),
            "connect": "/run/lilacloft/records.sock",
        },
        "plan": {
            "planners": {"p1": ["10.0.0.8", 7200], "p2": ["planner.example", 7201]},
            "zones": {"leave": "across"},
        },
        "store": {"folder": str(DATA / "run/store"), "patience": 0.075},
        "upgrade": {
            "handover": "/run/lilacloft/handover.sock",
            "mode": "drain",
        },
    }


def test_the_settings_that_are_deployed_are_read():
    assert forms.operators_values(ROOT / "deploy" / "lilacloft.sexp") == {
        "log": {"format": "text"},
        "upgrade": {
            "handover": str(ROOT / "deploy" / "handover.sock"),
            "mode": "whole",
            "limits": {
                "starting": 10.0,
                "warming": 10.0,
                "ready": 2.0,
                "taking": 0.3,
                "committed": 0.3,
                "letting_go": 8.0,
            },
        },
    }


def test_the_command_accepts_the_platform_settings():
    code, output = cli("check", "--config", str(PLATFORM))
    assert (code, output) == (0, f"{PLATFORM}: usable\n")
