"""Runs the gateway as deploy/balancer.toml tells the platform to start it."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import pytest

from rigs.stands import World, serves

ROOT = Path(__file__).parent.parent
NOBODY = 65534
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def is_executable_by_all(path):
    """Return whether every user may run it; an interpreter in a user's home directory may be private."""
    return all(part.stat().st_mode & 1 for part in [path, *path.parents, Path(sys.prefix).resolve()])


class DeployedGateway(World):
    """A gateway started by the command line of the deploy file: by a shell, from a read-only tree, as an
    unprivileged user, with an empty temporary directory and a minimal environment."""

    def start(self):
        self.path.write_text(json.dumps(self.config))
        self.folder = Path(tempfile.mkdtemp())
        self.tree, self.own = self.folder / "tree", self.folder / "own"
        shutil.copytree(
            ROOT / "lilacloft", self.tree / "lilacloft", ignore=shutil.ignore_patterns("__pycache__")
        )
        (self.tree / ".venv").symlink_to(sys.prefix)
        shutil.copy(self.path, self.tree / "config.json")
        self.own.mkdir()
        for path in self.folder.rglob("*"):
            if not path.is_symlink():
                path.chmod(0o555 if path.is_dir() else 0o444)
        self.own.chmod(0o777)
        self.before = sorted(self.tree.rglob("*"))
        self.folder.chmod(0o755)
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.own),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EDGE_NAME": "n0",
            "EDGE_CONFIG": str(self.tree / "config.json"),
            "EDGE_LISTEN": self.config["listen"],
        }
        drops_privileges = os.getuid() == 0 and is_executable_by_all(Path(sys.executable).resolve())
        user = {"user": NOBODY, "group": NOBODY, "extra_groups": []} if drops_privileges else {}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", DEPLOY["run"]],
            cwd=self.tree,
            env=environment,
            stderr=subprocess.PIPE,
            text=True,
            **user,
        )
        for line in self.process.stderr:
            self.early.append(line)
            if "serving on" in line:
                break
        else:
            raise AssertionError("".join(self.early))
        self.log.since.get(timeout=5)

    def close(self):
        super().close()
        for path in [self.folder, *self.folder.rglob("*")]:
            if path.is_dir() and not path.is_symlink():
                path.chmod(0o755)
        shutil.rmtree(self.folder)


@pytest.fixture
def line(tmp_path):
    world = DeployedGateway(tmp_path, (serves(),))
    yield world
    world.close()


def test_the_run_command_becomes_one_process_that_serves_and_starts_no_other(line):
    """The platform refuses fork, offers no access to Unix sockets, and loads a library of its own, so the
    program must be linked dynamically."""
    pid = line.process.pid
    asker = line.asker()
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"200"]
    # the shell has been replaced by the gateway (exec)
    assert Path(f"/proc/{pid}/exe").resolve().name.startswith("python")
    words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    assert words[1:4] == [b"-m", b"lilacloft", b"serve"]
    children = [task.read_text().split() for task in Path(f"/proc/{pid}/task").glob("*/children")]
    assert children and not any(children)
    unix = {row.split()[6] for row in Path("/proc/net/unix").read_text().splitlines()[1:]}
    held = {os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir()}
    assert not unix & {name[8:-1] for name in held if name.startswith("socket:")}
    maps = Path(f"/proc/{pid}/maps").read_text()
    assert "libc.so" in maps
    unused = ("msgspec", "numpy", "highspy", "google/_upb", "cryptography")
    assert not [name for name in unused if name in maps]
    line.process.send_signal(signal.SIGTERM)
    assert line.process.wait(10) == 0
    assert not list(line.own.iterdir()) and sorted(line.tree.rglob("*")) == line.before


def test_the_deploy_file_names_existing_files():
    assert DEPLOY["run"].split()[-5:] == ["exec", ".venv/bin/python", "-m", "lilacloft", "serve"]
    for name in [*DEPLOY["policy"], *DEPLOY["node"]]:
        assert (ROOT / name).exists(), name
