import unittest

from hypothesis import given
from hypothesis import strategies as st
from valeweir_gateway.transport.events import EventSplitter, is_later

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"


class TestEventSplitter(unittest.TestCase):
    def test_ids(self):
        blocks = EventSplitter().feed(STREAM)
        self.assertEqual([block.id for block in blocks], ["1", "2", ""])

    def test_rest_is_held_back(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\nda"), [])
        self.assertTrue(splitter.has_rest)
        self.assertEqual(splitter.take_rest(), b"id: 1\nda")
        self.assertFalse(splitter.has_rest)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_cuts_change_nothing(self, cuts):
        splitter = EventSplitter()
        bounds = [0, *sorted(cuts), len(STREAM)]
        parts = [STREAM[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        blocks = [block for part in parts for block in splitter.feed(part)]
        self.assertEqual(b"".join(b.data for b in blocks), STREAM)
        self.assertFalse(splitter.has_rest)


class TestIsLater(unittest.TestCase):
    def test_table(self):
        cases = [
            ("2", "1", True),
            ("10", "9", True),
            ("2", "2", False),
            ("1", "2", False),
            ("", "2", True),
            ("2", None, True),
            ("b", "b", False),
        ]
        for event_id, last, later in cases:
            with self.subTest(event_id=event_id, last=last):
                self.assertEqual(is_later(event_id, last), later)
