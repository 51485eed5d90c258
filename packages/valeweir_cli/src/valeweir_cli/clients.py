"""HTTP client of the resource API for the command line."""

import json
from typing import NamedTuple

import click
import urllib3

_TIMEOUT_S = 20.0


class Response(NamedTuple):
    """Status and decoded body of an HTTP response."""

    status: int
    body: dict


class Client:
    """Sends requests to the admin port of one router."""

    def __init__(self, server, key):
        self._server = server.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = urllib3.PoolManager(retries=False)

    def call(self, method, path, spec=None, headers=None):
        """Send a request and return the body of the response.

        Raises ClickException, which ends the command with a message, if it fails.
        """
        body = None if spec is None else json.dumps({"spec": spec})
        response = self.try_call(method, path, body, headers)
        if response.status >= 400:
            detail = response.body.get("detail", "")
            title = response.body.get("title", "error")
            raise click.ClickException(f"{title} ({response.status}): {detail}")
        return response.body

    def try_call(self, method, path, body=None, headers=None):
        """Send a request and return its `Response`, also for error statuses."""
        try:
            http_resp = self._pool.request(
                method,
                f"{self._server}{path}",
                body=body,
                headers={**self._headers, **(headers or {})},
                timeout=_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise click.ClickException(f"{self._server}: {exc}") from exc
        try:
            return Response(http_resp.status, json.loads(http_resp.data or b"{}"))
        except ValueError as exc:
            raise click.ClickException("the response is not JSON") from exc

    def watch(self, path):
        """Yield the events of a watch as they arrive."""
        http_resp = self._pool.request(
            "GET",
            f"{self._server}{path}",
            headers=self._headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=5.0, read=30.0),
        )
        if http_resp.status != 200:
            raise click.ClickException(json.loads(http_resp.data).get("detail", ""))
        incomplete_line = b""
        for chunk in http_resp.stream(4096):
            *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
            yield from (json.loads(line) for line in lines if line)
