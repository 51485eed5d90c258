"""Shared vocabulary of the valeweir router fleet."""

__version__ = "0.1.0"
