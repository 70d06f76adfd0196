"""Reports answered shares by size: `python -m rigs.sizes WORLD [CHANGES] [--faults "..."] [--seeds N]`.

Runs an emulated scenario and reports, for each virtual host and each tenth of its requests by size, which
share was answered, in time or late. The requirement: the largest tenth, and the fifth below it, get at least
two thirds of the virtual host's overall share in a scenario without faults, and half of it in others. It
observes the routing module from outside and changes nothing.
"""

from __future__ import annotations

import argparse
import json
import sys
from multiprocessing import Pool
from typing import Any

from lilacloft.emulator import faults as language
from lilacloft.emulator.fleet import Fleet
from lilacloft.emulator.worlds import WORLDS, World
from lilacloft.routing.host import AttemptResult
from lilacloft.routing.model import Backend, Outcome, RejectReason, Request
from lilacloft.routing.router import Router
from rigs.gate import world

FEW = 50  # requests of a virtual host below which the tenths are too small to compare


class RecordingRouter(Router):
    """The routing module, with the end of each request recorded. The rows belong to the class: each process
    makes one run at a time."""

    rows: dict[int, list[Any]] = {}  # by the request's id: the request, and whether it was answered

    def request_arrived(self, request: Request) -> None:
        self.rows[id(request)] = [request, None]  # holds the request, so that its id is not reused
        super().request_arrived(request)

    def reject(self, request: Request, why: RejectReason) -> None:
        if not request.finished:
            self.rows[id(request)][1] = False
        super().reject(request, why)

    def attempt_ended(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        if result.outcome == Outcome.DONE and not request.finished:
            self.rows[id(request)][1] = True
        super().attempt_ended(request, backend, result)


def play(arguments: tuple[World, tuple[Any, ...], int]) -> list[tuple[int, float, bool]]:
    """Make one run; return virtual host, KB and whether it was answered, for each request whose client
    waited for it."""
    chosen, faults, seed = arguments
    RecordingRouter.rows = {}
    Fleet(chosen, seed, faults, RecordingRouter).run()
    return [
        (request.vhost, request.kbytes, answered)
        for request, answered in RecordingRouter.rows.values()
        if answered is not None
    ]


def tenths(rows: list[tuple[int, float, bool]]) -> dict[int, list[float]]:
    """Return the answered share of each tenth by size, the smallest first, for each virtual host with enough
    requests."""
    shares = {}
    for vhost in sorted({row[0] for row in rows}):
        ordered = sorted(
            (kbytes, place, answered) for place, (of, kbytes, answered) in enumerate(rows) if of == vhost
        )
        if len(ordered) >= FEW:
            cuts = [len(ordered) * tenth // 10 for tenth in range(11)]
            shares[vhost] = [
                sum(row[2] for row in ordered[first:last]) / (last - first)
                for first, last in zip(cuts, cuts[1:], strict=False)
            ]
    return shares


def fair(shares: list[float]) -> tuple[float, float]:
    """Return the shares of the largest tenth and of the fifth below it, relative to the overall share."""
    whole = sum(shares) / len(shares)
    if not whole:
        return 1.0, 1.0
    return shares[-1] / whole, (shares[-2] + shares[-3]) / 2 / whole


def main(argv: list[str] | None = None) -> int:
    """Run the scenario and print a line for each virtual host."""
    parser = argparse.ArgumentParser(prog="python -m rigs.sizes", description=__doc__)
    parser.add_argument("world", choices=sorted(WORLDS))
    parser.add_argument("changes", nargs="*", help="fields of the scenario to change, as NAME=VALUE")
    parser.add_argument("--faults", default="")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    try:
        faults = tuple(language.parse(args.faults))
    except language.FaultError as error:
        parser.error(str(error))
    chosen = world(args.world, args.seconds, args.changes)
    with Pool() as pool:
        rows = [
            row
            for run in pool.map(play, [(chosen, faults, seed) for seed in range(args.seeds)])
            for row in run
        ]
    found = {chosen.vhosts[vhost].name: shares for vhost, shares in tenths(rows).items()}
    for name, shares in found.items():
        largest, below = fair(shares)
        print(
            f"{name}: answered {sum(shares) / 10:.3f}; by tenth of size, the smallest first, "
            f"{' '.join(f'{share:.2f}' for share in shares)}; "
            f"the largest {largest:.2f} of it, the fifth below {below:.2f}"
        )
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump(found, file)
    return 0


if __name__ == "__main__":
    sys.exit(main())
