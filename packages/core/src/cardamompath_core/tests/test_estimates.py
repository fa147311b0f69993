import random
import unittest

from cardamompath_core import estimates


class EstimatesTest(unittest.TestCase):
    def setUp(self):
        self.learned = estimates.Estimates()

    def test_declared_counts_for_unknown_kinds_only(self):
        self.assertEqual(2.0, self.learned.size("report", 2.0))
        self.learned.observe("report", "b0", 0.1)
        self.assertAlmostEqual(0.1, self.learned.size("report", 2.0))

    def test_straggler_moves_the_estimate_little(self):
        for _ in range(50):
            self.learned.observe("confirm", "b0", 0.1)
        self.learned.observe("confirm", "b0", 3.0)
        self.assertLess(self.learned.size("confirm", None), 0.105)

    def test_speeds_and_sizes_are_told_apart(self):
        rng = random.Random(1)
        sizes = {"confirm": 0.05, "fitting": 1.0}
        speeds = {"slow": 1.0, "fast": 4.0}
        for _ in range(1000):
            kind, server = rng.choice([*sizes]), rng.choice([*speeds])
            took = sizes[kind] / speeds[server] * rng.uniform(0.8, 1.2)
            self.learned.observe(kind, server, took)
        ratio = self.learned.speed("fast") / self.learned.speed("slow")
        self.assertAlmostEqual(4.0, ratio, delta=0.8)
        size = self.learned.size
        self.assertAlmostEqual(
            20.0, size("fitting", None) / size("confirm", None), delta=4.0
        )

    def test_a_crowd_does_not_teach_that_waiting_is_usual(self):
        servers = [f"b{one}" for one in range(6)]
        for took in (0.1, 0.2):
            for _ in range(40):
                for server in servers:
                    self.learned.observe("confirm", server, took)
        for server in servers:
            expected = self.learned.size("confirm", None)
            expected /= self.learned.speed(server)
            self.assertLess(expected, 0.15)

    def test_task_that_does_not_end_makes_its_server_slow(self):
        for server in ("slow", "other", "third"):
            self.learned.observe("confirm", server, 0.1)
        self.learned.observe_running("slow", 0.1, 1.0)
        ratio = self.learned.speed("slow") / self.learned.speed("other")
        self.assertAlmostEqual(0.1, ratio, delta=0.01)
        for _ in range(200):
            self.learned.drift_to_mean("slow", 0.02)
        self.assertGreater(self.learned.speed("slow"), 0.8)

    def test_number_of_kinds_is_bounded(self):
        for one in range(estimates.MAX_KINDS + 10):
            self.learned.observe(f"kind-{one}", "b0", 0.1)
        self.assertFalse(self.learned.has_seen(f"kind-{estimates.MAX_KINDS}"))
