"""Code shared by the packages of the valeweir router fleet."""

__version__ = "0.1.0"
