"""Peer: operators, over the resource API."""
