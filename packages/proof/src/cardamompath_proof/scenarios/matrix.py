"""Runs every scenario and prints promise by failure: ``make scenarios``."""

from __future__ import annotations

import collections
import pathlib
import sys
import time
from collections.abc import Sequence

from cardamompath_proof import known_red
from cardamompath_proof.scenarios import language
from cardamompath_proof.scenarios import reasons
from cardamompath_proof.scenarios import runner

__all__ = [
    "FOLDER",
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


def _print_matrix(outcomes):
    counts = collections.Counter(
        (promise, failure)
        for one in outcomes
        if not one.error
        for promise in one.scenario.promises
        for failure in one.scenario.failures
    )
    width = max(len(one) for one in language.FAILURES)
    heads = [f"{one[:9]:>9}" for one in language.PROMISES]
    print(" " * width, *heads)
    for failure in language.FAILURES:
        cells = [_cell(counts, one, failure) for one in language.PROMISES]
        print(f"{failure:<{width}}", *cells)
    _print_empty(counts)


def _cell(counts, promise, failure):
    count = counts[promise, failure]
    return f"{count or '-':>9}"


def _print_empty(counts):
    for failure in language.FAILURES:
        for promise in language.PROMISES:
            if counts[promise, failure]:
                continue
            reason = reasons.REASONS.get((promise, failure), "not shown yet")
            print(f"empty: {promise} x {failure}: {reason}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
