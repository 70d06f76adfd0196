"""Runs the adapter on standard input and output."""

import sys

from lilacloft.simulator_adapter.adapter import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
