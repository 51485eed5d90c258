"""Which other gateways there are, and what each reported last."""

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
# Gateways up to which everybody reports to everybody and reads the store itself.
MESH_LIMIT = 16


class Member(NamedTuple):
    """A gateway that exists or once did.

    ``address`` takes its reports; ``capacity`` is its processor in cores.
    """

    host: str
    domain: str
    address: str
    capacity: float = 1.0


def parse_member(host, data):
    """Return the `Member` in the bytes of a record; raises ValueError."""
    domain, address, capacity = data.decode("latin-1").split(" ")
    member = Member(host, domain, address, float(capacity))
    if not math.isfinite(member.capacity) or member.capacity <= 0.0:
        raise ValueError(f"capacity {capacity[:20]}")
    if not is_address(address):
        raise ValueError(f"no address: {address[:40]}")
    return member


class Peer(NamedTuple):
    """The latest report of one gateway; ``heard`` is on the steady clock.

    ``sends_figures`` tells whether it has reported figures here, which it then does all
    the time, or has only answered when it was asked.
    """

    address: str
    report: object
    heard: float
    sends_figures: bool

    @property
    def host(self):
        """Return the host of the gateway."""
        return self.report.host


class Members:
    """Gateways known, and those heard from, by host.

    A gateway that does not answer is suspect until it is heard again.

    Parameters
    ----------
    own : Member
    mesh_limit : int
        Up to how many gateways the fleet needs no relays.
    """

    def __init__(self, own, mesh_limit=MESH_LIMIT):
        self.own = own
        self._mesh_limit = mesh_limit
        self._lock = threading.Lock()
        self._known = {own.host: own}
        self._ranked = {own.domain: [own]}
        self._unresolved = set()
        self._tried = {}
        self.peers = {}
        # Rises when a gateway is added, changes, or reports in another role.
        self.version = 0
        # Whether other domains report here, as the exchange's plan says.
        self.is_relay = True

    def __len__(self):
        return len(self._known)

    @property
    def is_mesh(self):
        """Return whether the fleet is so small that it needs no relays."""
        return len(self) <= self._mesh_limit

    def add(self, member):
        """Note a gateway that somebody told of; what it says itself counts more."""
        with self._lock:
            if member.host not in self.peers:
                self._put(member)

    def add_address(self, address):
        """Note an address where some gateway may listen."""
        if address != self.own.address and not self._is_member_address(address):
            self._unresolved.add(address)

    def get_unresolved_addresses(self):
        """Return addresses of which nothing else is known."""
        return list(self._unresolved)

    def get(self, host):
        """Return the `Member` of a host, or None."""
        return self._known.get(host)

    def get_domains(self):
        """Return the failure domains with members."""
        return list(self._ranked)

    def get_ranked(self, domain):
        """Return the members of a domain in an order that all agree on."""
        return self._ranked.get(domain, [])

    def find_senior(self, now):
        """Return the first member before this one in its domain that is not suspect.

        None where there is none: then this gateway acts for its domain.
        """
        for member in self.get_ranked(self.own.domain):
            if member == self.own:
                return None
            if not self.is_suspect(member.host, now):
                return member
        return None

    def note(self, report, address, now):
        """Take in a report; return its `Peer`, or None for an old one."""
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
            self._tried.pop(report.host, None)
            return peer

    def note_tried(self, host, now):
        """Note that the host was sent something and should answer."""
        peer = self.peers.get(host)
        if peer is None or now - peer.heard > _REPLY_TIMEOUT_S:
            self._tried.setdefault(host, now)

    def is_suspect(self, host, now):
        """Return whether the host was tried and has not answered."""
        sent_at = self._tried.get(host)
        return sent_at is not None and now - sent_at > _REPLY_TIMEOUT_S

    def get_live(self, now):
        """Return the peers heard from lately."""
        peers = list(self.peers.values())
        return [peer for peer in peers if now - peer.heard < _SILENT_AFTER_S]

    def is_live(self, host, now):
        """Return whether the host was heard from lately."""
        peer = self.peers.get(host)
        return peer is not None and now - peer.heard < _SILENT_AFTER_S

    def get_silent_domains(self, now):
        """Return the domains that reported to this gateway or its relay and stopped."""
        if not self.is_relay:
            return self._get_domains_reported_silent(now)
        reporting = set()
        live = set()
        for peer in list(self.peers.values()):
            if peer.sends_figures:
                reporting.add(peer.report.domain)
            if now - peer.heard < _DOMAIN_SILENT_AFTER_S:
                live.add(peer.report.domain)
        return (reporting - live) | self._get_domains_reported_silent(now)

    def _get_domains_reported_silent(self, now):
        """Return the silent domains that relays name in their reports to this one."""
        silent = set()
        for peer in list(self.peers.values()):
            if (
                now - peer.heard < _DOMAIN_SILENT_AFTER_S
                and peer.report.role == Role.DOWN
            ):
                silent.update(peer.report.silent)
        return silent

    def drop_silent(self, now):
        """Forget and return the peers that have been silent for long."""
        with self._lock:
            gone = [p for p in self.peers.values() if now - p.heard > _FORGET_AFTER_S]
            for peer in gone:
                del self.peers[peer.host]
                self._tried.setdefault(peer.host, now - _REPLY_TIMEOUT_S)
        return gone

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
    # A clock that was set back gives a later start a lower number; then the
    # silence of the other one tells them apart.
    return now - old.heard >= _SILENT_AFTER_S


def _get_rank(member):
    """Rank the larger hosts first: relays have more to do than others."""
    return (-member.capacity, xxhash.xxh64_intdigest(member.host.encode()))
