import hashlib
import unittest

import msgspec
from fleets import Fleet

KEYS = {name: hashlib.sha256(name.encode()).hexdigest() for name in ("north", "south")}


def make_partner(name, role="operator"):
    return {"spec": {"keys": [{"sha256": KEYS[name], "role": role}]}}


def make_account(owner, hashes=()):
    return {"spec": {"partner": owner, "key_hashes": list(hashes)}}


class TestResourceApi(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)
        for name in KEYS:
            resp = cls.fleet.operate("PUT", f"/v1/partners/{name}", make_partner(name))
            assert resp.status == 201, resp.data

    def put(self, path, body, **kwargs):
        return self.fleet.operate("PUT", f"/v1/{path}", body, **kwargs)

    def test_created_resource_can_be_read_with_its_status(self):
        self.assertEqual(
            self.put("client-accounts/n1", make_account("north")).status, 201
        )
        resp = self.fleet.operate("GET", "/v1/client-accounts/n1")
        self.assertEqual(resp.json()["status"]["in_force_count"], 1)
        self.assertEqual(resp.headers["ETag"], f'"{resp.json()["version"]}"')

    def test_one_of_two_concurrent_writes_succeeds(self):
        version = self.put("client-accounts/race", make_account("north")).json()[
            "version"
        ]
        headers = {"If-Match": f'"{version}"'}
        accepted = self.put(
            "client-accounts/race", make_account("north"), headers=headers
        )
        rejected = self.put(
            "client-accounts/race", make_account("north"), headers=headers
        )
        self.assertEqual((accepted.status, rejected.status), (200, 409))
        self.assertEqual(rejected.json()["version"], accepted.json()["version"])

    def test_repeated_change_id_is_one_change(self):
        headers = {"X-Change-Id": "once"}
        one = self.put("client-accounts/once", make_account("north"), headers=headers)
        two = self.put("client-accounts/once", make_account("north"), headers=headers)
        self.assertEqual(one.json()["version"], two.json()["version"])

    def test_write_succeeds_when_the_response_of_the_log_is_lost(self):
        self.fleet.set_faults(self.fleet.log, lose_answer=1)
        resp = self.put("client-accounts/lost", make_account("north"))
        self.assertEqual(resp.status, 201)

    def test_write_while_the_log_is_down_is_not_accepted(self):
        self.fleet.set_faults(self.fleet.log, outage=True)
        self.addCleanup(self.fleet.set_faults, self.fleet.log)
        resp = self.put("client-accounts/down", make_account("north"))
        self.assertEqual((resp.status, resp.json()["status"]), (503, 503))
        self.assertIn("change_id", resp.json())

    def test_invalid_documents_are_rejected_with_the_field_name(self):
        cases = [
            ({"spec": {"partner": "north"}}, 400, "key_hashes"),
            ({"spec": {**make_account("north")["spec"], "odd": 1}}, 400, "odd"),
            ({"spec": make_account("nobody")["spec"]}, 404, "nobody"),
            ({"sepc": {}}, 400, "$.sepc"),
            ({"spec": {"key_hashes": [1], "partner": "north"}}, 400, "key_hashes[0]"),
        ]
        before = self.fleet.operate("GET", "/v1/client-accounts").json()["version"]
        for body, status, named in cases:
            with self.subTest(named):
                resp = self.put("client-accounts/bad", body)
                self.assertEqual(resp.status, status)
                self.assertIn(named, resp.json()["detail"])
        after = self.fleet.operate("GET", "/v1/client-accounts").json()["version"]
        self.assertEqual(before, after)

    def test_resources_of_other_partners_are_hidden(self):
        self.put("client-accounts/secret", make_account("north"))
        path = "/v1/client-accounts/secret"
        for method, body in (
            ("GET", None),
            ("PUT", make_account("south")),
            ("PATCH", {"spec": {"key_hashes": []}}),
            ("DELETE", None),
        ):
            with self.subTest(method):
                resp = self.fleet.operate(method, path, body, key="south")
                self.assertEqual(resp.status, 404)
        listed = self.fleet.operate("GET", "/v1/client-accounts", key="south").json()
        self.assertNotIn("secret", [item["name"] for item in listed["items"]])
        denied = self.put("client-accounts/s2", make_account("north"), key="south")
        self.assertEqual(denied.status, 404)

    def test_unknown_key_and_insufficient_role_are_rejected(self):
        self.assertEqual(
            self.fleet.operate("GET", "/v1/upstreams", key="x").status, 401
        )
        resp = self.put("partners/north", make_partner("north"), key="north")
        self.assertEqual(resp.status, 403)

    def test_dry_run_changes_nothing(self):
        resp = self.put("client-accounts/dry?dry-run=1", make_account("north"))
        self.assertTrue(resp.json()["dry_run"])
        path = "/v1/client-accounts/dry"
        self.assertEqual(self.fleet.operate("GET", path).status, 404)

    def test_watch_returns_changes_since_a_version(self):
        version = self.fleet.operate("GET", "/v1/shares").json()["version"]
        self.put("client-accounts/w", make_account("north"))
        self.put("shares/w", {"spec": {"account": "w", "weight": 2.0}})
        resp = self.fleet.operate("GET", f"/v1/shares?watch=1&seconds=1&from={version}")
        events = [msgspec.json.decode(line) for line in resp.data.splitlines()]
        named = [e["name"] for e in events if e["type"] == "changed"]
        self.assertEqual(named, ["w"])

    def test_watch_from_a_future_version_is_rejected(self):
        resp = self.fleet.operate("GET", "/v1/shares?watch=1&from=999999")
        self.assertEqual((resp.status, resp.json()["title"]), (410, "too old"))

    def test_openapi_document_contains_every_kind(self):
        document = msgspec.json.decode(
            self.fleet.operate("GET", "/v1/openapi.json").data
        )
        self.assertEqual(len(document["paths"]), 12)

    def test_resource_in_use_cannot_be_deleted(self):
        self.put("client-accounts/used", make_account("north"))
        self.put("shares/used", {"spec": {"account": "used", "weight": 1.0}})
        resp = self.fleet.operate("DELETE", "/v1/client-accounts/used")
        self.assertEqual(resp.status, 409)
