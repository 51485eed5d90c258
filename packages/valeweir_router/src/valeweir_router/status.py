"""Status of resources and of the fleet, for the operators' API."""

from valeweir_sharing.usage import ServiceKey


def get_resource_status(state, res):
    """Return the status of a resource and the routers where it is not in force yet."""
    members = get_offsets(state)
    lagging = sorted(h for h, offset in members.items() if offset <= res.version)
    status = {
        "accepted": True,
        "in_force": not lagging,
        "in_force_count": len(members) - len(lagging),
        "lagging": lagging,
    }
    if res.kind == "upstreams":
        status["ejected_here"] = state.health.is_ejected(res.name, state.clock())
        status["owner"] = state.owners.get(res.name, "")
    return status


def get_offsets(state):
    """Return {host: configuration offset} of this router and the live ones."""
    offsets = {p.host: p.config_offset for p in state.peers.get_live()}
    offsets[state.host] = state.configuration.offset
    return offsets


def get_fleet_status(state):
    """Return the fleet's routers, upstreams and accounts as this router sees them."""
    with state.lock:
        return {
            "host": state.host,
            "domain": state.domain,
            "routers": _get_routers(state),
            "upstreams": _get_upstreams(state),
            "accounts": _get_accounts(state),
            "config_offset": state.configuration.offset,
            "service_known": state.ledger.complete,
        }


def _get_routers(state):
    rows = [
        {
            "host": peer.host,
            "domain": peer.domain,
            "live": peer.live,
            "leaving": state.peers.is_leaving(peer),
            "config_offset": peer.config_offset,
        }
        for peer in state.peers.by_host.values()
    ]
    own = {
        "host": state.host,
        "domain": state.domain,
        "live": True,
        "leaving": state.leaving,
        "config_offset": state.configuration.offset,
    }
    return sorted([own, *rows], key=lambda r: (r["domain"], r["host"]))


def _get_upstreams(state):
    rows = []
    for up in state.upstreams.values():
        held = state.holder.held.get(up.name)
        table = state.tables.get(up.name)
        rows.append(
            {
                "name": up.name,
                "pool": up.pool,
                "domain": up.domain,
                "slots": up.slots,
                "leaving": up.leaving,
                "owner": state.owners.get(up.name, ""),
                "held_here": held.slots if held else 0,
                "used_here": held.used if held else 0,
                "leased_out": table.outstanding if table else None,
                "settled": bool(table and state.clock() >= table.recovery_ends_at),
            }
        )
    return rows


def _get_accounts(state):
    rows = []
    for pool in sorted(state.pools):
        waiting = state.ledger.get_waiting(pool)
        for account in sorted(state.configuration.resources["client-accounts"]):
            key = ServiceKey(pool, account)
            rows.append(
                {
                    "pool": pool,
                    "account": account,
                    "weight": state.get_weight(pool, account),
                    "virtual_service": round(state.ledger.get_virtual_service(key)),
                    "waiting": waiting.get(account, 0),
                }
            )
    return rows
