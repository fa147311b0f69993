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

HEAD = 'scenario "t"\npromises once\nfailures burst\n'


def read(name):
    file = ROOT / matrix.FOLDER / f"{name}.scenario"
    return language.read(name, file.read_text(encoding="utf-8"))


class ScenariosTest(unittest.TestCase):
    known = known_red.read(ROOT)

    def check_file(self, file):
        outcome = matrix.run_file(file)
        if outcome.scenario.file in self.known:
            print(f"known red: {outcome.error}")
            self.assertTrue(outcome.error, "is listed as red and holds")
            return
        trace = "\n".join(outcome.trace[-30:])
        self.assertFalse(outcome.error, f"{outcome.error}\n{trace}")

    def test_there_are_thirty(self):
        self.assertGreaterEqual(len(matrix.find(ROOT)), 30)

    def test_each_promise_meets_each_failure(self):
        counts = matrix.count_cells(
            language.read(file.name, file.read_text(encoding="utf-8"))
            for file in matrix.find(ROOT)
        )
        cells = itertools.product(language.PROMISES, language.FAILURES)
        self.assertEqual([], [one for one in cells if not counts[one]])

    def test_a_run_repeats_itself(self):
        runs = [runner.run(read("lossy-network")).trace for _ in range(2)]
        self.assertEqual(runs[0], runs[1])


def add_tests(files):
    for file in files:
        name = "test_" + file.stem.replace("-", "_")
        test = functools.partialmethod(ScenariosTest.check_file, file)
        setattr(ScenariosTest, name, test)


add_tests(matrix.find(ROOT))


class BrokenControllersTest(unittest.TestCase):
    def test_each_is_caught(self):
        for number, (name, promise, parts) in enumerate(broken.BROKEN):
            with self.subTest(scenario=name, number=number):
                outcome = runner.run(read(name), parts)
                self.assertEqual(promise, outcome.broken, outcome.error)


class LanguageTest(unittest.TestCase):
    def check_error(self, text, *parts):
        with self.assertRaises(errors.ScenarioError) as caught:
            language.read("file", text)
        for part in parts:
            self.assertIn(part, str(caught.exception))

    def test_line_that_is_no_step_is_named(self):
        self.check_error(HEAD + "explode a1\n", "file:4:", "explode a1")

    def test_unknown_promise_and_failure(self):
        self.check_error(HEAD.replace("once", "twice"), "'twice'", "once")
        self.check_error(HEAD.replace("burst", "rain"), "'rain'", "burst")

    def test_what_is_declared_has_to_occur(self):
        body = "instances a1 in alpha\nbackends x1 in alpha\nstart\n"
        outcome = runner.run(language.read("file", HEAD + body))
        self.assertIn("does not touch", outcome.error)

    def test_unmet_expectation_names_its_line(self):
        body = "instances a1 in alpha\nbackends x1 in alpha\nstart\n"
        body += "submit j1 to a1: 60 tasks of 1 s\nexpect j1 complete\n"
        outcome = runner.run(language.read("file", HEAD + body))
        self.assertEqual(
            "file:8: j1 is unanswered, not complete", outcome.error
        )
