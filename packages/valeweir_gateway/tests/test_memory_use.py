import unittest
from types import SimpleNamespace

from test_slow_readers import make_settings
from valeweir_gateway.operations.memory_use import MemoryMonitor, read_resident_bytes
from valeweir_gateway.states import GatewayState


class TestMemoryMonitor(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.resident_mb = 100.0
        log = SimpleNamespace(
            note=lambda event, **fields: self.lines.append((event, fields))
        )
        self.state = GatewayState(make_settings(300.0), log)
        self.monitor = MemoryMonitor(
            self.state, lambda: 7, lambda: int(self.resident_mb * 1e6)
        )

    def check(self, resident_mb):
        self.resident_mb = resident_mb
        self.monitor.check()
        return [event for event, _ in self.lines]

    def test_changes_are_logged_once(self):
        self.assertEqual(self.check(224.0), [])
        self.assertEqual(self.check(226.0), ["memory use high"])
        self.assertEqual(self.check(200.0), ["memory use high"])
        events = self.check(179.0)
        self.assertEqual(events, ["memory use high", "memory use normal"])

    def test_line_tells_what_is_accounted_for(self):
        holding = self.state.request_memory.open()
        holding.resize(4_000_000)
        self.check(290.0)
        _, fields = self.lines[0]
        self.assertEqual(fields["resident_mb"], 290.0)
        self.assertEqual(fields["request_body_mb"], 4.0)
        self.assertEqual(fields["connections"], 7)

    def test_resident_memory_is_read(self):
        self.assertGreater(read_resident_bytes(), 1_000_000)


if __name__ == "__main__":
    unittest.main()
