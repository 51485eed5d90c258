"""Gateway: declared routes served by upstreams that announce themselves."""

__version__ = "0.2.0"
