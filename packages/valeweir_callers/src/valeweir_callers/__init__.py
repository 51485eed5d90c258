"""HTTP protocol for callers, compatible with existing model clients."""
