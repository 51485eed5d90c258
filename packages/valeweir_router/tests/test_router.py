import threading
import unittest

import urllib3
from fleets import Fleet, wait_until


class TestOutcomes(unittest.TestCase):
    def test_unrepeatable_call_that_may_have_run_is_unknown_and_sent_once(self):
        with Fleet() as fleet:
            fleet.set_faults(fleet.service, drop=1.0)
            resp = fleet.call("POST", "/services/api/hold/1", b"x")
            self.assertEqual(resp.headers["X-Valeweir-Outcome"], "unknown")
            self.assertEqual(fleet.get_stats(fleet.service)["runs"], 1)

    def test_unrepeatable_call_to_an_unreachable_upstream_is_not_run(self):
        with Fleet() as fleet:
            fleet.service.stop()
            resp = fleet.call("POST", "/services/api/hold/1", b"x")
            self.assertEqual(resp.headers["X-Valeweir-Outcome"], "not-run")
            self.assertIn("Retry-After", resp.headers)

    def test_repeatable_call_is_retried(self):
        with Fleet() as fleet:
            fleet.set_faults(fleet.engine, refuse=0.5)
            resp = fleet.chat()
            self.assertEqual(resp.headers["X-Valeweir-Outcome"], "complete")

    def test_crossed_response_never_reaches_the_caller(self):
        with Fleet() as fleet:
            first_resp = fleet.chat()
            fleet.set_faults(fleet.engine, crossed=1.0)
            second_resp = fleet.chat(
                messages=[{"role": "user", "content": "another question"}]
            )
            self.assertEqual(second_resp.headers["X-Valeweir-Outcome"], "unknown")
            self.assertNotEqual(first_resp.data, second_resp.data)


class TestLedger(unittest.TestCase):
    def test_ledger_becomes_complete(self):
        """Guards against a ledger that stays incomplete.

        No account is lifted then, so an idle account that sends a burst of requests
        uses the service it did not receive as credit.
        """
        with Fleet() as fleet:
            wait_until(
                lambda: fleet.operate("GET", "/v1/fleet").json()["service_known"]
            )


class TestPlannedStop(unittest.TestCase):
    def test_stop_waits_for_the_request_in_flight(self):
        with Fleet() as fleet:
            fleet.set_faults(fleet.engine, late=0.5)
            responses = []
            caller = threading.Thread(target=lambda: responses.append(fleet.chat()))
            caller.start()
            wait_until(lambda: fleet.get_stats(fleet.engine)["busy"] == 1)
            self.assertEqual(fleet.router.stop(), 0)
            caller.join()
            self.assertEqual(responses[0].status, 200)

    def test_stop_ends_while_callers_keep_sending(self):
        """Guards against a stop that never ends.

        Callers that send a new request after each response kept requests in flight.
        """
        with Fleet() as fleet:
            fleet.set_faults(fleet.engine, late=0.05)
            ended = threading.Event()
            statuses = []

            def send_requests():
                while not ended.is_set():
                    try:
                        statuses.append(fleet.chat().status)
                    except urllib3.exceptions.HTTPError:
                        return

            callers = [threading.Thread(target=send_requests) for _ in range(4)]
            for caller in callers:
                caller.start()
            wait_until(lambda: len(statuses) > 4)
            self.assertEqual(fleet.router.stop(), 0)
            ended.set()
            for caller in callers:
                caller.join()
            self.assertLessEqual(set(statuses), {200, 503})

    def test_stopping_router_is_not_ready(self):
        with Fleet() as fleet:
            path = "/readyz"
            self.assertEqual(fleet.operate("GET", path).status, 200)
            fleet.router.state.leaving = True
            self.assertEqual(fleet.operate("GET", path).status, 503)


class TestLeavingUpstream(unittest.TestCase):
    def test_leaving_upstream_gets_no_new_work(self):
        with Fleet() as fleet:
            self.assertEqual(fleet.chat().status, 200)
            version = fleet.operate("GET", "/v1/upstreams/llm-1").json()["version"]
            spec = {"spec": {"state": "leaving"}}
            headers = {"If-Match": f'"{version}"'}
            resp = fleet.operate("PATCH", "/v1/upstreams/llm-1", spec, headers)
            self.assertEqual(resp.status, 200)
            resp = fleet.call(
                "POST",
                "/v1/chat/completions",
                b'{"model":"llm","messages":[{"content":"x"}]}',
                {"X-Valeweir-Deadline": "0.3"},
            )
            self.assertEqual(resp.headers["X-Valeweir-Outcome"], "not-run")
            self.assertEqual(fleet.get_stats(fleet.engine)["done"], 1)
