"""Stub backends, scripted scenarios, checkers and measurements on loopback: `python -m rigs.NAME`.

They simulate the environment of a gateway. They must not share code with the routing module, and must not use
the network beyond loopback.
"""
