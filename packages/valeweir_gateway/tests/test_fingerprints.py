import unittest

from hypothesis import given
from hypothesis import strategies as st
from valeweir_gateway.quarantine.fingerprints import format_fingerprint, get_fingerprint
from valeweir_gateway.transport.requests import Headers, Request
from valeweir_gateway.view.catalog import Account


def make_request(target="/a/x", body=b"hello", headers=()):
    return Request("POST", target, Headers(headers), body, True)


def make_account(name):
    return Account(name, (), None)


class TestFingerprints(unittest.TestCase):
    def test_account_target_and_body_identify_a_request(self):
        one = get_fingerprint(make_account("one"), make_request())
        again = make_request(headers=[("X-Request-Id", "r2"), ("X-Wait", "9")])
        self.assertEqual(one, get_fingerprint(make_account("one"), again))
        others = {
            "account": get_fingerprint(make_account("two"), make_request()),
            "no account": get_fingerprint(None, make_request()),
            "path": get_fingerprint(make_account("one"), make_request("/a/y")),
            "body": get_fingerprint(make_account("one"), make_request(body=b"helo")),
        }
        for name, other in others.items():
            with self.subTest(name):
                self.assertNotEqual(one, other)

    @given(st.text(max_size=6), st.text("/ab", max_size=6), st.binary(max_size=6))
    def test_parts_are_delimited(self, name, target, body):
        account = make_account(f"{name}{target}")
        joined = get_fingerprint(account, make_request("", body))
        apart = get_fingerprint(make_account(name), make_request(target, body))
        self.assertEqual(joined == apart, target == "")

    def test_format_fingerprint(self):
        self.assertEqual(format_fingerprint(255), "00000000000000ff")
