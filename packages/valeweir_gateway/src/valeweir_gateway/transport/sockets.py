"""Options that every TCP socket of the gateway gets."""

import ipaddress
import select
import socket

USER_TIMEOUT_MS = 1500
_KEEPALIVE_S = 1
_KEEPALIVE_PROBE_COUNT = 2
_PORT_COUNT = 1 << 16


def prepare_socket(sock):
    """Send at once, and notice within seconds a peer that has fallen silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def is_readable(sock):
    """Return whether bytes, or the end, of a socket wait to be read."""
    try:
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return any(event & select.POLLIN for _, event in poller.poll(0))
    except (OSError, ValueError):
        return True


def connect_blocking(address, timeout):
    """Return a new connected socket for a thread that may wait; raises OSError."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout)


def is_address(text):
    """Return whether a text is ``IP:PORT``, of IPv4."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) < _PORT_COUNT
