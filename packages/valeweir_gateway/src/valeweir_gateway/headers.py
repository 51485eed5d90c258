"""Names of the headers that the gateway reads and writes."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names; the defaults are the product's own."""

    request_id: str = "X-Request-Id"
    deadline: str = "X-Valeweir-Deadline-Ms"
    model: str = "X-Valeweir-Model"
    token_counts: str = "X-Valeweir-Tokens"
    prompt_parts: str = "X-Valeweir-Prompt-Parts"
    last_event_id: str = "Last-Event-ID"
    account: str = "X-Valeweir-Account"
    expected_instance: str = "X-Valeweir-Instance"
    fetch_from: str = "X-Valeweir-Fetch-From"
    not_run: str = "X-Valeweir-Rejected"
    signature: str = "X-Valeweir-Signature"


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
