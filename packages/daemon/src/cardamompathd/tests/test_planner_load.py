"""What callers get from a planner while too much work arrives.

The traffic is that of the users' sites: short urgent batches, usual ones
and a few long ones.  The loads are multiples of its mean; bursts and waves
reach 1.3 to 2 times what the executors can do.
"""

import unittest

from cardamompath_core import pool_policy
from cardamompathd.tests import load_simulation

SECONDS = 12.0


UNEVEN_SITE = load_simulation.make_uneven_site(0.7, 1.7, 44)


class UnevenLoadTest(unittest.TestCase):
    def play(self, **choices):
        policy = pool_policy.PoolPolicy(
            placement=pool_policy.PlacementPolicy(**choices)
        )
        simulation = load_simulation.LoadSimulation(
            1, 0.8, 44, UNEVEN_SITE, policy
        )
        simulation.play(SECONDS)
        return simulation

    def test_batches_that_need_fast_executors_get_them(self):
        # Long batches started where they could only be late, while a fast
        # executor was about to have room.
        before = self.play().share_of("long")
        after = self.play(fitting=True)
        self.assertGreater(after.share_of("long"), before + 0.15)
        self.assertGreater(after.share_of("short"), 0.8)

    def test_reservations_are_bounded_and_used(self):
        # Room kept for many batches at a time takes it from all others.
        decisions = self.play(reservations=True).decisions
        count = highest = 0
        for event in [each.event for _, each in decisions]:
            if event == "reservation made":
                count += 1
                highest = max(highest, count)
            elif event.startswith("reservation"):
                count -= 1
        self.assertEqual(highest, 1)
        self.assertIn(
            "reservation used", [each.event for _, each in decisions]
        )


class PlannerLoadTest(unittest.TestCase):
    def play(self, load, seed=1):
        simulation = load_simulation.LoadSimulation(seed, load)
        simulation.play(SECONDS)
        return {
            kind.route: simulation.count(kind.route)
            for kind in load_simulation.KINDS
        }

    def test_everything_is_served_within_the_capacity(self):
        for route, count in self.play(0.8).items():
            with self.subTest(route=route):
                self.assertGreater(count.in_time + count.late, 0.97)
                self.assertLess(count.refused, 0.01)

    def test_started_batches_are_completed_under_overload(self):
        # Batches started some of their tasks in time, fell behind all that
        # arrived after them, and ended seconds later: 18 % of the short ones
        # at 1.5 times the mean load, 36 % at twice.
        for load in (1.5, 2.0):
            counts = self.play(load)
            for route in ("short", "usual"):
                with self.subTest(load=load, route=route):
                    self.assertLess(counts[route].failed, 0.02)

    def test_urgent_batches_are_served_under_overload(self):
        # Before priorities counted: 0.61 and 0.33 of the short batches in
        # time.
        counts = self.play(1.5)
        self.assertGreater(counts["short"].in_time, 0.7)
        counts = self.play(2.0)
        self.assertGreater(counts["short"].in_time, 0.6)
        self.assertGreater(counts["short"].worth, counts["long"].worth + 0.2)

    def test_batches_that_cannot_be_served_are_refused_as_they_arrive(self):
        # Long batches waited for 2.2 s until they were refused.
        count = self.play(2.0)["long"]
        self.assertGreater(count.refused, 0.3)
        self.assertLess(count.refusal_time, 0.2)
