"""The router daemon: connects callers, upstreams and peers to the sharing rules."""
