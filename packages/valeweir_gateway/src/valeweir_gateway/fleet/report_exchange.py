"""Exchange of reports with the other gateways over UDP.

Reports are sent as datagrams rather than over connections: they carry soft state, of
which only the newest is used, and an unreachable peer must not block the sender.
"""

import asyncio
import random
import socket
import time

from ..quarantine import crash_attribution
from ..upstreams.stream_origins import StreamOrigin
from ..upstreams.upstream_signals import mark_upstream_leaving
from ..view_source import is_newer
from .links import Links
from .members import Member
from .relays import find_origin_holders, make_plan
from .reporter import Reporter, get_notices, make_own_totals
from .reports import Role, decode_report, encode_report
from .totals import Totals

# Intervals between ticks relative to that of the settings, which applies in a full mesh
# or with many requests in flight: behind relays, and for each link of a relay.
_RELAYED_INTERVAL_RATIO = 2.5
_INTERVAL_PER_LINK_RATIO = 0.1
# Interval with nothing to report.
_QUIET_INTERVAL_S = 0.1
_MIN_BUSY_INFLIGHT = 8
# State that depends on time alone (silent peers, expiry of usage) is recomputed at this
# interval.
_REFRESH_INTERVAL_S = 0.1
_HEARTBEAT_INTERVAL_S = 0.3
_GATEWAY_COUNT_HOLD_S = 30.0
_HELLO_INTERVAL_S = 1.0
_RECEIVE_BUFFER_BYTES = 2_048
# Limits how long a burst of reports delays requests on the event loop.
_MAX_DATAGRAMS_PER_WAKEUP = 16

# Peers in the same region answer within a few milliseconds.
_ORIGIN_TIMEOUT_S = 0.1
# Limits the datagrams that clients can cause by naming unknown streams.
_MAX_PENDING_QUERIES = 64
_MAX_WANTED_PER_REPORT = 24


class Fleet:
    """Sends this gateway's reports and applies those of the other gateways."""

    def __init__(self, state, address, sock, number, seed=None):
        self._state = state
        self.address = address
        self._sock = sock
        self._reporter = Reporter(state, number, random.Random(seed))
        self._links = Links()
        self._hello_sent_at = 0.0
        self._corrected_at = {}
        # Futures of the queries for origins of streams, by key.
        self._queries = {}
        self._max_gateways = (1, 0.0)
        self._task = None
        # A tick has nothing to do while the number of reports received and the versions
        # of the reported state are unchanged.
        self._received_count = 0
        self._exchanged_versions = None
        self._next_refresh_at = 0.0
        self._plan_members_version = None
        self.plan = None
        self.sent_bytes = 0

    def start(self, loop):
        """Start sending and receiving on the event loop."""
        self._sock.setblocking(False)
        loop.add_reader(self._sock, self._receive_pending)
        self._task = loop.create_task(self._send())

    def close(self, loop):
        """Stop sending and receiving, and close the socket."""
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
            state.pressure.observe(now - due, interval)
            self._run_logging_faults(self.tick, now)

    def _get_interval(self):
        state = self._state
        return compute_interval(
            state.cfg.reporting.interval_ms / 1000.0,
            links=len(self._links),
            is_quiet=state.inflight == 0 and not self._has_changes(),
            is_busy=state.members.is_mesh or state.inflight >= _MIN_BUSY_INFLIGHT,
        )

    def _receive_pending(self):
        """Receive pending datagrams; the rest is left for the next wake-up."""
        for _ in range(_MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, sender = self._sock.recvfrom(_RECEIVE_BUFFER_BYTES)
            except OSError:
                return
            self._run_logging_faults(self.receive, data, sender)

    def _run_logging_faults(self, action, *args):
        """Call ``action`` and log an exception; the next report replaces a lost one."""
        try:
            action(*args)
        except Exception as exc:
            self._state.log.note("report failed", failed=True, why=repr(exc))

    def receive(self, data, sender):
        """Apply a datagram from ``sender``, an (IP, port) pair."""
        report = decode_report(data)
        if report is None:
            return
        state = self._state
        now = state.clock()
        address = f"{sender[0]}:{sender[1]}"
        if report.only_hints:
            self._apply_hints(report, now)
            self._answer_query(report, address)
            return
        is_new = not state.members.is_live(report.host, now)
        if state.members.record_report(report, address, now) is None:
            return
        self._received_count += 1
        if is_newer(report, state):
            state.newer_view.set()
        for row in report.members:
            state.members.add(Member(*row))
        if report.role == Role.HELLO or self._is_misdirected(report, now):
            reply = self._reporter.make(
                Role.ALIVE, now, with_members=True, host=report.host
            )
            self._send_to(address, reply)
        self._apply_hints(report, now)
        self._reporter.observe_peer_view(report)
        if is_new:
            state.log.note("peer heard", peer=report.host, address=address)

    def _is_misdirected(self, report, now):
        """Return whether a relay wrongly treats this gateway as a relay.

        This happens while the sender's list of members is incomplete; the members in
        the ``ALIVE`` report sent to it complete the list.
        """
        if report.role != Role.ACROSS or self.plan is None or self.plan.is_relay:
            return False
        if (
            now - self._corrected_at.get(report.host, -_HELLO_INTERVAL_S)
            < _HELLO_INTERVAL_S
        ):
            return False
        self._corrected_at[report.host] = now
        return True

    def _apply_hints(self, report, now):
        state = self._state
        self._apply_leaving(report)
        new_notices = [
            notice
            for notice in get_notices(report, now)
            if crash_attribution.apply_notice(state, notice, now)
        ]
        self._links.forward_notices(new_notices, report.role, report.host)
        for instance, part_digest in report.reads:
            instance_id = state.directory.get_id(instance)
            if instance_id is not None:
                state.loads.record_part_digest(part_digest, instance_id, now)
        self._links.forward_reads(report)
        self._apply_streams(report, now)

    def _apply_streams(self, report, now):
        state = self._state
        streams = [(key, StreamOrigin(*digests)) for key, *digests in report.streams]
        for key, origin in streams:
            state.stream_origins.add(key, origin, now)
            query = self._queries.pop(key, None)
            if query is not None and not query.done():
                query.set_result(state.stream_origins.get(key))
        if report.role is Role.UP:
            self._queue_far_streams(streams)

    def _queue_far_streams(self, streams):
        """Queue streams of this domain that only records of them can tell apart.

        Those of a service with a single version go on without a record.
        """
        state = self._state
        if not state.members.is_mesh:
            mixed = state.stream_origins.mixed_services
            rows = [row for row in streams if row[1].service in mixed]
            self._links.queue_far_streams(rows, state.cfg.domain)

    def _answer_query(self, report, address):
        get = self._state.stream_origins.get
        known = {key: get(key) for key in report.wanted[:_MAX_WANTED_PER_REPORT]}
        rows = [row for row in known.items() if row[1] is not None]
        if rows:
            self._send_to(address, self._reporter.make_reply(rows))

    async def ask_for_origin(self, key):
        """Ask peers for the origin of a stream; return a `StreamOrigin` or None."""
        state = self._state
        holders = find_origin_holders(state.members, state.clock())
        if not holders or len(self._queries) >= _MAX_PENDING_QUERIES:
            return None
        query = self._queries.get(key)
        if query is None:
            query = self._queries[key] = asyncio.get_running_loop().create_future()
            report = self._reporter.make_query([key])
            for member in holders:
                self._send_to(member.address, report)
        try:
            return await asyncio.wait_for(asyncio.shield(query), _ORIGIN_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            if self._queries.get(key) is query:
                del self._queries[key]

    def _apply_leaving(self, report):
        state = self._state
        for digest in report.leaving:
            instance_id = state.directory.get_id(digest)
            if instance_id is not None:
                mark_upstream_leaving(state, instance_id, "peer", peer=report.host)

    def count_links(self):
        """Return the number of gateways that this one reports to."""
        return len(self._links)

    def tick(self, now):
        """Send the reports that are due and apply the totals of those received."""
        if now < self._next_refresh_at and not self._has_changes():
            return
        versions = self._get_versions()
        self._exchange_reports(now)
        self._exchanged_versions = versions
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + _REFRESH_INTERVAL_S

    def _has_changes(self):
        """Return whether there may be something to report or to apply."""
        if any(link.has_hints for link in self._links):
            return True
        return self._exchanged_versions != self._get_versions()

    def _get_versions(self):
        """Return a tuple that changes whenever any reported state changes."""
        state = self._state
        return (
            self._received_count,
            state.loads.version,
            state.usage.version,
            state.freshness.announce_version,
            state.stopping,
            state.directory.leaving_version,
            len(state.reads),
            len(state.notices),
            len(state.stream_origins.unreported),
        )

    def _exchange_reports(self, now):
        state = self._state
        plan = self._update_plan(now)
        own = make_own_totals(state, now)
        group_reports = self._get_reports(plan.group, Role.UP, now)
        remote = Totals()
        for report in group_reports.values():
            remote.add_report(report)
        # Totals of the group and of the fleet are sent on the links of relays only.
        group_totals = remote.joined(own) if plan.is_relay else own
        for report in self._get_remote_reports(plan, now):
            remote.add_report(report)
        self._apply_totals(remote, own.gateways + remote.gateways, now)
        fleet_totals = remote.joined(own) if group_reports else own
        self._links.queue_reads(state.reads.take())
        self._links.queue_notices(_drain(state.notices))
        streams = _drain(state.stream_origins.unreported)
        self._links.queue_streams(streams, state.cfg.domain, state.members.is_mesh)
        self._queue_far_streams(streams)
        for link in self._links:
            self._report_to(link, own, group_totals, fleet_totals, group_reports, now)
        if now - self._hello_sent_at >= _HELLO_INTERVAL_S:
            self._hello_sent_at = now
            self._send_hellos(plan, now)

    def _update_plan(self, now):
        """Return the plan, rebuilt after a change of members or a refresh interval."""
        state = self._state
        members_version = state.members.version
        if self.plan is not None and members_version == self._plan_members_version:
            if now < self._next_refresh_at:
                return self.plan
        for peer in state.members.drop_silent(now):
            self._corrected_at.pop(peer.host, None)
            state.log.note("peer lost", failed=True, peer=peer.host)
        plan = make_plan(state.members, now)
        self._plan_members_version = members_version
        self._replace_plan(plan)
        self._links.update(plan)
        return plan

    def _replace_plan(self, plan):
        old, self.plan = self.plan, plan
        self._state.members.is_relay = plan.is_relay
        relay = plan.relay.host if plan.relay else None
        if old is None or (old.is_relay, old.relay) != (plan.is_relay, plan.relay):
            self._state.log.note(
                "reporting", is_relay=plan.is_relay, relay=relay, group=len(plan.group)
            )

    def _get_reports(self, members, role, now):
        """Return {host: Report} of the live ``members`` that report in a role."""
        found = {}
        for member in members:
            peer = self._state.members.peers.get(member.host)
            live = self._state.members.is_live(member.host, now)
            if peer is not None and live and peer.report.role == role:
                found[member.host] = peer.report
        return found

    def _get_remote_reports(self, plan, now):
        if plan.is_relay:
            return self._get_reports(plan.other_relays, Role.ACROSS, now).values()
        if plan.relay is None:
            return ()
        return self._get_reports([plan.relay], Role.DOWN, now).values()

    def _apply_totals(self, remote, gateways, now):
        state = self._state
        state.retries.gateways = self._update_max_gateways(gateways, now)
        state.shares.set_remote(remote.usage)
        state.loads.set_remote(self._get_rows_by_id(remote.loads), now)
        failures = self._get_rows_by_id(remote.failures)
        changes = state.peer_failures.apply(failures, gateways, now)
        for instance_id, (ejected, answered) in changes.excluded.items():
            state.log.note(
                "upstream ejected by peers",
                failed=True,
                upstream=instance_id,
                ejected_gateways=ejected,
                answered_gateways=answered,
            )
        for instance_id in changes.released:
            state.log.note("upstream ejection by peers over", upstream=instance_id)

    def _get_rows_by_id(self, rows):
        """Return the rows of known instances, by id instead of digest."""
        get_id = self._state.directory.get_id
        by_id = {get_id(digest): row for digest, row in rows.items()}
        by_id.pop(None, None)
        return by_id

    def _update_max_gateways(self, count, now):
        """Return the highest number of gateways seen recently.

        Gateways behind a network partition go on using their part of the retry budget.
        """
        if (
            count >= self._max_gateways[0]
            or now - self._max_gateways[1] > _GATEWAY_COUNT_HOLD_S
        ):
            self._max_gateways = (count, now)
        return self._max_gateways[0]

    def _report_to(self, link, own, group_totals, fleet_totals, group_reports, now):
        members = self._state.members
        if members.is_suspect(link.member.host, now):
            return
        totals = {Role.UP: own, Role.ACROSS: group_totals, Role.DOWN: fleet_totals}[
            link.role
        ]
        group_report = group_reports.get(link.member.host)
        if link.role == Role.DOWN and group_report is not None:
            totals = fleet_totals.without(group_report)
        state = self._state
        reported = (
            totals.loads,
            totals.usage,
            totals.failures,
            state.stopping,
            state.freshness.announce_version,
            state.directory.leaving_version,
        )
        due = now - link.reported_at >= _HEARTBEAT_INTERVAL_S
        if not due and not link.has_hints and reported == link.reported:
            return
        link.reported, link.reported_at = reported, now
        report = self._reporter.make(
            link.role,
            now,
            totals,
            link.take_reads(),
            with_members=due,
            host=link.member.host,
            notices=link.take_notices(),
            streams=link.take_streams(),
        )
        members.expect_reply(link.member.host, now)
        self._send_to(link.member.address, report)

    def _send_hellos(self, plan, now):
        """Send ``HELLO`` to silent or suspect members and unresolved addresses."""
        members = self._state.members
        report = self._reporter.make(Role.HELLO, now, with_members=True)
        for member in plan.hello_targets:
            members.expect_reply(member.host, now)
            self._send_to(member.address, report)
        for link in self._links:
            if members.is_suspect(link.member.host, now):
                self._send_to(link.member.address, report)
        for address in members.get_unresolved_addresses():
            self._send_to(address, report)

    def _send_to(self, address, report):
        host, _, port = address.rpartition(":")
        try:
            for data in encode_report(report):
                self._sock.sendto(data, (host, int(port)))
                self.sent_bytes += len(data)
        except OSError:
            # Reports are soft state: the next one replaces the one lost here.
            pass


def compute_interval(interval, links, is_quiet, is_busy):
    """Return the seconds until the next tick.

    Parameters
    ----------
    interval : float
        Interval of a busy gateway with few links, in seconds.
    links : int
        Number of gateways that this one reports to.
    is_quiet : bool
        Whether there is nothing to report.
    is_busy : bool
        Whether the gateway is in a mesh or has many requests in flight.
    """
    if is_quiet:
        chosen = _QUIET_INTERVAL_S
    else:
        chosen = interval if is_busy else _RELAYED_INTERVAL_RATIO * interval
    return max(chosen, _INTERVAL_PER_LINK_RATIO * interval * links)


def _drain(rows):
    """Remove and return all rows of a deque that other components append to."""
    return [rows.popleft() for _ in range(len(rows))]


def create_fleet(state, address):
    """Return a `Fleet` bound to the address, with a new incarnation number."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, int(port)))
    return Fleet(state, address, sock, time.time_ns() // 1_000_000)
