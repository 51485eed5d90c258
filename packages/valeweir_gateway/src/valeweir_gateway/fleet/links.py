"""To whom a gateway reports, and what each was told last."""

import collections
import threading

from .reports import Role

_MAX_QUEUED_READS = 400
_MAX_READS_PER_REPORT = 24
_MAX_QUEUED_NOTICES = 100
_MAX_NOTICES_PER_REPORT = 12
# Datagrams get lost, and a notice that comes twice changes nothing.
_NOTICE_SEND_COUNT = 2
# Hints that a relay hears of go on to those that cannot have heard them.
_FORWARD_ROLES = {Role.UP: (Role.ACROSS, Role.DOWN), Role.ACROSS: (Role.DOWN,)}


class Link:
    """What one other gateway was told last, and the hints it is not told yet."""

    __slots__ = ("member", "notices", "reads", "reported", "reported_at", "role")

    def __init__(self, member, role):
        self.member = member
        self.role = role
        self.reported = None
        self.reported_at = 0.0
        self.reads = collections.deque(maxlen=_MAX_QUEUED_READS)
        # Each with how many more times it is told.
        self.notices = collections.deque(maxlen=_MAX_QUEUED_NOTICES)

    def take_reads(self):
        """Return and forget as many reads as one report holds."""
        count = min(len(self.reads), _MAX_READS_PER_REPORT)
        return [self.reads.popleft() for _ in range(count)]

    def take_notices(self):
        """Return as many notices as one report holds, and keep those to tell again."""
        taken = []
        for _ in range(min(len(self.notices), _MAX_NOTICES_PER_REPORT)):
            notice, sends_left = self.notices.popleft()
            taken.append(notice)
            if sends_left > 1:
                self.notices.append((notice, sends_left - 1))
        return taken


class Links:
    """The links of a gateway by host; reads arrive from other threads."""

    def __init__(self):
        self._by_host = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._by_host)

    def __iter__(self):
        return iter(list(self._by_host.values()))

    def update(self, plan):
        """Have a link to everybody whom the plan says to report to."""
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
        """Note reads of this gateway for everybody."""
        with self._lock:
            for link in self._by_host.values():
                link.reads.extend(reads)

    def forward_reads(self, report):
        """Note the reads in a report for those that it did not go to."""
        roles = _FORWARD_ROLES.get(report.role, ())
        if not report.reads or not roles:
            return
        with self._lock:
            for host, link in self._by_host.items():
                if link.role in roles and host != report.host:
                    link.reads.extend(report.reads)

    def queue_notices(self, notices):
        """Note what this gateway found out of requests, for everybody."""
        with self._lock:
            for link in self._by_host.values():
                link.notices.extend((notice, _NOTICE_SEND_COUNT) for notice in notices)

    def forward_notices(self, notices, role, sender):
        """Note news in a report of ``sender`` for those that it did not go to."""
        roles = _FORWARD_ROLES.get(role, ())
        with self._lock:
            for host, link in self._by_host.items():
                if link.role in roles and host != sender:
                    link.notices.extend(
                        (notice, _NOTICE_SEND_COUNT) for notice in notices
                    )
