"""Names of the headers that the gateway reads and writes."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names; the defaults are the product's own.

    ``fetch_from`` names an engine to take cached prompt parts from first,
    ``expected_version`` the version of an engine's weights. ``hold`` is a lease
    on a place and memory at an engine, ``pin`` keeps a prompt in its memory,
    ``backup_to`` has a copy of that memory kept elsewhere, and ``resume_from``
    goes on from such a copy. ``leaving`` is "1" in answers of an upstream that will
    take no new work.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Valeweir-Deadline-Ms"
    model: str = "X-Valeweir-Model"
    token_counts: str = "X-Valeweir-Tokens"
    prompt_parts: str = "X-Valeweir-Prompt-Parts"
    last_event_id: str = "Last-Event-ID"
    account: str = "X-Valeweir-Account"
    expected_instance: str = "X-Valeweir-Instance"
    fetch_from: str = "X-Valeweir-Fetch-From"
    expected_version: str = "X-Valeweir-Weights-Version"
    hold: str = "X-Valeweir-Hold"
    pin: str = "X-Valeweir-Pin-Ms"
    backup_to: str = "X-Valeweir-Backup-To"
    resume_from: str = "X-Valeweir-Resume-From"
    not_run: str = "X-Valeweir-Rejected"
    signature: str = "X-Valeweir-Signature"
    leaving: str = "X-Valeweir-Leaving"


HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def get_own_headers(names):
    """Return, in lower case, the request headers that only the fleet may set.

    Taken from a client they would name instances, leases and copies that do
    not exist, or another client account.
    """
    own = (
        names.account,
        names.expected_instance,
        names.expected_version,
        names.fetch_from,
        names.hold,
        names.pin,
        names.backup_to,
        names.resume_from,
    )
    return frozenset(name.lower() for name in own)


def get_replaced_headers(names):
    """Return, in lower case, the request headers that are written anew."""
    replaced = (names.deadline, "Authorization", "Content-Length", "Expect")
    return get_own_headers(names) | {name.lower() for name in replaced}
