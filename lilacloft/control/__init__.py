"""Two levels: planners see what all forwarders see, and set bounds; forwarders move reqs, and are gateways as
ever.

A plan never sends a req anywhere: it says who is left alone, how much of a cold budget a forwarder has, and
which limits it keeps, and the decision module does the rest. Without a plan, or with one whose time is over,
a forwarder is a gateway alone. It must never let a plan widen what the rules allow one alone, or all
together.
"""
