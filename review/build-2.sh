#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of deploy/balancer.toml.
# The stand-ins (review/stand) are Python and need no build. The options of `serve` and the commands that the
# cases use need the project's own dependencies, most of which the deploy file's build leaves out.
set -e
cd "$(dirname "$0")/.."
test -d .venv || python3 -m venv .venv
if ! .venv/bin/python -c 'import click, crc32c, lark, msgspec, pyrsistent' 2>/dev/null; then
    wanted=$(mktemp)
    .venv/bin/python -c 'import tomllib
print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["dependencies"], sep="\n")' >"$wanted"
    .venv/bin/pip -q install --disable-pip-version-check --force-reinstall -r "$wanted"
    rm "$wanted"
fi
.venv/bin/python -m compileall -q lilacloft
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review .venv/bin/python -c 'import stand.site'
.venv/bin/python -m lilacloft version
