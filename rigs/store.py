"""Checks and measures a store: `python -m rigs.store cut|crash|speed|side|kill`.

`cut` writes logs, cuts a copy at every byte, recovers each, and expects exactly what was committed before
that byte. `crash` does random work on the modelled disk (rigs/disk_model.py), crashes at a random call and
recovers, several times per seed; with `--break` syncs do nothing, which must be detected. `speed`
commits on a real disk with several counts of writers, beside bare appends with a sync each, and recovers
stores of several sizes. `side` measures bare appends and group commits by turns. `kill` kills a gateway
under load.
"""

from __future__ import annotations

import argparse
import sys
from typing import Any

from rigs.store_kill import kill
from rigs.store_recovery import crashes, cut
from rigs.store_speed import side_by_side, speed
from rigs.told import tell


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    options = argparse.ArgumentParser(prog="python -m rigs.store", description=__doc__)
    options.add_argument("what", choices=("cut", "crash", "speed", "side", "kill"))
    options.add_argument("--size", type=int, default=1 << 20, help="bytes of the log that is cut")
    options.add_argument("--section", type=int, default=1 << 14, help="bytes of each log that is cut")
    options.add_argument("--step", type=int, default=1, help="bytes from one cut to the next")
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seeds", type=int, default=10_000)
    options.add_argument("--break", dest="skips_syncs", action="store_true", help="make syncs do nothing")
    options.add_argument("--seconds", type=float, default=3.0, help="of each measurement of speed")
    options.add_argument("--sizes", default="1e6,1e7,1e8", help="bytes of the stores that are recovered")
    options.add_argument("--folder", default=None, help="folder for the stores on the real disk")
    options.add_argument("--times", type=int, default=200, help="kills")
    options.add_argument("--rate", type=float, default=200.0, help="requests per second while killing")
    options.add_argument(
        "--disk-fails", type=float, default=0.0, metavar="SECONDS", help="after each start, while killing"
    )
    options.add_argument("--without", action="store_true", help="kill a gateway without a store")
    options.add_argument("--json", metavar="FILE")
    return options


def run(args: argparse.Namespace) -> tuple[dict[str, Any], bool]:
    """Run a command; return its report and whether it passed."""
    if args.what == "cut":
        report = cut(args.size, args.seed, args.step, args.section)
        return report, not report["wrong"]
    if args.what == "crash":
        report = crashes(args.seeds, args.seed, args.skips_syncs)
        return report, bool(report["failed"]) == args.skips_syncs
    if args.what == "side":
        return side_by_side(args.times, args.seconds, args.folder), True
    if args.what == "kill":
        report = kill(args.times, args.rate, args.seed, not args.without, args.disk_fails)
        return report, args.without or not (report["breaches"] or report["faults"])
    sizes = [int(float(size)) for size in args.sizes.split(",")]
    return speed(args.seconds, sizes, args.folder), True


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    args = parser().parse_args(argv)
    report, passed = run(args)
    tell(report, args.json)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
