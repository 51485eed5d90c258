"""The gateway's view of the platform's store.

It follows topics of the store, merges views from peers and keeps the catalog of routes
and the directory of upstream instances. Imports ``quarantine`` and ``fleet``.
"""
