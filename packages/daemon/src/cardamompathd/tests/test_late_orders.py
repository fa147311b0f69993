"""Orders that executors carry out late, also after they were restarted."""

import unittest

from cardamompathd import pool_messages
from cardamompathd.tests import pool_simulation
from cardamompathd.tests import test_large_fleet
from cardamompathd.tests import test_slow_planners

LENGTH = 5.0
"""Seconds of trouble in each run."""
LAGS = (0.0, 0.0, 0.1, 0.3, 0.6, 1.2)
"""Seconds by which an instance handles all that arrives too late."""
ORDERS = (
    pool_messages.StartRun,
    pool_messages.StopRun,
    pool_messages.HoldExecutor,
)


class LateOrderTest(unittest.TestCase):
    def setUp(self):
        self.simulation = pool_simulation.Simulation()
        self.origin = self.simulation.instances["n-b"]

    def tearDown(self):
        self.assertEqual(self.simulation.duplicate_runs, [])

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

    def test_start_of_before_a_restart_does_not_run_beside_another(self):
        for down_time in (0.01, 0.1, 0.3, 0.7):
            with self.subTest(down_time=down_time):
                self.setUp()
                self.simulation.run_time = 2.0
                self.simulation.order_delays = (0.8, 0.8)
                self.lose_orders(pool_messages.StartRun)
                self.simulation.submit(self.origin, "j", 1)
                self.simulation.advance(0.01)
                self.lose_orders()
                for executor in self.simulation.executors.values():
                    executor.crash(down_time)
                self.simulation.advance(5.0)
                self.assertEqual(self.simulation.duplicate_runs, [])

    def test_unanswered_start_delays_its_task_by_little(self):
        self.lose_orders(pool_messages.StartRun, pool_messages.StopRun)
        reply = self.simulation.submit(self.origin, "j")
        self.simulation.advance(0.01)
        self.lose_orders()
        self.simulation.advance(0.6)
        self.assertIn(reply, self.simulation.answers)


class RandomTroubleTest(unittest.TestCase):
    """Late orders, restarts, lags and cuts by chance, from fixed seeds."""

    def play(self, simulation, origins, disturbed):
        rng = simulation.rng
        for executor in simulation.executors.values():
            executor.slow_clock(rng.choice((1.0, 0.98)))
        simulation.run_time = 0.7
        end = simulation.now + LENGTH
        number = 0
        while simulation.now < end:
            self.disturb(simulation, rng, disturbed)
            for name in origins:
                if rng.random() < 0.5:
                    others = rng.sample(origins, len(origins))
                    simulation.call([name, *others], f"j{number}", 2)
                    number += 1
            simulation.advance(rng.uniform(0.05, 0.5))
        simulation.lags.clear()
        simulation.heal()
        simulation.advance(6.0)
        self.assertEqual(simulation.duplicate_runs, [])

    def disturb(self, simulation, rng, disturbed):
        executor = rng.choice([*simulation.executors.values()])
        name = rng.choice(disturbed)
        kind = rng.random()
        if kind < 0.35:
            kinds = [order for order in ORDERS if rng.random() < 0.6]
            executor.late_shares = dict.fromkeys(kinds, rng.uniform(0.1, 1.0))
        elif kind < 0.55:
            if not executor.unreachable:
                executor.crash(rng.choice((0.01, 0.1, 0.5, 1.0, 2.5)))
        elif kind < 0.65:
            if simulation.instances[name].alive:
                simulation.restart_instance(name, rng.uniform(0.05, 2.0))
        elif kind < 0.75:
            simulation.lags[name] = rng.choice(LAGS)
        elif kind < 0.85:
            simulation.partition(name, rng.choice(disturbed))
        elif kind < 0.95:
            simulation.heal()
        else:
            simulation.break_connections(simulation.instances[name])

    def test_no_task_runs_twice_in_a_small_fleet(self):
        names = ("n-a", "n-b", "n-c")
        for seed in range(30, 140):
            with self.subTest(seed=seed):
                simulation = pool_simulation.Simulation(seed=seed)
                self.play(simulation, names[1:], names)

    def play_pool(self, seed):
        simulation = test_slow_planners.make_pool()
        simulation.rng.seed(seed)
        planners = ("n-a", "n-b", "n-c", "n-a1", "n-b1")
        origins = ("n-a2", "n-b2", "n-c2")
        self.play(simulation, origins, (*planners, "n-a2", "n-c2"))

    def test_no_task_runs_twice_in_a_pool(self):
        for seed in (3, 23, 73, *range(90, 102)):
            with self.subTest(seed=seed):
                self.play_pool(seed)

    def test_no_task_runs_twice_though_a_withdrawal_is_read_late(self):
        self.play_pool(107)

    def test_no_task_runs_twice_in_a_large_fleet(self):
        for seed in (25, 39, 50, 51):
            with self.subTest(seed=seed):
                simulation = test_large_fleet.make_simulation()
                simulation.rng.seed(seed)
                planners = ("n-a", "n-a1", "n-b", "n-b1")
                origins = ("n-a5", "n-a6", "n-b5", "n-b6")
                self.play(simulation, origins, (*planners, "n-a5", "n-b5"))


if __name__ == "__main__":
    unittest.main()
