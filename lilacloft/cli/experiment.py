"""Commands for the emulator's worlds: single runs, and experiments of many runs."""

from __future__ import annotations

import sys
from typing import Any

import click

file = click.argument("file", metavar="FILE")
results_option = click.option(
    "--results", default="experiments.sqlite", metavar="FILE", help="database of the results"
)


def read_experiment(path: str) -> Any:
    """Read the experiment in a file. Raises SettingsError."""
    from pathlib import Path

    from lilacloft.config.nodes import Position
    from lilacloft.config.reader import SettingsError, parse
    from lilacloft.experiment.plan import Reader

    try:
        nodes = parse(Path(path).read_text(encoding="utf-8"), path)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([(Position(path, 1, 1), f"cannot be read: {error}")]) from error
    if len(nodes) != 1:
        raise SettingsError(
            [(Position(path, 1, 1), "expected one list (experiment NAME ...) and nothing else")]
        )
    return Reader().read(nodes[0])


def open_results(path: str) -> Any:
    from lilacloft.experiment.results import Results, ResultsError

    try:
        return Results(path)
    except ResultsError as error:
        raise click.ClickException(str(error)) from error


def check_policies(experiment: Any) -> None:
    """Check that every policy of an experiment is available."""
    from lilacloft.experiment import revisions

    for name in experiment.policies:
        try:
            revisions.policy(name)
        except revisions.RevisionError as error:
            raise click.ClickException(str(error)) from error


@click.group()
def experiment() -> None:
    """Evaluate policies in worlds of the emulator."""


@experiment.command()
@file
@results_option
@click.option("--processes", type=int, default=None, help="number of processes; default: one for each core")
def run(file: str, results: str, processes: int | None) -> int:
    """Do the runs of a file that have no results yet; an interrupted command continues where it stopped."""
    from rich.progress import BarColumn, Progress, TextColumn

    from lilacloft.experiment import runner

    spec = read_experiment(file)
    check_policies(spec)
    database = open_results(results)
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed}/{task.total}"),
        TextColumn("{task.fields[left]}"),
    ) as bar:
        task = bar.add_task(spec.name, total=None, left="")

        def show_progress(count: int, total: int, left: float) -> None:
            bar.update(task, completed=count, total=total, left=f"{left:.0f} s left")

        count = runner.run(spec, database, show_progress, processes)
    left = len(runner.missing(spec, database))
    click.echo(f"{count} runs done, {spec.count() - left} of {spec.count()} there")
    return 1 if left else 0


@experiment.command()
@file
@results_option
@click.option("--out", metavar="DIR", help="directory for Markdown and charts")
def report(file: str, results: str, out: str | None) -> int:
    """Show the results of an experiment."""
    from rich.console import Console

    from lilacloft.experiment import report as reports

    spec, database = read_experiment(file), open_results(results)
    if out:
        for path in reports.write(spec, database, out):
            click.echo(path)
        return 0
    screen = Console()
    for measure in spec.measures:
        screen.print(reports.console(spec, database, measure))
    return 0


@experiment.command()
@file
@click.argument("one")
@click.argument("other")
@results_option
@click.option("--measure", default="worth")
def compare(file: str, one: str, other: str, results: str, measure: str) -> int:
    """Compare two policies of an experiment over all its worlds and faults."""
    from lilacloft.experiment import runner, stats
    from lilacloft.experiment.plan import MEASURES

    spec, database = read_experiment(file), open_results(results)
    if measure not in MEASURES:
        raise click.UsageError(f"{measure}: one of {', '.join(MEASURES)}")
    for name in (one, other):
        if name not in spec.policies:
            raise click.UsageError(f"{name}: {file} has {', '.join(spec.policies)}")
    values = runner.values(spec, database, measure)
    by_seed: dict[str, dict[int, list[float]]] = {one: {}, other: {}}
    for (_, _, policy), by_number in values.items():
        for seed, value in by_number.items():
            if policy in by_seed:
                by_seed[policy].setdefault(seed, []).append(value)
    count = len(spec.worlds) * len(spec.troubles)
    means = {
        name: {seed: sum(numbers) / count for seed, numbers in by_number.items() if len(numbers) == count}
        for name, by_number in by_seed.items()
    }
    difference = stats.compare(means[one], means[other])
    if not difference.count:
        raise click.ClickException("no seed has both in all worlds: `experiment run` first")
    click.echo(
        f"{measure}: {one} less {other}: {difference.mean:+.5f} ({difference.low:+.5f} to "
        f"{difference.high:+.5f}) on {difference.count} seeds of {count} worlds, "
        f"more on {difference.better}, less on {difference.worse}"
    )
    click.echo(
        f"shown (chance {difference.chance:.4f})"
        if difference.shown
        else f"no difference shown (chance {difference.chance:.2f})"
        + (f"; some {difference.needs} seeds would" if difference.needs > difference.count else "")
    )
    return 0


@experiment.command()
@click.option("--against", default="oracle", help="the policy compared with which worth is lost")
@click.option("--policy", default="module")
@click.option("--tries", default=200)
@click.option("--seeds", default=4, help="seeds of each try; the worst are run on four times as many")
@click.option("--seed", default=1)
@click.option("--worlds", default="small,sites,thin,videos,flash,writes,full,one-offs")
@click.option(
    "--explain", default=6, help="number of the worst results for which the faults that matter are found"
)
def search(against: str, policy: str, tries: int, seeds: int, seed: int, worlds: str, explain: int) -> int:
    """Search for the worlds and faults in which a policy loses most against another."""
    from lilacloft.emulator.chance import RandomStreams
    from lilacloft.emulator.worlds import WORLDS
    from lilacloft.experiment import runner
    from lilacloft.experiment.search import Search, Spot, ablations

    names = worlds.split(",")
    unknown = [name for name in names if name not in WORLDS]
    if unknown:
        raise click.UsageError(f"no world {unknown[0]}: {', '.join(WORLDS)}")
    start_worlds = [WORLDS[name].lasting(4) for name in names]
    search_state = Search(RandomStreams(seed).stream("search"), start_worlds)
    batch = 16

    def losses(spots: list[Spot], first: int, count: int) -> list[float]:
        """Return what each spot loses against the other policy: the mean over `count` seeds from `first`."""
        runs = [
            (spot.world, spot.faults, name, number)
            for spot in spots
            for name in (policy, against)
            for number in range(first, first + count)
        ]
        worths = runner.worth(runs)
        return [
            (
                sum(worths[(2 * index + 1) * count : (2 * index + 2) * count])
                - sum(worths[2 * index * count : (2 * index + 1) * count])
            )
            / count
            for index in range(len(spots))
        ]

    def record_losses(spots: list[Spot], first: int) -> None:
        for spot, lost in zip(spots, losses(spots, first, seeds), strict=True):
            search_state.found(spot, lost, seeds)

    first = 1000 * seed + 500  # seeds that neither the search nor its repeated runs use

    def ablate(spot: Spot) -> None:
        lost = losses([spot, *ablations(spot)], first, 4 * seeds)
        search_state.explained(spot, lost[0], lost[1:])

    for first_try in range(0, tries, batch):
        record_losses([search_state.next() for _ in range(min(batch, tries - first_try))], 1000 * seed)
        # The worst spot is explained during the search, so that its variants count as the same weakness.
        if explain and (spot := search_state.unexplained(1)) is not None and spot.seeds >= seeds:
            ablate(spot)
        if sys.stderr.isatty():
            click.echo(f"{first_try + batch}/{tries}: worst {search_state.worst[0].lost:.3f}", err=True)
    while (spot := search_state.doubtful(4 * seeds)) is not None:
        record_losses([spot], 1000 * seed + seeds * (spot.seeds // seeds) + 100)
    for _ in range(4 * explain):  # explaining a spot may bring up another one, of a regrouped family
        spot = search_state.unexplained(explain)
        if spot is None:
            break
        ablate(spot)
    for spot in search_state.worst:
        click.echo(f"{spot.lost:.3f} lost on {spot.seeds} seeds: {spot.world.name} {spot.told()}")
        click.echo(f"      {differences(spot.world, WORLDS[spot.world.name])}")
        if spot.kernel is not None:
            click.echo(f"      matters: {spot.told_kernel()}")
    return 0


def differences(world: Any, before: Any) -> str:
    """Return the attributes in which a world differs from the one of its name."""
    from dataclasses import fields

    out = [
        f"{item.name}={getattr(world.habits, item.name)}"
        for item in fields(world.habits)
        if getattr(world.habits, item.name) != getattr(before.habits, item.name)
    ]
    out += [
        f"{item.name}={getattr(world, item.name)}"
        for item in fields(world)
        if item.name != "habits" and getattr(world, item.name) != getattr(before, item.name)
    ]
    return " ".join(out)


@click.command()
@click.argument("world")
@click.option("--seed", default=1)
@click.option("--seeds", default=1, help="number of seeds from --seed on, run on all cores")
@click.option("--faults", default="", help="fault expressions, or the number of random faults")
@click.option("--policy", default="module")
@click.option(
    "--shrink", is_flag=True, help="reduce the faults of a failing seed to a minimal set that still fails"
)
def emulate(world: str, seed: int, seeds: int, faults: str, policy: str, shrink: bool) -> int:
    """Run a world, and print its results and the rules that were broken. Exits with 1 if any was."""
    from lilacloft.emulator import faults as language
    from lilacloft.emulator.fleet import Fleet
    from lilacloft.emulator.policies import POLICIES
    from lilacloft.emulator.worlds import WORLDS
    from lilacloft.experiment import revisions
    from lilacloft.experiment.plan import Experiment, Run, Trouble
    from lilacloft.experiment.runner import NAMES

    if world not in WORLDS:
        raise click.UsageError(f"no world {world}: {', '.join(WORLDS)}")
    try:
        if not policy.startswith("revision ") and policy not in POLICIES:
            raise KeyError(policy)
        made = revisions.policy(policy)
        trouble = (
            Trouble("drawn", drawn=int(faults))
            if faults.isdigit()
            else Trouble("written", written=tuple(language.parse(faults)))
        )
    except (language.FaultError, revisions.RevisionError) as error:
        raise click.UsageError(str(error)) from error
    except KeyError:
        raise click.UsageError(f"no policy {policy}") from None
    if seeds > 1:
        return run_seeds(Experiment(world, [WORLDS[world]], [trouble], [policy], range(seed, seed + seeds)))
    run = Run(WORLDS[world], trouble, policy, seed)
    result = Fleet(run.world, seed, trouble.faults(run.world, seed), made).run()
    for attribute, value in vars(result).items():
        name = NAMES.get(attribute, attribute)
        if name != "breaches":
            click.echo(f"{name}: {value:.4g}" if isinstance(value, float) else f"{name}: {value}")
    for breach in result.breaches:
        click.echo(str(breach))
    if shrink and result.breaches:
        rule = result.breaches[0].rule
        least = language.shrink(
            trouble.faults(run.world, seed),
            lambda some: any(
                breach.rule == rule for breach in Fleet(run.world, seed, some, made).run().breaches
            ),
        )
        click.echo(f"rule {rule} is still broken by: " + (" ".join(map(str, least)) or "no fault at all"))
    return 1 if result.breaches else 0


def run_seeds(spec: Any) -> int:
    """Run many seeds, and print only the failing ones."""
    import time

    from lilacloft.experiment import runner

    started, broken, total = time.monotonic(), 0, 0.0
    with runner.pool() as pool:
        for run, result in zip(spec.runs(), pool.imap(runner.done, spec.runs(), 16), strict=True):
            total += result["worth"]
            if result["broken"]:
                broken += 1
                click.echo(f"seed {run.seed}: {result['breaches'][0]}")
    click.echo(
        f"{spec.count()} seeds in {time.monotonic() - started:.0f} s: mean worth "
        f"{total / spec.count():.4f}, rules broken in {broken}"
    )
    return 1 if broken else 0


COMMANDS = (experiment, emulate)
