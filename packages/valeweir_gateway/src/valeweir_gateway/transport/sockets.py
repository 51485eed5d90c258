"""Options of the gateway's TCP sockets, and helpers for sockets and addresses."""

import ipaddress
import select
import socket
import struct

USER_TIMEOUT_MS = 1500
# A stream may have no deadline, but the socket option is a 32-bit integer.
_MAX_USER_TIMEOUT_MS = 3_600_000
# Offsets of ``tcpi_unacked`` and ``tcpi_notsent_bytes`` in the kernel's ``tcp_info``.
_TCP_INFO_BYTES = 148
_UNACKED_OFFSET = 24
_NOTSENT_OFFSET = 144
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


def set_user_timeout(sock, timeout_ms):
    """Set for how long sent or unsent data may make no progress, in milliseconds.

    At most an hour is set. Does nothing if the connection has ended.
    """
    timeout_ms = int(min(timeout_ms, _MAX_USER_TIMEOUT_MS))
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    except OSError:
        pass


def set_reset_on_close(sock, is_on):
    """Choose whether closing a socket resets the connection instead of ending it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_on, 0))


def is_window_closed(sock):
    """Return whether unsent data only waits for the peer's receive window to open.

    With an unreachable peer, sent data is unacknowledged and the result is False.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return False
    if len(info) < _TCP_INFO_BYTES:
        return False
    (unacked,) = struct.unpack_from("=I", info, _UNACKED_OFFSET)
    (unsent_bytes,) = struct.unpack_from("=I", info, _NOTSENT_OFFSET)
    return unacked == 0 and unsent_bytes > 0


def is_broken(exc):
    """Return whether the error of a send says that the connection was broken.

    A peer that had ended its side first, and so has sent all it had to, resets the
    connection as well when it gets more; the kernel then reports a broken pipe.
    """
    return not isinstance(exc, BrokenPipeError)


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
