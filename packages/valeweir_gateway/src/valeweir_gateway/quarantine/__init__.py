"""Requests under which upstreams end: found, held back, tried again rarely.

Imports only the shared modules at the root.
"""
