"""Detection and quarantine of requests that crash upstreams.

Imports only the shared modules at the root.
"""
