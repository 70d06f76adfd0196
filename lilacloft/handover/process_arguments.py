"""Command-line arguments by which one process of a gateway starts another."""

from __future__ import annotations

from collections.abc import Sequence

TAKEOVER = "--takeover"  # descriptor of the channel to the sender
STATUS = "--status"  # descriptor of the pipe to the supervisor
LISTENER = "--listener"  # descriptor of the listening socket
UNSERVED_SINCE = "--unserved-since"  # monotonic seconds since which nobody has accepted connections
SUPERVISED = "--supervised"  # a flag: run as the supervisor

# Options that one process gives another, each with a value.
INTERNAL_OPTIONS = (TAKEOVER, STATUS, LISTENER, UNSERVED_SINCE)


def original_command(arguments: Sequence[str]) -> list[str]:
    """Return the command that a process was started by, without what another process of it added."""
    command = []
    is_value = False
    for argument in arguments:
        if not is_value and argument not in INTERNAL_OPTIONS:
            command.append(argument)
        is_value = argument in INTERNAL_OPTIONS
    return command
