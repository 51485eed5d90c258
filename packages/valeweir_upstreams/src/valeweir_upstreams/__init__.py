"""Peer: model engines and plain services, over HTTP."""
