import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from valeweir_gateway.transport import events
from valeweir_gateway.transport.events import EventSplitter, is_later

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"


class TestEventSplitter(unittest.TestCase):
    def test_ids_of_events(self):
        blocks = EventSplitter().feed(STREAM)
        self.assertEqual([block.id for block in blocks], ["1", "2", ""])

    def test_partial_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\nda"), [])
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(splitter.take_rest(), b"id: 1\nda")
        self.assertFalse(splitter.has_partial_event)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_result_does_not_depend_on_chunk_boundaries(self, cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(STREAM)]
        chunks = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        blocks = [block for chunk in chunks for block in splitter.feed(chunk)]
        self.assertEqual(b"".join(b.data for b in blocks), STREAM)
        self.assertFalse(splitter.has_partial_event)


class TestLines(unittest.TestCase):
    """Line ends, comments, byte-order marks and repeated ids of server-sent events."""

    @given(st.sampled_from((b"\n", b"\r", b"\r\n")), st.lists(st.integers(0, 60)))
    def test_every_line_end_at_any_chunk_boundary(self, line_end, cuts):
        data = line_end.join(
            (b": c", b"id: 1", b"data: a", b"", b"id:2", b"id: 3", b"")
        )
        data += line_end
        edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        splitter = EventSplitter()
        blocks = []
        for start, end in zip(edges, edges[1:], strict=False):
            blocks += splitter.feed(data[start:end])
        self.assertEqual([b.id for b in blocks if b.is_event], ["1", "3"])
        self.assertFalse(splitter.has_partial_event)
        rest = splitter.take_rest()
        self.assertEqual(b"".join(b.data for b in blocks) + rest, data)

    def test_end_inside_an_event(self):
        cases = {
            b"": False,
            b"\n": False,
            b": comment\n": False,
            b": comm": True,
            b"data: a\n": True,
            b": comment\ndata": True,
            b"d": True,
        }
        for rest, expected in cases.items():
            with self.subTest(rest):
                splitter = EventSplitter()
                splitter.feed(b"id: 1\n\n" + rest)
                self.assertEqual(splitter.has_partial_event, expected)
                self.assertEqual(splitter.partial_size, len(rest) * expected)

    def test_byte_order_mark(self):
        data = b"\xef\xbb\xbfid: 1\ndata: a\n\n"
        (block,) = EventSplitter().feed(data)
        self.assertEqual((block.id, block.data), ("1", data))
        (block,) = EventSplitter(is_continuation=True).feed(data)
        self.assertEqual((block.id, block.data), ("1", data[3:]))

    def test_comment_is_no_event(self):
        (block,) = EventSplitter().feed(b": ping\n\n")
        self.assertFalse(block.is_event)


class TestSearchedBytes(unittest.TestCase):
    """Guards against a search of the buffer from its start with each read.

    The event loop stood still while an upstream sent an event without its end.
    """

    def test_each_byte_is_searched_a_bounded_number_of_times(self):
        pattern = events._EVENT_END
        searched = []

        def finditer(data, start=0):
            searched.append(len(data) - start)
            return pattern.finditer(data, start)

        with mock.patch.object(events, "_EVENT_END", mock.Mock(finditer=finditer)):
            splitter = EventSplitter()
            splitter.feed(b"data: ")
            for _ in range(1_000):
                splitter.feed(b"x" * 100)
            blocks = splitter.feed(b"\n\n")
        self.assertEqual(len(blocks[0].data), 100_008)
        self.assertLess(sum(searched), 2 * 100_008)


class TestIsLater(unittest.TestCase):
    def test_event_ids(self):
        cases = [
            ("2", "1", True),
            ("10", "9", True),
            ("2", "2", False),
            ("1", "2", False),
            ("", "2", True),
            ("2", None, True),
            ("b", "b", False),
        ]
        for event_id, last, expected in cases:
            with self.subTest(event_id=event_id, last=last):
                self.assertEqual(is_later(event_id, last), expected)
