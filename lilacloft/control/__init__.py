"""The control plane: planners collect the observations of all gateways, and set limits that gateways respect.

A plan never routes a request: it says which backends are ejected, which limits apply and which locations are
out of use, and each gateway's decisions (`lilacloft.routing`) do the rest. Without a valid plan a gateway
decides on its own. A plan only restricts: it must never allow what the rules forbid to a single gateway, or
to all gateways together.
"""
