"""Connections to upstreams, exchanges over them, and the signals in their responses.

Imports ``transport``.
"""
