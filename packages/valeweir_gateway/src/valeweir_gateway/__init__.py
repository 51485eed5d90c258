"""Gateway that forwards requests of declared routes to self-registering upstreams."""

__version__ = "0.2.0"
