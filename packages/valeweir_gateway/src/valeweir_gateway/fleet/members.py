"""The members of the gateway fleet and the latest report of each."""

import math
import threading
from typing import NamedTuple

import xxhash

from ..transport.sockets import is_address
from .reports import Role

_SILENT_AFTER_S = 1.5
_FORGET_AFTER_S = 30.0
_DOMAIN_SILENT_AFTER_S = 0.9
_REPLY_TIMEOUT_S = 1.0
_ROLES_WITH_FIGURES = frozenset((Role.UP, Role.ACROSS, Role.DOWN))
# Up to this many gateways, each reports to all others and reads the store itself.
MESH_LIMIT = 16


class Member(NamedTuple):
    """A gateway that runs or has run.

    ``address`` is where it receives reports; ``capacity`` is its number of CPU cores.
    """

    host: str
    domain: str
    address: str
    capacity: float = 1.0


def parse_member(host, data):
    """Return the `Member` in the bytes of a record; raises ValueError if malformed."""
    domain, address, capacity = data.decode("latin-1").split(" ")
    member = Member(host, domain, address, float(capacity))
    if not math.isfinite(member.capacity) or member.capacity <= 0.0:
        raise ValueError(f"capacity is not a positive, finite number: {capacity[:20]}")
    if not is_address(address):
        raise ValueError(f"address is not IP:port: {address[:40]}")
    return member


class Peer(NamedTuple):
    """The latest report of one gateway.

    ``received_at`` is the time of its receipt on the monotonic clock. ``sends_figures``
    is true for a gateway that has reported figures to this one, and therefore does so
    regularly, and false for one that has only replied to a ``HELLO``.
    """

    address: str
    report: object
    received_at: float
    sends_figures: bool

    @property
    def host(self):
        """Return the host of the gateway."""
        return self.report.host


class Members:
    """The known gateways and the latest reports received, by host.

    A gateway that does not reply is suspect until a report from it is received.

    Parameters
    ----------
    own : Member
    mesh_limit : int
        Number of gateways up to which the fleet needs no relays.
    """

    def __init__(self, own, mesh_limit=MESH_LIMIT):
        self.own = own
        self._mesh_limit = mesh_limit
        self._lock = threading.Lock()
        self._known = {own.host: own}
        self._ranked = {own.domain: [own]}
        self._unresolved = set()
        self._reply_awaited_since = {}
        self.peers = {}
        # Increases when a gateway is added, changes, or reports in another role.
        self.version = 0
        # Whether other domains report to this gateway, according to its current `Plan`.
        self.is_relay = True

    def __len__(self):
        return len(self._known)

    @property
    def is_mesh(self):
        """Return whether the fleet is small enough to need no relays."""
        return len(self) <= self._mesh_limit

    def add(self, member):
        """Add a member learned from a third party, unless it has reported itself."""
        with self._lock:
            if member.host not in self.peers:
                self._put(member)

    def add_address(self, address):
        """Add an address at which a gateway may listen, unless its host is known."""
        if address != self.own.address and not self._is_member_address(address):
            self._unresolved.add(address)

    def get_unresolved_addresses(self):
        """Return the added addresses whose hosts are unknown."""
        return list(self._unresolved)

    def get(self, host):
        """Return the `Member` of a host, or None."""
        return self._known.get(host)

    def get_domains(self):
        """Return the failure domains that have members."""
        return list(self._ranked)

    def get_ranked(self, domain):
        """Return the members of a domain in an order that is the same everywhere."""
        return self._ranked.get(domain, [])

    def find_higher_ranked(self, now):
        """Return the first unsuspected member ranked before this one in its domain.

        None means that this gateway itself acts for its domain.
        """
        for member in self.get_ranked(self.own.domain):
            if member == self.own:
                return None
            if not self.is_suspect(member.host, now):
                return member
        return None

    def record_report(self, report, address, now):
        """Store a report; return its `Peer`, or None for an outdated or own report."""
        if report.host == self.own.host:
            return None
        with self._lock:
            old = self.peers.get(report.host)
            if old is not None and not _is_newer(report, old, now):
                return None
            sends_figures = report.role in _ROLES_WITH_FIGURES or (
                old is not None and old.sends_figures
            )
            if old is None or old.report.role != report.role:
                self.version += 1
            peer = Peer(address, report, now, sends_figures)
            self.peers[report.host] = peer
            member = Member(report.host, report.domain, address, report.capacity)
            self._put(member)
            self._reply_awaited_since.pop(report.host, None)
            return peer

    def expect_reply(self, host, now):
        """Record a send that the host should reply to."""
        peer = self.peers.get(host)
        if peer is None or now - peer.received_at > _REPLY_TIMEOUT_S:
            self._reply_awaited_since.setdefault(host, now)

    def is_suspect(self, host, now):
        """Return whether the host has left a send without a reply for too long."""
        sent_at = self._reply_awaited_since.get(host)
        return sent_at is not None and now - sent_at > _REPLY_TIMEOUT_S

    def get_live(self, now):
        """Return the peers that have reported recently."""
        peers = list(self.peers.values())
        return [peer for peer in peers if now - peer.received_at < _SILENT_AFTER_S]

    def is_live(self, host, now):
        """Return whether the host has reported recently."""
        peer = self.peers.get(host)
        return peer is not None and now - peer.received_at < _SILENT_AFTER_S

    def get_silent_domains(self, now):
        """Return the domains that no longer report to this gateway or its relay."""
        if not self.is_relay:
            return self._get_domains_reported_silent(now)
        reporting = set()
        live = set()
        for peer in list(self.peers.values()):
            if peer.sends_figures:
                reporting.add(peer.report.domain)
            if now - peer.received_at < _DOMAIN_SILENT_AFTER_S:
                live.add(peer.report.domain)
        return (reporting - live) | self._get_domains_reported_silent(now)

    def _get_domains_reported_silent(self, now):
        """Return the silent domains listed in relays' reports to this gateway."""
        silent = set()
        for peer in list(self.peers.values()):
            if (
                now - peer.received_at < _DOMAIN_SILENT_AFTER_S
                and peer.report.role == Role.DOWN
            ):
                silent.update(peer.report.silent)
        return silent

    def drop_silent(self, now):
        """Remove and return the peers that have been silent for too long."""
        with self._lock:
            dropped = [
                p for p in self.peers.values() if now - p.received_at > _FORGET_AFTER_S
            ]
            for peer in dropped:
                del self.peers[peer.host]
                self._reply_awaited_since.setdefault(peer.host, now - _REPLY_TIMEOUT_S)
        return dropped

    def _is_member_address(self, address):
        return any(member.address == address for member in self._known.values())

    def _put(self, member):
        old = self._known.get(member.host)
        if old == member or member.host == self.own.host:
            return
        self.version += 1
        self._known[member.host] = member
        self._unresolved.discard(member.address)
        rows = [row for row in self._known.values() if row.domain == member.domain]
        self._ranked[member.domain] = sorted(rows, key=_get_rank)
        if old is not None and old.domain != member.domain:
            rows = [row for row in self._known.values() if row.domain == old.domain]
            self._ranked[old.domain] = sorted(rows, key=_get_rank)


def _is_newer(report, old, now):
    if (report.number, report.seq) > (old.report.number, old.report.seq):
        return True
    # After the clock was set back, a later start has a lower incarnation number. Its
    # reports are accepted once the earlier incarnation is silent.
    return now - old.received_at >= _SILENT_AFTER_S


def _get_rank(member):
    """Return a sort key that ranks larger hosts first, as relays have more work."""
    return (-member.capacity, xxhash.xxh64_intdigest(member.host.encode()))
