"""The change log stands still for some seconds, with connections open; an object is purged meanwhile."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import VIDEO, Depot  # noqa: E402
from world import SLACK, Client, main  # noqa: E402

STOP = 8.0  # seconds for which the change log stands still
TOLD_AFTER_STOP = 4.0  # seconds after which what it would have told counts as told
PURGE_GRACE = 0.3  # seconds, as the settings tell
COPIES_GONE = 6.0  # seconds after a purge until no older copy is left anywhere, as the settings tell
OBJECTS = 300  # each is asked for every six seconds
SPARED = 0.05  # seconds that are left to the gateway beyond the rule


def case(depot: Depot, trouble: bool) -> list[str]:
    """Purge objects right after the change log has stopped; return the answers from older copies."""
    depot.gateway.start()
    depot.gateway.wait_ready()
    done = threading.Event()

    def ask() -> None:
        client = Client(depot.record, depot.gateway.port)
        number = 0
        while not done.wait(0.02):
            number += 1
            client.ask(VIDEO, 1 + number % OBJECTS, 2000)
        client.close()

    load = threading.Thread(target=ask, daemon=True)
    load.start()
    time.sleep(7.0)
    depot.log.stopped = trouble
    stop = depot.record.add("log", event="stopped" if trouble else "goes on")
    time.sleep(0.1)
    purges = {f"{key:016x}": depot.log.purge(key) for key in range(1, OBJECTS + 1)}
    for cache in depot.caches + depot.parents:
        threading.Timer(COPIES_GONE, cache.drop_older, (purges,)).start()
    time.sleep(STOP - 0.1)
    depot.log.stopped = False
    depot.record.add("log", event="goes on")
    time.sleep(2.0)
    done.set()
    load.join()
    time.sleep(0.5)
    told = (stop + TOLD_AFTER_STOP) if trouble else max(purges.values())
    return breaches(depot, purges, told + PURGE_GRACE + SLACK + SPARED)


def breaches(depot: Depot, purges: dict[str, float], last: float) -> list[str]:
    """Return the answers to what was sent after `last`, from copies older than the purge of their object."""
    sent = {}
    for at, details in depot.record.of("do"):
        sent[details["ref"], details["cache"]] = (at, details)
    found = []
    for _, details in depot.record.of("end"):
        at, request = sent[details["ref"], details["cache"]]
        purged = purges[request["thing"]]
        if details["word"] == "data" and at > last and details["t0"] < purged * 1000 - 1:
            found.append(
                f"{details['ref']}, sent {at - purged:.2f} s after the purge of {request['thing']},"
                f" was answered from a copy {purged - details['t0'] / 1000:.2f} s older than the purge"
                f" (agelim={request.get('agelim')})"
            )
    return found


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent, Depot))
