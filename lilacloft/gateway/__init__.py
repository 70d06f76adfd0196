"""One gateway process: its event loop, clock, lifecycle, timers and counters, and the router's host.

`lilacloft.gateway.gateway.Gateway` assembles the components; a single thread runs them, see `event_loop`.
"""
