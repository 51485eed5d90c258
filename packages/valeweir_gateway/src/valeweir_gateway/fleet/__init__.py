"""The other gateways: who they are, and the reports exchanged with them.

Imports ``transport``, ``quarantine`` and ``upstreams``.
"""
