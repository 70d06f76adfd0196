#!/bin/bash
# Prepares the stand-ins of the cases, after the build of the deploy file. They need Python's standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib review/[0-9]
