"""The words by which one process of a gateway starts another."""

from __future__ import annotations

OWN = (
    "--takeover",
    "--status",
    "--listener",
    "--unserved-since",
)  # options that one process gives another, each with a value


def command(words: list[str]) -> list[str]:
    """The command that a process was started by, without what its own starter added."""
    out, skip = [], False
    for word in words:
        if not skip and word not in OWN:
            out.append(word)
        skip = word in OWN
    return out
