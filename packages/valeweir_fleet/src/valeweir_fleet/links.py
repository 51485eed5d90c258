"""Sockets to the other routers: one listening thread, one thread per peer."""

import queue
import threading
import time
from typing import NamedTuple

import zmq
from loguru import logger
from valeweir import metrics

from .messages import decode_message, encode_message

_MAX_QUEUED_COUNT = 1000
_LINGER_MS = 200
_POLL_MS = 200


class CurveKeys(NamedTuple):
    """CURVE keys of this daemon, and the public keys that are allowed to connect."""

    public: bytes
    secret: bytes
    allowed: tuple[bytes, ...]


class Link:
    """Sends messages to one peer; drops and counts those that it cannot send."""

    def __init__(self, address, connect):
        self.address = address
        self.sent_bytes = 0
        self._connect = connect
        self._queue = queue.Queue(_MAX_QUEUED_COUNT)
        self._thread = threading.Thread(
            target=self._run, name=f"link-{address}", daemon=True
        )
        self._thread.start()

    def send(self, message):
        """Queue a message, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            metrics.control_dropped.labels("link full").inc()

    def close(self):
        """Stop the thread after the queued messages have been sent."""
        self._queue.put(None)
        self._thread.join(1.0)

    def _run(self):
        sock = self._connect(self.address)
        while True:
            message = self._queue.get()
            if message is None:
                break
            started = time.thread_time()
            self._send(sock, message)
            metrics.control_seconds.inc(time.thread_time() - started)
        sock.close(_LINGER_MS)

    def _send(self, sock, message):
        data = encode_message(message)
        try:
            sock.send(data, zmq.NOBLOCK)
        except zmq.Again:
            metrics.control_dropped.labels("peer unreachable").inc()
            return
        self.sent_bytes += len(data)
        metrics.control_bytes.labels("out").inc(len(data))
        metrics.control_messages.labels(type(message).__name__).inc()


class Links:
    """The listening socket and the links to all peers.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    keys : CurveKeys or None
        None disables encryption, for tests.
    """

    def __init__(self, address, keys=None):
        self._context = zmq.Context()
        self._keys = keys
        self._links = {}
        self._stopped = threading.Event()
        self._thread = None
        self._authenticator = None
        self._sock = self._context.socket(zmq.ROUTER)
        if keys is not None:
            self._authenticator = _start_authenticator(self._context, keys)
            self._sock.curve_publickey = keys.public
            self._sock.curve_secretkey = keys.secret
            self._sock.curve_server = True
        self._sock.bind(f"tcp://{address}")
        endpoint = self._sock.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")

    def start(self, handle):
        """Call ``handle(message)`` for each valid message, in one thread."""
        self._thread = threading.Thread(
            target=self._listen, args=(handle,), name="fleet", daemon=True
        )
        self._thread.start()

    @property
    def sent_bytes(self):
        """Bytes sent over the links that are currently open."""
        return sum(link.sent_bytes for link in list(self._links.values()))

    def send(self, address, message):
        """Send a message to an address; opens the link on first use."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address, self._connect)
        link.send(message)

    def drop(self, address):
        """Close the link to a peer that is lost."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def stop(self):
        """Close every link and the listening socket."""
        for address in list(self._links):
            self.drop(address)
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(1.0)
        self._sock.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(0)

    def _connect(self, address):
        sock = self._context.socket(zmq.DEALER)
        sock.setsockopt(zmq.SNDHWM, _MAX_QUEUED_COUNT)
        # Without a connection, messages are not queued: outdated state is worse
        # than none.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.RECONNECT_IVL, 100)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, 2000)
        if self._keys is not None:
            # All routers share one server key; clients differ in their own keys.
            sock.curve_serverkey = self._keys.public
            sock.curve_publickey = self._keys.public
            sock.curve_secretkey = self._keys.secret
        sock.connect(f"tcp://{address}")
        return sock

    def _listen(self, handle):
        while not self._stopped.is_set():
            if not self._sock.poll(_POLL_MS):
                continue
            data = self._sock.recv_multipart()[-1]
            started = time.thread_time()
            metrics.control_bytes.labels("in").inc(len(data))
            self._dispatch(handle, data)
            metrics.control_seconds.inc(time.thread_time() - started)

    def _dispatch(self, handle, data):
        message, reason = decode_message(data)
        if message is None:
            metrics.control_dropped.labels(reason).inc()
            return
        try:
            handle(message)
        except Exception:
            logger.exception("handling a message from {} failed", message.source)


def _start_authenticator(context, keys):
    from zmq.auth.thread import ThreadAuthenticator

    auth = ThreadAuthenticator(context)
    auth.start()
    auth.configure_curve_callback(
        domain="*", credentials_provider=_AllowedKeys(keys.allowed)
    )
    return auth


class _AllowedKeys:
    """Credentials provider for pyzmq that accepts a fixed set of keys."""

    def __init__(self, allowed):
        self._allowed = set(allowed)

    def callback(self, domain, key):
        """Return whether the Z85 ``key`` may connect."""
        return key in self._allowed
