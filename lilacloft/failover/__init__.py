"""Leaving a location that fails, as a fleet, and returning at a pace that its caches bear.

A location is what the list calls a zone: one with caches, or a hub with parents. Who fails is told from many
forwarders' sights (`evidence`); when one is left, and how far it is back, is decided in one place for all
(`course`) at a pace reckoned from what its caches bear and what there is to fill them (`pace`); each
forwarder keeps to it, and goes on alone by stated rules where nobody decides (`keep`). It goes by slices of
objects in hash order (`slices`), so that each object still has one cache and one parent.

It must never send a req, widen a cold budget, or let a drain, a purge or an effect pass by the decision
module's gate. No I/O, no clock.
"""
