"""Finds the program that a policy is: the module as it stands, or as it stood at a revision of the project's
own history; and a word for all that a result depends on. It runs nothing."""

from __future__ import annotations

import functools
import hashlib
import subprocess
import sys
import types
from pathlib import Path
from typing import Any

from lilacloft.emulator.policies import POLICIES

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "lilacloft"


class RevisionError(Exception):
    """No such revision, or none that can be used here; the text says why."""


def text(revision: str) -> str:
    """The module's program at a revision."""
    words = ["git", "-C", str(ROOT), "show", f"{revision}:lilacloft/routing/router.py"]
    try:
        told = subprocess.run(words, capture_output=True, text=True, timeout=20)
    except (OSError, subprocess.TimeoutExpired) as wrong:
        raise RevisionError(f"{revision}: {wrong}") from wrong
    if told.returncode:
        why = told.stderr.strip().splitlines()[-1] if told.stderr else "not found"
        raise RevisionError(f"{revision}: {why}")
    return told.stdout


@functools.cache
def policy(name: str) -> Any:
    """What makes a policy's decisions."""
    if not name.startswith("revision "):
        return POLICIES.get(name, POLICIES["module"])  # levels are of worlds, not of the module
    revision = name.partition(" ")[2]
    module = types.ModuleType(f"lilacloft_decide_{hashlib.sha1(name.encode()).hexdigest()[:8]}")
    sys.modules[module.__name__] = module
    try:
        exec(compile(text(revision), f"{revision}:lilacloft/routing/router.py", "exec"), module.__dict__)
        return module.Router
    except (SyntaxError, ImportError, AttributeError) as wrong:
        raise RevisionError(f"{revision}: {wrong}") from wrong


@functools.cache
def code(name: str) -> str:
    """Stands for the emulator's program, and the policy's."""
    mark = hashlib.blake2b(digest_size=8)
    for path in sorted((PACKAGE / "emulator").glob("*.py")):
        mark.update(path.read_bytes())
    others = [PACKAGE / other for other in ("routing/model.py", "routing/host.py", "stamps.py")]
    if name.startswith("planes"):
        others += [*sorted((PACKAGE / "plan").glob("*.py")), *sorted((PACKAGE / "members").glob("*.py"))]
    for other in others:
        mark.update(other.read_bytes())
    mark.update(
        text(name.partition(" ")[2]).encode()
        if name.startswith("revision ")
        else (PACKAGE / "routing" / "router.py").read_bytes()
    )
    return mark.hexdigest()


def head() -> str:
    """The revision that is checked out; with a + where files differ from it."""
    try:
        told = subprocess.run(
            ["git", "-C", str(ROOT), "describe", "--always", "--dirty=+"],
            capture_output=True,
            text=True,
            timeout=20,
        )
    except (OSError, subprocess.TimeoutExpired):
        return "unknown"
    return told.stdout.strip() or "unknown"
