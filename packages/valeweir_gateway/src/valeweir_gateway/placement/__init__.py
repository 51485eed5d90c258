"""Which upstream gets a request: candidates, loads, cached prompt parts, pauses.

Imports ``transport`` and ``upstreams``.
"""
