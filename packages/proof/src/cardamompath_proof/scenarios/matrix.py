"""Runs all scenarios and prints their coverage: ``make scenarios``.

The matrix counts the passed scenarios of each promise and failure.
"""

from __future__ import annotations

import collections
import pathlib
import sys
import time
from collections.abc import Iterable
from collections.abc import Sequence

from cardamompath_proof import known_red
from cardamompath_proof.scenarios import language
from cardamompath_proof.scenarios import runner
from cardamompath_proof.scenarios import steps

__all__ = [
    "FOLDER",
    "count_cells",
    "find_files",
    "main",
    "run_file",
]

FOLDER = "scenarios"
"""Folder of the scenario files, below the root of the repository."""
TRACE_LINES = 40
"""Last lines of the trace that are printed for a failed scenario."""


def find_files(root: pathlib.Path) -> list[pathlib.Path]:
    """Return all scenario files of a repository root, sorted."""
    return sorted((root / FOLDER).glob("*.scenario"))


def run_file(file: pathlib.Path) -> runner.ScenarioResult:
    """Parse and run one scenario file.

    Raises
    ------
    ScenarioError
        If the file cannot be parsed.
    """
    text = file.read_text(encoding="utf-8")
    return runner.run(language.parse(f"{FOLDER}/{file.name}", text))


def main(argv: Sequence[str] = ()) -> int:
    """Run the given scenario files, or all.

    Return 0 if all pass or only those in ``KNOWN-RED.txt`` fail, else 1.
    """
    root = pathlib.Path.cwd()
    began = time.perf_counter()
    files = [pathlib.Path(name) for name in argv] or find_files(root)
    results = [run_file(file) for file in files]
    known = known_red.read(root)
    failed = [result for result in results if result.error]
    for result in failed:
        _print_failure(result, known)
    if not argv:
        _print_matrix(results)
    elapsed = time.perf_counter() - began
    new = [result for result in failed if result.scenario.file not in known]
    print(
        f"{len(results) - len(failed)} passed, {len(new)} failed, "
        f"{len(failed) - len(new)} known red, {elapsed:.1f} s"
    )
    return 1 if new else 0


def _print_failure(result, known):
    if result.scenario.file in known:
        print(f"known red: {result.error}")
        return
    for line in result.trace[-TRACE_LINES:]:
        print(line)
    print(f"failed: {result.error}\n")


def count_cells(
    scenarios: Iterable[steps.Scenario],
) -> collections.Counter[tuple[str, str]]:
    """Count the scenarios of each promise and failure."""
    return collections.Counter(
        (promise, failure)
        for scenario in scenarios
        for promise in scenario.promises
        for failure in scenario.failures
    )


def _print_matrix(results):
    passed_cells = count_cells(
        result.scenario for result in results if not result.error
    )
    width = max(len(name) for name in language.FAILURES)
    headings = [f"{name[:9]:>9}" for name in language.PROMISES]
    print(" " * width, *headings)
    for failure in language.FAILURES:
        cells = [
            f"{passed_cells[promise, failure] or '-':>9}"
            for promise in language.PROMISES
        ]
        print(f"{failure:<{width}}", *cells)
    _print_empty(passed_cells, results)


def _print_empty(passed_cells, results):
    """Print for each empty cell the failed scenarios that cover it."""
    for failure in language.FAILURES:
        for promise in language.PROMISES:
            if passed_cells[promise, failure]:
                continue
            red = [
                result.scenario.file
                for result in results
                if promise in result.scenario.promises
                and failure in result.scenario.failures
            ]
            print(f"empty: {promise} x {failure}: red in {', '.join(red)}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
