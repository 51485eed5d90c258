"""The topology of reporting: which gateway reports to which.

A small fleet reports in a full mesh. In a larger one each failure domain has a few
relays: a gateway reports to one of them, relays report totals of their groups to each
other, and each relay reports the totals of the rest of the fleet to its group. There is
no election: every gateway ranks the members that it knows in the same order and skips
those that do not reply, and a gateway that receives reports acts as a relay.
"""

import math
from typing import NamedTuple

import xxhash

from .reports import Role

_GATEWAYS_PER_RELAY = 16
_MIN_RELAYS = 2
_STANDBY_RELAY_COUNT = 2


class Plan(NamedTuple):
    """A gateway's role in the exchange of reports.

    ``relay`` is the `Member` to report to, None for a relay. ``other_relays`` are the
    other relays, ``group`` the members that report to this one, and ``hello_targets``
    the silent members that are sent ``HELLO``.
    """

    is_relay: bool
    relay: object
    other_relays: tuple
    group: tuple
    hello_targets: tuple


def count_relays(domain_size, is_mesh):
    """Return the number of relays of a failure domain."""
    if is_mesh:
        return domain_size
    wanted = math.ceil(domain_size / _GATEWAYS_PER_RELAY)
    return min(domain_size, max(_MIN_RELAYS, wanted))


def make_plan(members, now):
    """Return the `Plan` of the gateway ``members.own``."""
    own = members.own
    live = members.get_live(now)
    group = tuple(
        members.get(peer.host) for peer in live if peer.report.role == Role.UP
    )
    relays = _choose_relays(members, own.domain, now)
    if own in relays or group:
        other_relays = _find_other_relays(members, live, now)
        hello_targets = _find_silent_candidates(members, members.get_domains(), now)
        return Plan(True, None, other_relays, group, hello_targets)
    relay = relays[_hash_host(own.host) % len(relays)] if relays else None
    hello_targets = ()
    if own in _get_candidates(members, own.domain):
        hello_targets = _find_silent_candidates(members, [own.domain], now)
    return Plan(False, relay, (), (), hello_targets)


def find_origin_holders(members, now):
    """Return the members that receive the origins of streams from others."""
    relays = [
        row
        for domain in members.get_domains()
        for row in _choose_relays(members, domain, now)
    ]
    return [row for row in relays if row != members.own]


def _choose_relays(members, domain, now):
    ranked = members.get_ranked(domain)
    count = count_relays(len(ranked), members.is_mesh)
    usable = [row for row in ranked if not members.is_suspect(row.host, now)]
    return usable[:count]


def _get_candidates(members, domain):
    ranked = members.get_ranked(domain)
    return ranked[: count_relays(len(ranked), members.is_mesh) + _STANDBY_RELAY_COUNT]


def _find_other_relays(members, live, now):
    found = {
        peer.host: members.get(peer.host)
        for peer in live
        if peer.report.role == Role.ACROSS
    }
    for domain in members.get_domains():
        for row in _choose_relays(members, domain, now):
            found.setdefault(row.host, row)
    found.pop(members.own.host, None)
    return tuple(found.values())


def _find_silent_candidates(members, domains, now):
    return tuple(
        row
        for domain in domains
        for row in _get_candidates(members, domain)
        if row != members.own and not members.is_live(row.host, now)
    )


def _hash_host(host):
    return xxhash.xxh32_intdigest(host.encode())
