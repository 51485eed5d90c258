import unittest

from valeweir_gateway.view.catalog import (
    Account,
    Catalog,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
)


def make_route(name, host, prefix):
    return Route(
        name, host, prefix, RouteKind.SAFE, 1.0, 0.1, 1, (Target("s", 1.0),), 2
    )


def make_catalog(version=1, routes=(), accounts=()):
    return Catalog(version, routes, [Service("s", 8, None)], accounts, Limits())


class TestRoutes(unittest.TestCase):
    def setUp(self):
        rows = [
            ("a", "h", "/"),
            ("b", "h", "/x/"),
            ("c", "h", "/x/y/"),
            ("d", "g", "/"),
        ]
        self.catalog = make_catalog(routes=[make_route(*row) for row in rows])

    def test_longest_matching_prefix_wins(self):
        cases = {
            ("h", "/"): "a",
            ("h", "/x"): "a",
            ("h", "/x/"): "b",
            ("h", "/x/y/z"): "c",
            ("H", "/x/yy"): "b",
            ("h:8080", "/x/1"): "b",
            ("g", "/x/1"): "d",
        }
        for (host, path), name in cases.items():
            with self.subTest(host=host, path=path):
                self.assertEqual(self.catalog.find_route(host, path).name, name)

    def test_path_without_matching_prefix(self):
        catalog = make_catalog(routes=[make_route("a", "h", "/x/")])
        for path in ("/", "/x", "/xx/", "/y/x/", ""):
            with self.subTest(path=path):
                self.assertIsNone(catalog.find_route("h", path))

    def test_first_route_of_a_prefix_wins(self):
        rows = [make_route("first", "h", "/x/"), make_route("second", "h", "/x/")]
        found = make_catalog(routes=rows).find_route("h", "/x/1")
        self.assertEqual(found.name, "first")

    def test_unknown_host(self):
        self.assertIsNone(self.catalog.find_route("other", "/"))


class TestAccounts(unittest.TestCase):
    def test_account_is_found_by_key(self):
        catalog = make_catalog(accounts=[Account("one", ("k1", "k2"), None)])
        self.assertTrue(catalog.needs_key)
        self.assertEqual(catalog.find_account("k2").name, "one")
        self.assertIsNone(catalog.find_account("k3"))

    def test_no_key_needed_without_accounts(self):
        self.assertFalse(make_catalog().needs_key)
