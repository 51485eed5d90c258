"""HTTP servers, parsers, response writers and socket options.

This package imports no other package of the gateway.
"""
