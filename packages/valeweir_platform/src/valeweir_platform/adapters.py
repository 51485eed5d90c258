"""Thin HTTP clients of the platform's services, one function per call.

A change of the wire format affects only this module.
"""

from typing import NamedTuple

import msgspec
import urllib3
from valeweir import metrics
from valeweir.exceptions import AppendOutcomeUnknown, PlatformUnavailable


class Record(NamedTuple):
    """A record of the log; ``body`` is a JSON object."""

    offset: int
    body: dict


class Batch(NamedTuple):
    """Records read from the log.

    ``first`` is the oldest offset that has not expired, and ``next`` is the
    offset of the next append.
    """

    first: int
    next: int
    records: list[Record]


class Host(NamedTuple):
    """An entry of the membership list."""

    host: str
    domain: str
    role: str
    address: str
    state: str


def create_log(url, timeout):
    """Return a `LogClient`."""
    return LogClient(url, _create_pool(timeout))


def create_membership(url, timeout):
    """Return a function that reads the membership list as `Host` rows."""
    pool = _create_pool(timeout)

    def get_hosts():
        resp = _request(pool, "membership", "GET", f"{url}/hosts")
        return msgspec.json.decode(resp.data, type=list[Host], strict=False)

    return get_hosts


class LogClient:
    """Client of the append-only log."""

    def __init__(self, url, pool):
        self._url = url
        self._pool = pool

    def append(self, body):
        """Append a record; return its offset.

        Raises
        ------
        PlatformUnavailable
            The record was not appended.
        AppendUnsettled
            It is unknown whether the record was appended; read the log to find out.
        """
        data = msgspec.json.encode(body)
        try:
            resp = self._pool.request(
                "POST", f"{self._url}/append", body=data, retries=False
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            metrics.platform_errors.labels("log").inc()
            raise PlatformUnavailable(str(exc)) from exc
        except urllib3.exceptions.HTTPError as exc:
            metrics.platform_errors.labels("log").inc()
            raise AppendOutcomeUnknown(str(exc)) from exc
        if resp.status == 503:
            raise PlatformUnavailable("the log service rejects appends")
        if resp.status != 200:
            raise AppendOutcomeUnknown(f"the log service returned status {resp.status}")
        return msgspec.json.decode(resp.data)["offset"]

    def read(self, offset):
        """Return the `Batch` of records that starts at ``offset``."""
        url = f"{self._url}/records?from={offset}"
        resp = _request(self._pool, "log", "GET", url)
        return msgspec.json.decode(resp.data, type=Batch)


def _create_pool(timeout):
    return urllib3.PoolManager(
        num_pools=2, maxsize=4, timeout=urllib3.Timeout(timeout), retries=False
    )


def _request(pool, service, method, url):
    try:
        resp = pool.request(method, url)
    except urllib3.exceptions.HTTPError as exc:
        metrics.platform_errors.labels(service).inc()
        raise PlatformUnavailable(str(exc)) from exc
    if resp.status != 200:
        metrics.platform_errors.labels(service).inc()
        raise PlatformUnavailable(f"{service} service returned status {resp.status}")
    return resp
