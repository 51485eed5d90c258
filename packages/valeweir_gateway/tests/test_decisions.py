import unittest

from valeweir_gateway.operations.decision_log import DecisionLog


class TestDecisionLog(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.lines = []
        self.writes = []
        self.log = DecisionLog(
            self.write, {"host": "a"}, lambda: self.now, lambda: 1_000.5
        )

    def write(self, data):
        self.writes.append(data)
        self.lines += data.splitlines(keepends=True)

    def flush(self):
        self.log.start()
        self.log.stop()

    def test_fields_of_a_line(self):
        self.log.note("started", id="r1")
        self.flush()
        self.assertEqual(
            self.lines,
            [b'{"t":0.0,"time":1000.5,"event":"started","host":"a","id":"r1"}\n'],
        )

    def test_lines_above_the_rate_are_dropped_and_counted(self):
        for _ in range(5_000):
            self.log.note("served")
        self.flush()
        self.assertLess(len(self.lines), 500)
        self.assertEqual(len(self.lines) + self.log.left_out, 5_000)
        self.assertIn(b'"left_out":', self.lines[0])

    def test_queued_lines_are_written_together(self):
        for _ in range(100):
            self.log.note("served")
        self.flush()
        self.assertEqual(len(self.lines), 100)
        self.assertLess(len(self.writes), 5)

    def test_routine_lines_do_not_use_the_rate_of_failures(self):
        for _ in range(5_000):
            self.log.note("served")
        self.log.note("failed", failed=True)
        self.flush()
        self.assertIn(b'"failed"', self.lines[-1])

    def test_requests_do_not_use_the_rate_of_state_changes(self):
        for _ in range(5_000):
            self.log.note("request served", routine=True)
        self.log.note("configuration in force")
        self.flush()
        self.assertIn(b'"configuration in force"', self.lines[-1])

    def test_failures_do_not_use_the_rate_of_denials(self):
        for _ in range(5_000):
            self.log.note("request refused", failed=True)
        self.log.note("request refused", failed=True, denied=True, status=404)
        self.flush()
        self.assertIn(b'"status":404', self.lines[-1])

    def test_denials_have_a_rate(self):
        for _ in range(5_000):
            self.log.note("request refused", failed=True, denied=True)
        self.flush()
        self.assertLess(len(self.lines), 100)
