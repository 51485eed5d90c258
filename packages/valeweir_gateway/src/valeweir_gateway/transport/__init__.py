"""HTTP with clients and upstreams: servers, parsers, replies and sockets.

Imports nothing else of the gateway.
"""
