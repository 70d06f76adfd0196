"""Failover of whole locations, decided for the fleet, and their recovery slice by slice.

A location is a zone of the endpoint list: one with caches, or a hub with parents. Faults are detected from
the observations of many gateways (`fault_detection`). One planner decides for all gateways when a location
fails over and how many of its slices have returned (`failover_control`), at a rate that its caches and their
sources can serve (`recovery_ramp`). Each gateway follows those decisions, and decides on its own without a
plan (`local_failover`). Locations return by hash slices of objects (`hash_slices`), so that each object has
one cache and one parent at any time.

Nothing here sends a request, raises a slow-start budget, or bypasses the router's checks on draining, purges
and side effects. The package does no I/O and reads no clock: all times are passed in.
"""
