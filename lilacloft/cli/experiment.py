"""Commands on the emulator's worlds: one run, and experiments of many."""

from __future__ import annotations

import sys
from typing import Any

import click

file = click.argument("file", metavar="FILE")
into = click.option("--results", default="experiments.sqlite", metavar="FILE", help="where results are kept")


def loaded(path: str) -> Any:
    """The experiment of a file."""
    from pathlib import Path

    from lilacloft.config.nodes import Place
    from lilacloft.config.reader import SettingsError, parse
    from lilacloft.experiment.plan import Reader

    try:
        nodes = parse(Path(path).read_text(encoding="utf-8"), path)
    except (OSError, UnicodeDecodeError) as wrong:
        raise SettingsError([(Place(path, 1, 1), f"cannot be read: {wrong}")]) from wrong
    if len(nodes) != 1:
        raise SettingsError([(Place(path, 1, 1), "expected one list (experiment NAME ...) and nothing else")])
    return Reader().read(nodes[0])


def opened(path: str) -> Any:
    from lilacloft.experiment.results import Results, ResultsError

    try:
        return Results(path)
    except ResultsError as wrong:
        raise click.ClickException(str(wrong)) from wrong


def sure(experiment: Any) -> None:
    """Every policy can be had."""
    from lilacloft.experiment import revisions

    for name in experiment.policies:
        try:
            revisions.policy(name)
        except revisions.RevisionError as wrong:
            raise click.ClickException(str(wrong)) from wrong


@click.group()
def experiment() -> None:
    """Try decisions in worlds of the emulator."""


@experiment.command()
@file
@into
@click.option("--processes", type=int, default=None, help="cores to use; all of them else")
def run(file: str, results: str, processes: int | None) -> int:
    """Do the runs of a file that are not there yet; stopped, it goes on where it was."""
    from rich.progress import BarColumn, Progress, TextColumn

    from lilacloft.experiment import runner

    found = loaded(file)
    sure(found)
    base = opened(results)
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed}/{task.total}"),
        TextColumn("{task.fields[left]}"),
    ) as bar:
        task = bar.add_task(found.name, total=None, left="")

        def seen(count: int, total: int, left: float) -> None:
            bar.update(task, completed=count, total=total, left=f"{left:.0f} s left")

        count = runner.run(found, base, seen, processes)
    left = len(runner.missing(found, base))
    click.echo(f"{count} runs done, {found.count() - left} of {found.count()} there")
    return 1 if left else 0


@experiment.command()
@file
@into
@click.option("--out", metavar="DIR", help="write Markdown and charts there")
def report(file: str, results: str, out: str | None) -> int:
    """Show what the runs of a file show."""
    from rich.console import Console

    from lilacloft.experiment import report as reports

    found, base = loaded(file), opened(results)
    if out:
        for path in reports.write(found, base, out):
            click.echo(path)
        return 0
    screen = Console()
    for measure in found.measures:
        screen.print(reports.console(found, base, measure))
    return 0


@experiment.command()
@file
@click.argument("one")
@click.argument("other")
@into
@click.option("--measure", default="worth")
def compare(file: str, one: str, other: str, results: str, measure: str) -> int:
    """Hold two policies of a file against each other, over all its worlds and faults together."""
    from lilacloft.experiment import runner, stats
    from lilacloft.experiment.plan import MEASURES

    found, base = loaded(file), opened(results)
    if measure not in MEASURES:
        raise click.UsageError(f"{measure}: one of {', '.join(MEASURES)}")
    for name in (one, other):
        if name not in found.policies:
            raise click.UsageError(f"{name}: {file} has {', '.join(found.policies)}")
    values = runner.values(found, base, measure)
    by_seed: dict[str, dict[int, list[float]]] = {one: {}, other: {}}
    for (_, _, policy), mine in values.items():
        for seed, value in mine.items():
            if policy in by_seed:
                by_seed[policy].setdefault(seed, []).append(value)
    places = len(found.worlds) * len(found.troubles)
    means = {
        name: {seed: sum(told) / places for seed, told in mine.items() if len(told) == places}
        for name, mine in by_seed.items()
    }
    gap = stats.compare(means[one], means[other])
    if not gap.count:
        raise click.ClickException("no seed has both in all worlds: `experiment run` first")
    click.echo(
        f"{measure}: {one} less {other}: {gap.mean:+.5f} ({gap.low:+.5f} to {gap.high:+.5f}) on "
        f"{gap.count} seeds of {places} worlds, more on {gap.better}, less on {gap.worse}"
    )
    click.echo(
        f"shown (chance {gap.chance:.4f})"
        if gap.shown
        else f"no difference shown (chance {gap.chance:.2f})"
        + (f"; some {gap.needs} seeds would" if gap.needs > gap.count else "")
    )
    return 0


@experiment.command()
@click.option("--against", default="oracle", help="the policy beside which worth is lost")
@click.option("--policy", default="module")
@click.option("--tries", default=200)
@click.option("--seeds", default=4, help="seeds a try; the worst are seen on four times as many")
@click.option("--seed", default=1)
@click.option("--worlds", default="small,sites,thin,videos,flash,writes,full,one-offs")
@click.option("--explain", default=6, help="of so many of the worst, the faults that matter are found")
def search(against: str, policy: str, tries: int, seeds: int, seed: int, worlds: str, explain: int) -> int:
    """Look for the worlds and faults in which a policy loses most beside another."""
    from lilacloft.emulator.chance import Chance
    from lilacloft.emulator.worlds import WORLDS
    from lilacloft.experiment import runner
    from lilacloft.experiment.search import Search, Spot, ablations

    names = worlds.split(",")
    unknown = [name for name in names if name not in WORLDS]
    if unknown:
        raise click.UsageError(f"no world {unknown[0]}: {', '.join(WORLDS)}")
    begin = [WORLDS[name].lasting(4) for name in names]
    looking = Search(Chance(seed).stream("search"), begin)
    block = 16

    def losses(spots: list[Spot], first: int, count: int) -> list[float]:
        """What each spot loses beside the other policy: a mean over so many seeds from `first` on."""
        told = [
            (spot.world, spot.faults, name, number)
            for spot in spots
            for name in (policy, against)
            for number in range(first, first + count)
        ]
        got = runner.worth(told)
        return [
            (
                sum(got[(2 * place + 1) * count : (2 * place + 2) * count])
                - sum(got[2 * place * count : (2 * place + 1) * count])
            )
            / count
            for place in range(len(spots))
        ]

    def seen(spots: list[Spot], first: int) -> None:
        for spot, lost in zip(spots, losses(spots, first, seeds), strict=True):
            looking.found(spot, lost, seeds)

    first = 1000 * seed + 500  # seeds that neither the search nor its second looks have used

    def ablate(spot: Spot) -> None:
        lost = losses([spot, *ablations(spot)], first, 4 * seeds)
        looking.explained(spot, lost[0], lost[1:])

    for turn in range(0, tries, block):
        seen([looking.next() for _ in range(min(block, tries - turn))], 1000 * seed)
        # the worst is explained as the search goes, so that its many variants are known for one weakness
        if explain and (doubt := looking.unexplained(1)) is not None and doubt.seeds >= seeds:
            ablate(doubt)
        if sys.stderr.isatty():
            click.echo(f"{turn + block}/{tries}: worst {looking.worst[0].lost:.3f}", err=True)
    while (doubt := looking.doubtful(4 * seeds)) is not None:
        seen([doubt], 1000 * seed + seeds * (doubt.seeds // seeds) + 100)
    for _ in range(4 * explain):  # each explained spot may bring up another of a family drawn anew
        spot = looking.unexplained(explain)
        if spot is None:
            break
        ablate(spot)
    for spot in looking.worst:
        click.echo(f"{spot.lost:.3f} lost on {spot.seeds} seeds: {spot.world.name} {spot.told()}")
        click.echo(f"      {differences(spot.world, WORLDS[spot.world.name])}")
        if spot.kernel is not None:
            click.echo(f"      matters: {spot.told_kernel()}")
    return 0


def differences(world: Any, before: Any) -> str:
    """What of a world is other than it was named for."""
    from dataclasses import fields

    out = [
        f"{one.name}={getattr(world.habits, one.name)}"
        for one in fields(world.habits)
        if getattr(world.habits, one.name) != getattr(before.habits, one.name)
    ]
    out += [
        f"{one.name}={getattr(world, one.name)}"
        for one in fields(world)
        if one.name != "habits" and getattr(world, one.name) != getattr(before, one.name)
    ]
    return " ".join(out)


@click.command()
@click.argument("world")
@click.option("--seed", default=1)
@click.option("--seeds", default=1, help="so many, from --seed on, on all cores")
@click.option("--faults", default="", help="written faults, or a number of drawn ones")
@click.option("--policy", default="module")
@click.option("--shrink", is_flag=True, help="cut the faults of a failing seed to the least that still fail")
def emulate(world: str, seed: int, seeds: int, faults: str, policy: str, shrink: bool) -> int:
    """Run a world, say what came of it, and whether a rule was broken; code 1 where one was."""
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
    except (language.FaultError, revisions.RevisionError) as wrong:
        raise click.UsageError(str(wrong)) from wrong
    except KeyError:
        raise click.UsageError(f"no policy {policy}") from None
    if seeds > 1:
        return many(Experiment(world, [WORLDS[world]], [trouble], [policy], range(seed, seed + seeds)))
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


def many(found: Any) -> int:
    """Many seeds, of which only the failing ones are told."""
    import time

    from lilacloft.experiment import runner

    began, broken, total = time.monotonic(), 0, 0.0
    with runner.pool() as pool:
        for run, told in zip(found.runs(), pool.imap(runner.done, found.runs(), 16), strict=True):
            total += told["worth"]
            if told["broken"]:
                broken += 1
                click.echo(f"seed {run.seed}: {told['breaches'][0]}")
    click.echo(
        f"{found.count()} seeds in {time.monotonic() - began:.0f} s: mean worth "
        f"{total / found.count():.4f}, rules broken in {broken}"
    )
    return 1 if broken else 0


COMMANDS = (experiment, emulate)
