"""Draws a course: charts of the fleet and its vhosts (matplotlib), of each be, and lanes of beliefs, all as
SVG text.

Colours are chosen to be read on light and dark; text takes the page's colour. It decides nothing.
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

BINS = 240  # of a chart's width
INK = "#010203"  # becomes the page's text colour
GOOD, BAD, WORSE, LATE, BLUE = "#3a9d5d", "#d9822b", "#c23b3b", "#b58fd6", "#3d7fc4"
LANE, LABEL, WIDTH = 16, 150, 900  # pixels


def edges(found: Timeline) -> NDArray[Any]:
    """Bounds of the bins: seconds at least."""
    span = max(found.end - found.begin, 1000.0)
    count = int(max(1, min(BINS, span // 1000)))
    return np.linspace(found.begin, found.begin + span, count + 1)


def binned(begin: NDArray[Any], values: NDArray[Any], bounds: NDArray[Any]) -> NDArray[Any]:
    """Sums by bin, by where each row begins."""
    return np.histogram(begin, bounds, weights=np.nan_to_num(values))[0]


def svg(figure: Any) -> str:
    """A figure as SVG to be put into a page."""
    import matplotlib.pyplot as plt

    out = io.StringIO()
    figure.savefig(out, format="svg", transparent=True, bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    text = text[text.index("<svg") :].replace(INK, "currentColor")
    return re.sub(r'width="[\d.]+pt" height="[\d.]+pt"', 'width="100%"', text, count=1)


def prepare() -> None:
    """Matplotlib without a display, with text as text and marks that are the same every time."""
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


def shades(axes: Any, found: Timeline, least: float = 0.0) -> None:
    """Episodes as stripes behind a chart."""
    for one in found.incidents:
        begin = (one.begin - found.begin) / 1000
        end = ((one.end if one.end is not None else found.end) - found.begin) / 1000
        if end - begin < 1:
            axes.axvline(begin, color=LATE, linewidth=1, linestyle=":")
        else:
            axes.axvspan(begin, end, color=LATE, alpha=0.2, linewidth=0)


def vhost_chart(found: Timeline, vhost: str) -> str:
    """A vhost's answers a second by kind, and its latency."""
    import matplotlib.pyplot as plt

    bounds = edges(found)
    x = (bounds[:-1] - found.begin) / 1000
    width = (bounds[1] - bounds[0]) / 1000
    sums = {name: np.zeros(len(x)) for name in ("done", "late", "denied", "aborted")}
    for history in found.histories.values():
        mine = history.columns.vhosts.get(vhost)
        if mine is not None:
            for name in sums:
                sums[name] += binned(history.columns.begin, mine[name], bounds) / width
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
    shades(upper, found)
    places, p50, p99 = latency(found, vhost, bounds)
    lower.plot(x[places], p50, color=BLUE, linewidth=1, label="median")
    lower.plot(x[places], p99, color=WORSE, linewidth=1, label="p99")
    lower.set_ylabel("ms")
    lower.set_xlabel("seconds from the beginning")
    lower.legend(loc="upper left", ncols=2, fontsize=8)
    shades(lower, found)
    return svg(figure)


def latency(found: Timeline, vhost: str, bounds: NDArray[Any]) -> tuple[list[int], list[float], list[float]]:
    """Median and p99 in milliseconds by bin, of the histograms that were kept."""
    held: dict[int, HdrHistogram] = {}
    for history in found.histories.values():
        for place, name, encoded in history.columns.histograms:
            if name != vhost:
                continue
            spot = int(np.searchsorted(bounds, history.columns.begin[place], "right")) - 1
            if not 0 <= spot < len(bounds) - 1:
                continue
            if spot not in held:
                held[spot] = HdrHistogram(1, 1_000_000, 2)
            held[spot].decode_and_add(encoded)
    places = sorted(held)
    return (
        places,
        [held[place].get_value_at_percentile(50) / 10 for place in places],
        [held[place].get_value_at_percentile(99) / 10 for place in places],
    )


def be_chart(found: Timeline, backend: str) -> str:
    """A be's dispatches and what came back, small: drawn by hand, as there may be hundreds."""
    bounds = edges(found)
    width = (bounds[1] - bounds[0]) / 1000
    sums = {name: np.zeros(len(bounds) - 1) for name in ("dispatches", "done", "ends")}
    util = np.zeros(len(bounds) - 1)
    for history in found.histories.values():
        mine = history.columns.backends.get(backend)
        if mine is None:
            continue
        for name in sums:
            sums[name] += binned(history.columns.begin, mine[name], bounds) / width
        told = binned(history.columns.begin, mine["util"], bounds)
        count = binned(history.columns.begin, ~np.isnan(mine["util"]) * 1.0, bounds)
        util = np.maximum(util, np.divide(told, count, out=np.zeros_like(told), where=count > 0))
    top = max(1.0, float(sums["dispatches"].max()), float(sums["done"].max()))
    high = 60

    def line(values: NDArray[Any], scale: float, colour: str, what: str) -> str:
        step = WIDTH / len(values)
        dots = " ".join(
            f"{place * step:.1f},{high - value / scale * (high - 6):.1f}"
            for place, value in enumerate(values)
        )
        return (
            f'<polyline points="{dots}" fill="none" stroke="{colour}" stroke-width="1.5">'
            f"<title>{html.escape(what)}</title></polyline>"
        )

    parts = [
        line(sums["dispatches"], top, BLUE, "dispatches a second"),
        line(sums["done"], top, GOOD, "answers a second"),
        line(sums["ends"], top, WORSE, "other ends a second"),
    ]
    if util.any():
        parts.append(line(util, 1.0, LATE, "util as told"))
    label = f"{backend}: up to {top:.0f} dispatches a second"
    return (
        f'<svg viewBox="0 0 {WIDTH} {high}" width="100%" role="img" preserveAspectRatio="none" '
        f'aria-label="{html.escape(label)}"><title>{html.escape(label)}</title>{"".join(parts)}</svg>'
    )


def lanes(found: Timeline, most: int = 60) -> str:
    """Who believed what of whom over time: a lane for each be that anything was believed of, and each
    gateway in it; gaps in a gateway's records are hatched."""
    span = max(found.end - found.begin, 1.0)

    def at(moment: float) -> float:
        return LABEL + (min(max(moment, found.begin), found.end) - found.begin) / span * (WIDTH - LABEL)

    rows: list[tuple[str, str, list[tuple[float, float, str, str]]]] = []
    every = [one for outer in found.incidents for one in (outer, *outer.parts)]
    shown = ("silent", "slow", "drained")
    subjects = sorted({one.subject for one in every if one.kind in shown and one.subject})
    for subject in subjects:
        for name in found.gateways:
            # a gap is never bridged by a line: the hatched lane of the same gateway covers it below
            bars = [
                (
                    observation.begin,
                    observation.end if observation.end is not None else found.end,
                    {"silent": WORSE, "slow": BAD}.get(observation.kind, BLUE),
                    f"{observation.kind}: {observation.why}",
                )
                for one in every
                if one.subject == subject
                for observation in one.observations
                if observation.gateway == name
            ]
            if bars:
                rows.append((subject, name, bars))
    left_out = max(0, len(rows) - most)
    rows = rows[:most]
    high = (len(rows) + len(found.gateways[:most]) + 2) * LANE + 10
    out = [
        f'<svg viewBox="0 0 {WIDTH} {high}" width="100%" role="img" aria-label="beliefs over time">'
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
    for name in found.gateways[:most]:
        out.append(
            f'<text x="0" y="{y + 11}" font-size="10" fill="currentColor">'
            f"{html.escape(f'records of {name}')}</text>"
        )
        history = found.histories[name]
        long = max(1.0, at(history.end) - at(history.begin))
        x = at(history.begin)
        out.append(f'<rect x="{x:.1f}" y="{y + 6}" width="{long:.1f}" height="3" fill="{GOOD}"/>')
        for gap in found.gaps:
            if gap.gateway == name:
                end = gap.end if gap.end is not None else found.end
                long = max(3.0, at(end) - at(gap.begin))
                x = at(gap.begin)
                out.append(
                    f'<rect x="{x:.1f}" y="{y + 1}" width="{long:.1f}" height="{LANE - 3}" '
                    'fill="url(#gap)" stroke="currentColor" stroke-width="0.5">'
                    f"<title>{html.escape(f'{gap.kind}: {gap.why}')}</title></rect>"
                )
        y += LANE
    if left_out:
        out.append(f'<text x="0" y="{y + 11}" font-size="10" fill="currentColor">{left_out} more</text>')
    out.append("</svg>")
    return "".join(out)
