"""A leaving upstream seen by one gateway is reported to all, also through relays."""

import random
import unittest

from valeweir_gateway.fleet.reports import MAX_BYTES
from valeweir_gateway.upstreams.upstream_signals import mark_upstream_leaving
from valeweir_gateway.view.directory import Instance
from valeweir_standins.wires import Wire

GATEWAY_COUNT = 120
UPSTREAM_COUNT = 60
# A leaving upstream may receive requests for this long at most.
MAX_PROPAGATION_S = 2.0


def make_instance(number, ready=True):
    return Instance(f"i{number}", "llm", f"10.9.9.{number}:1", "d0", 12, ready)


class LeavingCase(unittest.TestCase):
    def setUp(self):
        self.wire = Wire(3, GATEWAY_COUNT)
        self.wire.add_all_members()
        self.states = list(self.wire.states.values())
        for state in self.states:
            for number in range(UPSTREAM_COUNT):
                state.directory.put(make_instance(number))
        self.wire.run(2.0)

    def mark_leaving(self, *numbers):
        for number in numbers:
            mark_upstream_leaving(self.states[7], f"i{number}", "answer")

    def count_informed(self, number=1):
        return sum(not row.directory.is_ready(f"i{number}") for row in self.states)


# Guards against each gateway having to send a request of its own to a leaving upstream
# before it stops using it.
class TestLeavingReports(LeavingCase):
    def test_reaches_all_gateways_in_time(self):
        self.mark_leaving(1)
        self.wire.run(MAX_PROPAGATION_S)
        self.assertEqual(self.count_informed(), GATEWAY_COUNT)
        self.assertEqual(self.count_informed(2), 0)

    def test_reaches_all_gateways_despite_datagram_loss(self):
        rng = random.Random(1)
        self.wire.is_cut = lambda sender, target: rng.random() < 0.1
        self.mark_leaving(1)
        self.wire.run(MAX_PROPAGATION_S)
        self.assertEqual(self.count_informed(), GATEWAY_COUNT)

    def test_upstream_discovered_after_report(self):
        late = self.states[50]
        late.directory.remove("i1")
        self.mark_leaving(1)
        self.wire.run(MAX_PROPAGATION_S)
        late.directory.put(make_instance(1))
        self.wire.run(MAX_PROPAGATION_S)
        self.assertFalse(late.directory.is_ready("i1"))

    def test_reports_end_once_records_show_leaving(self):
        self.mark_leaving(1)
        self.wire.run(MAX_PROPAGATION_S)
        for state in self.states:
            state.directory.put(make_instance(1, ready=False))
        self.assertEqual(
            [row.directory.get_unrecorded_leaving() for row in self.states[:1]], [{}]
        )

    def test_whole_service_leaving_fits_datagrams(self):
        sizes = []
        send = self.wire._send

        def measure(sender, target, data):
            sizes.append(len(data))
            send(sender, target, data)

        self.wire._send = measure
        self.mark_leaving(*range(UPSTREAM_COUNT))
        self.wire.run(MAX_PROPAGATION_S)
        self.assertLessEqual(max(sizes), MAX_BYTES)
