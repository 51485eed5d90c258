"""What the platform's store says: topics followed, views from peers, the catalog of
routes and the directory of upstreams.

Imports ``quarantine`` and ``fleet``.
"""
