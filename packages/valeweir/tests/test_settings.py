import json
import tempfile
import unittest
from pathlib import Path

from valeweir.exceptions import SettingsError
from valeweir.settings import get_faults, load_settings

VALID = {
    "host": "haldia-1",
    "domain": "haldia",
    "callers": {"address": "127.0.0.1:8080"},
    "admin": {"address": "127.0.0.1:8081"},
    "fleet": {"address": "127.0.0.1:8082"},
    "platform": {"log": "http://127.0.0.1:1", "membership": "http://127.0.0.1:2"},
}


def make_settings(**sections):
    return {**VALID, **sections}


class TestSettings(unittest.TestCase):
    def load(self, text, environ=None):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "router.json"
            path.write_text(text)
            return load_settings(path, environ or {})

    def test_comments_are_allowed_and_defaults_filled(self):
        cfg = self.load("// a router\n" + json.dumps(VALID))
        self.assertEqual(cfg["host"], "haldia-1")
        self.assertEqual(cfg["fleet"]["lease"], 4.0)

    def test_secret_comes_from_the_environment(self):
        cfg = self.load(json.dumps(VALID), {"VALEWEIR_FLEET_SECRET_KEY": "s"})
        self.assertEqual(cfg["fleet"]["secret_key"], "s")

    def test_every_fault_contains_its_path(self):
        cases = [
            (make_settings(host="Bad Host"), ["$.host"]),
            (make_settings(hosts="x"), ["$.hosts"]),
            (make_settings(callers={}), ["$.callers"]),
            (make_settings(admin={"address": "nowhere"}), ["$.admin.address"]),
            (make_settings(host=1, domain=2), ["$.domain", "$.host"]),
            (
                make_settings(fleet={"address": "127.0.0.1:1", "lease": 1.0}),
                ["$.fleet.lease"],
            ),
            (
                make_settings(admin={"address": "127.0.0.1:1", "key": "k"}),
                ["$.admin"],
            ),
        ]
        for data, paths in cases:
            with self.subTest(paths=paths):
                self.assertEqual([f.path for f in get_faults(data)], paths)

    def test_fault_contains_its_line(self):
        text = json.dumps(make_settings(host=7), indent=1)
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        self.assertEqual(caught.exception.faults[0].line, 2)

    def test_examples_are_valid(self):
        """An example with a body limit above the schema's maximum must fail here."""
        folder = Path(__file__).parents[3] / "examples"
        paths = sorted(folder.glob("*-router.json"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            with self.subTest(path.name):
                self.assertEqual(load_settings(path, {})["fleet"]["interval"], 0.5)

    def test_broken_syntax_is_one_fault(self):
        with self.assertRaises(SettingsError) as caught:
            self.load('{"host": ')
        self.assertEqual(len(caught.exception.faults), 1)
