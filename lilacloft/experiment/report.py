"""Reports of experiments: tables as text or Markdown, and charts. Significance comes from `stats`."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

from lilacloft.experiment import runner, stats
from lilacloft.experiment.plan import Experiment
from lilacloft.experiment.results import Results

UNITS = {"p50": "ms", "p99": "ms", "cpu_us": "us per request"}


def rows(experiment: Experiment, results: Results, measure: str) -> list[list[str]]:
    """Return one row per world, faults and policy: the mean with its interval, and the difference from the
    baseline policy if it is significant."""
    found = runner.values(experiment, results, measure)
    gaps: dict[str, stats.Difference] = {}
    for (world, trouble, policy), by_seed in found.items():
        other = found.get((world, trouble, experiment.against))
        if policy != experiment.against and other:
            gaps[f"{world}|{trouble}|{policy}"] = stats.compare(by_seed, other)
    shown = stats.holm({name: gap.chance for name, gap in gaps.items() if gap.count >= 2})
    out = []
    for world in experiment.worlds:
        for trouble in experiment.troubles:
            for policy in experiment.policies:
                by_seed = found.get((world.name, trouble.name, policy))
                if not by_seed:
                    continue
                one = stats.estimate(list(by_seed.values()))
                name = f"{world.name}|{trouble.name}|{policy}"
                out.append(
                    [
                        world.name,
                        trouble.name,
                        policy,
                        str(one.count),
                        _figure(one),
                        _gap(gaps.get(name), name in shown, stats.least(len(gaps))),
                    ]
                )
    return out


def _figure(one: stats.Estimate) -> str:
    if not math.isfinite(one.half):
        return f"{one.mean:.4g}"
    return f"{one.mean:.4g} ({one.low:.4g} to {one.high:.4g})"


def _gap(gap: stats.Difference | None, shown: bool, least: int) -> str:
    if gap is None:
        return ""
    rare = ", of rare seeds" if gap.rare else ""
    if shown:
        return f"{gap.mean:+.4g} ({gap.low:+.4g} to {gap.high:+.4g}){rare}"
    needs = max(gap.needs, least)
    more = f"; some {needs} seeds would" if needs > gap.count and gap.mean else ""
    return f"no difference shown{rare}{more}"


HEAD = ["world", "faults", "policy", "seeds", "mean (95%)", "against"]


def markdown(experiment: Experiment, results: Results) -> str:
    """Return all tables as Markdown."""
    out = [f"# {experiment.name}", ""]
    for measure in experiment.measures:
        unit = f", {UNITS[measure]}" if measure in UNITS else ""
        head = [*HEAD[:-1], f"against {experiment.against}"]
        out += [
            f"## {measure}{unit}",
            "",
            "| " + " | ".join(head) + " |",
            "| " + " | ".join(["---"] * len(HEAD)) + " |",
        ]
        out += ["| " + " | ".join(row) + " |" for row in rows(experiment, results, measure)] + [""]
    return "\n".join(out)


def chart(experiment: Experiment, results: Results, measure: str, path: str) -> None:
    """Plot means with intervals: one panel per fault set, worlds on the x axis, one marker per policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = runner.values(experiment, results, measure)
    troubles = [one.name for one in experiment.troubles]
    worlds = [one.name for one in experiment.worlds]
    figure, axes = pyplot.subplots(
        len(troubles),
        1,
        squeeze=False,
        constrained_layout=True,
        figsize=(max(7.0, 1.3 * len(worlds)), 3.2 * len(troubles)),
    )
    width = 0.8 / max(1, len(experiment.policies))
    for axis, trouble in zip(axes[:, 0], troubles, strict=True):
        for place, policy in enumerate(experiment.policies):
            at, means, below, above = [], [], [], []
            for number, world in enumerate(worlds):
                by_seed = found.get((world, trouble, policy))
                if by_seed:
                    one = stats.estimate(list(by_seed.values()))
                    at.append(number + (place - (len(experiment.policies) - 1) / 2) * width)
                    means.append(one.mean)
                    below.append(one.mean - one.low if math.isfinite(one.low) else 0.0)
                    above.append(one.high - one.mean if math.isfinite(one.high) else 0.0)
            axis.errorbar(at, means, [below, above], fmt="o", markersize=3, linewidth=1, label=policy)
        axis.set_xticks(range(len(worlds)), worlds, rotation=20, ha="right", fontsize=7)
        axis.set_title(trouble, fontsize=9)
        axis.set_ylabel(f"{measure} {UNITS.get(measure, '')}".strip(), fontsize=8)
        axis.grid(alpha=0.3)
    axes[0, 0].legend(fontsize=6, ncols=4)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def write(experiment: Experiment, results: Results, folder: str) -> list[str]:
    """Write the tables and one chart per measure into a folder; return the paths."""
    directory = Path(folder)
    directory.mkdir(parents=True, exist_ok=True)
    name = "".join(char if char.isalnum() else "-" for char in experiment.name).strip("-") or "experiment"
    paths = [directory / f"{name}.md"]
    paths[0].write_text(markdown(experiment, results) + "\n")
    for measure in experiment.measures:
        paths.append(directory / f"{name}-{measure}.png")
        chart(experiment, results, measure, str(paths[-1]))
    return [str(path) for path in paths]


def console(experiment: Experiment, results: Results, measure: str) -> Any:
    """Return the table of a measure for the terminal."""
    from rich.table import Table

    table = Table(title=f"{experiment.name}: {measure}")
    for head in [*HEAD[:-1], f"against {experiment.against}"]:
        table.add_column(head)
    for row in rows(experiment, results, measure):
        table.add_row(*row)
    return table
