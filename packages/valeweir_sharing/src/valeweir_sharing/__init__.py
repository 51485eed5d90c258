"""Capacity decisions: which request is served next, and on which upstream's slot.

Plain functions over small in-memory states. Nothing here does I/O or reads a
clock; times are passed in, in seconds on the caller's lease clock.
"""
