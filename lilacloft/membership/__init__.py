"""Membership of the control plane: which gateways and planners are running, by their heartbeats and by
gossip."""
