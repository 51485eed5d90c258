import unittest

from valeweir_gateway.transport.headers import HeaderNames
from valeweir_gateway.transport.responses import Head
from valeweir_gateway.upstreams.upstream_signals import (
    Signals,
    parse_retry_after,
    read_signals,
)

NAMES = HeaderNames()


def read(status=200, **headers):
    rows = {name.replace("_", "-"): value for name, value in headers.items()}
    return read_signals(NAMES, Head(status, rows))


class TestRetryAfter(unittest.TestCase):
    def test_seconds(self):
        cases = [("3", 3.0), ("0", 0.0), ("2.5", 2.5), ("0.25", 0.25), ("1.", 1.0)]
        for text, seconds in cases:
            with self.subTest(text=text):
                self.assertEqual(parse_retry_after(text), seconds)

    def test_what_cannot_be_followed(self):
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "soon", "-3", "+3", ".5", "nan", "inf", "1e9", "3 s", "1.2.3"):
            with self.subTest(text=text):
                self.assertIsNone(parse_retry_after(text))
        self.assertIsNone(parse_retry_after(date))
        self.assertIsNone(parse_retry_after("٣"))


class TestSignals(unittest.TestCase):
    def test_an_answer_that_says_nothing(self):
        self.assertEqual(read(), Signals())

    def test_leaving_in_answers_of_every_kind(self):
        for status in (200, 404, 429, 500, 503):
            with self.subTest(status=status):
                self.assertTrue(read(status, x_valeweir_leaving="1").is_leaving)

    def test_other_values_do_not_say_it(self):
        for value in ("", "0", "false", "2"):
            with self.subTest(value=value):
                self.assertFalse(read(x_valeweir_leaving=value).is_leaving)

    def test_misdirected_answers_are_of_another_upstream(self):
        head = read(421, x_valeweir_leaving="1", retry_after="3")
        self.assertEqual(head, Signals())

    def test_pause_asked_for_where_load_is_shed(self):
        for status, seconds in ((503, 3.0), (429, 3.0), (200, None), (500, None)):
            with self.subTest(status=status):
                self.assertEqual(read(status, retry_after="3").backoff, seconds)

    def test_no_pause_at_all(self):
        self.assertEqual(read(503, retry_after="0"), Signals())

    def test_value_that_cannot_be_followed(self):
        signals = read(503, retry_after="x" * 500)
        self.assertIsNone(signals.backoff)
        self.assertLess(len(signals.fault), 50)
