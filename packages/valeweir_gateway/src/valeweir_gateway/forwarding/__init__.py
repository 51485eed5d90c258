"""The way of one request: checks, admission, placement, sends, repeats, records of it.

Imports all packages but ``fleet`` and ``operations``.
"""
