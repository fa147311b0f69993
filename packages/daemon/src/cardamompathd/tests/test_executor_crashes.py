"""Tasks that crash the executors that start them."""

import unittest

from cardamompath_core import batches
from cardamompathd.tests import crash_simulation

TASK = ("j1", 0, 0)
MAX_STARTS = 2
"""Number of starts of a task allowed after three executors crashed."""


class ExecutorCrashTest(unittest.TestCase):
    def setUp(self):
        self.simulation = crash_simulation.CrashSimulation()
        self.simulation.crashing_tasks.add(TASK)
        self.planner = self.simulation.instances["n-a"]
        self.gateway = self.simulation.instances["n-b"]

    def tearDown(self):
        self.assertEqual(self.simulation.duplicate_runs, [])

    def assert_state(self, reply, state):
        outcome = self.simulation.answers.get(reply)
        self.assertIsNotNone(outcome, reply)
        self.assertEqual(outcome.state, state, outcome)

    def assert_starts_are_bounded(self):
        crashes = self.simulation.crashes_under(TASK)
        if len(crashes) >= 3:
            late = [
                at for at in self.simulation.starts_of(TASK) if at > crashes[2]
            ]
            self.assertLessEqual(len(late), MAX_STARTS)

    def test_task_that_crashes_executors_is_given_up(self):
        reply = self.simulation.submit(self.gateway, "j1", 1, 60.0)
        self.simulation.advance(30.0)
        self.assert_starts_are_bounded()
        self.assert_state(reply, batches.FAILED)
        self.assertGreaterEqual(len(self.simulation.crashes), 2)
        self.assertIn("crashed", self.simulation.answers[reply].reason)

    def test_task_is_given_up_after_takeovers_of_its_planner(self):
        reply = self.simulation.submit(self.gateway, "j1", 1, 90.0)
        for _ in range(4):
            self.simulation.advance(4.5)
            planner = next(
                name
                for name, instance in self.simulation.instances.items()
                if instance.alive
                and len(instance.decisions_of("began to plan"))
                > len(instance.decisions_of("ended to plan"))
            )
            if planner != "n-b":
                self.simulation.restart_instance(planner, 1.0)
        self.simulation.advance(20.0)
        self.assert_starts_are_bounded()
        self.assert_state(reply, batches.FAILED)

    def test_task_is_given_up_after_resubmissions_elsewhere(self):
        names = ["n-b", "n-c", "n-a"] * 8
        self.simulation.call(names, "j1", 1, 1.5)
        self.simulation.advance(60.0)
        self.assert_starts_are_bounded()

    def test_task_is_given_up_after_restarts_of_its_origins(self):
        names = ["n-b", "n-c"] * 12
        self.simulation.call(names, "j1", 1, 60.0)
        for name in ("n-b", "n-c") * 6:
            self.simulation.advance(2.5)
            self.simulation.restart_instance(name, 0.5)
        self.simulation.advance(30.0)
        self.assert_starts_are_bounded()

    def test_task_is_given_up_after_planner_and_origin_were_restarted(self):
        names = ["n-b", "n-c"] * 12
        self.simulation.call(names, "j1", 1, 60.0)
        for name in ("n-a", "n-b", "n-c") * 4:
            self.simulation.advance(4.0)
            self.simulation.restart_instance(name, 0.5)
        self.simulation.advance(30.0)
        self.assert_starts_are_bounded()

    def test_task_beside_one_that_crashes_executors_completes(self):
        self.simulation.run_time = 0.5
        beside = self.simulation.submit(self.gateway, "j2", 4, 30.0)
        self.simulation.advance(0.1)
        reply = self.simulation.submit(self.gateway, "j1", 1, 30.0)
        others = []
        for number in range(40):
            self.simulation.advance(0.3)
            others.append(
                self.simulation.submit(self.gateway, f"k{number}", 2, 20.0)
            )
        self.simulation.advance(20.0)
        self.assert_state(beside, batches.COMPLETE)
        for other in others:
            self.assert_state(other, batches.COMPLETE)
        self.assert_state(reply, batches.FAILED)

    def test_suspect_task_takes_no_other_runs_with_it(self):
        self.simulation.run_time = 0.5
        self.simulation.submit(self.gateway, "j2", 4, 30.0)
        self.simulation.advance(0.1)
        self.simulation.submit(self.gateway, "j1", 1, 30.0)
        for number in range(40):
            self.simulation.advance(0.3)
            self.simulation.submit(self.gateway, f"k{number}", 2, 20.0)
        self.simulation.advance(10.0)
        for _, _, runs in self.simulation.crashes[1:]:
            self.assertEqual({run[:3] for run in runs}, {TASK})

    def test_executor_that_returns_under_another_name_has_crashed(self):
        self.simulation.renames = True
        reply = self.simulation.submit(self.gateway, "j1", 1, 60.0)
        self.simulation.advance(20.0)
        self.assert_state(reply, batches.FAILED)
        self.assert_starts_are_bounded()

    def test_loss_without_a_restart_gives_up_no_task(self):
        self.simulation.renames = True
        self.simulation.rename = lambda former: None
        self.simulation.submit(self.gateway, "j1", 1, 60.0)
        self.simulation.advance(1.5)
        self.simulation.crashing_tasks.clear()
        self.simulation.advance(15.0)
        self.assertEqual(
            self.simulation.answers["j1@n-b"].state, batches.COMPLETE
        )

    def test_cut_executor_is_no_crash(self):
        self.simulation.crashing_tasks.clear()
        self.simulation.run_time = 0.6
        reply = self.simulation.submit(self.gateway, "j1", 1, 30.0)
        for _ in range(3):
            self.simulation.advance(0.2)
            for executor in self.simulation.executors.values():
                executor.unreachable = bool(executor.runs)
            self.simulation.advance(1.3)
        for executor in self.simulation.executors.values():
            executor.unreachable = False
        self.simulation.advance(10.0)
        self.assert_state(reply, batches.COMPLETE)


if __name__ == "__main__":
    unittest.main()
