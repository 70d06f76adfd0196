"""The errors of the program, and the exit codes of those that end a process. It imports no other module."""

from __future__ import annotations

UNUSABLE = 2  # exit code: a configuration or an input cannot be used
NOT_WANTED = 3  # exit code of a new process that the old one did without


class LilacloftError(Exception):
    """The base of all errors that this program raises on purpose; the text says what is wrong."""


class NotWantedError(LilacloftError):
    """Another process goes on as the gateway; the text says why."""


class UnusableError(LilacloftError):
    """The configuration cannot be used; the text names what is wrong."""
