"""Failover of whole locations, decided for the fleet, and their recovery slice by slice.

A location is a zone of the endpoint list: one with caches, or a hub with parents. Faults are detected from
the observations of many gateways (`fault_detection`). One planner decides for all gateways when a location
is left and how much of it has returned (`failover_control`), at a rate that its caches and their sources
can serve (`recovery_ramp`). Each gateway follows those decisions, and goes on by itself without a plan
(`local_failover`). Locations return by hash slices of objects (`hash_slices`), so that each object has one
cache and one parent at any time.

Nothing here sends a request, raises a slow-start budget, or passes by the gate of the decisions on
draining, purges and effects. No I/O and no clock: all times are given.
"""
