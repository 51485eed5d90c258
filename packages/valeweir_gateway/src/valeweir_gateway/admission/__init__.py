"""Admission control: fair shares of accounts, wait limits and overload.

Imports ``fleet`` to add up the usage in peers' reports. It performs no I/O.
"""
