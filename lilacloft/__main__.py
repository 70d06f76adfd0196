"""Command line entry point. The commands that the platform uses (`serve`, `serve --config FILE`) are parsed
here without the command-line library, which `serve` would otherwise keep in memory; all other commands are in
lilacloft/cli."""

from __future__ import annotations

import os
import sys


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments[:1] == ["serve"] and (
        len(arguments) == 1 or (len(arguments) == 3 and arguments[1] == "--config")
    ):
        from lilacloft import errors, log, serving

        log.configure()
        try:
            return serving.serve(arguments[2] if len(arguments) == 3 else os.environ.get("EDGE_CONFIG"))
        except errors.UnusableError as error:
            print(f"lilacloft: {error}", file=sys.stderr)
            return errors.UNUSABLE
    from lilacloft import cli

    return cli.run(arguments)


if __name__ == "__main__":
    sys.exit(main())
