"""The change log breaks off in the middle of a purge, and refuses connections for some seconds after that."""

from __future__ import annotations

import struct
import threading
import time

from stand.parties import Client, Dispatch
from stand.site import Site, run_case

KEY = "7f3a9c21e0b4d655"
TOLD = 2.0  # seconds after the break by which the event counts as told
HEED = 0.3 + 0.05  # seconds after word of a purge, and the slack on sockets
DOWN = 8.0  # seconds for which discovery is down
KEPT = 5.5  # seconds for which caches keep purged copies; the settings allow 6
INTERVAL = 0.1  # seconds between two requests


def case(site: Site, trouble: bool) -> list[str]:
    """Run the case."""
    born, purged = time.time() - 20, [0.0]

    def handle(dispatch: Dispatch) -> None:
        """Answer as a cache that holds a copy, and has the source's copy of after the purge if it must."""
        now = time.time()
        has_old = not purged[0] or now < purged[0] + KEPT
        if has_old and (not dispatch.max_age or now - born <= dispatch.max_age):
            given, note = born, "TCP_HIT"
        else:
            given, note = now, "TCP_MISS_ROOT"
        body = f"{dispatch.key} {dispatch.part} {given:.4f}".encode()
        threading.Timer(0.05, dispatch.backend.answer, (dispatch, "data", body, given, note)).start()

    site.handle = handle
    site.start()
    site.ready()
    client, over = Client(site.record, site.port), threading.Event()

    def ask() -> None:
        part = 0
        while not over.wait(INTERVAL) and not client.ended.is_set():
            client.ask("deck-media", KEY, part % 16, allow=5000, kbytes=None)
            part += 1

    asking = threading.Thread(target=ask, daemon=True)
    asking.start()
    time.sleep(2.0)
    if trouble:
        now = int(time.time() * 1000)
        told = site.log.break_off(3, struct.pack(">QQ", int(KEY, 16), now), "purge", object=KEY) + TOLD
        purged[0] = now / 1000
    else:
        purged[0] = told = site.log.purge(KEY)
    time.sleep(DOWN)
    if trouble:
        site.log.come_back()
    time.sleep(2.0)
    over.set()
    asking.join()
    time.sleep(0.5)
    words = {request.ref: request.word for request in client.requests.values()}
    if list(words.values()).count("200") < 50:
        raise RuntimeError("too few requests were served")
    return [
        f"{one.id} was sent to {cache.name} {one.at - told:.3f} s after word of the purge, and answered with a "
        f"copy from before it"
        for cache in site.backends
        for one in cache.dispatches
        if one.at > told + HEED and one.born and one.born < purged[0] and words[one.id] == "200"
    ]


if __name__ == "__main__":
    run_case(case, __file__, deployment="west-terminals")
