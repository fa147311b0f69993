"""Rooms on executors, routes, and learned run times."""

import unittest

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import routes
from cardamompath_core import run_times


class RoomTest(unittest.TestCase):
    def test_every_part_of_a_room_has_to_fit(self):
        free = executors.Resources(4000, 512, 1)
        self.assertTrue(
            executors.fits(executors.Resources(4000, 512, 1), free)
        )
        for wanted in ((4001, 1, 0), (1, 513, 0), (1, 1, 2)):
            self.assertFalse(
                executors.fits(executors.Resources(*wanted), free)
            )

    def test_adding_takes_subtracting_back(self):
        free = executors.Resources(4000, 512, 1)
        wanted = executors.Resources(1500, 64)
        left = executors.subtract(free, wanted)
        self.assertEqual(executors.add(left, wanted), free)

    def test_scarcest_part_limits_the_count(self):
        free = executors.Resources(64000, 128, 0)
        wanted = executors.Resources(27000, 64, 0)
        self.assertEqual(executors.count_fitting(wanted, free), 2)
        none = executors.Resources(1, 1, 1)
        self.assertEqual(executors.count_fitting(none, free), 0)


class RouteTest(unittest.TestCase):
    def setUp(self):
        terms = batches.RoutePolicy("short", "desk")
        self.table = routes.make_table(
            3,
            [
                routes.Route("a.example", "/x/", 0.0, terms),
                routes.Route(
                    "a.example", "/x/y/", 0.0, terms._replace(route="long")
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
    def test_estimate_serves_unknown_routes_only(self):
        times = run_times.RunTimes()
        self.assertAlmostEqual(times.expected("r", "a", 0.2), 0.2)
        for _ in range(50):
            times.observe("r", "a", 0.1)
        self.assertAlmostEqual(times.expected("r", "a", 0.2), 0.1, 2)

    def test_factor_of_a_kind_carries_over_to_other_routes(self):
        times = run_times.RunTimes()
        for _ in range(100):
            times.observe("r", "fast", 0.1)
            times.observe("r", "slow", 0.3)
        fast = times.expected("new", "fast", 1.0)
        slow = times.expected("new", "slow", 1.0)
        self.assertGreater(slow / fast, 2.0)

    def test_straggler_moves_an_estimate_little(self):
        times = run_times.RunTimes()
        for _ in range(50):
            times.observe("r", "a", 0.1)
        times.observe("r", "a", 50.0)
        self.assertLess(times.expected("r", "a", 0.0), 0.11)
