"""A course as plain facts, with words for people: what the page, the text and programs are all made of."""

from __future__ import annotations

from datetime import UTC, datetime, tzinfo
from typing import Any

from lilacloft.record.reader import Damage
from lilacloft.timeline.gaps import Gap
from lilacloft.timeline.incidents import Incident
from lilacloft.timeline.timeline import Timeline, group_by_time

VERSION = 1


def clock(at: float, zone: tzinfo = UTC, day: bool = False) -> str:
    """A moment in Unix milliseconds, for people."""
    moment = datetime.fromtimestamp(at / 1000, zone)
    if day:
        return moment.strftime("%Y-%m-%d %H:%M:%S")
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03}"


def span(ms: float) -> str:
    """A span, for people."""
    if ms < 1000:
        return f"{ms:.0f} ms"
    return f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.1f} min"


def facts(found: Timeline, damage: list[Damage], zone: tzinfo = UTC) -> dict[str, Any]:
    """All that the records tell, as plain values."""
    ordered = group_by_time(found.incidents)
    place = {id(one): number for number, group in enumerate(ordered) for one in group}
    return {
        "version": VERSION,
        "begin": found.begin,
        "end": found.end,
        "gateways": [_gateway(found, name) for name in found.gateways],
        "expected": found.expected,
        "missing": found.missing(),
        "episodes": [
            _episode(one, found, zone)
            | {"group": place[id(one)], "together": len(ordered[place[id(one)]]) > 1}
            for one in found.incidents
        ],
        "gaps": [_gap(one, zone) for one in found.gaps],
        "bes": _bes(found),
        "vhosts": _vhosts(found),
        "damage": [str(one) for one in damage],
        "summary": summary(found, damage, zone),
    }


def _gateway(found: Timeline, name: str) -> dict[str, Any]:
    history = found.histories[name]
    return {
        "name": name,
        "begin": history.begin,
        "end": history.end,
        "offset_ms": round(history.offset, 1),
        "spread_ms": round(history.uncertainty, 1),
        "runs": history.run_names,
        "seconds": len(history.columns.begin),
    }


def _episode(one: Incident, found: Timeline, zone: tzinfo) -> dict[str, Any]:
    end = one.end
    return {
        "title": one.title(),
        "kind": one.kind,
        "subject": one.subject,
        "role": one.role,
        "subjects": one.subjects,
        "begin": one.begin,
        "end": end,
        "spread_ms": round(one.uncertainty, 1),
        "at": clock(one.begin, zone),
        "lasted": span(end - one.begin) if end is not None else "not over at the end",
        "first_sign": min(one.observations, key=lambda observation: observation.begin).why,
        "saw": one.observed_by,
        "not_seen_by": one.not_observed_by,
        "no_records_of": one.without_records,
        "contradicts": one.contradictions,
        "acts": one.actions,
        "cost": round(one.cost, 1),
        "usual": round(one.typical, 1),
        "cost_part": round(one.cost / one.typical, 3) if one.typical else 0.0,
        "sure": round(one.confidence, 2),
        "parts": [_episode(part, found, zone) for part in one.parts],
    }


def _gap(one: Gap, zone: tzinfo) -> dict[str, Any]:
    return {
        "gateway": one.gateway,
        "begin": one.begin,
        "end": one.end,
        "kind": one.kind,
        "why": one.why,
        "planned": one.planned,
        "spread_ms": round(one.uncertainty, 1),
        "at": clock(one.begin, zone),
        "lasted": span(one.end - one.begin) if one.end is not None else "to the end",
    }


def _bes(found: Timeline) -> list[dict[str, Any]]:
    out: dict[str, dict[str, Any]] = {}
    for name, history in found.histories.items():
        for backend, columns in history.columns.backends.items():
            row = out.setdefault(
                backend,
                {
                    "name": backend,
                    "role": history.role(backend),
                    "dispatches": 0,
                    "done": 0,
                    "late": 0,
                    "ends": 0,
                    "left_alone_by": [],
                },
            )
            for field in ("dispatches", "done", "late", "ends"):
                row[field] += int(columns[field].sum())
            if columns["suspect"].any():
                row["left_alone_by"].append(name)
            told = columns["util"][columns["util"] == columns["util"]]
            if len(told):
                row["util"] = max(row.get("util", 0.0), round(float(told.max()), 2))
    return sorted(out.values(), key=lambda row: (row["role"], row["name"]))


def _vhosts(found: Timeline) -> list[dict[str, Any]]:
    out: dict[str, dict[str, Any]] = {}
    for history in found.histories.values():
        for vhost, columns in history.columns.vhosts.items():
            row = out.setdefault(vhost, {"name": vhost, **dict.fromkeys(columns, 0)})
            for field, values in columns.items():
                row[field] += int(values.sum())
    for row in out.values():
        row["hit_share"] = round(row["hits"] / max(1, row["done"]), 3)
    return sorted(out.values(), key=lambda row: row["name"])


def summary(found: Timeline, damage: list[Damage], zone: tzinfo) -> list[str]:
    """The course in sentences."""
    count = len(found.gateways)
    out = [
        f"Records of {count} gateway{'s' * (count != 1)}, {clock(found.begin, zone, True)} to "
        f"{clock(found.end, zone, True)} ({span(found.end - found.begin)})."
    ]
    if found.missing():
        out.append(
            f"{found.missing()} of {found.expected} gateways have no records here: what only they saw "
            "is not told."
        )
    if not found.incidents:
        out.append("Nothing happened that the records show.")
    for group in group_by_time(found.incidents):
        said = [_sentence(one, zone) for one in group]
        out.append(("At about the same time: " if len(said) > 1 else "") + " ".join(said))
    holes = [gap for gap in found.gaps if gap.kind not in ("upgrade", "clock")]
    if holes:
        told = "; ".join(
            f"{gap.gateway} {clock(gap.begin, zone)} for "
            f"{span(gap.end - gap.begin) if gap.end else 'the rest'} ({gap.why})"
            for gap in holes[:6]
        )
        more = "; ..." if len(holes) > 6 else ""
        out.append(f"{len(holes)} gap{'s' * (len(holes) != 1)} in the records: {told}{more}.")
    if damage:
        out.append(f"{len(damage)} places in the files could not be read.")
    return out


def _sentence(one: Incident, zone: tzinfo) -> str:
    text = one.title()
    text = text[0].upper() + text[1:]
    if one.kind in ("purge", "cold", "gone"):
        body = f"{text} at {clock(one.begin, zone)}"
    else:
        lasted = f"for {span(one.end - one.begin)}" if one.end is not None else "until the records end"
        body = f"{text} from {clock(one.begin, zone)} {lasted}"
    body += f", seen by {', '.join(one.observed_by[:4])}{' and others' * (len(one.observed_by) > 4)}"
    if one.not_observed_by and one.kind not in ("purge", "cold", "gone", "drained"):
        body += (
            f", not by {', '.join(one.not_observed_by[:4])}{' and others' * (len(one.not_observed_by) > 4)}"
        )
    if one.typical and one.cost > 0.02 * one.typical:
        body += f"; it cost {one.cost / one.typical:.0%} of the usual value"
    if one.contradictions:
        body += "; but " + "; ".join(one.contradictions[:3])
    if one.parts:
        body += "; with it: " + ", ".join(part.title() for part in one.parts[:4])
    return body + "."
