"""Experiments with the emulator: planning, running, storing and evaluating runs.

A report never claims a difference that the paired results do not show, and stored runs are never repeated.
Conclusions about the decision module are left to the reader of the report.
"""
