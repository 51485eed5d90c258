"""Checks that the gateway's packages import from each other in one direction only."""

import ast
import pathlib
import unittest

import valeweir_gateway

ROOT = pathlib.Path(valeweir_gateway.__file__).parent
# Each layer may import from the layers before it. Modules at the root are either shared
# by all packages or assemble the gateway.
SHARED = "shared"
TOP = "top"
LAYERS = (
    "transport",
    SHARED,
    "quarantine",
    "upstreams",
    "fleet",
    "view",
    "admission",
    "placement",
    "operations",
    "forwarding",
    TOP,
)
_TOP_MODULES = frozenset(("gateway", "settings", "states"))


def get_layer(path):
    """Return the layer of a module, given by its path below the package."""
    if len(path.parts) > 1:
        return path.parts[0]
    return TOP if path.stem in _TOP_MODULES else SHARED


def find_imports(path):
    """Return the layers that a module imports from."""
    layers = set()
    for node in ast.walk(ast.parse((ROOT / path).read_text())):
        if not isinstance(node, ast.ImportFrom) or node.level == 0:
            continue
        package = path.parent if node.level == 1 else path.parent.parent
        base = package.joinpath(*(node.module or "").split("."))
        names = [base] if node.module else []
        if (ROOT / base).is_dir():
            names = [base / alias.name for alias in node.names]
        layers |= {get_layer(name.with_suffix(".py")) for name in names}
    return layers


class TestLayers(unittest.TestCase):
    def test_every_package_is_a_layer(self):
        packages = {path.name for path in ROOT.iterdir() if path.is_dir()}
        self.assertLessEqual(packages - {"__pycache__"}, set(LAYERS))

    def test_imports_go_in_one_direction(self):
        for file in sorted(ROOT.rglob("*.py")):
            path = file.relative_to(ROOT)
            if path.name == "__init__.py":
                continue
            own_index = LAYERS.index(get_layer(path))
            for layer in find_imports(path):
                with self.subTest(module=str(path), imports=layer):
                    self.assertLessEqual(LAYERS.index(layer), own_index)

    def test_every_package_has_a_docstring(self):
        for package in sorted(set(LAYERS) - {SHARED, TOP}):
            text = (ROOT / package / "__init__.py").read_text()
            with self.subTest(package=package):
                self.assertTrue(ast.get_docstring(ast.parse(text)))

    def test_imports_are_found(self):
        """Guards against a check that finds no imports and therefore always passes."""
        layers = find_imports(pathlib.Path("forwarding/handler.py"))
        self.assertTrue({"admission", "placement", "quarantine"} <= layers)
        self.assertIn(
            SHARED, find_imports(pathlib.Path("quarantine/quarantine_store.py"))
        )
