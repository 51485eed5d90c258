"""What operators see: metrics, the decision log, quarantines listed and released.

Imports ``quarantine``.
"""
