"""Packages load their modules when these are first used."""

import unittest

from cardamompath_core import submodules


class SubmodulesTest(unittest.TestCase):
    def setUp(self):
        self.load = submodules.make_getattr("cardamompath_core", ["routes"])

    def test_named_module_is_loaded(self):
        self.assertEqual(
            self.load("routes").__name__, "cardamompath_core.routes"
        )

    def test_other_names_are_no_attributes(self):
        with self.assertRaisesRegex(AttributeError, "'batches'"):
            self.load("batches")
