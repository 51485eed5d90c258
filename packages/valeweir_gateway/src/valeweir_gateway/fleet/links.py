"""The gateways that this one reports to, and the last state reported to each."""

import collections
import threading

from .reports import Role

_MAX_QUEUED_READS = 400
_MAX_READS_PER_REPORT = 24
_MAX_QUEUED_NOTICES = 100
_MAX_NOTICES_PER_REPORT = 12
# Datagrams may be lost; a duplicate notice has no effect.
_NOTICE_SEND_COUNT = 2
_MAX_QUEUED_STREAMS = 400
_MAX_STREAMS_PER_REPORT = 24
# A relay forwards received hints on the links whose gateways cannot have received them
# yet.
_FORWARD_ROLES = {Role.UP: (Role.ACROSS, Role.DOWN), Role.ACROSS: (Role.DOWN,)}


class Link:
    """One gateway to report to: the state reported last and the hints still queued."""

    __slots__ = (
        "member",
        "notices",
        "reads",
        "reported",
        "reported_at",
        "role",
        "streams",
    )

    def __init__(self, member, role):
        self.member = member
        self.role = role
        self.reported = None
        self.reported_at = 0.0
        self.reads = collections.deque(maxlen=_MAX_QUEUED_READS)
        # Pairs of a notice and the number of sends left.
        self.notices = collections.deque(maxlen=_MAX_QUEUED_NOTICES)

        # Pairs of the key and the origin of streams.
        self.streams = collections.deque(maxlen=_MAX_QUEUED_STREAMS)

    @property
    def has_hints(self):
        """Return whether hints are queued."""
        return bool(self.reads or self.notices or self.streams)

    def take_streams(self):
        """Remove and return as many streams as one report holds."""
        count = min(len(self.streams), _MAX_STREAMS_PER_REPORT)
        return [self.streams.popleft() for _ in range(count)]

    def take_reads(self):
        """Remove and return as many reads as one report holds."""
        count = min(len(self.reads), _MAX_READS_PER_REPORT)
        return [self.reads.popleft() for _ in range(count)]

    def take_notices(self):
        """Return as many notices as one report holds; requeue those with sends left."""
        notices = []
        for _ in range(min(len(self.notices), _MAX_NOTICES_PER_REPORT)):
            notice, sends_left = self.notices.popleft()
            notices.append(notice)
            if sends_left > 1:
                self.notices.append((notice, sends_left - 1))
        return notices


class Links:
    """The links of a gateway by host; reads may be queued from other threads."""

    def __init__(self):
        self._by_host = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._by_host)

    def __iter__(self):
        return iter(list(self._by_host.values()))

    def update(self, plan):
        """Add and remove links so that they match the plan."""
        wanted = {row.host: (row, Role.DOWN) for row in plan.group}
        wanted.update({row.host: (row, Role.ACROSS) for row in plan.other_relays})
        if plan.relay is not None:
            wanted[plan.relay.host] = (plan.relay, Role.UP)
        with self._lock:
            for host in self._by_host.keys() - wanted.keys():
                del self._by_host[host]
            for host, (member, role) in wanted.items():
                link = self._by_host.get(host)
                if link is None or link.role != role:
                    link = self._by_host[host] = Link(member, role)
                link.member = member

    def queue_reads(self, reads):
        """Queue reads that follow from this gateway's requests on all links."""
        with self._lock:
            for link in self._by_host.values():
                link.reads.extend(reads)

    def forward_reads(self, report):
        """Queue the reads in a report for the gateways that it was not sent to."""
        roles = _FORWARD_ROLES.get(report.role, ())
        if not report.reads or not roles:
            return
        with self._lock:
            for host, link in self._by_host.items():
                if link.role in roles and host != report.host:
                    link.reads.extend(report.reads)

    def queue_streams(self, streams, own_domain, is_mesh):
        """Queue the streams that this gateway has begun.

        They go to every peer of a mesh. In a larger fleet a single one gets them, so
        that their cost does not grow with the fleet: the gateway's relay, or for a
        relay another one of its failure domain.
        """
        if not streams:
            return
        with self._lock:
            links = list(self._by_host.values())
            if not is_mesh:
                near = [row for row in links if _is_near_relay(row, own_domain)]
                links = near[:1]
            for link in links:
                link.streams.extend(streams)

    def queue_far_streams(self, streams, own_domain):
        """Queue streams for one relay of another failure domain.

        It still knows them after the loss of this domain.
        """
        if not streams:
            return
        with self._lock:
            far = [row for row in self._by_host.values() if _is_far(row, own_domain)]
            if far:
                # The same one for all, so that datagrams are filled.
                min(far, key=lambda row: row.member.host).streams.extend(streams)

    def queue_notices(self, notices):
        """Queue notices of this gateway about requests on all links."""
        with self._lock:
            for link in self._by_host.values():
                link.notices.extend((notice, _NOTICE_SEND_COUNT) for notice in notices)

    def forward_notices(self, notices, role, sender):
        """Queue new notices from ``sender`` for gateways its report was not sent to."""
        roles = _FORWARD_ROLES.get(role, ())
        with self._lock:
            for host, link in self._by_host.items():
                if link.role in roles and host != sender:
                    link.notices.extend(
                        (notice, _NOTICE_SEND_COUNT) for notice in notices
                    )


def _is_far(link, own_domain):
    return link.role is Role.ACROSS and link.member.domain != own_domain


def _is_near_relay(link, own_domain):
    return link.role is Role.UP or (
        link.role is Role.ACROSS and link.member.domain == own_domain
    )
