"""Tasks that crash the executors that start them."""

import random
import unittest

from cardamompath_core import batches
from cardamompathd.tests import crash_simulation

TASK = ("j1", 0, 0)
MAX_STARTS = 2
"""Number of starts of a task allowed after three executors crashed."""


SEEDS = (18, 118, *range(8))
BATCHES = 60


def play_random_day(seed):
    """Play crashing tasks amid restarts, pauses and crashes by chance."""
    rng = random.Random(seed)
    simulation = crash_simulation.CrashSimulation(seed=seed)
    simulation.renames = rng.random() < 0.5
    simulation.run_time = rng.choice([0.05, 0.2, 0.5])
    names = list(simulation.instances)
    for number in range(BATCHES):
        simulation.advance(rng.uniform(0.05, 0.4))
        if rng.random() < 0.12:
            task = (f"b{number}", 0, rng.randrange(2))
            simulation.crashing_tasks.add(task)
        event = rng.random()
        if event < 0.04:
            executor = rng.choice(list(simulation.executors.values()))
            simulation.crash(executor)
        elif event < 0.08:
            name = rng.choice(names)
            simulation.restart_instance(name, rng.uniform(0.2, 1.0))
        elif event < 0.10:
            instance = simulation.instances[rng.choice(names)]
            simulation.freeze(instance, rng.uniform(0.2, 1.5))
        rng.shuffle(names)
        count = rng.choice([1, 2, 3])
        timeout = rng.choice([1.5, 4.0, 30.0])
        simulation.call(names * 4, f"b{number}", count, timeout)
    simulation.advance(45.0)
    return simulation


class RandomCrashTest(unittest.TestCase):
    def test_no_history_has_a_task_started_too_often(self):
        for seed in SEEDS:
            simulation = play_random_day(seed)
            with self.subTest(seed=seed):
                self.assertEqual(simulation.duplicate_runs, [])
                for task in {run[:3] for _, run in simulation.starts}:
                    crashes = simulation.crashes_under(task)
                    late = [
                        at
                        for at in simulation.starts_of(task)
                        if len(crashes) >= 3 and at > crashes[2]
                    ]
                    self.assertLessEqual(len(late), MAX_STARTS, task)

    def test_no_executor_is_kept_apart_for_good(self):
        for seed in SEEDS:
            simulation = play_random_day(seed)
            simulation.run_time = 0.2
            up = [
                executor
                for executor in simulation.executors.values()
                if not executor.unreachable
            ]
            names = [
                name
                for name, instance in simulation.instances.items()
                if instance.alive
            ]
            simulation.call(names, "last", 2 * len(up), 20.0)
            simulation.advance(2.0)
            with self.subTest(seed=seed):
                for executor in up:
                    batches_there = {run[0] for run in executor.started_tasks}
                    self.assertIn("last", batches_there)


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

    def test_task_is_given_up_after_every_instance_was_restarted(self):
        self.simulation.call(["n-b"], "j1", 1, 1.5)
        self.simulation.advance(9.0)
        self.assertEqual(len(self.simulation.crashes), 2)
        for name in ("n-a", "n-b", "n-c"):
            self.simulation.restart_instance(name, 0.5)
            self.simulation.advance(4.0)
        reply = self.simulation.submit(
            self.simulation.instances["n-c"], "j1", 1, 20.0
        )
        self.simulation.advance(10.0)
        self.assert_state(reply, batches.FAILED)
        self.assertEqual(len(self.simulation.crashes), 2)

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

    def test_takeover_between_a_crash_and_the_return_under_another_name(self):
        self.simulation.renames = True
        reply = self.simulation.submit(self.gateway, "j1", 1, 60.0)
        self.simulation.advance(2.5)
        self.assertEqual(len(self.simulation.crashes), 2)
        self.planner.alive = False
        self.simulation.advance(5.0)
        self.assert_state(reply, batches.FAILED)
        self.assertEqual(len(self.simulation.crashes), 2)

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

    def test_crash_after_a_cut_does_not_count_for_runs_before_it(self):
        self.simulation.crashing_tasks.clear()
        self.simulation.run_time = 6.0
        reply = self.simulation.submit(self.gateway, "j1", 1, 40.0)
        cut = []
        for _ in range(2):
            self.simulation.advance(1.0)
            cut += [
                executor
                for executor in self.simulation.executors.values()
                if executor.runs
            ]
            self.simulation.refuse(cut[-1], 1.5)
            self.simulation.advance(2.5)
        self.assertEqual(len(set(cut)), 2)
        for executor in cut:
            self.assertEqual(tuple(executor.runs), ())
            self.simulation.crash(executor)
        self.simulation.advance(20.0)
        self.assert_state(reply, batches.COMPLETE)

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
