import functools
import itertools
import pathlib
import unittest

import cardamompath_proof
from cardamompath_proof import known_red
from cardamompath_proof.scenarios import errors
from cardamompath_proof.scenarios import language
from cardamompath_proof.scenarios import matrix
from cardamompath_proof.scenarios import runner
from cardamompath_proof.tests import broken

ROOT = pathlib.Path(cardamompath_proof.__file__).parents[4]

HEADER = 'scenario "t"\npromises once\nfailures burst\n'


def parse_file(name):
    file = ROOT / matrix.FOLDER / f"{name}.scenario"
    return language.parse(name, file.read_text(encoding="utf-8"))


class ScenariosTest(unittest.TestCase):
    known = known_red.read(ROOT)

    def check_file(self, file):
        result = matrix.run_file(file)
        if result.scenario.file in self.known:
            print(f"known red: {result.error}")
            self.assertTrue(
                result.error, "is listed in KNOWN-RED.txt but passes"
            )
            return
        trace = "\n".join(result.trace[-30:])
        self.assertFalse(result.error, f"{result.error}\n{trace}")

    def test_there_are_at_least_thirty_scenarios(self):
        self.assertGreaterEqual(len(matrix.find_files(ROOT)), 30)

    def test_each_promise_is_tested_with_each_failure(self):
        counts = matrix.count_cells(
            language.parse(file.name, file.read_text(encoding="utf-8"))
            for file in matrix.find_files(ROOT)
        )
        cells = itertools.product(language.PROMISES, language.FAILURES)
        self.assertEqual([], [cell for cell in cells if not counts[cell]])

    def test_same_seed_gives_same_trace(self):
        runs = [
            runner.run(parse_file("lossy-network")).trace for _ in range(2)
        ]
        self.assertEqual(runs[0], runs[1])


def add_tests(files):
    for file in files:
        name = "test_" + file.stem.replace("-", "_")
        test = functools.partialmethod(ScenariosTest.check_file, file)
        setattr(ScenariosTest, name, test)


add_tests(matrix.find_files(ROOT))


class FaultyControllersTest(unittest.TestCase):
    def test_each_variant_is_detected(self):
        for number, (name, promise, factories) in enumerate(broken.VARIANTS):
            with self.subTest(scenario=name, number=number):
                result = runner.run(parse_file(name), factories)
                self.assertEqual(promise, result.broken_promise, result.error)


class LanguageTest(unittest.TestCase):
    def check_error(self, text, *expected):
        with self.assertRaises(errors.ScenarioError) as caught:
            language.parse("file", text)
        for fragment in expected:
            self.assertIn(fragment, str(caught.exception))

    def test_error_quotes_the_line_that_is_no_step(self):
        self.check_error(HEADER + "explode a1\n", "file:4:", "explode a1")

    def test_unknown_promise_and_failure_are_rejected(self):
        self.check_error(HEADER.replace("once", "twice"), "'twice'", "once")
        self.check_error(HEADER.replace("burst", "rain"), "'rain'", "burst")

    def test_declared_promises_and_failures_must_be_exercised(self):
        body = "instances a1 in alpha\nbackends x1 in alpha\nstart\n"
        result = runner.run(language.parse("file", HEADER + body))
        self.assertIn("does not exercise", result.error)

    def test_unmet_expectation_reports_its_line(self):
        body = "instances a1 in alpha\nbackends x1 in alpha\nstart\n"
        body += "submit j1 to a1: 60 tasks of 1 s\nexpect j1 complete\n"
        result = runner.run(language.parse("file", HEADER + body))
        self.assertEqual(
            "file:8: j1 is unanswered, not complete", result.error
        )
