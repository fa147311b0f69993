import random
import unittest

from cardamompath_core import estimates


class EstimatesTest(unittest.TestCase):
    def setUp(self):
        self.estimates = estimates.Estimates()

    def test_declared_time_is_used_for_unknown_kinds_only(self):
        self.assertEqual(2.0, self.estimates.size("report", 2.0))
        self.estimates.observe("report", "b0", 0.1)
        self.assertAlmostEqual(0.1, self.estimates.size("report", 2.0))

    def test_straggler_changes_the_estimate_little(self):
        for _ in range(50):
            self.estimates.observe("confirm", "b0", 0.1)
        self.estimates.observe("confirm", "b0", 3.0)
        self.assertLess(self.estimates.size("confirm", None), 0.105)

    def test_speeds_and_sizes_are_separated(self):
        rng = random.Random(1)
        sizes = {"confirm": 0.05, "fitting": 1.0}
        speeds = {"slow": 1.0, "fast": 4.0}
        for _ in range(1000):
            kind, server = rng.choice([*sizes]), rng.choice([*speeds])
            elapsed = sizes[kind] / speeds[server] * rng.uniform(0.8, 1.2)
            self.estimates.observe(kind, server, elapsed)
        ratio = self.estimates.speed("fast") / self.estimates.speed("slow")
        self.assertAlmostEqual(4.0, ratio, delta=0.8)
        size = self.estimates.size
        self.assertAlmostEqual(
            20.0, size("fitting", None) / size("confirm", None), delta=4.0
        )

    def test_overload_does_not_raise_the_estimates_of_all_tasks(self):
        servers = [f"b{number}" for number in range(6)]
        for elapsed in (0.1, 0.2):
            for _ in range(40):
                for server in servers:
                    self.estimates.observe("confirm", server, elapsed)
        for server in servers:
            expected = self.estimates.size("confirm", None)
            expected /= self.estimates.speed(server)
            self.assertLess(expected, 0.15)

    def test_task_that_does_not_end_lowers_the_speed_of_its_server(self):
        for server in ("slow", "other", "third"):
            self.estimates.observe("confirm", server, 0.1)
        self.estimates.observe_running("slow", 0.1, 1.0)
        ratio = self.estimates.speed("slow") / self.estimates.speed("other")
        self.assertAlmostEqual(0.1, ratio, delta=0.01)
        for _ in range(200):
            self.estimates.drift_to_mean("slow", 0.02)
        self.assertGreater(self.estimates.speed("slow"), 0.8)

    def test_number_of_kinds_is_bounded(self):
        for number in range(estimates.MAX_KINDS + 10):
            self.estimates.observe(f"kind-{number}", "b0", 0.1)
        self.assertFalse(
            self.estimates.has_seen(f"kind-{estimates.MAX_KINDS}")
        )
