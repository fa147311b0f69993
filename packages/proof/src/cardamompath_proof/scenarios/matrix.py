"""Runs every scenario and prints promise by failure: ``make scenarios``."""

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
    "find",
    "main",
    "run_file",
]

FOLDER = "scenarios"
TRACE_LINES = 40


def find(root: pathlib.Path) -> list[pathlib.Path]:
    """Return all scenario files below a root, in order."""
    return sorted((root / FOLDER).glob("*.scenario"))


def run_file(file: pathlib.Path) -> runner.Outcome:
    """Read and run one file.

    Raises
    ------
    ScenarioError
        If it is not a scenario.
    """
    text = file.read_text(encoding="utf-8")
    return runner.run(language.read(f"{FOLDER}/{file.name}", text))


def main(argv: Sequence[str] = ()) -> int:
    """Run the files named, or all; 0 when only known ones fail."""
    root = pathlib.Path.cwd()
    began = time.perf_counter()
    files = [pathlib.Path(one) for one in argv] or find(root)
    outcomes = [run_file(one) for one in files]
    known = known_red.read(root)
    failed = [one for one in outcomes if one.error]
    for one in failed:
        _print_failure(one, known)
    if not argv:
        _print_matrix(outcomes)
    elapsed = time.perf_counter() - began
    new = [one for one in failed if one.scenario.file not in known]
    print(
        f"{len(outcomes) - len(failed)} passed, {len(new)} failed, "
        f"{len(failed) - len(new)} known red, {elapsed:.1f} s"
    )
    return 1 if new else 0


def _print_failure(outcome, known):
    if outcome.scenario.file in known:
        print(f"known red: {outcome.error}")
        return
    for line in outcome.trace[-TRACE_LINES:]:
        print(line)
    print(f"failed: {outcome.error}\n")


def count_cells(
    scenarios: Iterable[steps.Scenario],
) -> collections.Counter[tuple[str, str]]:
    """Count the scenarios of each promise and failure."""
    return collections.Counter(
        (promise, failure)
        for one in scenarios
        for promise in one.promises
        for failure in one.failures
    )


def _print_matrix(outcomes):
    green = count_cells(one.scenario for one in outcomes if not one.error)
    width = max(len(one) for one in language.FAILURES)
    heads = [f"{one[:9]:>9}" for one in language.PROMISES]
    print(" " * width, *heads)
    for failure in language.FAILURES:
        cells = [
            f"{green[promise, failure] or '-':>9}"
            for promise in language.PROMISES
        ]
        print(f"{failure:<{width}}", *cells)
    _print_empty(green, outcomes)


def _print_empty(green, outcomes):
    """Say for each empty cell which red scenario would fill it."""
    for failure in language.FAILURES:
        for promise in language.PROMISES:
            if green[promise, failure]:
                continue
            red = [
                one.scenario.file
                for one in outcomes
                if promise in one.scenario.promises
                and failure in one.scenario.failures
            ]
            print(f"empty: {promise} x {failure}: red in {', '.join(red)}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
