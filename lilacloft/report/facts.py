"""A timeline as plain values and sentences: the common source of the HTML, text and JSON reports."""

from __future__ import annotations

from datetime import UTC, datetime, tzinfo
from typing import Any

from lilacloft.record.reader import Damage
from lilacloft.timeline.gaps import Gap
from lilacloft.timeline.incidents import Incident
from lilacloft.timeline.timeline import Timeline, group_by_time

VERSION = 1


def format_time(unix_ms: float, zone: tzinfo = UTC, day: bool = False) -> str:
    """Format a time in Unix milliseconds."""
    moment = datetime.fromtimestamp(unix_ms / 1000, zone)
    if day:
        return moment.strftime("%Y-%m-%d %H:%M:%S")
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03}"


def format_duration(ms: float) -> str:
    """Format a duration in milliseconds."""
    if ms < 1000:
        return f"{ms:.0f} ms"
    return f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.1f} min"


def facts(timeline: Timeline, damage: list[Damage], zone: tzinfo = UTC) -> dict[str, Any]:
    """Return the whole timeline as plain values."""
    ordered = group_by_time(timeline.incidents)
    group_index = {id(incident): number for number, group in enumerate(ordered) for incident in group}
    return {
        "version": VERSION,
        "begin": timeline.begin,
        "end": timeline.end,
        "gateways": [_gateway(timeline, name) for name in timeline.gateways],
        "expected": timeline.expected,
        "missing": timeline.missing(),
        "episodes": [
            _episode(incident, timeline, zone)
            | {"group": group_index[id(incident)], "together": len(ordered[group_index[id(incident)]]) > 1}
            for incident in timeline.incidents
        ],
        "gaps": [_gap(incident, zone) for incident in timeline.gaps],
        "bes": _bes(timeline),
        "vhosts": _vhosts(timeline),
        "damage": [str(incident) for incident in damage],
        "summary": summary(timeline, damage, zone),
    }


def _gateway(timeline: Timeline, name: str) -> dict[str, Any]:
    history = timeline.histories[name]
    return {
        "name": name,
        "begin": history.begin,
        "end": history.end,
        "offset_ms": round(history.offset, 1),
        "spread_ms": round(history.uncertainty, 1),
        "runs": history.run_names,
        "seconds": len(history.columns.begin),
    }


def _episode(incident: Incident, timeline: Timeline, zone: tzinfo) -> dict[str, Any]:
    end = incident.end
    return {
        "title": incident.title(),
        "kind": incident.kind,
        "subject": incident.subject,
        "role": incident.role,
        "subjects": incident.subjects,
        "begin": incident.begin,
        "end": end,
        "spread_ms": round(incident.uncertainty, 1),
        "at": format_time(incident.begin, zone),
        "lasted": format_duration(end - incident.begin) if end is not None else "not over at the end",
        "first_sign": min(incident.observations, key=lambda observation: observation.begin).why,
        "saw": incident.observed_by,
        "not_seen_by": incident.not_observed_by,
        "no_records_of": incident.without_records,
        "contradicts": incident.contradictions,
        "acts": incident.actions,
        "cost": round(incident.cost, 1),
        "usual": round(incident.typical, 1),
        "cost_part": round(incident.cost / incident.typical, 3) if incident.typical else 0.0,
        "sure": round(incident.confidence, 2),
        "parts": [_episode(part, timeline, zone) for part in incident.parts],
    }


def _gap(gap: Gap, zone: tzinfo) -> dict[str, Any]:
    return {
        "gateway": gap.gateway,
        "begin": gap.begin,
        "end": gap.end,
        "kind": gap.kind,
        "why": gap.why,
        "planned": gap.planned,
        "spread_ms": round(gap.uncertainty, 1),
        "at": format_time(gap.begin, zone),
        "lasted": format_duration(gap.end - gap.begin) if gap.end is not None else "to the end",
    }


def _bes(timeline: Timeline) -> list[dict[str, Any]]:
    out: dict[str, dict[str, Any]] = {}
    for name, history in timeline.histories.items():
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
            reported = columns["util"][columns["util"] == columns["util"]]
            if len(reported):
                row["util"] = max(row.get("util", 0.0), round(float(reported.max()), 2))
    return sorted(out.values(), key=lambda row: (row["role"], row["name"]))


def _vhosts(timeline: Timeline) -> list[dict[str, Any]]:
    out: dict[str, dict[str, Any]] = {}
    for history in timeline.histories.values():
        for vhost, columns in history.columns.vhosts.items():
            row = out.setdefault(vhost, {"name": vhost, **dict.fromkeys(columns, 0)})
            for field, values in columns.items():
                row[field] += int(values.sum())
    for row in out.values():
        row["hit_share"] = round(row["hits"] / max(1, row["done"]), 3)
    return sorted(out.values(), key=lambda row: row["name"])


def summary(timeline: Timeline, damage: list[Damage], zone: tzinfo) -> list[str]:
    """Return the timeline in sentences."""
    count = len(timeline.gateways)
    out = [
        f"Records of {count} gateway{'s' * (count != 1)}, {format_time(timeline.begin, zone, True)} to "
        f"{format_time(timeline.end, zone, True)} ({format_duration(timeline.end - timeline.begin)})."
    ]
    if timeline.missing():
        out.append(
            f"{timeline.missing()} of {timeline.expected} gateways have no records here: what "
            "only they observed is missing."
        )
    if not timeline.incidents:
        out.append("The records show no incidents.")
    for group in group_by_time(timeline.incidents):
        sentences = [_sentence(incident, zone) for incident in group]
        out.append(("At about the same time: " if len(sentences) > 1 else "") + " ".join(sentences))
    gaps = [gap for gap in timeline.gaps if gap.kind not in ("upgrade", "clock")]
    if gaps:
        listed = "; ".join(
            f"{gap.gateway} {format_time(gap.begin, zone)} for "
            f"{format_duration(gap.end - gap.begin) if gap.end else 'the rest'} ({gap.why})"
            for gap in gaps[:6]
        )
        more = "; ..." if len(gaps) > 6 else ""
        out.append(f"{len(gaps)} gap{'s' * (len(gaps) != 1)} in the records: {listed}{more}.")
    if damage:
        out.append(f"{len(damage)} places in the files could not be read.")
    return out


def _sentence(incident: Incident, zone: tzinfo) -> str:
    text = incident.title()
    text = text[0].upper() + text[1:]
    if incident.kind in ("purge", "cold", "gone"):
        body = f"{text} at {format_time(incident.begin, zone)}"
    else:
        lasted = (
            f"for {format_duration(incident.end - incident.begin)}"
            if incident.end is not None
            else "until the records end"
        )
        body = f"{text} from {format_time(incident.begin, zone)} {lasted}"
    body += (
        f", seen by {', '.join(incident.observed_by[:4])}{' and others' * (len(incident.observed_by) > 4)}"
    )
    if incident.not_observed_by and incident.kind not in ("purge", "cold", "gone", "drained"):
        body += (
            f", not by {', '.join(incident.not_observed_by[:4])}"
            f"{' and others' * (len(incident.not_observed_by) > 4)}"
        )
    if incident.typical and incident.cost > 0.02 * incident.typical:
        body += f"; it cost {incident.cost / incident.typical:.0%} of the usual value"
    if incident.contradictions:
        body += "; but " + "; ".join(incident.contradictions[:3])
    if incident.parts:
        body += "; with it: " + ", ".join(part.title() for part in incident.parts[:4])
    return body + "."
