"""Load generator for real gateways: sends the workload of the emulator's clients over sockets.

The load is open-loop: send times are fixed in advance, so a slow gateway gets no fewer requests, and latency
counts from the scheduled time, not from when the request could be sent. Requests are never retried.
"""
