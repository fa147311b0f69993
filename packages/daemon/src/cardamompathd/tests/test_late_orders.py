"""Orders that executors carry out late."""

import unittest

from cardamompathd import pool_messages
from cardamompathd.tests import pool_simulation


class LateOrderTest(unittest.TestCase):
    def setUp(self):
        self.simulation = pool_simulation.Simulation()
        self.origin = self.simulation.instances["n-b"]

    def lose_orders(self, *kinds):
        for executor in self.simulation.executors.values():
            executor.late_shares = dict.fromkeys(kinds, 1.0)

    def find_runs(self, batch):
        return [
            run
            for executor in self.simulation.executors.values()
            for run in executor.runs
            if run.batch == batch
        ]

    def test_starts_beside_a_run_do_not_outlast_its_lost_stop(self):
        self.simulation.run_time = 9.0
        reply = self.simulation.submit(self.origin, "j", 1)
        self.simulation.advance(0.1)
        self.lose_orders(pool_messages.StopRun)
        self.origin.receive(
            pool_messages.GATEWAY, pool_messages.WithdrawBatch(reply)
        )
        self.simulation.run_time = 0.05
        for number in range(12):
            self.simulation.submit(self.origin, f"k{number}", 11)
            self.simulation.advance(0.15)
        self.assertEqual(self.find_runs("j"), [])


if __name__ == "__main__":
    unittest.main()
