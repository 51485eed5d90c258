"""Options of the gateway's TCP sockets, and helpers for sockets and addresses."""

import ipaddress
import select
import socket

USER_TIMEOUT_MS = 1500
_KEEPALIVE_S = 1
_KEEPALIVE_PROBE_COUNT = 2
_PORT_COUNT = 1 << 16


def prepare_socket(sock):
    """Disable Nagle's algorithm and detect an unreachable peer within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def is_readable(sock):
    """Return whether a read would return data or the end of the stream at once."""
    try:
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return any(event & select.POLLIN for _, event in poller.poll(0))
    except (OSError, ValueError):
        return True


def connect_blocking(address, timeout):
    """Return a new connected socket, blocking the thread; raises OSError."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout)


def is_address(text):
    """Return whether a text is an IPv4 address and a port, ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) < _PORT_COUNT
