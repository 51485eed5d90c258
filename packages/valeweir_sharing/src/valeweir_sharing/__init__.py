"""Decisions on capacity: who is served next, where, and who holds which slot.

Plain functions over small states. Nothing here does I/O or reads a clock;
times are passed in, in seconds on the caller's lease clock.
"""
