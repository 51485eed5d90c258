"""The router daemon: the peers put together around the sharing decisions."""
