"""Peer: the other routers, over ZeroMQ with typed msgspec messages."""
