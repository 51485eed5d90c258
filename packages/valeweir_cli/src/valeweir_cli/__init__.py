"""The command line ``valeweir``."""
