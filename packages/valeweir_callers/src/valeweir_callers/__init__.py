"""Peer: callers, over HTTP in the form that model clients already speak."""
