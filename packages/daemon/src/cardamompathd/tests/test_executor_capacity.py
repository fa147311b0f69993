"""Executors whose capacity changes while they run tasks."""

import unittest

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompathd.tests import pool_simulation

FULL = 16000
SMALL = 4000
TASK_CPU = 4000


class ExecutorCapacityTest(unittest.TestCase):
    def setUp(self):
        self.simulation = pool_simulation.Simulation()
        self.instance = self.simulation.instances["n-b"]
        self.most_cpu = {}
        """Most CPU that was in use on each executor after a start."""
        self.simulation.check_duplicates = self.record_use
        self.resize(FULL)
        self.simulation.run_time = 0.5

    def record_use(self, run):
        for name, executor in self.simulation.executors.items():
            if run in executor.runs:
                used = TASK_CPU * len(executor.runs)
                self.most_cpu[name] = max(self.most_cpu.get(name, 0), used)

    def resize(self, cpu):
        """Change what all executors say of their capacity.

        They do not enforce it: each accepts all starts.
        """
        for executor in self.simulation.executors.values():
            capacity = executors.Resources(cpu, 32768)
            executor.spec = executor.spec._replace(capacity=capacity)
            executor.accepts_all = True
        self.simulation.advance(1.0)

    def run_batches(self, prefix, count, tasks):
        replies = [
            self.simulation.submit(self.instance, f"{prefix}{n}", tasks, 20.0)
            for n in range(count)
        ]
        self.simulation.advance(8.0)
        return [self.simulation.answers[reply].state for reply in replies]

    def test_no_start_exceeds_a_capacity_that_shrank(self):
        self.resize(SMALL)
        self.run_batches("j", 4, 6)
        self.assertLessEqual(max(self.most_cpu.values()), SMALL)

    def test_runs_that_go_on_count_against_a_capacity_that_shrank(self):
        self.simulation.run_time = 3.0
        self.simulation.submit(self.instance, "j0", 24, 20.0)
        self.simulation.advance(0.5)
        self.resize(2 * TASK_CPU)
        self.most_cpu.clear()
        self.simulation.submit(self.instance, "j1", 6, 20.0)
        self.simulation.advance(1.0)
        self.assertEqual(self.most_cpu, {})
        self.simulation.advance(4.0)
        self.simulation.run_time = 0.1
        self.run_batches("k", 4, 6)
        self.assertEqual(max(self.most_cpu.values()), 2 * TASK_CPU)

    def test_capacity_that_grew_again_is_used(self):
        self.resize(SMALL)
        self.resize(FULL)
        states = self.run_batches("j", 1, 24)
        self.assertEqual(states, [batches.COMPLETE])
        self.assertEqual(max(self.most_cpu.values()), FULL)

    def test_capacity_that_grew_beyond_the_first_one_is_used(self):
        self.resize(2 * FULL)
        self.run_batches("j", 1, 48)
        self.assertEqual(max(self.most_cpu.values()), 2 * FULL)

    def test_capacity_of_another_kind_of_boot_is_taken_over(self):
        for executor in self.simulation.executors.values():
            executor.crash(0.3)
        self.simulation.advance(0.35)
        # The answers to holds show the new boot before the list does.
        self.resize(SMALL)
        self.run_batches("j", 4, 6)
        self.assertLessEqual(max(self.most_cpu.values()), SMALL)

    def test_batch_that_fits_the_full_capacity_does_not_fail_without_it(self):
        self.resize(TASK_CPU - 1)
        (state,) = self.run_batches("j", 1, 2)
        self.assertEqual(state, batches.REFUSED)
        self.resize(FULL)
        (state,) = self.run_batches("k", 1, 2)
        self.assertEqual(state, batches.COMPLETE)


if __name__ == "__main__":
    unittest.main()
