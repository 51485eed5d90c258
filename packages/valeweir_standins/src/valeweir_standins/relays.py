"""TCP relays between failure domains, so that links can be cut either way."""

import socket
import threading

_BUFFER = 64 << 10


class Relay:
    """Passes connections on to one address; what it carries can be stopped.

    Cut links swallow bytes in silence, as a dropped route does.
    """

    def __init__(self, target, is_cut):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._is_cut = is_cut
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no more connections."""
        self._sock.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._sock.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, timeout=2.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                ).start()

    def _pump(self, source, sink):
        try:
            while data := source.recv(_BUFFER):
                if not self._is_cut():
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Cuts:
    """Which domains cannot reach which, and the relays that obey it."""

    def __init__(self):
        self.cut = set()
        self._relays = []

    def make_relay(self, source, sink, target):
        """Return the address at which domain ``source`` reaches ``target``."""
        relay = Relay(target, lambda: (source, sink) in self.cut)
        self._relays.append(relay)
        return relay.address

    def cut_off(self, domain, domains, one_way=False):
        """Cut a domain off from the others; ``one_way``: it hears but is not."""
        for other in domains:
            if other != domain:
                self.cut.add((domain, other))
                if not one_way:
                    self.cut.add((other, domain))

    def heal(self):
        """Let everything through again."""
        self.cut.clear()

    def close(self):
        """Close every relay."""
        for relay in self._relays:
            relay.close()
