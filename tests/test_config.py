"""Operators' settings: valid files, and errors with file, line and what was expected."""

from pathlib import Path

import pytest

from lilacloft.__main__ import main
from lilacloft.config.forms import SCHEMA
from lilacloft.config.nodes import parse_quantity
from lilacloft.config.reader import SettingsError, load, parse

VALID = """; operators' settings
(lilacloft
  (log (format json))
  (upgrade (handover "run/a.sock") ; a comment ( with a bracket
    (mode drain)
    (limits (starting 1.5s) (taking 250ms) (letting-go 2min))))
"""


def test_the_shipped_settings_file_is_valid():
    found = load(str(Path(__file__).parent.parent / "deploy" / "lilacloft.sexp"))
    assert found["upgrade"]["limits"]["taking"] == 0.3
    assert set(found["upgrade"]["limits"]) == {name.replace("-", "_") for name in SCHEMA["upgrade"]["limits"]}


def test_durations_become_seconds_and_paths_are_relative_to_the_file(tmp_path):
    file = tmp_path / "a.sexp"
    file.write_text(VALID)
    assert load(str(file)) == {
        "log": {"format": "json"},
        "upgrade": {
            "handover": str(tmp_path / "run/a.sock"),
            "mode": "drain",
            "limits": {"starting": 1.5, "taking": 0.25, "letting_go": 120.0},
        },
    }


@pytest.mark.parametrize(
    "text, line, column, told",
    [
        ("", 1, 1, "expected one list (lilacloft ...)"),
        ("(lilacloft", 1, 1, "this ( is never closed"),
        ("(lilacloft\n (log (format text)\n", 2, 2, "this ( is never closed"),
        ("(lilacloft))", 1, 12, "found ) without its ("),
        ("(lilacloft) x", 1, 13, "outside of a list"),
        ("(lilacloft)\n(lilacloft)", 2, 1, "expected one list"),
        ('(lilacloft (log "x', 1, 17, "string without its end"),
        ("(gateway)", 1, 1, "expected one list (lilacloft ...)"),
        (
            "(lilacloft log)",
            1,
            12,
            "found log, expected a list (log or record or plan or store or upgrade ...)",
        ),
        ("(lilacloft (lgo))", 1, 13, "found lgo; did you mean log?"),
        ("(lilacloft (weather))", 1, 13, "expected log, record, plan, store, upgrade"),
        ("(lilacloft (log (format text) (format json)))", 1, 32, "found format a second time"),
        ("(lilacloft (log (format)))", 1, 17, "found 0 values of format, expected 1"),
        ("(lilacloft (log (format xml)))", 1, 25, "found xml, expected text or json"),
        (
            "(lilacloft (upgrade\n (limits (taking 2))))",
            2,
            18,
            "found 2 without a unit, expected one of us, ms",
        ),
        ("(lilacloft (upgrade (limits (taking 2m))))", 1, 37, "found unit m, expected one of us, ms, s"),
        ("(lilacloft (upgrade (limits (taking 2ms))))", 1, 37, "found 2ms, expected 10ms to 2s"),
        ("(lilacloft (upgrade (limits (taking 20s))))", 1, 37, "found 20s, expected 10ms to 2s"),
        ("(lilacloft (upgrade (limits (taking -1s))))", 1, 37, "found -1s, expected 10ms to 2s"),
        ("(lilacloft (upgrade (limits (taking (1s)))))", 1, 37, "expected 10ms to 2s"),
        ("(lilacloft (upgrade (handover run.sock)))", 1, 31, "expected a path in quotes"),
        ('(lilacloft (upgrade (handover "%s")))' % ("x" * 200), 1, 31, "expected 107 at most"),
        ("(" * 40 + ")" * 40, 1, 1, "lists 40 deep"),
    ],
)
def test_errors_are_reported_with_their_position(tmp_path, text, line, column, told, capsys):
    file = tmp_path / "bad.sexp"
    file.write_text(text)
    with pytest.raises(SettingsError) as found:
        load(str(file))
    place, why = found.value.faults[0]
    assert (place.file, place.line, place.column) == (str(file), line, column)
    assert told in why
    assert main(["check", "--settings", str(file)]) == 2
    assert f"{file}:{line}:{column}: " in capsys.readouterr().err


def test_all_errors_of_a_file_are_reported_at_once(tmp_path):
    file = tmp_path / "bad.sexp"
    file.write_text("(lilacloft (log (format x))\n (upgrade (mode y) (limits (ready 0s) (what 1s))))")
    with pytest.raises(SettingsError) as found:
        load(str(file))
    assert [place.line for place, _ in found.value.faults] == [1, 2, 2, 2]


@pytest.mark.parametrize("data", [b"(lilacloft\n \xff)", b"x" * (2 << 20)])
def test_a_file_that_is_not_text_or_too_large_is_rejected(tmp_path, data):
    file = tmp_path / "bad.sexp"
    file.write_bytes(data)
    with pytest.raises(SettingsError, match="UTF-8|bytes"):
        load(str(file))
    with pytest.raises(SettingsError, match="cannot be read"):
        load(str(tmp_path / "none"))


def test_quantities_of_each_kind_have_units():
    assert parse_quantity("250ms", "span") == 0.25 and parse_quantity("64MB", "size") == 64e6
    assert parse_quantity("90%", "part") == pytest.approx(0.9) and parse_quantity(
        "60/min", "rate"
    ) == pytest.approx(1.0)
    with pytest.raises(ValueError, match="expected one of B"):
        parse_quantity("5s", "size")


def test_escapes_in_strings_are_kept_and_comments_removed():
    node = parse(r'(a "b\"c;(" ; d' + "\n)", "f")[0]
    assert [item.text for item in node.items] == ["a", 'b"c;(']


def test_the_platforms_commands_run_and_unknown_ones_are_rejected(capsys):
    assert main(["serve", "--config", "/nowhere"]) == 2
    assert "cannot be read" in capsys.readouterr().err
    assert main(["serve", "--config", "/nowhere", "--supervised"]) == 2
    assert "--supervised needs --handover" in capsys.readouterr().err
    assert main(["weather"]) == 2
    assert "No such command" in capsys.readouterr().err
    assert main(["--help"]) == 0
    assert "upgrade" in capsys.readouterr().out


def test_the_failover_mode_of_locations_is_one_of_three_words(tmp_path):
    file = tmp_path / "a.sexp"
    file.write_text("(lilacloft\n  (plan (zones (leave across))))")
    assert load(str(file))["plan"] == {"zones": {"leave": "across"}}
    file.write_text("(lilacloft\n  (plan (zones (leave sideways))))")
    with pytest.raises(SettingsError, match=r"a\.sexp:2:.*found sideways, expected past or across or never"):
        load(str(file))
