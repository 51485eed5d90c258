"""Builds this gateway's reports and derives its view's age from those of peers."""

from ..digests import get_digest
from ..quarantine.crash_attribution import Notice
from ..quarantine.crashes import Crash
from ..quarantine.part_answers import Answer
from ..view_source import get_version
from .freshness import Stamps, make_echo
from .reports import VERSION, Report, Role
from .totals import Totals

_MAX_MEMBERS_PER_REPORT = 10
# More than this many instances leave at once only if a whole service does; for the
# rest, the records in the store show it once the store is reachable again.
_MAX_LEAVING = 32
# Leaves room for the loads: a row takes 8 bytes, or up to 12 in the sums of relays, and
# a datagram has 1,400.
_MAX_FAILURES = 32


def get_notices(report, now):
    """Return the `Notice` rows of a report, with times on this gateway's clock."""
    crashes = [
        Notice(
            fingerprint, Crash(instance, now - sent / 1000.0, now - ended / 1000.0, *of)
        )
        for fingerprint, instance, sent, ended, *of in (
            *report.part_crashes,
            *report.crashes,
        )
    ]
    cleared = [Notice(fingerprint, None) for fingerprint in report.cleared]
    answers = [
        Notice(fingerprint, None, Answer(version, now - began / 1000.0))
        for fingerprint, version, began in report.part_answers
    ]
    return crashes + cleared + answers


def _make_crash_row(notice, now):
    """Return the row of a crash, with ages instead of times as hosts' clocks differ."""
    instance, sent, ended, *of_part = notice.crash
    ages = [round((now - at) * 1000.0) for at in (sent, ended)]
    row = (notice.fingerprint, instance, *ages)
    return (*row, *of_part) if notice.crash.is_of_part else row


def _make_answer_row(notice, now):
    """Return the row of an answer to a part, with the age of its begin."""
    version, began = notice.answer
    return (notice.fingerprint, version, round((now - began) * 1000.0))


def _make_notice_rows(notices, now):
    """Return the fields of a report that hold notices."""
    crashes = [row for row in notices if row.crash]
    rows = {
        is_of_part: [
            _make_crash_row(row, now)
            for row in crashes
            if row.crash.is_of_part == is_of_part
        ]
        for is_of_part in (False, True)
    }
    others = [row for row in notices if not row.crash]
    return {
        "crashes": rows[False],
        "part_crashes": rows[True],
        "cleared": [row.fingerprint for row in others if not row.answer],
        "part_answers": [_make_answer_row(row, now) for row in others if row.answer],
    }


def make_own_totals(state, now):
    """Return the `Totals` of this gateway alone."""
    loads = state.loads.get_report()
    failures = state.peer_failures.get_rows(now)
    own = Totals()
    own.add(
        {get_digest(name): row for name, row in loads.items()},
        state.usage.get_token_usage(now),
        1,
        {get_digest(name): row for name, row in failures.items()},
    )
    return own


def _limit_failures(rows):
    """Return at most 32 rows: those with the most ejections, equal ones by digest.

    All gateways select in the same order, so that their rows add up.
    """
    if len(rows) <= _MAX_FAILURES:
        return rows
    ranked = sorted(rows.items(), key=lambda item: (-item[1][0], item[0]))
    return dict(ranked[:_MAX_FAILURES])


class Reporter:
    """Builds reports, each with a stamp that peers send back.

    Parameters
    ----------
    number : int
        Incarnation number of the gateway.
    rng : random.Random
        Selects the members that a report lists.
    """

    def __init__(self, state, number, rng):
        self._state = state
        self._number = number
        self._stamps = Stamps(state.clock, number)
        self._rng = rng
        self._seq = 0

    def make(
        self,
        role,
        now,
        totals=None,
        reads=(),
        with_members=False,
        host=None,
        notices=(),
        streams=(),
    ):
        """Return a `Report`, with an echo if it is addressed to a single ``host``."""
        state = self._state
        self._seq += 1
        peer = state.members.peers.get(host)
        # The age is read before the offsets: a record that arrives in between may only
        # make the offsets newer than the age claims, never older.
        age = state.freshness.get_age(now)
        return Report(
            VERSION,
            state.cfg.host,
            state.cfg.domain,
            self._number,
            self._seq,
            role,
            get_version(state),
            state.directory_position.offset,
            -1.0 if age is None else age,
            state.stopping,
            totals.gateways if totals else 0,
            totals.loads if totals else {},
            totals.usage if totals else {},
            list(reads),
            sorted(state.members.get_silent_domains(now)),
            self._pick_members(now) if with_members else [],
            state.members.own.capacity,
            catalog_offset=state.catalog_position.offset,
            stamp=self._stamps.make(),
            echo=make_echo(peer.report if peer else None),
            quarantine_offset=state.quarantine_position.offset,
            **_make_notice_rows(notices, now),
            leaving=self._get_leaving(),
            failures=_limit_failures(totals.failures) if totals else {},
            eras=tuple(position.era for position in state.view_positions),
            streams=[(key, *origin) for key, origin in streams],
        )

    def make_query(self, wanted):
        """Return the `Report` that requests the origins of streams from a peer."""
        return self._make_hints(wanted=list(wanted))

    def make_reply(self, streams):
        """Return the `Report` that answers such a request."""
        return self._make_hints(streams=[(key, *origin) for key, origin in streams])

    def _make_hints(self, **hints):
        self._seq += 1
        cfg = self._state.cfg
        return Report(
            VERSION,
            cfg.host,
            cfg.domain,
            self._number,
            self._seq,
            Role.HELLO,
            only_hints=True,
            **hints,
        )

    def observe_peer_view(self, report):
        """Record the age of a peer's view if it contains no more than this one's."""
        state = self._state
        sent_after = self._stamps.get_time(report.echo)
        if sent_after is None or report.store_age < 0.0:
            return
        known = get_version(state) >= report.catalog_version
        catalog, directory, _ = report.view_positions
        known = known and state.catalog_position.covers(catalog)
        if known and state.directory_position.covers(directory):
            state.freshness.record_peer_view(sent_after - report.store_age)

    def _get_leaving(self):
        """Return the digests of leaving instances whose records do not show it yet.

        Every gateway reports all that it has learned, so that relays and gateways that
        start receive it too. An entry is never retracted: an incarnation of an instance
        that is leaving does not return.
        """
        names = self._state.directory.get_unrecorded_leaving()
        return [get_digest(name) for name in sorted(names)[:_MAX_LEAVING]]

    def _pick_members(self, now):
        members = self._state.members
        live = [members.get(peer.host) for peer in members.get_live(now)]
        picked = self._rng.sample(live, min(len(live), _MAX_MEMBERS_PER_REPORT))
        return [tuple(member) for member in [members.own, *picked]]
