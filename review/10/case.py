"""A gateway with a store is restarted as planned; later the change log tells that a cache drains."""

from __future__ import annotations

import signal
import threading
import time

from stand.parties import LEAVING, READY, ChangeLog, Client, Dispatch
from stand.site import Site, run_case

INTERVAL = 0.05  # seconds between two requests
GRACE = 2.0 + 0.05  # seconds after word of a drain, and the slack on sockets


def case(site: Site, trouble: bool) -> list[str]:
    """Run the case."""

    def handle(dispatch: Dispatch) -> None:
        threading.Timer(0.05, dispatch.backend.answer, (dispatch, "data", b"x" * 500)).start()

    site.handle = handle
    settings = site.temporary / "settings.sexp"
    settings.write_text('(lilacloft (store (folder "store")))\n')
    gateway = site.start(f"--settings {settings}")
    site.ready()
    over, served = threading.Event(), [0]

    def ask() -> None:
        """Send requests for many objects; connect again when the connection ends."""
        number, client = 0, None
        while not over.wait(INTERVAL):
            number += 1
            try:
                if client is None or client.ended.is_set():
                    client = Client(site.record, site.port)
                client.ask("map-image", f"{number % 40:016x}")
            except OSError:
                client = None
                continue
            served[0] = max(served[0], sum(one.word == "200" for one in client.requests.values()))

    asking = threading.Thread(target=ask, daemon=True)
    asking.start()
    # an ordinary life: two caches drain one after the other and are ready again
    for row in (site.rows[1], site.rows[2]):
        for state in (LEAVING, READY):
            time.sleep(0.5)
            site.log.change_state(row, state)
    time.sleep(1.0)
    log = site.log
    if trouble:
        site.record.write("case", "SIGTERM", pid=gateway.pid)
        gateway.send_signal(signal.SIGTERM)
        site.record.write("case", "ended", code=gateway.wait(10))
        # a new start: the numbers of the change log's events begin at 1, and `known` holds the list of now
        log = ChangeLog(site.record, last=1)
        site.config["changelog"] = log.address
        site.start(f"--settings {settings}", "again.log")
        site.ready()
    time.sleep(1.0)
    draining = site.caches[0]
    told = log.change_state(site.rows[0], LEAVING)
    time.sleep(GRACE + 4.0)
    over.set()
    asking.join()
    time.sleep(0.5)
    if not served[0]:
        raise RuntimeError("no request was served")
    return [
        f"{one.id} was sent to {draining.name} {one.at - told:.3f} s after word that it drains"
        for one in draining.dispatches
        if one.at > told + GRACE
    ]


if __name__ == "__main__":
    run_case(case, __file__)
