"""Who is answered, by size: `python -m rigs.sizes WORLD [CHANGES] [--faults "..."] [--seeds N]`.

Plays a world of the emulator and tells, for each vhost and each tenth of its reqs by size, which share was
answered, in time or late. The users' terms: of a vhost's largest tenth, and of the fifth below it, at least
two thirds of the vhost's share on a quiet day, half on others. It watches the module from outside and changes
nothing.
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

FEW = 50  # reqs of a vhost below which a tenth tells nothing


class Counted(Router):
    """The module as it is, with the end of each req written down; by process, as runs are."""

    rows: dict[int, list[Any]] = {}  # by the req's id: the req, and whether it was answered

    def request_arrived(self, request: Request) -> None:
        self.rows[id(request)] = [request, None]  # it holds the req, so no other has its id
        super().request_arrived(request)

    def reject(self, request: Request, why: RejectReason) -> None:
        if not request.finished:
            self.rows[id(request)][1] = False
        super().reject(request, why)

    def attempt_ended(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        if result.outcome == Outcome.DONE and not request.finished:
            self.rows[id(request)][1] = True
        super().attempt_ended(request, backend, result)


def play(told: tuple[World, tuple[Any, ...], int]) -> list[tuple[int, float, bool]]:
    """One run: vhost, KB and whether it was answered, of each req that its client waited for."""
    chosen, faults, seed = told
    Counted.rows = {}
    Fleet(chosen, seed, faults, Counted).run()
    return [
        (request.vhost, request.kbytes, answered)
        for request, answered in Counted.rows.values()
        if answered is not None
    ]


def tenths(rows: list[tuple[int, float, bool]]) -> dict[int, list[float]]:
    """For each vhost with enough reqs, the answered share of each tenth of them, the smallest first."""
    out = {}
    for vhost in sorted({row[0] for row in rows}):
        mine = sorted(
            (kbytes, place, answered) for place, (of, kbytes, answered) in enumerate(rows) if of == vhost
        )
        if len(mine) >= FEW:
            cuts = [len(mine) * tenth // 10 for tenth in range(11)]
            out[vhost] = [
                sum(row[2] for row in mine[first:last]) / (last - first)
                for first, last in zip(cuts, cuts[1:], strict=False)
            ]
    return out


def fair(shares: list[float]) -> tuple[float, float]:
    """The largest tenth's share, and that of the fifth below it, over the whole's."""
    whole = sum(shares) / len(shares)
    if not whole:
        return 1.0, 1.0
    return shares[-1] / whole, (shares[-2] + shares[-3]) / 2 / whole


def main(argv: list[str] | None = None) -> int:
    """Play it, and print a line for each vhost."""
    parser = argparse.ArgumentParser(prog="python -m rigs.sizes", description=__doc__)
    parser.add_argument("world", choices=sorted(WORLDS))
    parser.add_argument("changes", nargs="*", help="fields of the world changed, as NAME=VALUE")
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
        top, next_ = fair(shares)
        print(
            f"{name}: answered {sum(shares) / 10:.3f}; by tenth of size, the smallest first, "
            f"{' '.join(f'{share:.2f}' for share in shares)}; "
            f"the largest {top:.2f} of it, the fifth below {next_:.2f}"
        )
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump(found, file)
    return 0


if __name__ == "__main__":
    sys.exit(main())
