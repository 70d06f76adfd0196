"""Draws a timeline as SVG text: charts of virtual hosts (matplotlib) and of each backend, and lanes of the
observations over time.

Colours are legible on light and dark backgrounds; text takes the colour of the page.
"""

from __future__ import annotations

import html
import io
import re
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

from lilacloft.timeline.timeline import Timeline

BINS = 240  # maximum number of bins of a chart
INK = "#010203"  # placeholder that is replaced by the text colour of the page
GOOD, BAD, WORSE, LATE, BLUE = "#3a9d5d", "#d9822b", "#c23b3b", "#b58fd6", "#3d7fc4"
LANE, LABEL, WIDTH = 16, 150, 900  # pixels


def bin_edges(timeline: Timeline) -> NDArray[Any]:
    """Return the bounds of the bins, each at least a second wide."""
    span = max(timeline.end - timeline.begin, 1000.0)
    count = int(max(1, min(BINS, span // 1000)))
    return np.linspace(timeline.begin, timeline.begin + span, count + 1)


def sum_by_bin(begin: NDArray[Any], values: NDArray[Any], bounds: NDArray[Any]) -> NDArray[Any]:
    """Return the sums of values by bin. `begin`: the time that assigns each value to its bin."""
    return np.histogram(begin, bounds, weights=np.nan_to_num(values))[0]


def figure_svg(figure: Any) -> str:
    """Return a figure as inline SVG for a page."""
    import matplotlib.pyplot as plt

    out = io.StringIO()
    figure.savefig(out, format="svg", transparent=True, bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    text = text[text.index("<svg") :].replace(INK, "currentColor")
    return re.sub(r'width="[\d.]+pt" height="[\d.]+pt"', 'width="100%"', text, count=1)


def configure_matplotlib() -> None:
    """Configure matplotlib: no display, text as text, and reproducible element ids."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams.update(
        {
            "svg.fonttype": "none",
            "svg.hashsalt": "lilacloft",
            "font.size": 9,
            "text.color": INK,
            "axes.edgecolor": INK,
            "axes.labelcolor": INK,
            "xtick.color": INK,
            "ytick.color": INK,
            "axes.spines.top": False,
            "axes.spines.right": False,
            "legend.frameon": False,
            "font.family": "sans-serif",
        }
    )


def shade_incidents(axes: Any, timeline: Timeline, least: float = 0.0) -> None:
    """Draw the incidents as stripes behind a chart."""
    for incident in timeline.incidents:
        begin = (incident.begin - timeline.begin) / 1000
        end = ((incident.end if incident.end is not None else timeline.end) - timeline.begin) / 1000
        if end - begin < 1:
            axes.axvline(begin, color=LATE, linewidth=1, linestyle=":")
        else:
            axes.axvspan(begin, end, color=LATE, alpha=0.2, linewidth=0)


def vhost_chart(timeline: Timeline, vhost: str) -> str:
    """Return a chart of a virtual host's answers per second by kind, and of its latency."""
    import matplotlib.pyplot as plt

    bounds = bin_edges(timeline)
    x = (bounds[:-1] - timeline.begin) / 1000
    width = (bounds[1] - bounds[0]) / 1000
    sums = {name: np.zeros(len(x)) for name in ("done", "late", "denied", "aborted")}
    for history in timeline.histories.values():
        columns = history.columns.vhosts.get(vhost)
        if columns is not None:
            for name in sums:
                sums[name] += sum_by_bin(history.columns.begin, columns[name], bounds) / width
    figure, (upper, lower) = plt.subplots(2, 1, figsize=(9, 3.2), sharex=True, height_ratios=(2, 1))
    good = np.maximum(sums["done"] - sums["late"], 0)
    upper.stackplot(
        x,
        good,
        sums["late"],
        sums["denied"],
        sums["aborted"],
        step="post",
        labels=("done in time", "late", "denied", "aborted"),
        colors=(GOOD, LATE, BAD, WORSE),
    )
    upper.set_ylabel("a second")
    upper.legend(loc="upper left", ncols=4, fontsize=8)
    shade_incidents(upper, timeline)
    bins, p50, p99 = latency_by_bin(timeline, vhost, bounds)
    lower.plot(x[bins], p50, color=BLUE, linewidth=1, label="median")
    lower.plot(x[bins], p99, color=WORSE, linewidth=1, label="p99")
    lower.set_ylabel("ms")
    lower.set_xlabel("seconds from the beginning")
    lower.legend(loc="upper left", ncols=2, fontsize=8)
    shade_incidents(lower, timeline)
    return figure_svg(figure)


def latency_by_bin(
    timeline: Timeline, vhost: str, bounds: NDArray[Any]
) -> tuple[list[int], list[float], list[float]]:
    """Return the bins that have histograms, with their median and p99 in milliseconds."""
    histograms: dict[int, HdrHistogram] = {}
    for history in timeline.histories.values():
        for row, name, encoded in history.columns.histograms:
            if name != vhost:
                continue
            bin_index = int(np.searchsorted(bounds, history.columns.begin[row], "right")) - 1
            if not 0 <= bin_index < len(bounds) - 1:
                continue
            if bin_index not in histograms:
                histograms[bin_index] = HdrHistogram(1, 1_000_000, 2)
            histograms[bin_index].decode_and_add(encoded)
    bins = sorted(histograms)
    return (
        bins,
        [histograms[bin_index].get_value_at_percentile(50) / 10 for bin_index in bins],
        [histograms[bin_index].get_value_at_percentile(99) / 10 for bin_index in bins],
    )


def be_chart(timeline: Timeline, backend: str) -> str:
    """Return a small chart of a backend's dispatches and answers. Written as SVG directly, without
    matplotlib, as there may be hundreds of backends."""
    bounds = bin_edges(timeline)
    width = (bounds[1] - bounds[0]) / 1000
    sums = {name: np.zeros(len(bounds) - 1) for name in ("dispatches", "done", "ends")}
    util = np.zeros(len(bounds) - 1)
    for history in timeline.histories.values():
        columns = history.columns.backends.get(backend)
        if columns is None:
            continue
        for name in sums:
            sums[name] += sum_by_bin(history.columns.begin, columns[name], bounds) / width
        utilization_sums = sum_by_bin(history.columns.begin, columns["util"], bounds)
        utilization_counts = sum_by_bin(history.columns.begin, ~np.isnan(columns["util"]) * 1.0, bounds)
        util = np.maximum(
            util,
            np.divide(
                utilization_sums,
                utilization_counts,
                out=np.zeros_like(utilization_sums),
                where=utilization_counts > 0,
            ),
        )
    top = max(1.0, float(sums["dispatches"].max()), float(sums["done"].max()))
    height = 60

    def line(values: NDArray[Any], scale: float, colour: str, what: str) -> str:
        step = WIDTH / len(values)
        points = " ".join(
            f"{place * step:.1f},{height - value / scale * (height - 6):.1f}"
            for place, value in enumerate(values)
        )
        return (
            f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5">'
            f"<title>{html.escape(what)}</title></polyline>"
        )

    parts = [
        line(sums["dispatches"], top, BLUE, "dispatches a second"),
        line(sums["done"], top, GOOD, "answers a second"),
        line(sums["ends"], top, WORSE, "other ends a second"),
    ]
    if util.any():
        parts.append(line(util, 1.0, LATE, "reported utilization"))
    label = f"{backend}: up to {top:.0f} dispatches a second"
    return (
        f'<svg viewBox="0 0 {WIDTH} {height}" width="100%" role="img" preserveAspectRatio="none" '
        f'aria-label="{html.escape(label)}"><title>{html.escape(label)}</title>{"".join(parts)}</svg>'
    )


def observation_lanes(timeline: Timeline, max_rows: int = 60) -> str:
    """Return the observations over time: a lane for each backend and each gateway that observed something of
    it. Gaps in a gateway's records are hatched."""
    span = max(timeline.end - timeline.begin, 1.0)

    def at(moment: float) -> float:
        return LABEL + (min(max(moment, timeline.begin), timeline.end) - timeline.begin) / span * (
            WIDTH - LABEL
        )

    rows: list[tuple[str, str, list[tuple[float, float, str, str]]]] = []
    incidents = [one for outer in timeline.incidents for one in (outer, *outer.parts)]
    shown = ("silent", "slow", "drained")
    subjects = sorted({one.subject for one in incidents if one.kind in shown and one.subject})
    for subject in subjects:
        for name in timeline.gateways:
            # Bars may extend over gaps in the records; the hatched lane of the gateway below shows the gaps.
            bars = [
                (
                    observation.begin,
                    observation.end if observation.end is not None else timeline.end,
                    {"silent": WORSE, "slow": BAD}.get(observation.kind, BLUE),
                    f"{observation.kind}: {observation.why}",
                )
                for one in incidents
                if one.subject == subject
                for observation in one.observations
                if observation.gateway == name
            ]
            if bars:
                rows.append((subject, name, bars))
    left_out = max(0, len(rows) - max_rows)
    rows = rows[:max_rows]
    height = (len(rows) + len(timeline.gateways[:max_rows]) + 2) * LANE + 10
    out = [
        f'<svg viewBox="0 0 {WIDTH} {height}" width="100%" role="img" aria-label="observations over time">'
        '<defs><pattern id="gap" width="6" height="6" patternUnits="userSpaceOnUse" '
        'patternTransform="rotate(45)"><rect width="3" height="6" fill="currentColor" opacity="0.5"/>'
        "</pattern></defs>"
    ]
    y = 4.0
    for subject, name, bars in rows:
        out.append(
            f'<text x="0" y="{y + 11}" font-size="10" fill="currentColor">'
            f"{html.escape(f'{subject} by {name}')}</text>"
        )
        for begin, end, colour, why in bars:
            out.append(
                f'<rect x="{at(begin):.1f}" y="{y + 2}" width="{max(2.0, at(end) - at(begin)):.1f}" '
                f'height="{LANE - 5}" fill="{colour}"><title>{html.escape(why)}</title></rect>'
            )
        y += LANE
    y += LANE / 2
    for name in timeline.gateways[:max_rows]:
        out.append(
            f'<text x="0" y="{y + 11}" font-size="10" fill="currentColor">'
            f"{html.escape(f'records of {name}')}</text>"
        )
        history = timeline.histories[name]
        width = max(1.0, at(history.end) - at(history.begin))
        x = at(history.begin)
        out.append(f'<rect x="{x:.1f}" y="{y + 6}" width="{width:.1f}" height="3" fill="{GOOD}"/>')
        for gap in timeline.gaps:
            if gap.gateway == name:
                end = gap.end if gap.end is not None else timeline.end
                width = max(3.0, at(end) - at(gap.begin))
                x = at(gap.begin)
                out.append(
                    f'<rect x="{x:.1f}" y="{y + 1}" width="{width:.1f}" height="{LANE - 3}" '
                    'fill="url(#gap)" stroke="currentColor" stroke-width="0.5">'
                    f"<title>{html.escape(f'{gap.kind}: {gap.why}')}</title></rect>"
                )
        y += LANE
    if left_out:
        out.append(f'<text x="0" y="{y + 11}" font-size="10" fill="currentColor">{left_out} more</text>')
    out.append("</svg>")
    return "".join(out)
