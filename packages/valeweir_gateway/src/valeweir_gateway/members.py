"""Which other gateways there are, and what each reported last."""

import threading

_SILENT_AFTER = 1.5
_FORGET_AFTER = 30.0
_DOMAIN_SILENCE = 1.1


class Peer:
    """The latest report of one gateway."""

    __slots__ = ("address", "heard", "report")

    def __init__(self, address, report, heard):
        self.address = address
        self.report = report
        self.heard = heard

    @property
    def source(self):
        """Return the name of the incarnation."""
        return f"{self.report.host}#{self.report.number}"


class Members:
    """Addresses to report to, and the gateways heard from, by host."""

    def __init__(self, own_host, own_address):
        self._own_host = own_host
        self._own_address = own_address
        self._lock = threading.Lock()
        self._addresses = {}
        self.peers = {}

    def add_address(self, address):
        """Note where a gateway listens, whoever told it."""
        if address and address != self._own_address:
            with self._lock:
                self._addresses.setdefault(address, None)

    def drop_address(self, address):
        """Forget an address that its gateway has withdrawn."""
        with self._lock:
            self._addresses.pop(address, None)

    def get_addresses(self):
        """Return every address known."""
        return list(self._addresses)

    def note(self, report, address, now):
        """Take in a report; return its `Peer`, or None for an old one."""
        if report.host == self._own_host:
            return None
        with self._lock:
            self._addresses.setdefault(address, None)
            peer = self.peers.get(report.host)
            if peer is None:
                peer = self.peers[report.host] = Peer(address, report, now)
                return peer
            old = peer.report
            later = (report.number, report.seq) > (old.number, old.seq)
            # A clock that was set back gives a later start a lower number;
            # then the silence of the other one tells them apart.
            if not later and now - peer.heard < _SILENT_AFTER:
                return None
            peer.address, peer.report, peer.heard = address, report, now
            return peer

    def get_live(self, now):
        """Return the peers heard from lately."""
        peers = list(self.peers.values())
        return [peer for peer in peers if now - peer.heard < _SILENT_AFTER]

    def get_silent_domains(self, now):
        """Return the domains with gateways known and none heard from lately."""
        known = set()
        heard = set()
        for peer in list(self.peers.values()):
            known.add(peer.report.domain)
            if now - peer.heard < _DOMAIN_SILENCE:
                heard.add(peer.report.domain)
        return known - heard

    def is_live(self, address, now):
        """Return whether a gateway at this address was heard from lately."""
        return any(peer.address == address for peer in self.get_live(now))

    def drop_silent(self, now):
        """Forget and return the peers that have been silent for long."""
        with self._lock:
            gone = [p for p in self.peers.values() if now - p.heard > _FORGET_AFTER]
            for peer in gone:
                del self.peers[peer.report.host]
        return gone
