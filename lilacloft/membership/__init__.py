"""Membership of the control plane: which gateways and planners are running, from heartbeats and gossip."""
