"""Discrete-event emulator of a deployment: clients, links, caches, parents, origin, change log and faults,
around the same decision module that production gateways run.

The emulator never decides for a gateway: everything a gateway does comes from its `Router` through a Host.
Nothing here does I/O or reads a clock, and random numbers come only from streams named by their purpose.
"""
