"""The other routers and their liveness."""

from typing import NamedTuple

_MAX_REPLACED_COUNT = 5000


class Peer:
    """One incarnation of another router.

    ``sent_at`` is the latest timestamp of the peer's clock in its messages.
    ``echo`` is the latest timestamp of this router's clock that the peer has
    echoed. ``received_at`` is the time on this router's clock at which the latest
    message arrived.
    """

    __slots__ = (
        "address",
        "config_offset",
        "domain",
        "echo",
        "received_at",
        "host",
        "leaving",
        "live",
        "sent_at",
        "seq",
        "source",
    )

    def __init__(self, source, host):
        self.source = source
        self.host = host
        self.domain = ""
        self.address = ""
        self.seq = -1
        self.sent_at = 0.0
        self.echo = 0.0
        self.received_at = 0.0
        self.live = False
        self.leaving = False
        self.config_offset = 0


class Member(NamedTuple):
    """A host that is listed in the settings or the membership list."""

    host: str
    domain: str
    address: str
    leaving: bool = False


class LivenessChange(NamedTuple):
    """A peer that became live or was lost."""

    peer: Peer
    live: bool


class Peers:
    """All known routers, by incarnation.

    A peer is live while its messages arrive and its echo is recent, which proves
    that it receives messages too. If one direction of the connection fails, both
    sides therefore consider each other lost.
    """

    def __init__(self, liveness_timeout_s):
        self.liveness_timeout_s = liveness_timeout_s
        self.by_source = {}
        self.by_host = {}
        self.members = {}
        self.replaced = []
        self._replaced_sources = {}

    def record_message(self, message, now):
        """Record a message; return its `Peer`, or None for a replay.

        Messages of incarnations that have been replaced are rejected too.
        """
        host = get_host(message.source)
        peer = self.by_source.get(message.source)
        if peer is None:
            if not self._replace_incarnation(host, message.source, now):
                return None
            peer = Peer(message.source, host)
            self.by_source[message.source] = peer
            self.by_host[host] = peer
            member = self.members.get(host)
            if member:
                peer.domain, peer.address = member.domain, member.address
        if message.seq <= peer.seq:
            return None
        peer.seq = message.seq
        peer.received_at = now
        return peer

    def set_members(self, members):
        """Replace the list of hosts from the platform."""
        self.members = {member.host: member for member in members}

    def recompute_liveness(self, now):
        """Update the liveness of peers; return a `LivenessChange` for each change."""
        changes = []
        for peer in self.by_host.values():
            oldest = now - self.liveness_timeout_s
            live = (
                peer.received_at > oldest and peer.echo > oldest and bool(peer.address)
            )
            if live != peer.live:
                peer.live = live
                changes.append(LivenessChange(peer, live))
        return changes

    def get_live(self):
        """Return the live peers."""
        return [peer for peer in self.by_host.values() if peer.live]

    def is_leaving(self, peer):
        """Return whether the peer or the membership list announced its departure."""
        member = self.members.get(peer.host)
        return peer.leaving or (member is not None and member.leaving)

    def get_targets(self, own_host):
        """Return {host: address} of live peers and members, without this host."""
        targets = {p.host: p.address for p in self.by_host.values() if p.live}
        targets |= {m.host: m.address for m in self.members.values()}
        targets.pop(own_host, None)
        return targets

    def get_address(self, peer):
        """Return the address of a peer; the membership list has precedence."""
        member = self.members.get(peer.host)
        return member.address if member is not None else peer.address

    def find_address(self, host):
        """Return the address of a host, or "" if it is unknown."""
        member = self.members.get(host)
        if member is not None:
            return member.address
        peer = self.by_host.get(host)
        return peer.address if peer is not None else ""

    def _replace_incarnation(self, host, source, now):
        """Replace the host's incarnation; return False if ``source`` is not later."""
        if source in self._replaced_sources:
            return False
        current = self.by_host.get(host)
        if current is None:
            return True
        # If the clock was set back, a later start has a lower number. The lower
        # number is then accepted once the current incarnation is silent.
        silent = current.received_at < now - self.liveness_timeout_s
        if (
            _parse_incarnation_number(current.source)
            > _parse_incarnation_number(source)
            and not silent
        ):
            return False
        del self.by_source[current.source]
        self.replaced.append(current)
        self._replaced_sources[current.source] = None
        if len(self._replaced_sources) > _MAX_REPLACED_COUNT:
            self._replaced_sources.pop(next(iter(self._replaced_sources)))
        return True


def get_host(source):
    """Return the host part of an incarnation's name."""
    return source.partition("#")[0]


def _parse_incarnation_number(source):
    """Return the incarnation's number, which increases with each start."""
    number = source.partition("#")[2]
    return int(number, 36) if number.isalnum() else 0
