import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir_fleet.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Ask,
    Digest,
    Identity,
    PoolReport,
    decode_message,
    encode_message,
)
from valeweir_fleet.peers import Member, Peers
from valeweir_sharing.leases import Claim, Grant


def make_digest(source="a#1", seq=1, **fields):
    values = {
        "sent_at": 1.0,
        "echo": 0.0,
        "leaving": False,
        "config_offset": 3,
        "identity": Identity("d", "127.0.0.1:1"),
        "whole": True,
        "pools": [PoolReport("llm", 5, {9: (1, 2, 3, 4)})],
        "claims": [Claim("u", 1, 1, 0, 2, 1)],
        "grants": [Grant("u", 1, 1, 2)],
    }
    return Digest(source=source, seq=seq, **{**values, **fields})


class TestMessages(unittest.TestCase):
    def test_round_trip(self):
        digest = make_digest()
        self.assertEqual(decode_message(encode_message(digest)), (digest, None))

    def test_invalid_messages(self):
        old = make_digest(version=PROTOCOL_VERSION + 1)
        good = encode_message(make_digest())
        cases = [
            (b"", "malformed"),
            (b"\x00" * (MAX_MESSAGE_BYTES + 1), "oversized"),
            (good[:-1], "malformed"),
            (msgspec.msgpack.encode(["X", 1, "a#1", 1]), "malformed"),
            (msgspec.msgpack.encode({"a": 1}), "malformed"),
            (encode_message(old), "version"),
            (b"\x91" * 5000, "malformed"),
        ]
        for data, why in cases:
            with self.subTest(why=why, start=data[:8]):
                self.assertEqual(decode_message(data), (None, why))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 255))
    def test_decoder_raises_for_no_input(self, noise, place, value):
        changed = bytearray(encode_message(make_digest()))
        changed[place % len(changed)] = value
        for data in (noise, bytes(changed), bytes(changed) + noise):
            message, why = decode_message(data)
            self.assertTrue((message is None) != (why is None))


class TestPeers(unittest.TestCase):
    def setUp(self):
        self.peers = Peers(liveness_timeout_s=2.0)
        self.peers.set_members([Member("a", "d", "127.0.0.1:1")])

    def receive_digest(self, now, echo, seq=1, source="a#1"):
        peer = self.peers.record_message(make_digest(source, seq), now)
        if peer is not None:
            peer.echo = echo
        return peer

    def test_peer_is_live_only_if_both_directions_work(self):
        cases = [(10.0, 9.5, True), (10.0, 5.0, False)]
        for number, (now, echo, live) in enumerate(cases):
            with self.subTest(echo=echo):
                self.receive_digest(now, echo, seq=number + 1)
                self.peers.recompute_liveness(now)
                self.assertEqual(bool(self.peers.get_live()), live)

    def test_replayed_and_reordered_messages_are_rejected(self):
        self.assertIsNotNone(self.receive_digest(1.0, 1.0, seq=5))
        self.assertIsNone(self.receive_digest(1.0, 1.0, seq=5))
        self.assertIsNone(self.receive_digest(1.0, 1.0, seq=4))

    def test_replaced_incarnation_is_rejected_afterwards(self):
        self.receive_digest(1.0, 1.0, seq=50, source="a#1")
        self.assertIsNotNone(self.receive_digest(1.1, 1.0, seq=1, source="a#2"))
        self.assertEqual([p.source for p in self.peers.replaced], ["a#1"])
        self.assertIsNone(self.receive_digest(1.2, 1.0, seq=51, source="a#1"))

    def test_lower_incarnation_is_accepted_once_the_old_one_is_silent(self):
        self.receive_digest(1.0, 1.0, source="a#9")
        self.assertIsNone(self.receive_digest(1.5, 1.0, source="a#3"))
        self.assertIsNotNone(self.receive_digest(9.0, 1.0, source="a#3"))

    def test_all_message_types_share_one_sequence(self):
        ask = Ask(source="a#1", seq=7, sent_at=1.0, pool="llm", waiting={}, claims=[])
        self.assertIsNotNone(self.peers.record_message(ask, 1.0))
        self.assertIsNone(self.receive_digest(1.0, 1.0, seq=6))
