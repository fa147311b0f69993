"""Runs the tests of every package and prints one closing line."""

from __future__ import annotations

import importlib
import pathlib
import sys
import unittest

__all__ = [
    "main",
]

PACKAGES = (
    "cardamompath_core",
    "cardamompathd",
    "cardamompath_cli",
    "cardamompath_standins",
    "cardamompath_proof",
)


def main(argv: list[str]) -> int:
    """Run the tests of the packages named, or of all."""
    suite = unittest.TestSuite()
    for name in argv or PACKAGES:
        package = importlib.import_module(name)
        folder = pathlib.Path(package.__file__).parent
        loader = unittest.TestLoader()
        suite.addTests(
            loader.discover(
                str(folder / "tests"),
                pattern="test_*.py",
                top_level_dir=str(folder.parent),
            )
        )
    ran = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(ran.failures) + len(ran.errors)
    skipped = len(ran.skipped)
    passed = ran.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if ran.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
