"""Exchange of reports with the other gateways over UDP.

Datagrams, not connections: what is reported is soft state, of which only the
newest counts, and a peer behind a cut must hold nobody up.
"""

import asyncio
import random
import socket
import time

from ..quarantine import crash_attribution
from ..upstreams.upstream_signals import note_leaving
from ..view_source import is_newer
from .links import Links
from .members import Member
from .relays import make_plan
from .reporter import Reporter, get_notices, make_own_totals
from .reports import Role, decode_report, encode_report
from .sums import Totals

# Seconds between ticks: in a mesh or with many requests under way, behind relays,
# and with nothing to report.
_BUSY_INTERVAL_S = 0.02
_RELAYED_INTERVAL_S = 0.05
_QUIET_INTERVAL_S = 0.1
# A relay of many links sends less often.
_INTERVAL_PER_LINK_S = 0.002
_MANY_INFLIGHT = 8
# What depends on time alone (silence, expiry of usage) is recomputed this often.
_REFRESH_INTERVAL_S = 0.1
_HEARTBEAT = 0.3
_COUNT_MEMORY = 30.0
_ASK_INTERVAL = 1.0
_RECEIVE_BYTES = 2_048
# So that requests are not behind a flood of reports.
_DATAGRAMS_A_TURN = 16


class Fleet:
    """Sends this gateway's reports and takes in those of the others."""

    def __init__(self, state, address, sock, number, seed=None):
        self._state = state
        self.address = address
        self._sock = sock
        self._reporter = Reporter(state, number, random.Random(seed))
        self._links = Links()
        self._asked_at = 0.0
        self._corrected = {}
        self._most = (1, 0.0)
        self._task = None
        # Reports received so far; a tick has nothing to do while this and the versions
        # of what is reported stay the same.
        self._received = 0
        self._done = None
        self._refresh_at = 0.0
        self._plan_basis = None
        self.plan = None
        self.sent_bytes = 0

    def start(self, loop):
        """Send and receive on the event loop."""
        self._sock.setblocking(False)
        loop.add_reader(self._sock, self._receive_waiting)
        self._task = loop.create_task(self._send())

    def close(self, loop):
        """Send and receive no more."""
        loop.remove_reader(self._sock)
        self._task.cancel()
        self._sock.close()

    async def _send(self):
        state = self._state
        while True:
            interval = self._get_interval()
            state.pause_detector.set_interval(interval)
            due = state.clock() + interval
            await asyncio.sleep(interval)
            now = state.clock()
            state.pause_detector.tick()
            state.pressure.note(now - due)
            self._guard(self.tick, now)

    def _get_interval(self):
        state = self._state
        if state.inflight == 0 and not self._has_news():
            interval = _QUIET_INTERVAL_S
        elif state.members.is_mesh or state.inflight >= _MANY_INFLIGHT:
            interval = _BUSY_INTERVAL_S
        else:
            interval = _RELAYED_INTERVAL_S
        return max(interval, _INTERVAL_PER_LINK_S * len(self._links))

    def _receive_waiting(self):
        """Take in datagrams that wait; some are left for the next turn."""
        for _ in range(_DATAGRAMS_A_TURN):
            try:
                data, sender = self._sock.recvfrom(_RECEIVE_BYTES)
            except OSError:
                return
            self._guard(self.receive, data, sender)

    def _guard(self, action, *args):
        """Go on after a fault; the next report makes up for this one."""
        try:
            action(*args)
        except Exception as exc:
            self._state.log.note("report failed", failed=True, why=repr(exc))

    def receive(self, data, sender):
        """Take in a datagram from ``sender``, an (IP, port) pair."""
        report = decode_report(data)
        if report is None:
            return
        state = self._state
        now = state.clock()
        if report.only_hints:
            self._take_hints(report, now)
            return
        address = f"{sender[0]}:{sender[1]}"
        fresh = not state.members.is_live(report.host, now)
        if state.members.note(report, address, now) is None:
            return
        self._received += 1
        if is_newer(report, state):
            state.newer_view.set()
        for row in report.members:
            state.members.add(Member(*row))
        if report.role == Role.HELLO or self._is_misdirected(report, now):
            answer = self._reporter.make(
                Role.ALIVE, now, with_members=True, host=report.host
            )
            self._send_to(address, answer)
        self._take_hints(report, now)
        self._reporter.note_view(report)
        if fresh:
            state.log.note("peer heard", peer=report.host, address=address)

    def _is_misdirected(self, report, now):
        """Return whether a relay takes this gateway for one and should be told.

        It knows too few members; those in the answer make up for it.
        """
        if report.role != Role.ACROSS or self.plan is None or self.plan.is_relay:
            return False
        if now - self._corrected.get(report.host, -_ASK_INTERVAL) < _ASK_INTERVAL:
            return False
        self._corrected[report.host] = now
        return True

    def _take_hints(self, report, now):
        state = self._state
        self._take_leaving(report)
        news = [
            notice
            for notice in get_notices(report, now)
            if crash_attribution.apply_notice(state, notice, now)
        ]
        self._links.forward_notices(news, report.role, report.host)
        for instance, part in report.reads:
            instance_id = state.directory.get_id(instance)
            if instance_id is not None:
                state.loads.record_part_digest(part, instance_id, now)
        self._links.forward_reads(report)

    def _take_leaving(self, report):
        state = self._state
        for digest in report.leaving:
            instance_id = state.directory.get_id(digest)
            if instance_id is not None:
                note_leaving(state, instance_id, "peer", peer=report.host)

    def count_links(self):
        """Return how many gateways this one reports to."""
        return len(self._links)

    def tick(self, now):
        """Send what is due and take in the sums of what was reported."""
        if now < self._refresh_at and not self._has_news():
            return
        versions = self._get_versions()
        self._exchange(now)
        self._done = versions
        if now >= self._refresh_at:
            self._refresh_at = now + _REFRESH_INTERVAL_S

    def _has_news(self):
        """Return whether there may be something to report or to take in."""
        if any(link.reads or link.notices for link in self._links):
            return True
        return self._done != self._get_versions()

    def _get_versions(self):
        """Return what changes with everything that is reported."""
        state = self._state
        return (
            self._received,
            state.loads.version,
            state.usage.version,
            state.freshness.news,
            state.stopping,
            state.directory.leaving_version,
            len(state.reads),
            len(state.notices),
        )

    def _exchange(self, now):
        state = self._state
        plan = self._update_plan(now)
        own = make_own_totals(state, now)
        children = self._get_reports(plan.group, Role.UP, now)
        remote = Totals()
        for report in children.values():
            remote.add_report(report)
        # Sums over the group and over all are for relays' links only.
        group = remote.joined(own) if plan.is_relay else own
        for report in self._get_sources(plan, now):
            remote.add_report(report)
        self._apply(remote, own.gateways + remote.gateways, now)
        everything = remote.joined(own) if children else own
        self._links.add_reads(state.reads.take())
        self._links.add_notices(_take_all(state.notices))
        for link in self._links:
            self._serve(link, own, group, everything, children, now)
        if now - self._asked_at >= _ASK_INTERVAL:
            self._asked_at = now
            self._ask(plan, now)

    def _update_plan(self, now):
        """Return the plan, made anew where members changed or time has passed."""
        state = self._state
        basis = state.members.version
        if self.plan is not None and basis == self._plan_basis:
            if now < self._refresh_at:
                return self.plan
        for peer in state.members.drop_silent(now):
            self._corrected.pop(peer.host, None)
            state.log.note("peer lost", failed=True, peer=peer.host)
        plan = make_plan(state.members, now)
        self._plan_basis = basis
        self._note_plan(plan)
        self._links.update(plan)
        return plan

    def _note_plan(self, plan):
        old, self.plan = self.plan, plan
        self._state.members.is_relay = plan.is_relay
        relay = plan.relay.host if plan.relay else None
        if old is None or (old.is_relay, old.relay) != (plan.is_relay, plan.relay):
            self._state.log.note(
                "reporting", is_relay=plan.is_relay, relay=relay, group=len(plan.group)
            )

    def _get_reports(self, members, role, now):
        """Return {host: Report} of the live ones among ``members`` in a role."""
        found = {}
        for member in members:
            peer = self._state.members.peers.get(member.host)
            live = self._state.members.is_live(member.host, now)
            if peer is not None and live and peer.report.role == role:
                found[member.host] = peer.report
        return found

    def _get_sources(self, plan, now):
        if plan.is_relay:
            return self._get_reports(plan.fellows, Role.ACROSS, now).values()
        if plan.relay is None:
            return ()
        return self._get_reports([plan.relay], Role.DOWN, now).values()

    def _apply(self, remote, gateways, now):
        state = self._state
        state.retries.gateways = self._count_gateways(gateways, now)
        state.shares.set_remote(remote.usage)
        loads = {}
        for digest, row in remote.loads.items():
            instance_id = state.directory.get_id(digest)
            if instance_id is not None:
                loads[instance_id] = row
        state.loads.set_remote(loads, now)

    def _count_gateways(self, count, now):
        """Return the greatest count of late.

        Those behind a cut go on spending their part of the retry budget.
        """
        if count >= self._most[0] or now - self._most[1] > _COUNT_MEMORY:
            self._most = (count, now)
        return self._most[0]

    def _serve(self, link, own, group, everything, children, now):
        members = self._state.members
        if members.is_suspect(link.member.host, now):
            return
        totals = {Role.UP: own, Role.ACROSS: group, Role.DOWN: everything}[link.role]
        child = children.get(link.member.host)
        if link.role == Role.DOWN and child is not None:
            totals = everything.without(child)
        state = self._state
        told = (
            totals.loads,
            totals.usage,
            state.stopping,
            state.freshness.news,
            state.directory.leaving_version,
        )
        due = now - link.told_at >= _HEARTBEAT
        hints = link.reads or link.notices
        if not due and not hints and told == link.told:
            return
        link.told, link.told_at = told, now
        report = self._reporter.make(
            link.role,
            now,
            totals,
            link.take_reads(),
            with_members=due,
            host=link.member.host,
            notices=link.take_notices(),
        )
        members.note_tried(link.member.host, now)
        self._send_to(link.member.address, report)

    def _ask(self, plan, now):
        """Ask members that are not heard, and addresses, for a sign of life."""
        members = self._state.members
        report = self._reporter.make(Role.HELLO, now, with_members=True)
        for member in plan.watched:
            members.note_tried(member.host, now)
            self._send_to(member.address, report)
        for link in self._links:
            if members.is_suspect(link.member.host, now):
                self._send_to(link.member.address, report)
        for address in members.get_unnamed():
            self._send_to(address, report)

    def _send_to(self, address, report):
        host, _, port = address.rpartition(":")
        try:
            for data in encode_report(report):
                self._sock.sendto(data, (host, int(port)))
                self.sent_bytes += len(data)
        except OSError:
            # Soft state: the next report will do.
            pass


def _take_all(rows):
    """Return and forget what other parts of the gateway have left in a deque."""
    return [rows.popleft() for _ in range(len(rows))]


def create_fleet(state, address):
    """Return a `Fleet` on the address, in a new incarnation."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, int(port)))
    return Fleet(state, address, sock, time.time_ns() // 1_000_000)
