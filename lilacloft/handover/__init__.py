"""Replaces a gateway process while it serves: a new process continues with its listening sockets,
connections, open requests and state.

The process that is replaced is the sender, the new one the receiver. The package has the phases of a
handover, the messages between the two, and the supervisor. It never decides where a request goes, never lets
two processes be the gateway at once, and never closes the listening socket on the way.
"""
