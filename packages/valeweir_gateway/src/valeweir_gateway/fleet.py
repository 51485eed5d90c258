"""Exchange of reports with the other gateways over UDP.

Datagrams, not connections: what is reported is soft state, of which only the
newest counts, and a peer behind a cut must hold nobody up.
"""

import socket
import threading
import time

import msgspec

from .reports import (
    MAX_BYTES,
    VERSION,
    Report,
    decode_report,
    encode_report,
    get_digest,
)

_TICK = 0.04
_HEARTBEAT = 0.5
_SILENT_INTERVAL = 1.0
_USAGE_REFRESH = 2.0
_RECEIVE_BYTES = 2_048
_RECEIVE_TIMEOUT = 0.5
_MAX_READS = 24
_MAX_MEMBERS = 12
_MAX_ACCOUNTS = 50


class Fleet:
    """Sends this gateway's reports and takes in those of the others."""

    def __init__(self, state, address):
        self._state = state
        self.address = address
        self._sock = _open_socket(address)
        self._number = time.time_ns() // 1_000_000
        self._seq = 0
        self._sent_at = 0.0
        self._sent_loads = None
        self._sent_usage = {}
        self._refreshed_at = 0.0
        self._probed_at = 0.0
        self._sent_stopping = False
        self.sent_bytes = 0

    def start(self, stopped):
        """Send and receive in threads of their own."""
        for name, run in (("report", self._send_loop), ("hear", self._receive_loop)):
            threading.Thread(
                target=run, args=(stopped,), name=name, daemon=True
            ).start()

    def close(self):
        """Close the socket."""
        self._sock.close()

    def _send_loop(self, stopped):
        while not stopped.wait(_TICK):
            self._send(self._state.clock())
            self._apply_peers(self._state.clock())

    def _receive_loop(self, stopped):
        self._sock.settimeout(_RECEIVE_TIMEOUT)
        while not stopped.is_set():
            try:
                data, sender = self._sock.recvfrom(_RECEIVE_BYTES)
            except OSError:
                continue
            self._receive(data, sender)

    def _receive(self, data, sender):
        report = decode_report(data)
        if report is None:
            return
        state = self._state
        now = state.clock()
        address = f"{sender[0]}:{sender[1]}"
        fresh = report.host not in state.members.peers
        peer = state.members.note(report, address, now)
        if peer is None:
            return
        for member in report.members:
            state.members.add_address(member)
        state.usage.merge(peer.source, report.usage, now)
        self._take_reads(report, now)
        if fresh:
            state.log.note("peer heard", peer=report.host, address=address)

    def _take_reads(self, report, now):
        if not report.reads:
            return
        ids = {get_digest(name): name for name in list(self._state.directory.by_id)}
        for instance, part in report.reads:
            instance_id = ids.get(instance)
            if instance_id is not None:
                self._state.loads.note_digest(part, instance_id, now)

    def _send(self, now):
        loads = self._get_loads()
        silent = now - self._probed_at >= _SILENT_INTERVAL
        due = now - self._sent_at >= _HEARTBEAT
        news = loads != self._sent_loads or self._state.reads.has_news()
        news = news or self._state.stopping != self._sent_stopping
        if not (news or due):
            return
        data = encode_report(self._make_report(loads, now, silent))
        self._sent_at = now
        self._sent_loads = loads
        self._sent_stopping = self._state.stopping
        if silent:
            self._probed_at = now
        for address in self._state.members.get_addresses():
            if silent or self._state.members.is_live(address, now):
                self._send_to(address, data)

    def _send_to(self, address, data):
        host, _, port = address.rpartition(":")
        try:
            self._sock.sendto(data, (host, int(port)))
            self.sent_bytes += len(data)
        except OSError:
            # Soft state: the next report will do.
            pass

    def _get_loads(self):
        report = self._state.loads.get_report()
        return {get_digest(name): row for name, row in report.items()}

    def _make_report(self, loads, now, with_members):
        state = self._state
        self._seq += 1
        catalog = state.catalog
        members = state.members.get_addresses()[:_MAX_MEMBERS] if with_members else []
        report = Report(
            VERSION,
            state.cfg.host,
            state.cfg.domain,
            self._number,
            self._seq,
            catalog.version if catalog else 0,
            state.directory_offset,
            state.stopping,
            loads,
            self._get_usage(now),
            state.reads.take(_MAX_READS),
            members,
        )
        if len(encode_report(report)) > MAX_BYTES:
            report = msgspec.structs.replace(report, reads=[], members=[])
        return report

    def _get_usage(self, now):
        if now - self._refreshed_at >= _USAGE_REFRESH:
            self._refreshed_at = now
            self._sent_usage = {}
        totals = self._state.usage.get_totals()
        changed = {
            name: row
            for name, row in totals.items()
            if self._sent_usage.get(name) != row
        }
        rows = dict(list(changed.items())[:_MAX_ACCOUNTS])
        self._sent_usage.update(rows)
        return rows

    def _apply_peers(self, now):
        state = self._state
        for peer in state.members.drop_silent(now):
            state.usage.forget(peer.source)
            state.log.note("peer lost", failed=True, peer=peer.report.host)
        live = state.members.get_live(now)
        state.retries.gateways = 1 + len(state.members.peers)
        state.loads.set_remote(_sum_loads(live, state.directory.by_id), now)


def _sum_loads(peers, instances):
    """Return {instance id: (unread, active)} over the peers' reports."""
    ids = {get_digest(name): name for name in list(instances)}
    totals = {}
    for peer in peers:
        for digest, (unread, active) in peer.report.loads.items():
            name = ids.get(digest)
            if name is None:
                continue
            old_unread, old_active = totals.get(name, (0, 0))
            totals[name] = (old_unread + unread, old_active + active)
    return totals


def _open_socket(address):
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, int(port)))
    return sock
