"""Value types shared by the packages: outcomes, work classes, refusals."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """How a request ended; the outcome header sends it to the caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class WorkClass(StrEnum):
    """Classes of requests, most urgent first."""

    BOOKING = "booking"
    CHAT = "chat"
    READING = "reading"


class UpstreamKind(StrEnum):
    """The kind of an upstream: a model engine or a plain HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class Refusal(NamedTuple):
    """Why a request was not served.

    ``status`` is an HTTP status, ``code`` a stable error code for programs,
    ``advice`` describes what the caller can do, ``retry_after`` is in seconds.
    """

    status: int
    code: str
    message: str
    advice: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: int | None = None


class Placement(NamedTuple):
    """The upstream slot assigned to a request, and the reason for the choice."""

    upstream: str
    address: str
    reason: str


OUTCOME_HEADER = "X-Valeweir-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
CLASS_HEADER = "X-Valeweir-Class"
DEADLINE_HEADER = "X-Valeweir-Deadline"
IDEMPOTENCY_HEADER = "Idempotency-Key"
PRIORITY_HEADER = "X-Priority"

CLASS_PRIORITY = {WorkClass.BOOKING: 0, WorkClass.CHAT: 1, WorkClass.READING: 2}
