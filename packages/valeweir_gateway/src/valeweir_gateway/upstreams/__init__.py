"""Connections to upstreams, one exchange over them, and what their answers say.

Imports ``transport``.
"""
