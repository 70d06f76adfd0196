"""The control plane: planners see what all gateways observe, and set limits that the gateways respect.

A plan never routes a request: it says which backends are ejected, which limits apply and which locations are
out of use, and each gateway's decisions (`lilacloft.routing`) do the rest. Without a valid plan a gateway
decides by itself. A plan only restricts: it must never allow what the rules forbid to one gateway, or to all
of them together.
"""
