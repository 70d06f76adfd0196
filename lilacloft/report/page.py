"""A timeline as one self-contained HTML page without external resources, or as text."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, tzinfo
from importlib.resources import files
from typing import Any

from jinja2 import Environment
from markupsafe import Markup

from lilacloft.record.reader import Damage
from lilacloft.report import charts
from lilacloft.report.facts import facts, format_time
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
    ("max util", "util"),
    ("ejected by", "left_alone_by"),
)
GATEWAYS = (
    ("gateway", "name"),
    ("clock offset, ms", "offset_ms"),
    ("uncertainty, ms", "spread_ms"),
    ("summaries", "seconds"),
    ("runs", "runs"),
)


def page(
    timeline: Timeline,
    damage: list[Damage],
    zone: tzinfo = UTC,
    title: str = "Incident report",
    progress: Callable[[str, float], None] = lambda text, part: None,
) -> str:
    """Return the HTML page. `progress` is called with the name of a step and its completed fraction."""
    report = facts(timeline, damage, zone)
    charts.configure_matplotlib()
    vhosts = []
    for index, vhost in enumerate(report["vhosts"]):
        vhosts.append((vhost["name"], charts.vhost_chart(timeline, vhost["name"])))
        progress("charts", (index + 1) / len(report["vhosts"]))
    backends = [(backend["name"], charts.be_chart(timeline, backend["name"])) for backend in report["bes"]]
    entries: list[tuple[str, Any]] = [("episode", one) for one in report["episodes"]]
    entries += [
        ("gap", one) for one in report["gaps"] if one["kind"] != "upgrade" or len(report["gaps"]) < 50
    ]
    entries.sort(key=lambda item: item[1]["begin"])
    environment = Environment(autoescape=True, trim_blocks=True)
    template = environment.from_string((files("lilacloft.report") / "page.html").read_text("utf-8"))
    return template.render(
        title=f"{title}, {format_time(timeline.begin, zone, True)}",
        facts=report,
        course=entries,
        zone=str(zone),
        lanes=Markup(charts.observation_lanes(timeline)),
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


def text(report: dict[str, Any]) -> str:
    """Return the facts as text for a terminal."""
    out = list(report["summary"]) + [""]
    rows = [
        (item["begin"], f"{item['at']}  {item['title']} ({item['lasted']}; seen by {', '.join(item['saw'])})")
        for item in report["episodes"]
    ]
    rows += [
        (item["begin"], f"{item['at']}  -- {item['gateway']}: {item['why']} ({item['lasted']})")
        for item in report["gaps"]
    ]
    return "\n".join(out + [line for _, line in sorted(rows)]) + "\n"
