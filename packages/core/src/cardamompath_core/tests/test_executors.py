"""Resources of executors, routes, and estimated run times."""

import unittest

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import routes
from cardamompath_core import run_times


class ResourcesTest(unittest.TestCase):
    def test_each_resource_has_to_fit(self):
        free = executors.Resources(4000, 512, 1)
        self.assertTrue(
            executors.fits(executors.Resources(4000, 512, 1), free)
        )
        for needed in ((4001, 1, 0), (1, 513, 0), (1, 1, 2)):
            self.assertFalse(
                executors.fits(executors.Resources(*needed), free)
            )

    def test_add_reverses_subtract(self):
        free = executors.Resources(4000, 512, 1)
        needed = executors.Resources(1500, 64)
        left = executors.subtract(free, needed)
        self.assertEqual(executors.add(left, needed), free)

    def test_scarcest_resource_limits_the_count(self):
        free = executors.Resources(64000, 128, 0)
        needed = executors.Resources(27000, 64, 0)
        self.assertEqual(executors.count_fitting(needed, free), 2)
        with_accelerator = executors.Resources(1, 1, 1)
        self.assertEqual(executors.count_fitting(with_accelerator, free), 0)


class RouteTest(unittest.TestCase):
    def setUp(self):
        policy = batches.RoutePolicy("short", "desk")
        self.table = routes.make_table(
            3,
            [
                routes.Route("a.example", "/x/", 0.0, policy),
                routes.Route(
                    "a.example", "/x/y/", 0.0, policy._replace(route="long")
                ),
            ],
        )

    def test_longest_prefix_wins(self):
        found = self.table.find("a.example", "/x/y/1")
        self.assertEqual(found.policy.route, "long")
        found = self.table.find("A.example", "/x/1")
        self.assertEqual(found.policy.route, "short")

    def test_other_host_or_path_has_no_route(self):
        self.assertIsNone(self.table.find("b.example", "/x/1"))
        self.assertIsNone(self.table.find("a.example", "/z/1"))


class RunTimesTest(unittest.TestCase):
    def test_estimate_is_used_for_unknown_routes_only(self):
        times = run_times.RunTimes()
        self.assertAlmostEqual(times.expected("r", "a", 0.2, 10.0), 0.2)
        for _ in range(50):
            times.observe("r", "a", 0.0, 0.1, 10.0)
        self.assertAlmostEqual(times.expected("r", "a", 0.2, 10.0), 0.1, 2)

    def test_factor_of_a_model_applies_to_other_routes(self):
        times = run_times.RunTimes()
        for _ in range(100):
            times.observe("r", "fast", 0.0, 0.1, 10.0)
            times.observe("r", "slow", 0.0, 0.3, 10.0)
        fast = times.expected("new", "fast", 1.0, 10.0)
        slow = times.expected("new", "slow", 1.0, 10.0)
        self.assertGreater(slow / fast, 2.0)

    def test_straggler_changes_an_estimate_little(self):
        times = run_times.RunTimes()
        for _ in range(50):
            times.observe("r", "a", 0.0, 0.1, 10.0)
        times.observe("r", "a", 0.0, 50.0, 10.0)
        self.assertLess(times.expected("r", "a", 0.0, 10.0), 0.11)
