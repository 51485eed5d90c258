"""Choice of the router that owns an upstream, which leases out its slots.

Uses rendezvous hashing (Thaler and Ravishankar, IEEE/ACM ToN 1998): all routers
compute the same ranking of the candidates without coordination, and the loss of
a router moves only the upstreams that it owned.
"""

import xxhash

GROUP_SIZE = 8


def get_group(upstream, pool, domain, pool_size):
    """Return the ownership group of an upstream.

    Upstreams of one pool in one failure domain form groups of about
    `GROUP_SIZE`. A group has one owner, so that the owner has enough slots to
    choose among. The number of groups is a power of two, so that it rarely
    changes when upstreams are added or removed.
    """
    group_count = 1
    while group_count * GROUP_SIZE < pool_size:
        group_count *= 2
    group_index = _hash(upstream) % group_count
    return f"{pool}/{domain}/{group_index}"


def choose_owner(group, candidates):
    """Return the candidate that owns ``group``, or None without candidates.

    Parameters
    ----------
    candidates : iterable of str
        Names of hosts that are live and not leaving.
    """
    hosts = sorted(candidates)
    if not hosts:
        return None
    return max(hosts, key=lambda host: _hash(f"{group}|{host}"))


def get_candidates(domain, members):
    """Return the hosts that may own upstreams of ``domain``.

    These are the routers in the domain, or all members if it has none.

    Parameters
    ----------
    members : iterable of (host, domain)
    """
    members = list(members)
    local = [host for host, host_domain in members if host_domain == domain]
    return local or [host for host, _ in members]


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())
