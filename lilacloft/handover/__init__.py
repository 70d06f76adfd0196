"""Replaces a running gateway process: a new process takes over its listening sockets, connections, open
requests and state.

The process that is replaced is the sender, the new one the receiver. The package contains the phases of a
handover, the messages between the two processes, and the supervisor. It makes no routing decisions, never
lets two processes be the gateway at the same time, and keeps the listening socket open throughout.
"""
