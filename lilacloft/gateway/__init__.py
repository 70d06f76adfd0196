"""One gateway process: its event loop, clock, lifecycle and timers, and what it does for the decisions.

`lilacloft.gateway.gateway.Gateway` puts the parts together; one thread runs all of them, see `event_loop`.
"""
