"""A gateway that fails on purpose: `python -m rigs.crash STEP serve ...`, as the new process of an upgrade.

Steps, in the order in which a new process comes to them: `exit` at once, `hang` at once, `nonsense` in
place of the first frame, `old` (a form that cannot hold open reqs), `ancient` (one that cannot be written
for), `hello`, `warm`, `ready`, `unreadable` (the state is refused), `state`, `have`, `stuck` (takes
everything and says nothing more), `commit` (was told that it is the gateway, and has not answered), `taken`
(has answered, and done nothing). `orphan` ends the old process once it has everything, and `orphaned` waits
for its death before it says so. `kill-D` dies D milliseconds after its start, wherever it is then. `fine`
does not fail.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from typing import Any

from lilacloft.__main__ import main
from lilacloft.handover import messages, sender
from lilacloft.handover.phases import Coming
from lilacloft.handover.receiver import Taking
from lilacloft.handover.state_transfer import Told

STEPS = (
    "exit",
    "hang",
    "nonsense",
    "ancient",
    "hello",
    "warm",
    "table",
    "ready",
    "unreadable",
    "state",
    "have",
    "stuck",
    "commit",
)
CODE = 70


def die(*_: Any, **__: Any) -> None:
    """As a crash does: nothing is closed in order, nothing said."""
    os._exit(CODE)


def after(name: str) -> None:
    """Die once a step is done."""
    step = getattr(Taking, name)

    def both(self: Taking, *told: Any) -> None:
        step(self, *told)
        die()

    setattr(Taking, name, both)


def arrange(step: str) -> None:
    """Make this process fail at a step."""
    if step == "exit":
        die()
    elif step == "hang":
        time.sleep(600)
    elif step == "nonsense":
        Taking.hello = lambda self, *_: self.channel.sock.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    elif step in ("old", "ancient"):
        version = 1 if step == "old" else 0
        sender.__dict__["hello"] = lambda vhosts, *_: messages.Hello("0.3.0", version, vhosts)
        from lilacloft.handover import receiver

        receiver.__dict__["hello"] = sender.__dict__["hello"]
    elif step == "unreadable":

        def refuse(self: Told, state: messages.State, sock: Any) -> None:
            raise messages.FormError("a field that cannot be read")

        Told.make = refuse
    elif step == "stuck":
        Taking.have = lambda self: time.sleep(600)
    elif step == "commit":
        Coming.commit = die
    elif step == "taken":
        Told.start = die
    elif step in ("orphan", "orphaned"):
        have = Taking.have

        def last(self: Taking) -> None:
            os.kill(self.parent, signal.SIGKILL)
            while step == "orphaned" and os.getppid() == self.parent:
                time.sleep(0.001)
            have(self)

        Taking.have = last
    elif step.startswith("kill-"):
        threading.Timer(float(step[5:]) / 1000, die).start()
    elif step != "fine":
        after(step)


if __name__ == "__main__":
    arrange(sys.argv[1])
    sys.exit(main(sys.argv[2:]))
