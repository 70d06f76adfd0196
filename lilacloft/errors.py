"""The exceptions of the program, and the exit codes for those that end a process. Imports no other module."""

from __future__ import annotations

UNUSABLE = 2  # exit code: a configuration or an input cannot be used
TAKEOVER_ABORTED = 3  # exit code of a new process when the old one continues without it


class LilacloftError(Exception):
    """Base class of the errors that this program raises; the message says what is wrong."""


class TakeoverAbortedError(LilacloftError):
    """This process is not needed, as another one continues as the gateway; the message says why."""


class UnusableError(LilacloftError):
    """The configuration or an input cannot be used; the message says what is wrong."""
