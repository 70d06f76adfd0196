"""Replacing a gateway while it serves: a new process goes on with the listener, connections and state of
the old.

The package owns the phases of an upgrade, the form in which state goes over, and the supervisor. It must
never decide where a req goes, never let two processes be the gateway at once, and never close the listener
on the way.
"""
