import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir_gateway.transport.answers import AnswerParser, Data, End, Head

CHUNKED = (
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;a=b\r\nabc\r\n4\r\ndefg\r\n0\r\nTrailer: x\r\n\r\n"
)
SIZED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 7\r\n\r\nabcdefg"
UNSIZED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nabcdefg"


class Reading:
    """What a parser made of some pieces of bytes."""

    def __init__(self, pieces, method="POST"):
        self.parser = AnswerParser()
        self.parser.expect(method)
        for piece in pieces:
            self.parser.feed(piece)
        self.events = []
        while (event := self.parser.take()) is not None:
            self.events.append(event)

    @property
    def is_whole(self):
        return End() in self.events

    @property
    def body(self):
        return b"".join(e.data for e in self.events if isinstance(e, Data))


def split(data, cuts):
    edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    pieces = zip(edges, edges[1:], strict=False)
    return [data[start:end] for start, end in pieces if start < end]


class TestBytes(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from((CHUNKED, SIZED)), st.lists(st.integers(0, 200)))
    def test_any_split_gives_the_same(self, data, cuts):
        reading = Reading(split(data, cuts))
        self.assertEqual(reading.body, b"abcdefg")
        self.assertEqual(reading.events[0].headers["x-id"], "r1")
        self.assertNotIn("link", reading.events[0].headers)
        self.assertTrue(reading.is_whole)
        self.assertTrue(reading.parser.is_clean)

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from((CHUNKED, SIZED)), st.integers(0, 200))
    def test_half_an_answer_is_never_whole(self, data, length):
        length = min(length, len(data) - 1)
        reading = Reading([data[:length], b""] if length else [b""])
        self.assertFalse(reading.is_whole)
        self.assertTrue(reading.parser.fault)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(min_size=1, max_size=200))
    def test_more_bytes_spoil_the_connection_not_the_answer(self, extra):
        reading = Reading([SIZED + extra])
        self.assertEqual(reading.body, b"abcdefg")
        self.assertTrue(reading.is_whole)
        if extra.strip(b"\r\n"):
            self.assertFalse(reading.parser.is_clean)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes(self, noise):
        reading = Reading([noise, b""])
        self.assertFalse(reading.is_whole and not isinstance(reading.events[0], Head))


class TestEnds(unittest.TestCase):
    def test_table(self):
        close = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"
        old = b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na"
        cases = {
            # pieces, method, whole, clean
            "unsized, closed": ([UNSIZED, b""], "POST", True, False),
            "unsized, open": ([UNSIZED], "POST", False, False),
            "asked to close": ([close], "POST", True, False),
            "old version": ([old], "POST", True, False),
            "no content": ([b"HTTP/1.1 204 No\r\n\r\n"], "POST", True, True),
            "head only": ([SIZED[:-7]], "HEAD", True, False),
            "only a hint": ([b"HTTP/1.1 103 E\r\n\r\n", b""], "POST", False, False),
            "changed protocol": (
                [b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"],
                "POST",
                False,
                False,
            ),
            "other encoding": (
                [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab", b""],
                "POST",
                False,
                False,
            ),
            "two lengths": (
                [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"],
                "POST",
                False,
                False,
            ),
            "endless head": ([b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000], "POST", 0, 0),
        }
        for name, (pieces, method, whole, clean) in cases.items():
            with self.subTest(name):
                reading = Reading(pieces, method)
                self.assertEqual(reading.is_whole, bool(whole))
                self.assertEqual(reading.parser.is_clean, bool(clean))


if __name__ == "__main__":
    unittest.main()
