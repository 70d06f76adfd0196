"""Finds the program that a policy is: the decisions as they stand, or as they stood at a revision of the
project's own history; and a digest of all that a result depends on. It runs nothing."""

from __future__ import annotations

import functools
import hashlib
import subprocess
from pathlib import Path
from typing import Any

from lilacloft.emulator.policies import POLICIES
from lilacloft.experiment import earlier, packages

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "lilacloft"
ROUTING = "lilacloft/routing"
GIT_TIMEOUT_S = 20
REVISION_PREFIX = "revision "
INTERFACE = ("routing/model.py", "routing/host.py", "clock_offset.py")  # used by the emulator itself


class RevisionError(Exception):
    """No such revision, or none that can be used here; the text says why."""


def _git(revision: str, *words: str) -> str:
    """Return what a git command prints. Raises RevisionError."""
    try:
        done = subprocess.run(
            ["git", "-C", str(ROOT), *words], capture_output=True, text=True, timeout=GIT_TIMEOUT_S
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise RevisionError(f"{revision}: {error}") from error
    if done.returncode:
        reason = done.stderr.strip().splitlines()[-1] if done.stderr else "not found"
        raise RevisionError(f"{revision}: {reason}")
    return done.stdout


def sources(revision: str) -> packages.Sources:
    """Return the decision modules at a revision, by their names without the package. Before there was one
    they are `decide`, `state` and `host`. Raises RevisionError."""
    listed = _git(revision, "ls-tree", "--name-only", revision, f"{ROUTING}/").split()
    paths = listed or [f"lilacloft/{name}.py" for name in earlier.MODULES]
    return {Path(path).stem: _git(revision, "show", f"{revision}:{path}") for path in paths}


def current_sources() -> packages.Sources:
    """Return the decision modules as they stand."""
    return {path.stem: path.read_text() for path in sorted((ROOT / ROUTING).glob("*.py"))}


@functools.cache
def policy(name: str) -> Any:
    """Return what makes a policy's decisions: a class like `Router`. Raises RevisionError."""
    if not name.startswith(REVISION_PREFIX):
        return POLICIES.get(name, POLICIES["module"])  # levels are of worlds, not of the decisions
    revision = name.removeprefix(REVISION_PREFIX)
    private = f"lilacloft_routing_{hashlib.sha1(name.encode()).hexdigest()[:8]}"
    found = sources(revision)
    try:
        if "router" in found:
            return packages.load(private, found, "router").Router
        return earlier.router_class(private, found)
    except (SyntaxError, ImportError, AttributeError) as error:
        raise RevisionError(f"{revision}: {error}") from error


@functools.cache
def code(name: str) -> str:
    """Return a digest of the emulator's program and the policy's."""
    digest = hashlib.blake2b(digest_size=8)
    paths = [*sorted((PACKAGE / "emulator").glob("*.py")), *(PACKAGE / path for path in INTERFACE)]
    if name.startswith("planes"):
        paths += [*sorted((PACKAGE / "plan").glob("*.py")), *sorted((PACKAGE / "members").glob("*.py"))]
    for path in paths:
        digest.update(path.read_bytes())
    is_revision = name.startswith(REVISION_PREFIX)
    found = sources(name.removeprefix(REVISION_PREFIX)) if is_revision else current_sources()
    for module in sorted(found):
        digest.update(found[module].encode())
    return digest.hexdigest()


def head() -> str:
    """Return the revision that is checked out, with a + where files differ from it."""
    try:
        return _git("HEAD", "describe", "--always", "--dirty=+").strip() or "unknown"
    except RevisionError:
        return "unknown"
