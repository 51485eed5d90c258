import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir_gateway.transport.responses import Data, End, Head, ResponseParser

CHUNKED = (
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;a=b\r\nabc\r\n4\r\ndefg\r\n0\r\nTrailer: x\r\n\r\n"
)
SIZED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 7\r\n\r\nabcdefg"
UNSIZED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nabcdefg"


class ParsedResponse:
    """Feeds chunks to a parser and collects its events."""

    def __init__(self, chunks, method="POST"):
        self.parser = ResponseParser()
        self.parser.expect(method)
        for chunk in chunks:
            self.parser.feed(chunk)
        self.events = []
        while (event := self.parser.take()) is not None:
            self.events.append(event)

    @property
    def is_complete(self):
        return End() in self.events

    @property
    def body(self):
        return b"".join(e.data for e in self.events if isinstance(e, Data))


def split_at(data, cuts):
    edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    chunks = zip(edges, edges[1:], strict=False)
    return [data[start:end] for start, end in chunks if start < end]


class TestAnyBytes(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from((CHUNKED, SIZED)), st.lists(st.integers(0, 200)))
    def test_result_does_not_depend_on_chunk_boundaries(self, data, cuts):
        parsed = ParsedResponse(split_at(data, cuts))
        self.assertEqual(parsed.body, b"abcdefg")
        self.assertEqual(parsed.events[0].headers["x-id"], "r1")
        self.assertNotIn("link", parsed.events[0].headers)
        self.assertTrue(parsed.is_complete)
        self.assertTrue(parsed.parser.is_reusable)

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from((CHUNKED, SIZED)), st.integers(0, 200))
    def test_truncated_response_is_not_complete(self, data, length):
        length = min(length, len(data) - 1)
        parsed = ParsedResponse([data[:length], b""] if length else [b""])
        self.assertFalse(parsed.is_complete)
        self.assertTrue(parsed.parser.fault)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(min_size=1, max_size=200))
    def test_extra_bytes_prevent_reuse_but_keep_the_response(self, extra):
        parsed = ParsedResponse([SIZED + extra])
        self.assertEqual(parsed.body, b"abcdefg")
        self.assertTrue(parsed.is_complete)
        if extra.strip(b"\r\n"):
            self.assertFalse(parsed.parser.is_reusable)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bytes(self, noise):
        parsed = ParsedResponse([noise, b""])
        self.assertFalse(parsed.is_complete and not isinstance(parsed.events[0], Head))


class TestMessageEnd(unittest.TestCase):
    def test_completeness_and_reuse(self):
        close = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"
        http_1_0 = b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na"
        cases = {
            # chunks, method, complete, reusable
            "no length, connection closed": ([UNSIZED, b""], "POST", True, False),
            "no length, connection open": ([UNSIZED], "POST", False, False),
            "Connection: close": ([close], "POST", True, False),
            "HTTP/1.0": ([http_1_0], "POST", True, False),
            "204 without content": ([b"HTTP/1.1 204 No\r\n\r\n"], "POST", True, True),
            "response to HEAD": ([SIZED[:-7]], "HEAD", True, False),
            "informational response only": (
                [b"HTTP/1.1 103 E\r\n\r\n", b""],
                "POST",
                False,
                False,
            ),
            "101 Switching Protocols": (
                [b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"],
                "POST",
                False,
                False,
            ),
            "unsupported Transfer-Encoding": (
                [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab", b""],
                "POST",
                False,
                False,
            ),
            "conflicting Content-Length": (
                [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"],
                "POST",
                False,
                False,
            ),
            "unterminated head above the limit": (
                [b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000],
                "POST",
                0,
                0,
            ),
        }
        for name, (chunks, method, complete, reusable) in cases.items():
            with self.subTest(name):
                parsed = ParsedResponse(chunks, method)
                self.assertEqual(parsed.is_complete, bool(complete))
                self.assertEqual(parsed.parser.is_reusable, bool(reusable))


if __name__ == "__main__":
    unittest.main()
