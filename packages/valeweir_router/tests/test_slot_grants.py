import unittest

from fleets import make_state
from valeweir_fleet.peers import Peer
from valeweir_router import slot_grants
from valeweir_sharing.usage import Report, ServiceKey


class TestGrantSlots(unittest.TestCase):
    def test_starved_router_gets_a_slot_first(self):
        """Guards against grants that do not apply the rule for starved holders."""
        state, clock = make_state(slots=1)
        peer = Peer("other#1", "other")
        peer.live, peer.domain, peer.address = True, "haldia", "127.0.0.1:1"
        state.peers.by_source[peer.source] = state.peers.by_host["other"] = peer
        behind, ahead = ServiceKey("llm", "a"), ServiceKey("llm", "b")
        state.ledger.settle(ahead, 0, 5000)
        rows = [(ahead, Report(0.0, 0.0, 0.0, 1))]
        state.ledger.merge(peer.source, 1, rows, [])
        state.ledger.add_waiting(behind, 1)
        state.last_slot_at["other#1", "llm"] = clock.value - 10.0
        slot_grants.grant_slots(state, "llm")
        self.assertEqual(state.tables["u"].entries["other#1"].slots, 1)
