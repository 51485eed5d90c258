"""Errors of the resource API, as RFC 9457 problem details."""

from typing import NamedTuple


class Problem(NamedTuple):
    """The reason for which an operator's request was rejected."""

    status: int
    code: str
    detail: str
    version: int | None = None
    change_id: str | None = None


def send_problem(response, problem):
    """Send the problem as ``application/problem+json``."""
    body = {
        "type": f"urn:valeweir:problem:{problem.code}",
        "title": problem.code.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
    }
    if problem.version is not None:
        body["version"] = problem.version
    if problem.change_id is not None:
        body["change_id"] = problem.change_id
    response.send_json(problem.status, body, kind="application/problem+json")
