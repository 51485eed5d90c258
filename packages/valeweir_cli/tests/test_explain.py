import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from valeweir_cli.loglines import parse_line, read_logs
from valeweir_cli.losses import count_by_time, find_losses, tabulate
from valeweir_cli.main import main

LINES = [
    {"event": "started", "host": "h-1"},
    {
        "event": "request refused",
        "host": "h-1",
        "domain": "x",
        "id": "r1",
        "why": "engines-busy",
        "route": "plan",
        "account": "one",
        "first_sent_ms": None,
    },
    {
        "event": "request served",
        "host": "h-2",
        "domain": "y",
        "id": "r1",
        "route": "plan",
        "latency_target_ms": 500.0,
        "first_sent_ms": 400.0,
        "first_ms": 200.0,
    },
    {
        "event": "request served",
        "host": "h-2",
        "domain": "y",
        "id": "r2",
        "route": "plan",
        "latency_target_ms": 500.0,
        "first_sent_ms": 2.0,
        "first_ms": 200.0,
        "left_out": 7,
    },
    {"event": "request failed", "host": "h-2", "domain": "y", "id": "r3"},
]


class LogFileTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "gateways.log"
        texts = [
            json.dumps({"t": 9.0, "time": 100.0 + number, **line})
            for number, line in enumerate(LINES)
        ]
        texts.insert(2, "{broken")
        texts.insert(0, "not a log line")
        self.path.write_text("\n".join(texts))

    def write(self, lines):
        """Write the log lines of (event, host, fields) rows, a second apart."""
        rows = [
            {"t": 9.0, "time": float(n), "event": event, "host": host, **more}
            for n, (event, host, more) in enumerate(lines)
        ]
        self.path.write_text("\n".join(map(json.dumps, rows)))

    def run_explain(self, *args, **kwargs):
        return CliRunner().invoke(main, ["explain", *map(str, args)], **kwargs)


class TestParseLine(unittest.TestCase):
    def test_line_formats(self):
        fields = '{"t": 5.0, "time": 7.5, "event": "started", "host": "h"}'
        cases = {
            "bare": (fields, 7.5),
            "collected": (f"  -3.25 front-1 {fields}", -3.25),
            "named": (f"front-1 {fields}", 7.5),
            "no wall clock": ('{"t": 5.0, "event": "e", "host": "h"}', 5.0),
        }
        for name, (text, timestamp) in cases.items():
            with self.subTest(name):
                self.assertEqual(parse_line(text).timestamp, timestamp)

    def test_other_lines_give_none(self):
        cases = ("", "{", "[]", "{}", '{"event": 3, "host": "h", "t": 1}')
        for text in (*cases, '{"event": "e", "host": "h", "t": "x"}', "{} {}"):
            with self.subTest(text):
                self.assertIsNone(parse_line(text))


class TestLosses(LogFileTestCase):
    def test_reasons(self):
        reading = read_logs([str(self.path)])
        losses = find_losses(reading.lines)
        found = [(loss.request_id, loss.reason, loss.second) for loss in losses]
        self.assertEqual(
            found, [("r1", "engines-busy", 1), ("r1", "late", 2), ("r3", "internal", 4)]
        )
        self.assertEqual((reading.passed_over, reading.left_out), (2, 7))

    def test_late_by_pace(self):
        # Guards against streams whose first event is on time and whose gaps are not.
        reading = read_logs([str(self.path)])
        line = next(row for row in reading.lines if row.event == "request served")
        fields = {**line.fields, "first_ms": 1.0, "gap_target_ms": 400.0}
        for gap, reasons in ((399.0, []), (401.0, ["late-pace"])):
            row = line._replace(fields={**fields, "longest_gap_ms": gap})
            self.assertEqual([loss.reason for loss in find_losses([row])], reasons)

    def test_table_by_host(self):
        losses = find_losses(read_logs([str(self.path)]).lines)
        rows = tabulate(losses, "host")
        self.assertEqual([(r.value, r.count) for r in rows], [("h-2", 2), ("h-1", 1)])
        self.assertEqual(rows[0].first_sent_p50, 400.0)
        self.assertIsNone(rows[1].first_sent_p50)

    def test_lines_timed_by_another_clock_are_dropped(self):
        lines = self.path.read_text().splitlines()
        lines_of_two_clocks = [
            f"{number}.5 h {line}" for number, line in enumerate(lines)
        ]
        lines_of_two_clocks.append(json.dumps({"time": 1.8e9, **LINES[1]}))
        self.path.write_text("\n".join(lines_of_two_clocks))
        reading = read_logs([str(self.path)])
        self.assertEqual(len(reading.lines), len(LINES))
        self.assertLess(reading.lines[-1].timestamp, 100.0)

    def test_bin_count_is_bounded_for_logs_of_years(self):
        losses = find_losses(read_logs([str(self.path)]).lines)
        far = losses[0]._replace(second=2_000_000_000)
        width, counts = count_by_time([*losses, far])
        self.assertLessEqual(max(map(len, counts.values())), 900)
        self.assertEqual(sum(map(sum, counts.values())), len(losses) + 1)
        self.assertGreater(width, 2_000_000)

    def test_no_losses(self):
        self.assertEqual(find_losses([]), [])
        self.assertEqual(tabulate([], "reason"), [])


class TestExplainCommand(LogFileTestCase):
    def test_tables(self):
        result = self.run_explain(self.path)
        self.assertEqual(result.exit_code, 0, result.output)
        for text in (
            "3 requests lost or late",
            "engines-busy",
            "2 lines skipped: not log lines",
        ):
            self.assertIn(text, result.output)

    def test_standard_input(self):
        result = self.run_explain("-", input=self.path.read_text())
        self.assertEqual(result.exit_code, 0)
        self.assertIn("3 requests lost or late", result.output)

    def test_lines_of_a_request(self):
        result = self.run_explain(self.path, "r1")
        self.assertEqual(result.exit_code, 0)
        rows = result.output.splitlines()
        self.assertIn("h-1  request refused", rows[0])
        self.assertIn("+1000.0 ms  h-2  request served", rows[1])

    def test_lines_of_other_attempts_with_same_fingerprint(self):
        """A request may be refused as attempts at other gateways were quarantined."""
        lines = [
            ("upstream ended under request", "h-1", {"id": "q1", "fingerprint": "ab"}),
            ("request quarantined", "h-2", {"fingerprint": "ab"}),
            ("request quarantined", "h-2", {"fingerprint": "cd"}),
            ("request served", "h-1", {"id": "q3", "fingerprint": "ab"}),
            ("request refused", "h-2", {"id": "q2", "fingerprint": "ab"}),
        ]
        self.write(lines)
        rows = json.loads(self.run_explain(self.path, "q2", "--json").output)
        self.assertEqual([row["at"] for row in rows], [0.0, 1.0, 4.0])

    def test_lines_of_other_requests_with_same_part(self):
        lines = [
            ("upstream ended under part", "h-1", {"id": "q1", "fingerprint": "ab"}),
            ("upstream ended under part", "h-1", {"id": "q1", "fingerprint": "cd"}),
            ("request quarantined", "h-2", {"fingerprint": "ab", "part": "p"}),
            ("request refused", "h-2", {"id": "q2", "fingerprint": "ab", "part": "p"}),
        ]
        self.write(lines)
        rows = json.loads(self.run_explain(self.path, "q2", "--json").output)
        self.assertEqual([row["at"] for row in rows], [0.0, 2.0, 3.0])

    def test_lines_of_other_attempts_of_a_stream(self):
        rows = [
            ("request refused", "h-1", {"id": "q1", "why": "stream-broken"}),
            ("request served", "h-2", {"id": "q2", "resumes": "q1"}),
            ("request served", "h-2", {"id": "q3", "resumes": "q9"}),
        ]
        self.write(rows)
        for request_id in ("q1", "q2"):
            found = json.loads(self.run_explain(self.path, request_id, "--json").output)
            self.assertEqual([row["at"] for row in found], [0.0, 1.0])

    def test_causes_at_the_same_gateway(self):
        """Events at other gateways or at other times are not shown as causes."""
        stalled = ("process stalled", {"seconds": 1.5})
        bad_record = ("bad record", {"key": "i-1", "why": "no address"})
        restarted = ("upstream ready", {"upstream": "i-1@9"})
        in_force = ("configuration in force", {"version": 7})
        unanswered = ("store call unanswered", {"waited_s": 6.0})
        leaving = ("upstream leaving", {"upstream": "i-1@5", "source": "answer"})
        recorded = ("upstream leaving", {"upstream": "i-1@5", "source": "record"})
        backoff = ("upstream backoff", {"upstream": "i-7", "seconds": 3.0})
        outdated = ("view recent", {"outdated_s": 1.5})
        not_newer = ("configuration not newer", {"version": 5, "in_force": 11})
        all_backing_off = (
            "request refused",
            {"id": "q", "why": "upstreams-backing-off"},
        )
        sent = ("send failed", {"id": "q", "upstream": "i-1@5", "waited_ms": 800.0})
        denied = ("request refused", {"id": "q", "status": 404, "held_ms": 0.5})
        cases = {
            "stalled": (stalled, sent, 10.2, "process did not run for 1.5 s"),
            "stalled before arrival": (stalled, sent, 8.0, None),
            "bad record, request not sent": (bad_record, denied, 10.0, None),
            "bad record": (
                bad_record,
                sent,
                9.0,
                "corrupted the record of upstream i-1",
            ),
            "bad record long before": (bad_record, sent, 2.0, None),
            "restarted": (
                restarted,
                sent,
                10.1,
                "i-1@5 had ended and restarted as i-1@9",
            ),
            "in force later": (in_force, denied, 11.5, "only 1.50 s later"),
            "in force before": (in_force, denied, 9.5, None),
            "not denied": (in_force, sent, 11.5, None),
            "outdated view": (outdated, sent, 10.2, "older than allowed for 1.5 s"),
            "outdated view before arrival": (outdated, sent, 8.0, None),
            "store call unanswered": (
                unanswered,
                denied,
                12.0,
                "waited 6 s for a store that did not respond",
            ),
            "store call started later": (unanswered, denied, 17.0, None),
            "leaving by a response": (
                leaving,
                sent,
                9.5,
                "announced in a response that it",
            ),
            "leaving by its record": (recorded, sent, 9.5, None),
            "leaving, request not sent": (leaving, denied, 9.5, None),
            "all backing off": (
                backoff,
                all_backing_off,
                8.0,
                "i-7 had asked this gateway to back off for 3 s",
            ),
            "backoff long before": (backoff, all_backing_off, 6.0, None),
            "another upstream backing off": (backoff, sent, 9.0, None),
            "older version": (
                not_newer,
                denied,
                10.0,
                "version 5 of the configuration",
            ),
            "older version, served": (not_newer, sent, 10.0, None),
        }
        for name, ((event, more), (own, fields), timestamp, found) in cases.items():
            with self.subTest(name):
                rows = [
                    {"time": 10.0, "event": own, "host": "h-1", **fields},
                    {"time": timestamp, "event": event, "host": "h-1", **more},
                    {"time": timestamp, "event": event, "host": "h-2", **more},
                ]
                self.path.write_text("\n".join(map(json.dumps, rows)))
                output = self.run_explain(self.path, "q").output
                self.assertEqual(output.count("same gateway"), int(found is not None))
                self.assertIn(found or "", output)
                rows = json.loads(self.run_explain(self.path, "q", "--json").output)
                self.assertEqual(len(rows), 1 + int(found is not None))

    def test_json(self):
        result = self.run_explain(self.path, "--json")
        value = json.loads(result.output)
        self.assertEqual(value["losses"], 3)
        self.assertEqual(len(value["tables"]["second"]), 3)
        rows = json.loads(self.run_explain(self.path, "r1", "--json").output)
        self.assertEqual([row["host"] for row in rows], ["h-1", "h-2"])

    def test_unknown_file_or_id(self):
        for args in (["missing.log"], [self.path, "r9"]):
            with self.subTest(args):
                result = self.run_explain(*args)
                self.assertEqual(result.exit_code, 2)
                self.assertIn(str(args[-1]), result.output)

    def test_plot(self):
        plot_path = self.path.with_suffix(".png")
        result = self.run_explain(self.path, "--plot", plot_path)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertGreater(plot_path.stat().st_size, 1_000)


if __name__ == "__main__":
    unittest.main()
