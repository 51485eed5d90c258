"""Names of the HTTP headers that the gateway reads and writes."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names, with Valeweir's own names as defaults.

    ``fetch_from`` names the engine from which cached prompt parts are fetched first,
    and ``expected_version`` the version of an engine's weights. ``hold`` identifies a
    lease on a slot and memory of an engine, ``pin`` keeps a prompt in its memory,
    ``backup_to`` requests a copy of that memory on another engine, and
    ``resume_from`` continues from such a copy. ``leaving`` is "1" in responses of an
    upstream that accepts no new work. ``resumes`` names the request that brought the
    first event of a stream that the client takes up.
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
    resumes: str = "X-Valeweir-Resumes"


HOP_BY_HOP_HEADERS = frozenset(
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


def get_reserved_headers(names):
    """Return, in lower case, the request headers that only the fleet may set.

    If they were accepted from a client, they could name nonexistent instances, leases
    and copies, or another client account.
    """
    reserved = (
        names.account,
        names.expected_instance,
        names.expected_version,
        names.fetch_from,
        names.hold,
        names.pin,
        names.backup_to,
        names.resume_from,
    )
    return frozenset(name.lower() for name in reserved)


def get_replaced_headers(names):
    """Return, in lower case, the request headers that the gateway replaces."""
    replaced = (names.deadline, "Authorization", "Content-Length", "Expect")
    return get_reserved_headers(names) | {name.lower() for name in replaced}
