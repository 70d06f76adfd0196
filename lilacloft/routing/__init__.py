"""Routing decisions of a gateway: which backend serves a request, when a request is retried or rejected, and
when a cached copy is revalidated.

The modules in this package do no I/O and read no clock. A gateway reports events by calling the `Router`
(router.py); the router acts, and reads the time, through a `Host` (host.py).
"""
