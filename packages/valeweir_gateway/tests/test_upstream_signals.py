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

    def test_unsupported_values(self):
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "soon", "-3", "+3", ".5", "nan", "inf", "1e9", "3 s", "1.2.3"):
            with self.subTest(text=text):
                self.assertIsNone(parse_retry_after(text))
        self.assertIsNone(parse_retry_after(date))
        self.assertIsNone(parse_retry_after("٣"))


class TestSignals(unittest.TestCase):
    def test_response_without_signals(self):
        self.assertEqual(read(), Signals())

    def test_leaving_in_responses_of_any_status(self):
        for status in (200, 404, 429, 500, 503):
            with self.subTest(status=status):
                self.assertTrue(read(status, x_valeweir_leaving="1").is_leaving)

    def test_other_values_are_not_leaving(self):
        for value in ("", "0", "false", "2"):
            with self.subTest(value=value):
                self.assertFalse(read(x_valeweir_leaving=value).is_leaving)

    def test_misdirected_responses_are_ignored(self):
        head = read(421, x_valeweir_leaving="1", retry_after="3")
        self.assertEqual(head, Signals())

    def test_backoff_requires_overload_status(self):
        for status, seconds in ((503, 3.0), (429, 3.0), (200, None), (500, None)):
            with self.subTest(status=status):
                self.assertEqual(read(status, retry_after="3").backoff, seconds)

    def test_zero_backoff(self):
        self.assertEqual(read(503, retry_after="0"), Signals())

    def test_unsupported_value_is_truncated(self):
        signals = read(503, retry_after="x" * 500)
        self.assertIsNone(signals.backoff)
        self.assertLess(len(signals.fault), 50)
