"""Arguments and environment that one process of a gateway passes to another that it starts."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

TAKEOVER = "--takeover"  # descriptor of the channel to the sender
STATUS = "--status"  # descriptor of the pipe to the supervisor
LISTENER = "--listener"  # descriptor of the listening socket
UNSERVED_SINCE = (
    "--unserved-since"  # monotonic time in seconds since which no process has accepted connections
)
SUPERVISED = "--supervised"  # flag: run as the supervisor

# Environment variable, which other versions ignore: which start of a worker by its supervisor this is.
WORKER_START = "LILACLOFT_WORKER_START"

# Options that one process passes to another; each has a value.
INTERNAL_OPTIONS = (TAKEOVER, STATUS, LISTENER, UNSERVED_SINCE)


def original_command(arguments: Sequence[str]) -> list[str]:
    """Return the command that started a process, without the internal options."""
    command = []
    is_value = False
    for argument in arguments:
        if not is_value and argument not in INTERNAL_OPTIONS:
            command.append(argument)
        is_value = argument in INTERNAL_OPTIONS
    return command


def worker_start(environment: Mapping[str, str]) -> int:
    """Return which start of a worker by its supervisor this process is, from 1; 0: unknown."""
    text = environment.get(WORKER_START, "")
    return int(text) if text.isdigit() else 0
