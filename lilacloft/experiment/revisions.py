"""Finds the code of a policy, either current or from a git revision of this project, and computes a digest of
all code that a result depends on. It runs nothing."""

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
INTERFACE = ("routing/model.py", "routing/host.py", "clock_offset.py")  # also used by the emulator


class RevisionError(Exception):
    """A revision that does not exist or cannot be used; the text says why."""


def _git(revision: str, *words: str) -> str:
    """Return the output of a git command. Raises RevisionError."""
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
    """Return the decision modules at a revision, by name without the package. Before the package existed
    they are `decide`, `state` and `host`. Raises RevisionError."""
    listed = _git(revision, "ls-tree", "--name-only", revision, f"{ROUTING}/").split()
    paths = listed or [f"lilacloft/{name}.py" for name in earlier.MODULES]
    return {Path(path).stem: _git(revision, "show", f"{revision}:{path}") for path in paths}


def current_sources() -> packages.Sources:
    """Return the current decision modules."""
    return {path.stem: path.read_text() for path in sorted((ROOT / ROUTING).glob("*.py"))}


@functools.cache
def policy(name: str) -> Any:
    """Return the router class of a policy. Raises RevisionError."""
    if not name.startswith(REVISION_PREFIX):
        return POLICIES.get(name, POLICIES["module"])  # planners belong to the fleet, not to the router
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
    """Return a digest of the code of the emulator and the policy."""
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
    """Return the checked-out revision, with a + if files are modified."""
    try:
        return _git("HEAD", "describe", "--always", "--dirty=+").strip() or "unknown"
    except RevisionError:
        return "unknown"
