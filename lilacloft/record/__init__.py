"""The records that a gateway writes of its own events: their types, files and live stream, and their reader.

Recording never delays the gateway, writes nothing per request, and decides nothing.
"""
