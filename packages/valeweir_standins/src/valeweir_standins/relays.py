"""TCP relays between failure domains, whose links can be cut in either direction."""

import socket
import threading

_BUFFER_BYTES = 64 << 10


class Relay:
    """Forwards connections to one address unless the link is cut.

    A cut link discards bytes without closing connections, as a lost route does.
    """

    def __init__(self, target, is_blocked):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._is_blocked = is_blocked
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop accepting connections."""
        self._sock.close()

    def _accept(self):
        while True:
            try:
                client_sock, _ = self._sock.accept()
            except OSError:
                return
            try:
                target_sock = socket.create_connection(self._target, timeout=2.0)
            except OSError:
                client_sock.close()
                continue
            target_sock.settimeout(None)
            for source, sink in (
                (client_sock, target_sock),
                (target_sock, client_sock),
            ):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(_BUFFER_BYTES):
                if not self._is_blocked():
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class NetworkPartition:
    """The pairs of domains whose links are cut, and the relays between domains."""

    def __init__(self):
        self.blocked = set()
        self._relays = []

    def make_relay(self, source, sink, target):
        """Return the address of a new relay from domain ``source`` to ``target``.

        ``sink`` is the domain of ``target``.
        """
        relay = Relay(target, lambda: (source, sink) in self.blocked)
        self._relays.append(relay)
        return relay.address

    def isolate(self, domain, domains, one_way=False):
        """Cut a domain's links to the others.

        With ``one_way``, the domain still receives but cannot send.
        """
        for other in domains:
            if other != domain:
                self.blocked.add((domain, other))
                if not one_way:
                    self.blocked.add((other, domain))

    def heal(self):
        """Restore all links."""
        self.blocked.clear()

    def close(self):
        """Close every relay."""
        for relay in self._relays:
            relay.close()
