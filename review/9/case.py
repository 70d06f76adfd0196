"""A gateway is upgraded in the mode `drain`; an object is purged while the old process finishes its requests."""

from __future__ import annotations

import threading
import time

from stand.parties import Client, Dispatch, Request
from stand.site import Site, run_case

KEY = "7f3a9c21e0b4d655"
PART_SECONDS = 0.4  # to send one part
INTERVAL = 0.2  # between two requests of the client: two or three are open at a time
HEED = 0.3 + 0.05  # seconds after word of a purge, and the slack on sockets
KEPT = 5.0  # seconds for which caches keep purged copies; the settings allow 6


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
        threading.Timer(PART_SECONDS, dispatch.backend.answer, (dispatch, "data", body, given, note)).start()

    site.handle = handle
    site.start(f"--handover {site.handover}")
    site.ready()
    client, over = Client(site.record, site.port), threading.Event()
    asked: list[Request] = []

    def ask() -> None:
        part = 0
        while not over.wait(INTERVAL) and not client.ended.is_set():
            asked.append(client.ask("deck-media", KEY, part % 16, allow=5000, kbytes=None))
            part += 1

    asking = threading.Thread(target=ask, daemon=True)
    asking.start()
    time.sleep(2.0)
    if trouble:
        site.command(f"upgrade --handover {site.handover} --mode drain", "upgrade.log")
        site.wait_for(lambda: "letting go" in site.log_text("upgrade.log"), 20, "the new process serves")
    time.sleep(1.0)
    purged[0] = told = site.log.purge(KEY)
    time.sleep(4.0)
    over.set()
    asking.join()
    time.sleep(1.5)
    by_ref = {request.ref: request for request in asked}
    breaches = []
    for cache in site.backends:
        for dispatch in cache.dispatches:
            request = by_ref[dispatch.id]
            if dispatch.at > told + HEED and dispatch.born and dispatch.born < told and request.word == "200":
                breaches.append(
                    f"{request.ref} was sent to {cache.name} {dispatch.at - told:.3f} s after word of the purge, "
                    f"without a limit that excludes the copy, and answered with one from before it"
                )
    if sum(request.word == "200" for request in asked) < 10:
        raise RuntimeError("too few requests were served")
    return breaches


if __name__ == "__main__":
    run_case(case, __file__, deployment="west-terminals")
