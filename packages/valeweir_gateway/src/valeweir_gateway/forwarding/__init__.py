"""Forwarding of one request: checks, admission, placement, sends, retries and logs.

Imports all packages but ``fleet`` and ``operations``.
"""
