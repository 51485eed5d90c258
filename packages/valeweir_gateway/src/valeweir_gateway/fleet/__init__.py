"""Membership of the gateway fleet and the exchange of reports between gateways.

Imports ``transport``, ``quarantine`` and ``upstreams``.
"""
