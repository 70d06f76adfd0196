"""The worker of a supervised gateway is killed, some seconds after word that a cache drains."""

from __future__ import annotations

import os
import re
import signal
import threading
import time

from stand.parties import LEAVING, Client, Dispatch
from stand.site import Site, run_case

INTERVAL = 0.02  # seconds between two requests of all clients
CLIENTS = 6
GRACE = 2.0 + 0.05  # seconds after word of a drain, and the slack on sockets


def case(site: Site, trouble: bool) -> list[str]:
    """Run the case."""

    def handle(dispatch: Dispatch) -> None:
        threading.Timer(0.05, dispatch.backend.answer, (dispatch, "data", b"x" * 500)).start()

    site.handle = handle
    site.start(f"--handover {site.handover} --supervised")
    site.ready()
    over, served = threading.Event(), [0]

    def ask(which: int) -> None:
        """Send requests for many objects; connect again when the connection ends, as clients do."""
        number, client = which * 100, None
        while not over.wait(INTERVAL * CLIENTS):
            number += 1
            try:
                if client is None or client.ended.is_set():
                    client = Client(site.record, site.port)
                client.ask("map-image", f"{number % 40:016x}")
            except OSError:
                client = None
                continue
            served[0] += any(one.word == "200" for one in client.requests.values())

    asking = [threading.Thread(target=ask, args=(which,), daemon=True) for which in range(CLIENTS)]
    for thread in asking:
        thread.start()
    time.sleep(2.0)
    draining = site.caches[0]
    told = site.log.change_state(site.rows[0], LEAVING)
    time.sleep(4.0)
    if trouble:
        worker = int(re.findall(r"worker (\d+) is the gateway", site.log_text())[-1])
        site.record.write("case", "kills", pid=worker)
        os.kill(worker, signal.SIGKILL)
    time.sleep(3.0)
    over.set()
    for thread in asking:
        thread.join()
    time.sleep(0.5)
    late = [one for one in draining.dispatches if one.at > told + GRACE]
    if not served[0]:
        raise RuntimeError("no request was served")
    return [
        f"{one.id} was sent to {draining.name} {one.at - told:.3f} s after word that it drains"
        for one in late
    ]


if __name__ == "__main__":
    run_case(case, __file__)
