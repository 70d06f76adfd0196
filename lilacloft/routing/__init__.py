"""Owns the decisions of a gateway: which backend serves a request, when it is retried or
rejected, and when a cached copy is revalidated.

The modules here do no I/O and read no clock. A gateway hands in what has happened by calling the `Router`
(router.py); the router acts through a `Host` (host.py), whose clock it uses as well.
"""
