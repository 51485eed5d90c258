"""HTTP requests of clients and a strict parser for them."""

import re
from typing import NamedTuple

import httptools

# Headers that may occur once only: if one is repeated, two HTTP implementations could
# use different values, which allows request smuggling.
_SINGLETON_HEADERS = frozenset(
    ("host", "authorization", "content-length", "transfer-encoding")
)
_CHUNKED = "chunked"
_ABSOLUTE_FORM = re.compile(r"https?://(?:[^/?#@]*@)?([^/?#]*)(.*)", re.IGNORECASE)


class Headers:
    """Header fields in their order and spelling; look-ups ignore the case of names."""

    __slots__ = ("_by_name", "rows")

    def __init__(self, rows=()):
        self.rows = list(rows)
        self._by_name = {}
        for name, value in self.rows:
            self._by_name.setdefault(name.lower(), value)

    def __iter__(self):
        return (name for name, _ in self.rows)

    def add(self, name, value):
        """Add a field; return False if the header may occur once and is repeated."""
        key = name.lower()
        if key in self._by_name and key in _SINGLETON_HEADERS:
            return False
        self.rows.append((name, value))
        self._by_name.setdefault(key, value)
        return True

    def get(self, name, default=None):
        """Return the first value of a header, ignoring the case of its name."""
        return self._by_name.get(name.lower(), default)


class Request(NamedTuple):
    """One HTTP request with its complete body; ``target`` is not decoded."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    http_version: str = "1.1"

    @property
    def path(self):
        """Return the target without its query string, not decoded."""
        return self.target.partition("?")[0]


def _convert_to_origin_form(target, headers):
    """Return a request target and its headers with the authority in ``Host``.

    A target in absolute form takes precedence over the ``Host`` header (RFC 9112, 3.2).
    """
    match = _ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        return target, headers
    authority, rest = match.groups()
    rows = [row for row in headers.rows if row[0].lower() != "host"]
    if not rest.startswith("/"):
        rest = f"/{rest}"
    return rest, Headers([("Host", authority), *rows])


class BadRequest(Exception):
    """A request cannot be parsed or exceeds a limit.

    Parameters
    ----------
    status : int
        Status of the response.
    target : str
        Request target as far as it was parsed.
    headers : Headers or None
        Header fields as far as they were parsed.
    retry_after : float or None
        Seconds after which the client may retry, None to omit the header.
    """

    def __init__(self, status, text, target="", headers=None, retry_after=None):
        super().__init__(text)
        self.retry_after = retry_after
        self.status = status
        self.text = text
        self.target = target
        self.headers = headers or Headers()


class RequestParser:
    """Parses the bytes of one connection into requests.

    Parameters
    ----------
    get_limits : callable
        Returns the `limits.ClientLimits` in force.
    on_request : callable
        Called with each complete `Request`.
    on_continue : callable
        Called when a request has the header ``Expect: 100-continue``.
    """

    def __init__(self, get_limits, on_request, on_continue):
        self._get_limits = get_limits
        self._on_request = on_request
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        self._fault = None
        self._started_count = 0
        self._reset()

    @property
    def is_reading(self):
        """Return whether an incomplete request has been received."""
        return self._is_started

    @property
    def is_in_body(self):
        """Return whether the head of the request is complete and its body is not."""
        return self._is_started and self._has_head

    @property
    def expected_body_size(self):
        """Return the size of an incomplete body, as far as it is known, in bytes."""
        if not self.is_in_body:
            return 0
        return max(self._body_size, int(self._headers.get("Content-Length", "0")))

    def feed(self, data):
        """Parse received bytes; no more may be fed after a `BadRequest`."""
        before = self._started_count
        rest = data
        while rest:
            rest = self._parse(rest)
        if self._started_count == before:
            self._check_partial_head_size(len(data))

    def close(self):
        """Release what was received of an incomplete request; nothing more may be fed.

        The parser of httptools refers to this one, so that without this the bytes would
        stay in memory until the next garbage collection.
        """
        self._reset()
        self._fault = None
        self._parser = None
        self._on_request = self._on_continue = None

    def _parse(self, data):
        """Pass bytes to httptools; return those that it did not consume."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            head = self._encode_head() if self._is_upgrade else b""
            self._parser = httptools.HttpRequestParser(self)
            return head + data[exc.args[0] :]
        except httptools.HttpParserError as exc:
            raise self._fault or self._make_fault(400, str(exc)) from exc
        return b""

    def _check_partial_head_size(self, count):
        """Limit the size of a head while httptools buffers an incomplete field.

        Only bytes received after the head had begun and before it ended are counted,
        since other bytes of the same read may belong to another request or a body.
        """
        if self._is_started and not self._has_head:
            self._partial_head_size += count
            if self._partial_head_size > self._get_limits().header_bytes:
                raise self._make_fault(431, "the request head is too large")

    def on_message_begin(self):  # noqa: D102  (httptools calls these names)
        self._reset()
        self._is_started = True
        self._started_count += 1

    def on_url(self, part):  # noqa: D102
        self._target += part
        self._add_head_size(len(part))

    def on_header(self, name, value):  # noqa: D102
        self._add_head_size(len(name) + len(value) + 4)
        name = name.decode("latin-1")
        value = (value or b"").strip(b" \t").decode("latin-1")
        if not self._headers.add(name, value):
            self._fail(400, f"the header {name} is repeated")

    def on_headers_complete(self):  # noqa: D102
        self._has_head = True
        encoding = self._headers.get("Transfer-Encoding", _CHUNKED)
        if encoding.lower() != _CHUNKED:
            self._fail(501, "the Transfer-Encoding is not supported")
        length = self._headers.get("Content-Length", "0")
        if not length.isdigit() or int(length) > self._get_limits().body_bytes:
            self._fail(413, "the request body is too large")
        self._is_upgrade = self._parser.should_upgrade() and self._method != "CONNECT"
        expects = self._headers.get("Expect", "").lower()
        if expects == "100-continue" and not self._is_upgrade:
            self._on_continue()

    def on_body(self, part):  # noqa: D102
        self._body_size += len(part)
        if self._body_size > self._get_limits().body_bytes:
            self._fail(413, "the request body is too large")
        self._body_parts.append(part)

    def on_message_complete(self):  # noqa: D102
        if self._is_upgrade:
            # The request is parsed again, see `_encode_head`.
            return
        target, headers = _convert_to_origin_form(
            self._target.decode("latin-1"), self._headers
        )
        request = Request(
            self._method,
            target,
            headers,
            b"".join(self._body_parts),
            self._parser.should_keep_alive(),
            self._parser.get_http_version(),
        )
        self._reset()
        self._on_request(request)

    @property
    def _method(self):
        return self._parser.get_method().decode("latin-1")

    def _encode_head(self):
        """Return the head of a request to upgrade the protocol, without the upgrade.

        Upgrades are ignored, but httptools expects another protocol after the head of
        such a request. It is parsed again, so that its body is read as usual.
        """
        version = self._parser.get_http_version()
        lines = [f"{self._method} {self._target.decode('latin-1')} HTTP/{version}"]
        for name, value in self._headers.rows:
            if name.lower() == "connection":
                options = [option.strip() for option in value.split(",")]
                value = ", ".join(o for o in options if o.lower() != "upgrade")
            if name.lower() != "upgrade":
                lines.append(f"{name}: {value}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def _reset(self):
        self._is_started = False
        self._is_upgrade = False
        self._has_head = False
        self._target = b""
        self._headers = Headers()
        self._head_size = 0
        self._partial_head_size = 0
        self._body_parts = []
        self._body_size = 0

    def _add_head_size(self, size):
        self._head_size += size
        if self._head_size > self._get_limits().header_bytes:
            self._fail(431, "the request head is too large")

    def _fail(self, status, text):
        self._fault = self._make_fault(status, text)
        raise self._fault

    def _make_fault(self, status, text):
        return BadRequest(status, text, self._target.decode("latin-1"), self._headers)
