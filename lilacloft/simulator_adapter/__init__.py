"""Adapter for the simulator's wire protocol: converts names, units and framing, and makes no decisions."""
