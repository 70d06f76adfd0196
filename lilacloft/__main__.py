"""Command line. The platform's own words (`serve`, `serve --config FILE`) are taken here, without the library
for arguments, which `serve` would carry along for nothing; all others are in lilacloft/cli."""

from __future__ import annotations

import os
import sys


def main(words: list[str] | None = None) -> int:
    """Run one command; returns its code."""
    words = sys.argv[1:] if words is None else words
    if words[:1] == ["serve"] and (len(words) == 1 or (len(words) == 3 and words[1] == "--config")):
        from lilacloft import errors, serving

        serving.configure_logging()
        try:
            return serving.serve(words[2] if len(words) == 3 else os.environ.get("EDGE_CONFIG"))
        except errors.UnusableError as wrong:
            print(f"lilacloft: {wrong}", file=sys.stderr)
            return errors.UNUSABLE
    from lilacloft import cli

    return cli.run(words)


if __name__ == "__main__":
    sys.exit(main())
