"""Where a planner starts tasks, and the backlog that it reports."""

import itertools
import unittest
from unittest import mock

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompath_core import pool_policy
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.planner import planner
from cardamompathd.controllers.planner import planner_order

OWN_MEMBER = planner_election.Member("n-a", "a", ("a", 1), 1)
REMOTE_RACK_FACTOR = 3.0


def make_executor(name, *labels, cpu=8000):
    capacity = executors.Resources(cpu, 1024)
    return executors.Executor(
        name, "desk", "a", (name, 2), 1, "ready", capacity, ("m", *labels)
    )


class DispatchTest(unittest.TestCase):
    policy = None

    def setUp(self):
        self.now = 10.0
        tokens = itertools.count(7)
        controller = planner.make_controller(
            "n-a",
            lambda: next(tokens),
            0.0,
            REMOTE_RACK_FACTOR,
            policy=self.policy,
        )
        self.receive = controller.receive
        self.sent = []

    def tell(self, msg):
        sends = self.receive(msg, self.now)
        self.sent += [send.msg for send in sends]
        for send in sends:
            if isinstance(send.msg, pool_messages.HoldExecutor):
                self.answer_hold(send.msg)
        return [send.msg for send in sends]

    def answer_hold(self, msg):
        if msg.wait > 0.0:
            return
        answer = pool_messages.HoldAnswered(
            msg.executor.name, msg.token, 1, self.now, (), ()
        )
        self.tell(answer)

    def list_executors(self, *specs):
        self.tell(pool_messages.ExecutorsListed(specs, self.now))
        self.tell(fleet_views.make_view(OWN_MEMBER, (OWN_MEMBER,), ()))
        self.tick()

    def tick(self):
        self.now += 0.05
        return self.tell(messages.TimerFired("tick"))

    def plan_batch(self, name="j", count=1, cpu=4000, rack=""):
        step = batches.Step(count, executors.Resources(cpu, 1), 0.2, rack=rack)
        policy = batches.RoutePolicy("r", "desk", 0, 2, 1.6, 0.06)
        batch = batches.Batch(name, "", (step,), policy)
        before = len(self.sent)
        self.tell(pool_messages.PlanBatch(batch, "n-a", 0.0, 9.0, 0))
        return [
            msg.executor.name
            for msg in self.sent[before:]
            if isinstance(msg, pool_messages.StartRun)
        ]

    def backlogs(self):
        return [
            msg.backlog
            for msg in self.sent
            if isinstance(msg, pool_messages.BacklogMeasured)
        ]

    def failed_batches(self):
        return [
            msg.name
            for msg in self.sent
            if isinstance(msg, pool_messages.BatchEnded)
            and msg.outcome.state == batches.FAILED
        ]

    def test_shrunken_capacity_fails_no_batch(self):
        self.list_executors(make_executor("x1"), make_executor("x2"))
        self.list_executors(make_executor("x1", cpu=0))
        self.plan_batch()
        self.assertEqual(self.failed_batches(), [])

    def test_batch_that_never_fitted_fails(self):
        self.list_executors(make_executor("x1"), make_executor("x2", cpu=0))
        self.plan_batch(cpu=9000)
        self.assertIn("j", self.failed_batches())

    def test_task_starts_on_the_rack_of_its_data(self):
        self.list_executors(
            make_executor("x1", "r1"), make_executor("x2", "r2")
        )
        self.assertEqual(self.plan_batch("j1", rack="r2"), ["x2"])
        self.assertEqual(self.plan_batch("j2", rack="r1"), ["x1"])

    def test_task_starts_on_another_rack_if_that_of_its_data_is_full(self):
        self.list_executors(
            make_executor("x1", "r1", cpu=4000),
            make_executor("x2", "r2"),
        )
        self.assertEqual(self.plan_batch("j1", rack="r1"), ["x1"])
        self.assertEqual(self.plan_batch("j2", rack="r1"), ["x2"])

    def test_executor_with_least_free_resources_is_used_first(self):
        self.list_executors(make_executor("x1"), make_executor("x2", cpu=5000))
        self.assertEqual(self.plan_batch(), ["x2"])

    def test_backlog_is_reported_when_it_changes(self):
        self.list_executors(make_executor("x1"))
        self.plan_batch("j1", count=2)
        self.tick()
        self.assertEqual(self.backlogs(), [])
        self.plan_batch("j2", count=4)
        self.tick()
        self.assertGreater(self.backlogs()[-1], 0.0)

    def test_planner_without_executors_counts_as_busy(self):
        self.list_executors()
        self.assertGreater(self.backlogs()[-1], 5.0)

    def test_planner_reports_its_shard(self):
        self.list_executors(make_executor("x1"))
        changes = [
            msg
            for msg in self.sent
            if isinstance(msg, pool_messages.ShardChanged)
        ]
        self.assertEqual(changes, [pool_messages.ShardChanged(0)])


class FittingTest(DispatchTest):
    """The same with tasks that wait for a better executor."""

    policy = pool_policy.PoolPolicy(
        placement=pool_policy.PlacementPolicy(fitting=True)
    )

    def test_batches_that_fit_nowhere_are_not_ranked(self):
        # Ranking all waiting batches took most of the time of a dispatch.
        self.list_executors(make_executor("x1", cpu=7000))
        self.plan_batch("j1")
        self.assertEqual(self.plan_batch("large"), [])
        with mock.patch.object(
            planner_order, "rank", wraps=planner_order.rank
        ) as rank:
            self.assertEqual(self.plan_batch("j2", cpu=2000), ["x1"])
        ranked = [call.args[1].name for call in rank.call_args_list]
        self.assertEqual(ranked, ["j2"])

    def test_task_waits_for_its_rack_until_that_is_booked(self):
        # Elsewhere it takes three times as long and is late; a second task
        # that waited for the same room would be as late.
        self.list_executors(
            make_executor("x1", "r1", cpu=4000),
            make_executor("x2", "r2"),
        )
        self.assertEqual(self.plan_batch("j1", rack="r1"), ["x1"])
        self.now += 0.15
        self.assertEqual(self.plan_batch("j2", rack="r1"), [])
        self.assertEqual(self.plan_batch("j3", rack="r1"), ["x2"])


class FittingReservationsTest(DispatchTest):
    """The same with room kept for large tasks as well."""

    policy = pool_policy.PoolPolicy(
        placement=pool_policy.PlacementPolicy(fitting=True, reservations=True)
    )

    def test_task_that_fits_but_waits_gets_no_reservation(self):
        # Executors stood empty for tasks that waited for a better one.
        self.list_executors(
            make_executor("x1", "r1"), make_executor("x2", "r2")
        )
        self.assertEqual(self.plan_batch("j1", cpu=8000, rack="r1"), ["x1"])
        self.now += 0.15
        self.assertEqual(self.plan_batch("small", cpu=2000, rack="r1"), [])
        self.assertEqual(self.plan_batch("large", cpu=4000, rack="r1"), [])
        made = [
            msg
            for msg in self.sent
            if isinstance(msg, pool_messages.Decision)
            and msg.event == "reservation made"
        ]
        self.assertEqual(made, [])
