"""The event records of a gateway: their types, files and live stream, and their reader.

Recording never delays the gateway, writes nothing per request, and takes no part in routing.
"""
