"""Room kept for a large task, while it fills and while failures occur."""

import unittest

from cardamompath_core import planner_election
from cardamompath_core import pool_policy
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.tests import load_simulation

SITE = load_simulation.Site(
    capacities=(32000,), models=("m",), speeds={"m": 1.0}, kinds=()
)
POLICY = pool_policy.PoolPolicy(
    placement=pool_policy.PlacementPolicy(reservations=True)
)


def make_kind(route, priority=1):
    return load_simulation.Kind(route, 1.0, 1.0, 0.2, 1.0, priority, 5.0)


class ReservationTest(unittest.TestCase):
    def setUp(self):
        self.play = load_simulation.LoadSimulation(
            executor_count=1, site=SITE, policy=POLICY
        )
        # The two runs end 0.1 s apart, so that a gap opens in between.
        self.submit("first", 0.2, 16000)
        self.play.run_until(self.play.now + 0.05)
        self.submit("second", 0.3, 16000)
        self.play.run_until(self.play.now + 0.05)
        self.large = self.submit("large", 0.3, 24000)
        self.small = self.submit("small", 0.4, 10000)
        self.play.run_until(self.play.now + 0.15)

    def submit(self, route, seconds, cpu, priority=1):
        kind = make_kind(route, priority)
        return self.play.submit(kind, [seconds], cpu, seconds)

    def events(self):
        return [
            (each.event, each.fields.get("reason"))
            for _, each in self.play.decisions
            if each.event.startswith("reservation")
        ]

    def started(self, name):
        return self.play.requests[name].starts.get(0)

    def test_gap_is_kept_until_the_large_task_fits(self):
        # Without it the small task takes the gap, and the large one waits for
        # its end as well.
        self.assertEqual(self.events(), [("reservation made", None)])
        self.play.run_until(self.play.now + 2.0)
        self.assertEqual(self.events()[-1], ("reservation used", None))
        self.assertLess(self.started(self.large), self.started(self.small))

    def test_task_that_ends_before_fills_the_gap(self):
        # A gap that nothing may fill is lost to everyone.
        name = self.submit("tiny", 0.02, 10000)
        self.play.run_until(self.play.now + 0.02)
        self.assertIsNotNone(self.started(name))
        self.assertIsNone(self.started(self.large))

    def test_earlier_priority_is_not_held_up(self):
        # Short urgent batches would wait for long ones.
        name = self.submit("urgent", 0.4, 10000, priority=0)
        self.play.run_until(self.play.now + 0.02)
        self.assertIsNotNone(self.started(name))

    def test_reservation_ends_if_its_run_does_not(self):
        # Room that never comes would keep others waiting for good.
        for executor in self.play.executors.values():
            executor.runs.clear()
            executor.pending_hold = None
        self.play.run_until(self.play.now + 0.4)
        self.assertIn(self.events()[1][0], {"reservation expired"})
        self.assertIn(self.events()[1][1], {"time limit", "room not in time"})

    def test_reservation_ends_as_the_executor_drains(self):
        spec = next(iter(self.play.executors.values())).spec
        drained = spec._replace(state="draining")
        self.play.tell(
            pool_messages.ExecutorsListed((drained,), self.play.now)
        )
        self.submit("other", 0.1, 10000)
        self.assertEqual(
            self.events()[1], ("reservation expired", "executor not usable")
        )

    def test_reservation_ends_as_the_executor_is_lost(self):
        self.play.tell(pool_messages.ExecutorsListed((), self.play.now))
        self.submit("other", 0.1, 10000)
        self.assertEqual(
            self.events()[1], ("reservation expired", "executor not usable")
        )

    def test_reservations_are_lost_as_the_planner_ends(self):
        # One of a former term would keep room for a batch that has left.
        own = planner_election.Member("n-a", "a", ("a", 1), 1, leaving=True)
        other = planner_election.Member("n-b", "a", ("b", 1), 1)
        view = fleet_views.make_view(own, (own, other), ())
        self.play.tell(view)
        self.play.run_until(self.play.now + 1.0)
        self.assertIn(
            "ended to plan", [each.event for _, each in self.play.decisions]
        )
        self.play.tell(fleet_views.make_view(own, (own,), ()))
        self.play.run_until(self.play.now + 1.0)
        self.submit("other", 0.1, 10000)
        self.assertEqual(self.events(), [("reservation made", None)])


if __name__ == "__main__":
    unittest.main()
