"""Which router leases out the slots of an upstream.

Rendezvous hashing (Thaler and Ravishankar, IEEE/ACM ToN 1998): every router
ranks the candidates alike, without agreement, and the loss of one moves only
what it owned.
"""

import xxhash

GROUP_SIZE = 8


def get_group(upstream, pool, domain, pool_size):
    """Return the ownership group of an upstream.

    Upstreams of one pool in one failure domain are owned together, up to
    about `GROUP_SIZE`, so that one owner sees enough slots to decide well.
    The number of groups is a power of two, so that it seldom changes.
    """
    group_count = 1
    while group_count * GROUP_SIZE < pool_size:
        group_count *= 2
    group_index = _hash(upstream) % group_count
    return f"{pool}/{domain}/{group_index}"


def choose_owner(group, candidates):
    """Return the candidate that owns ``group``, or None where there are none.

    Parameters
    ----------
    candidates : iterable of str
        Names of hosts that are heard from and not leaving.
    """
    hosts = sorted(candidates)
    if not hosts:
        return None
    return max(hosts, key=lambda host: _hash(f"{group}|{host}"))


def get_candidates(domain, members):
    """Return the hosts that may own upstreams of ``domain``.

    Routers of the domain itself; where none is left, all that are known.

    Parameters
    ----------
    members : iterable of (host, domain)
    """
    members = list(members)
    local = [host for host, host_domain in members if host_domain == domain]
    return local or [host for host, _ in members]


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())
