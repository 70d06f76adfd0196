"""Signed URLs and access tokens: who may fetch which resource, and until when.

Anything that cannot be parsed or is not supported is denied. Clients are told only that access is denied, not
why.
"""
