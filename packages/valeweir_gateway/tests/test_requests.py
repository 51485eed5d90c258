import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir_gateway.transport.limits import ClientLimits
from valeweir_gateway.transport.requests import BadRequest, Headers, RequestParser

LIMITS = ClientLimits(header_bytes=4_000, body_bytes=10_000)
SIZED_REQUEST = (
    b"POST /a%2fb?q=1 HTTP/1.1\r\nHost: h\r\nX-Own: a, b\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
CHUNKED_REQUEST = (
    b"POST /c HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;name=value\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
)
CLOSING_REQUEST = b"GET /d HTTP/1.0\r\n\r\n"


class ParserCase(unittest.TestCase):
    def setUp(self):
        self.requests = []
        self.continue_count = 0
        self.parser = RequestParser(
            lambda: LIMITS, self.requests.append, self.count_continue
        )

    def count_continue(self):
        self.continue_count += 1

    def get_summaries(self):
        return [(r.method, r.target, r.body, r.keep_alive) for r in self.requests]


SUMMARIES = [
    ("POST", "/a%2fb?q=1", b"hello", True),
    ("POST", "/c", b"abcde", True),
    ("GET", "/d", b"", False),
]


class TestWholeRequests(ParserCase):
    def test_pipelined(self):
        self.parser.feed(SIZED_REQUEST + CHUNKED_REQUEST + CLOSING_REQUEST)
        self.assertEqual(self.get_summaries(), SUMMARIES)
        self.assertEqual(self.requests[0].headers.rows[1], ("X-Own", "a, b"))
        self.assertEqual(self.requests[0].path, "/a%2fb")
        self.assertFalse(self.parser.is_reading)

    def test_expect_100_continue(self):
        self.parser.feed(
            b"POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        self.assertEqual(self.continue_count, 1)
        self.assertTrue(self.parser.is_in_body)
        self.parser.feed(b"ab")
        self.assertEqual(len(self.requests), 1)

    def test_upgrade_is_ignored(self):
        self.parser.feed(
            b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
            + CLOSING_REQUEST
        )
        self.assertEqual([r.target for r in self.requests], ["/", "/d"])

    # Guards against 404 responses to requests whose target is a URL.
    def test_target_in_absolute_form(self):
        for target, expected in (
            (b"http://other.example/a%2fb?q=1", "/a%2fb?q=1"),
            (b"HTTP://other.example:80?q=1", "/?q=1"),
            (b"http://other.example", "/"),
        ):
            with self.subTest(target=target):
                self.setUp()
                self.parser.feed(b"GET %s HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n" % target)
                headers = self.requests[0].headers
                self.assertEqual(self.requests[0].target, expected)
                self.assertTrue(headers.get("host").startswith("other.example"))
                self.assertEqual([name for name in headers], ["Host", "X"])

    # Guards against a body that is dropped, and then rejected as the next request.
    def test_body_of_a_request_to_upgrade(self):
        head = b"POST /u HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\n"
        head += b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
        sized = head + b"Content-Length: 5\r\n\r\nhello"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        data = sized + chunked + CLOSING_REQUEST
        for length in (len(data), 7, 1):
            with self.subTest(length=length):
                self.setUp()
                for start in range(0, len(data), length):
                    self.parser.feed(data[start : start + length])
                expected = ("POST", "/u", b"hello", True)
                self.assertEqual(
                    self.get_summaries(), [expected, expected, SUMMARIES[2]]
                )


class TestAnyBytes(ParserCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.integers(0, len(SIZED_REQUEST + CHUNKED_REQUEST + CLOSING_REQUEST)),
            max_size=12,
        )
    )
    def test_result_does_not_depend_on_chunk_boundaries(self, cuts):
        self.setUp()
        data = SIZED_REQUEST + CHUNKED_REQUEST + CLOSING_REQUEST
        edges = [0, *sorted(cuts), len(data)]
        for start, end in zip(edges, edges[1:], strict=False):
            if start < end:
                self.parser.feed(data[start:end])
        self.assertEqual(self.get_summaries(), SUMMARIES)

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, len(SIZED_REQUEST + CHUNKED_REQUEST + CLOSING_REQUEST) - 1))
    def test_truncated_request_is_not_returned(self, length):
        self.setUp()
        self.parser.feed((SIZED_REQUEST + CHUNKED_REQUEST + CLOSING_REQUEST)[:length])
        ends = [
            len(SIZED_REQUEST),
            len(SIZED_REQUEST + CHUNKED_REQUEST),
            len(SIZED_REQUEST + CHUNKED_REQUEST + CLOSING_REQUEST),
        ]
        expected = sum(1 for end in ends if end <= length)
        self.assertEqual(len(self.requests), expected)
        self.assertEqual(self.get_summaries(), SUMMARIES[:expected])

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300), st.integers(0, len(SIZED_REQUEST)))
    def test_random_bytes_give_requests_or_one_error(self, extra, at):
        self.setUp()
        try:
            self.parser.feed(SIZED_REQUEST[:at] + extra + SIZED_REQUEST[at:])
        except BadRequest as exc:
            self.assertIn(exc.status, (400, 413, 431, 501))
        for request in self.requests:
            self.assertNotIn("\r", request.target)
            self.assertLessEqual(len(request.body), LIMITS.body_bytes)


class TestRejectedRequests(ParserCase):
    def test_status_of_malformed_requests(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\n"
        cases = {
            "repeated Content-Length": (
                head + b"Content-Length: 1\r\nContent-Length: 1\r\n",
                400,
            ),
            "Content-Length and chunked": (
                head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                400,
            ),
            "Content-Length is no number": (head + b"Content-Length: x\r\n", 400),
            "Content-Length with a sign": (head + b"Content-Length: +1\r\n", 400),
            "unsupported Transfer-Encoding": (
                head + b"Transfer-Encoding: gzip, chunked\r\n",
                501,
            ),
            "repeated Host": (head + b"host: other\r\n", 400),
            "repeated Authorization": (
                head + b"Authorization: a\r\nauthorization: b\r\n",
                400,
            ),
            "space before the colon": (head + b"A : b\r\n", 400),
            "folded header field": (head + b"A: b\r\n c\r\n", 400),
            "line end without CR": (b"POST / HTTP/1.1\nHost: h\n", 400),
            "body above the limit": (head + b"Content-Length: 10001\r\n", 413),
            "head above the limit": (head + b"A: " + b"x" * 4_000 + b"\r\n", 431),
            "malformed chunk size": (
                head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                400,
            ),
            "chunked body above the limit": (
                head + b"Transfer-Encoding: chunked\r\n\r\n2711\r\n" + b"x" * 10_001,
                413,
            ),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                self.setUp()
                with self.assertRaises(BadRequest) as ctx:
                    self.parser.feed(data + b"\r\n")
                self.assertEqual(ctx.exception.status, status)
                self.assertEqual(self.requests, [])

    def test_body_received_with_the_end_of_a_head_is_not_counted_as_head(self):
        body = b"x" * 9_000
        self.parser.feed(b"POST / HTTP/1.1\r\nHo")
        self.parser.feed(b"st: h\r\nContent-Length: 9000\r\n\r\n" + body)
        self.assertEqual(self.requests[0].body, body)
        head = b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"
        self.parser.feed(head + body + b"GET /n HTTP/1.1\r\nHo")
        self.parser.feed(b"st: h\r\n\r\n")
        self.assertEqual([r.target for r in self.requests], ["/", "/", "/n"])

    def test_unterminated_header_field(self):
        self.parser.feed(b"GET / HTTP/1.1\r\nA: ")
        with self.assertRaises(BadRequest) as ctx:
            for _ in range(10):
                self.parser.feed(b"x" * 1_000)
        self.assertEqual(ctx.exception.status, 431)


class TestHeaders(unittest.TestCase):
    def test_names_are_case_insensitive(self):
        headers = Headers([("Request-Id", "1"), ("request-id", "2")])
        self.assertEqual(headers.get("REQUEST-ID"), "1")
        self.assertEqual(list(headers), ["Request-Id", "request-id"])
        self.assertIsNone(headers.get("other"))


if __name__ == "__main__":
    unittest.main()
