"""Errors of a store. Their messages are shown to operators."""

from __future__ import annotations

from lilacloft.errors import LilacloftError


class StoreError(LilacloftError):
    """A store cannot be read or used."""


class FormatError(StoreError):
    """Data is not in the format of a store's files."""


class UnsupportedVersionError(FormatError):
    """A file has a format version that this code cannot read."""


class StoreLockedError(StoreError):
    """Another process has the store open for writing."""


class StoreNotFoundError(StoreError):
    """The store's directory does not exist."""
