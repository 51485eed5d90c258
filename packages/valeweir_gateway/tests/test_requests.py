import unittest
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir_gateway.transport.requests import BadRequest, Headers, RequestParser

LIMITS = SimpleNamespace(max_header=4_000, max_body=10_000)
FIRST = (
    b"POST /a%2fb?q=1 HTTP/1.1\r\nHost: h\r\nX-Own: a, b\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
SECOND = (
    b"POST /c HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;name=value\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
)
THIRD = b"GET /d HTTP/1.0\r\n\r\n"


class ParserCase(unittest.TestCase):
    def setUp(self):
        self.requests = []
        self.leaves = 0
        self.parser = RequestParser(LIMITS, self.requests.append, self.allow)

    def allow(self):
        self.leaves += 1

    def get_seen(self):
        return [(r.method, r.target, r.body, r.keep_alive) for r in self.requests]


SEEN = [
    ("POST", "/a%2fb?q=1", b"hello", True),
    ("POST", "/c", b"abcde", True),
    ("GET", "/d", b"", False),
]


class TestWholeRequests(ParserCase):
    def test_pipelined(self):
        self.parser.feed(FIRST + SECOND + THIRD)
        self.assertEqual(self.get_seen(), SEEN)
        self.assertEqual(self.requests[0].headers.rows[1], ("X-Own", "a, b"))
        self.assertEqual(self.requests[0].path, "/a%2fb")
        self.assertFalse(self.parser.is_reading)

    def test_leave_to_send_a_body(self):
        self.parser.feed(
            b"POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        self.assertEqual(self.leaves, 1)
        self.assertTrue(self.parser.is_in_body)
        self.parser.feed(b"ab")
        self.assertEqual(len(self.requests), 1)

    def test_an_offer_of_another_protocol_is_passed_over(self):
        self.parser.feed(
            b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n" + THIRD
        )
        self.assertEqual([r.target for r in self.requests], ["/", "/d"])


class TestBytes(ParserCase):
    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, len(FIRST + SECOND + THIRD)), max_size=12))
    def test_any_split_gives_the_same(self, cuts):
        self.setUp()
        data = FIRST + SECOND + THIRD
        edges = [0, *sorted(cuts), len(data)]
        for start, end in zip(edges, edges[1:], strict=False):
            if start < end:
                self.parser.feed(data[start:end])
        self.assertEqual(self.get_seen(), SEEN)

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, len(FIRST + SECOND + THIRD) - 1))
    def test_what_is_cut_off_is_no_request(self, length):
        self.setUp()
        self.parser.feed((FIRST + SECOND + THIRD)[:length])
        whole = [len(FIRST), len(FIRST + SECOND), len(FIRST + SECOND + THIRD)]
        expected = sum(1 for end in whole if end <= length)
        self.assertEqual(len(self.requests), expected)
        self.assertEqual(self.get_seen(), SEEN[:expected])

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300), st.integers(0, len(FIRST)))
    def test_any_bytes_give_requests_or_one_refusal(self, noise, at):
        self.setUp()
        try:
            self.parser.feed(FIRST[:at] + noise + FIRST[at:])
        except BadRequest as exc:
            self.assertIn(exc.status, (400, 413, 431, 501))
        for request in self.requests:
            self.assertNotIn("\r", request.target)
            self.assertLessEqual(len(request.body), LIMITS.max_body)


class TestRefused(ParserCase):
    def test_table(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\n"
        cases = {
            "two lengths": (head + b"Content-Length: 1\r\nContent-Length: 1\r\n", 400),
            "length and chunks": (
                head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                400,
            ),
            "bad length": (head + b"Content-Length: x\r\n", 400),
            "signed length": (head + b"Content-Length: +1\r\n", 400),
            "other encoding": (head + b"Transfer-Encoding: gzip, chunked\r\n", 501),
            "two hosts": (head + b"host: other\r\n", 400),
            "two keys": (head + b"Authorization: a\r\nauthorization: b\r\n", 400),
            "space before the colon": (head + b"A : b\r\n", 400),
            "folded field": (head + b"A: b\r\n c\r\n", 400),
            "bare line end": (b"POST / HTTP/1.1\nHost: h\n", 400),
            "large body": (head + b"Content-Length: 10001\r\n", 413),
            "large head": (head + b"A: " + b"x" * 4_000 + b"\r\n", 431),
            "bad chunk": (head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            "large chunks": (
                head + b"Transfer-Encoding: chunked\r\n\r\n2711\r\n" + b"x" * 10_001,
                413,
            ),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                self.setUp()
                with self.assertRaises(BadRequest) as caught:
                    self.parser.feed(data + b"\r\n")
                self.assertEqual(caught.exception.status, status)
                self.assertEqual(self.requests, [])

    def test_a_large_body_behind_the_rest_of_a_head_is_no_large_head(self):
        body = b"x" * 9_000
        self.parser.feed(b"POST / HTTP/1.1\r\nHo")
        self.parser.feed(b"st: h\r\nContent-Length: 9000\r\n\r\n" + body)
        self.assertEqual(self.requests[0].body, body)
        head = b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"
        self.parser.feed(head + body + b"GET /n HTTP/1.1\r\nHo")
        self.parser.feed(b"st: h\r\n\r\n")
        self.assertEqual([r.target for r in self.requests], ["/", "/", "/n"])

    def test_an_endless_field(self):
        self.parser.feed(b"GET / HTTP/1.1\r\nA: ")
        with self.assertRaises(BadRequest) as caught:
            for _ in range(10):
                self.parser.feed(b"x" * 1_000)
        self.assertEqual(caught.exception.status, 431)


class TestHeaders(unittest.TestCase):
    def test_names_in_any_case(self):
        headers = Headers([("Request-Id", "1"), ("request-id", "2")])
        self.assertEqual(headers.get("REQUEST-ID"), "1")
        self.assertEqual(list(headers), ["Request-Id", "request-id"])
        self.assertIsNone(headers.get("other"))


if __name__ == "__main__":
    unittest.main()
