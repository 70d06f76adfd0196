"""What ends a process before it serves, or instead of it: errors that the shell tells to who started it, and
their codes. It knows nobody."""

from __future__ import annotations

UNUSABLE = 2  # the code of a configuration that cannot be used
NOT_WANTED = 3  # the code of a new process that the old one did without


class LilacloftError(Exception):
    """Base of the errors of this program; the text says what is wrong, for people."""


class NotWantedError(Exception):
    """Another process goes on as the gateway; the text says why."""


class UnusableError(Exception):
    """The configuration cannot be used; the text names what is wrong."""
