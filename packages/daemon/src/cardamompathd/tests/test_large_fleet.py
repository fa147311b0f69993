"""Partitions, failures and load in a fleet that plans by failure domain."""

import unittest

from cardamompath_core import batches
from cardamompathd import pool_messages
from cardamompathd.tests import pool_simulation

INSTANCES_PER_DOMAIN = 9
EXECUTORS_PER_DOMAIN = 8


def make_simulation(evacuations=False, cancellation_log=False):
    """Make a fleet with two failure domains that have two planners each."""
    simulation = pool_simulation.Simulation(
        ("a", "b"),
        evacuations=evacuations,
        cancellation_log=cancellation_log,
    )
    for domain in ("a", "b"):
        for index in range(1, INSTANCES_PER_DOMAIN):
            simulation.add_instance(f"n-{domain}{index}", domain, 2000 + index)
        for index in range(2, EXECUTORS_PER_DOMAIN):
            name = f"x-{domain}{index}"
            simulation.executors[name] = pool_simulation.FakeExecutor(
                simulation, name, domain
            )
    simulation.advance(3.0)
    return simulation


class LargeFleetTest(unittest.TestCase):
    def setUp(self):
        self.simulation = make_simulation()

    def tearDown(self):
        self.assertEqual(self.simulation.duplicate_runs, [])

    def find_planners(self):
        return {
            name
            for name, instance in self.simulation.instances.items()
            if instance.alive
            and len(instance.decisions_of("began to plan"))
            > len(instance.decisions_of("ended to plan"))
        }

    def assert_state(self, reply, state):
        outcome = self.simulation.answers.get(reply)
        self.assertIsNotNone(outcome, reply)
        self.assertEqual(outcome.state, state, outcome)

    def holders_of(self, name):
        return {
            instance.name
            for instance in self.simulation.instances.values()
            for decision in instance.decisions
            if decision.event == "executor held"
            and decision.fields["executor"] == name
        }

    def test_planner_reports_origins_in_other_domains(self):
        planner = self.simulation.instances["n-b"]
        batch = batches.Batch(
            "j1", "", pool_simulation.make_steps(), pool_simulation.POLICY
        )
        for origin, is_remote in (("n-a5", True), ("n-b5", False)):
            msg = pool_messages.PlanBatch(
                batch._replace(name=origin), origin, 0.0, 5.0, 0
            )
            sent = planner.controllers[pool_messages.PLANNER](
                msg, self.simulation.now
            )
            reported = [
                send.msg.name
                for send in sent
                if isinstance(send.msg, pool_messages.RemotePeerUsed)
            ]
            self.assertEqual(reported, [origin] if is_remote else [])

    def test_each_domain_has_its_planners(self):
        self.assertEqual(self.find_planners(), {"n-a", "n-a1", "n-b", "n-b1"})

    def test_partition_changes_no_planner_and_both_sides_serve(self):
        before = self.find_planners()
        self.simulation.partition("a", "b")
        self.simulation.advance(3.0)
        self.assertEqual(self.find_planners(), before)
        replies = [
            self.simulation.submit(
                self.simulation.instances[name], f"j-{name}"
            )
            for name in ("n-a5", "n-b5")
        ]
        self.simulation.advance(1.0)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)
        self.simulation.heal()
        self.simulation.advance(3.0)
        self.assertEqual(self.find_planners(), before)

    def test_batch_in_flight_at_a_partition_completes(self):
        self.simulation.run_time = 0.9
        reply = self.simulation.submit(self.simulation.instances["n-a5"], "j1")
        self.simulation.advance(0.2)
        self.simulation.partition("a", "b")
        self.simulation.advance(1.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_successor_takes_over_the_shard_and_its_runs(self):
        self.simulation.run_time = 0.9
        replies = [
            self.simulation.submit(
                self.simulation.instances["n-a5"], f"j{index}"
            )
            for index in range(4)
        ]
        self.simulation.advance(0.1)
        self.simulation.instances["n-a"].alive = False
        self.simulation.advance(1.2)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)
        self.assertIn("n-a2", self.find_planners())
        ended = self.simulation.instances["n-a1"].decisions_of("ended to plan")
        self.assertEqual(ended, [])
        unregistered = self.simulation.instances["n-a1"].decisions_of(
            "executor unregistered"
        )
        self.assertEqual(unregistered, [])

    def test_restarted_planner_leaves_its_shard_to_its_successor(self):
        self.simulation.instances["n-a"].alive = False
        self.simulation.advance(2.0)
        self.simulation.add_instance("n-a", "a", 9000)
        self.simulation.advance(3.0)
        self.assertEqual(self.find_planners(), {"n-a1", "n-a2", "n-b", "n-b1"})

    def isolate(self, name):
        """Partition an instance from all others, but not from executors."""
        for other in self.simulation.instances:
            if other != name:
                self.simulation.partition(name, other)

    def test_isolated_successor_does_not_fence_the_planners(self):
        self.isolate("n-a2")
        self.simulation.advance(3.0)
        for name in ("n-a", "n-a1"):
            fenced = self.simulation.instances[name].decisions_of("fenced")
            self.assertEqual(fenced, [])
        self.assertEqual(
            self.simulation.instances["n-a2"].decisions_of("began to plan"), []
        )

    def test_isolated_instance_does_not_fence_the_planners(self):
        self.isolate("n-a4")
        self.simulation.advance(3.0)
        for name in ("n-a", "n-a1"):
            fenced = self.simulation.instances[name].decisions_of("fenced")
            self.assertEqual(fenced, [])

    def test_shard_is_taken_over_if_planner_and_successor_die(self):
        for name in ("n-a", "n-a2"):
            self.simulation.instances[name].alive = False
        self.simulation.advance(1.5)
        self.assertIn("n-a3", self.find_planners())

    def test_planner_without_executors_gets_no_batches(self):
        for name, executor in self.simulation.executors.items():
            executor.unreachable = name.startswith("x-a")
        self.simulation.advance(25.0)
        reply = self.simulation.submit(self.simulation.instances["n-a5"], "j1")
        self.simulation.advance(1.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_batch_handed_over_waits_for_executors_of_other_planners(self):
        # Its tasks may still run on executors that a third planner takes over.
        self.simulation.run_time = 0.9
        replies = [
            self.simulation.submit(
                self.simulation.instances["n-a5"], f"j{index}"
            )
            for index in range(4)
        ]
        self.simulation.advance(0.1)
        for name in ("n-a", "n-a1"):
            self.simulation.instances[name].alive = False
            self.simulation.advance(0.02)
        self.simulation.advance(6.0)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)

    def test_batch_goes_to_another_domain_if_its_planners_are_busy(self):
        instance = self.simulation.instances["n-a5"]
        for name in ("n-a", "n-a1"):
            instance.receive(
                pool_messages.GATEWAY, pool_messages.BacklogChanged(name, 3.0)
            )
        reply = self.simulation.submit(instance, "j1")
        self.simulation.advance(1.0)
        self.assert_state(reply, batches.COMPLETE)
        planned = [
            name
            for name, other in self.simulation.instances.items()
            if other.decisions_of("batch planned")
        ]
        self.assertIn(planned[0], ("n-b", "n-b1"))

    def test_refused_batch_is_offered_to_one_other_planner(self):
        self.simulation.run_time = 3.0
        instance = self.simulation.instances["n-a5"]
        for index in range(4):
            self.simulation.submit(instance, f"long{index}", timeout=8.0)
        self.simulation.advance(0.3)
        for name in ("n-a", "n-a1"):
            instance.receive(
                pool_messages.GATEWAY, pool_messages.BacklogChanged(name, 0.0)
            )
        reply = self.simulation.submit(instance, "j1", timeout=4.0)
        self.simulation.advance(4.5)
        self.assertIsNotNone(self.simulation.answers.get(reply))
        asked = instance.decisions_of("asks another planner")
        self.assertLessEqual(len(asked), 4)
        self.assertTrue(all(decision.request for decision in asked))
