"""Runs the tests of every package and prints a summary line."""

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
    """Run the tests of the given packages, or of all.

    Return 0 if all pass, else 1.
    """
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
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
