"""Checks that decisions and controllers do no input or output.

They must not import front ends or modules for input and output, read a
clock, or use the shared random generator, so that tests can replay them.
"""

import ast
import pathlib
import unittest

import cardamompath_core

FORBIDDEN = {
    "asyncio",
    "cappa",
    "cheroot",
    "configparser",
    "datetime",
    "http",
    "logging",
    "loguru",
    "opentelemetry",
    "pykka",
    "socket",
    "threading",
    "thrift",
    "time",
    "urllib3",
}
CORE = pathlib.Path(cardamompath_core.__file__).parent
CONTROLLERS = CORE.parents[2] / "daemon/src/cardamompathd/controllers"


def forbidden_imports(source):
    """Return the forbidden modules that a source text imports."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        found |= {name.split(".")[0] for name in names} & FORBIDDEN
    return found


def shared_generator_uses(source):
    """Return the functions of the shared random generator that are used."""
    return [
        node.attr
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "random"
        and node.attr != "Random"
    ]


class PurityTest(unittest.TestCase):
    def test_check_detects_a_clock_and_the_shared_generator(self):
        self.assertEqual({"time"}, forbidden_imports("from time import time"))
        self.assertEqual(["random"], shared_generator_uses("random.random()"))

    def test_decisions_and_controllers_are_pure(self):
        files = [*CORE.glob("*.py"), *CONTROLLERS.glob("*.py")]
        self.assertGreater(len(files), 8)
        for file in files:
            source = file.read_text(encoding="utf-8")
            with self.subTest(file=file.name):
                self.assertEqual(set(), forbidden_imports(source))
                self.assertEqual([], shared_generator_uses(source))
