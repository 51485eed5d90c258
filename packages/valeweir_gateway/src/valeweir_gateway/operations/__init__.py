"""Interfaces for operators: metrics, the decision log and the quarantine API.

Imports ``quarantine``.
"""
