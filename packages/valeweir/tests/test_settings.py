import json
import tempfile
import unittest
from pathlib import Path

from valeweir.exceptions import SettingsError
from valeweir.settings import get_faults, load_settings

GOOD = {
    "host": "haldia-1",
    "domain": "haldia",
    "callers": {"address": "127.0.0.1:8080"},
    "admin": {"address": "127.0.0.1:8081"},
    "fleet": {"address": "127.0.0.1:8082"},
    "platform": {"log": "http://127.0.0.1:1", "membership": "http://127.0.0.1:2"},
}


def changed(**sections):
    return {**GOOD, **sections}


class TestSettings(unittest.TestCase):
    def load(self, text, environ=None):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "router.json"
            path.write_text(text)
            return load_settings(path, environ or {})

    def test_comments_are_allowed_and_defaults_filled(self):
        cfg = self.load("// a router\n" + json.dumps(GOOD))
        self.assertEqual(cfg["host"], "haldia-1")
        self.assertEqual(cfg["fleet"]["lease"], 4.0)

    def test_secret_comes_from_the_environment(self):
        cfg = self.load(json.dumps(GOOD), {"VALEWEIR_FLEET_SECRET_KEY": "s"})
        self.assertEqual(cfg["fleet"]["secret_key"], "s")

    def test_every_fault_is_named_by_path(self):
        cases = [
            (changed(host="Bad Host"), ["$.host"]),
            (changed(hosts="x"), ["$.hosts"]),
            (changed(callers={}), ["$.callers"]),
            (changed(admin={"address": "nowhere"}), ["$.admin.address"]),
            (changed(host=1, domain=2), ["$.domain", "$.host"]),
            (
                changed(fleet={"address": "127.0.0.1:1", "lease": 1.0}),
                ["$.fleet.lease"],
            ),
            (
                changed(admin={"address": "127.0.0.1:1", "key": "k"}),
                ["$.admin"],
            ),
        ]
        for data, paths in cases:
            with self.subTest(paths=paths):
                self.assertEqual([f.path for f in get_faults(data)], paths)

    def test_fault_names_its_line(self):
        text = json.dumps(changed(host=7), indent=1)
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        self.assertEqual(caught.exception.faults[0].line, 2)

    def test_examples_are_valid(self):
        """Found by hand: the documented body limit was over the schema's."""
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
