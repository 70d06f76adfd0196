"""A course as one page that can be sent round: everything inside it, nothing from elsewhere."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, tzinfo
from importlib.resources import files
from typing import Any

from jinja2 import Environment
from markupsafe import Markup

from lilacloft.record.reader import Damage
from lilacloft.report import charts
from lilacloft.report.facts import clock, facts
from lilacloft.timeline.timeline import Timeline

VHOSTS = (
    ("vhost", "name"),
    ("reqs", "reqs"),
    ("done", "done"),
    ("late", "late"),
    ("denied", "denied"),
    ("aborted", "aborted"),
    ("left", "left"),
    ("dispatches", "dispatches"),
    ("hit share", "hit_share"),
)
BES = (
    ("be", "name"),
    ("kind", "role"),
    ("dispatches", "dispatches"),
    ("answers", "done"),
    ("late", "late"),
    ("other ends", "ends"),
    ("most util", "util"),
    ("left alone by", "left_alone_by"),
)
GATEWAYS = (
    ("gateway", "name"),
    ("put right by, ms", "offset_ms"),
    ("sure to, ms", "spread_ms"),
    ("summaries", "seconds"),
    ("lives", "runs"),
)


def page(
    found: Timeline,
    damage: list[Damage],
    zone: tzinfo = UTC,
    title: str = "Incident report",
    progress: Callable[[str, float], None] = lambda text, part: None,
) -> str:
    """The whole page."""
    told = facts(found, damage, zone)
    charts.prepare()
    vhosts = []
    for place, vhost in enumerate(told["vhosts"]):
        vhosts.append((vhost["name"], charts.vhost_chart(found, vhost["name"])))
        progress("charts", (place + 1) / len(told["vhosts"]))
    backends = [(backend["name"], charts.be_chart(found, backend["name"])) for backend in told["bes"]]
    course: list[tuple[str, Any]] = [("episode", one) for one in told["episodes"]]
    course += [("gap", one) for one in told["gaps"] if one["kind"] != "upgrade" or len(told["gaps"]) < 50]
    course.sort(key=lambda item: item[1]["begin"])
    safe = Environment(autoescape=True, trim_blocks=True)
    template = safe.from_string((files("lilacloft.report") / "page.html").read_text("utf-8"))
    return template.render(
        title=f"{title}, {clock(found.begin, zone, True)}",
        facts=told,
        course=course,
        zone=str(zone),
        lanes=Markup(charts.lanes(found)),
        vhost_charts=[(name, Markup(text)) for name, text in vhosts],
        be_charts=[(name, Markup(text)) for name, text in backends],
        vhost_columns=VHOSTS,
        be_columns=BES,
        gateway_columns=GATEWAYS,
        good=charts.GOOD,
        bad=charts.BAD,
        worse=charts.WORSE,
        blue=charts.BLUE,
        late=charts.LATE,
    )


def text(told: dict[str, Any]) -> str:
    """The same for a terminal."""
    out = list(told["summary"]) + [""]
    rows = [
        (one["begin"], f"{one['at']}  {one['title']} ({one['lasted']}; seen by {', '.join(one['saw'])})")
        for one in told["episodes"]
    ]
    rows += [
        (one["begin"], f"{one['at']}  -- {one['gateway']}: {one['why']} ({one['lasted']})")
        for one in told["gaps"]
    ]
    return "\n".join(out + [line for _, line in sorted(rows)]) + "\n"
