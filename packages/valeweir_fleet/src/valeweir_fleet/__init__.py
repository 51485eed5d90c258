"""Communication with the other routers: msgspec messages over ZeroMQ."""
