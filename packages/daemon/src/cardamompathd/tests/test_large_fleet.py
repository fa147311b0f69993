"""A fleet that plans by failure domain: cuts, losses, loads."""

import unittest

from cardamompath_core import batches
from cardamompathd import pool_messages
from cardamompathd.tests import pool_simulation

EACH = 9
EXECUTORS = 8


def make_world():
    """Make two failure domains with two planners each."""
    world = pool_simulation.World(("a", "b"))
    for domain in ("a", "b"):
        for index in range(1, EACH):
            world.add_node(f"n-{domain}{index}", domain, 2000 + index)
        for index in range(2, EXECUTORS):
            name = f"x-{domain}{index}"
            world.executors[name] = pool_simulation.FakeExecutor(
                world, name, domain
            )
    world.run(3.0)
    return world


class LargeFleetTest(unittest.TestCase):
    def setUp(self):
        self.world = make_world()

    def tearDown(self):
        self.assertEqual(self.world.twice, [])

    def planning(self):
        return {
            name
            for name, node in self.world.nodes.items()
            if node.alive
            and len(node.events("began to plan"))
            > len(node.events("ended to plan"))
        }

    def assert_state(self, reply, state):
        outcome = self.world.answers.get(reply)
        self.assertIsNotNone(outcome, reply)
        self.assertEqual(outcome.state, state, outcome)

    def holders(self, name):
        return {
            node.name
            for node in self.world.nodes.values()
            for note in node.notes
            if note.event == "executor held"
            and note.fields["executor"] == name
        }

    def test_each_domain_has_its_planners(self):
        self.assertEqual(self.planning(), {"n-a", "n-a1", "n-b", "n-b1"})

    def test_cut_changes_no_planner_and_both_sides_serve(self):
        before = self.planning()
        self.world.cut("a", "b")
        self.world.run(3.0)
        self.assertEqual(self.planning(), before)
        replies = [
            self.world.submit(self.world.nodes[name], f"j-{name}")
            for name in ("n-a5", "n-b5")
        ]
        self.world.run(1.0)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)
        self.world.heal()
        self.world.run(3.0)
        self.assertEqual(self.planning(), before)

    def test_batch_in_flight_at_a_cut_is_not_disturbed(self):
        self.world.work = 0.9
        reply = self.world.submit(self.world.nodes["n-a5"], "j1")
        self.world.run(0.2)
        self.world.cut("a", "b")
        self.world.run(1.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_successor_takes_the_place_and_what_runs_there(self):
        self.world.work = 0.9
        replies = [
            self.world.submit(self.world.nodes["n-a5"], f"j{one}")
            for one in range(4)
        ]
        self.world.run(0.1)
        self.world.nodes["n-a"].alive = False
        self.world.run(1.2)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)
        self.assertIn("n-a2", self.planning())
        ended = self.world.nodes["n-a1"].events("ended to plan")
        self.assertEqual(ended, [])
        unregistered = self.world.nodes["n-a1"].events("executor unregistered")
        self.assertEqual(unregistered, [])

    def test_restarted_planner_leaves_its_place_to_its_successor(self):
        self.world.nodes["n-a"].alive = False
        self.world.run(2.0)
        self.world.add_node("n-a", "a", 9000)
        self.world.run(3.0)
        self.assertEqual(self.planning(), {"n-a1", "n-a2", "n-b", "n-b1"})

    def isolate(self, name):
        """Cut an instance from all others, but not from executors."""
        for other in self.world.nodes:
            if other != name:
                self.world.cut(name, other)

    def test_isolated_successor_takes_nothing_from_the_planners(self):
        self.isolate("n-a2")
        self.world.run(3.0)
        for name in ("n-a", "n-a1"):
            fenced = self.world.nodes[name].events("fenced")
            self.assertEqual(fenced, [])
        self.assertEqual(self.world.nodes["n-a2"].events("began to plan"), [])

    def test_isolated_instance_takes_nothing_from_the_planners(self):
        self.isolate("n-a4")
        self.world.run(3.0)
        for name in ("n-a", "n-a1"):
            fenced = self.world.nodes[name].events("fenced")
            self.assertEqual(fenced, [])

    def test_place_is_taken_when_a_planner_and_its_successor_die(self):
        for name in ("n-a", "n-a2"):
            self.world.nodes[name].alive = False
        self.world.run(1.5)
        self.assertIn("n-a3", self.planning())

    def test_planner_without_executors_gets_no_batches(self):
        for name, one in self.world.executors.items():
            one.dark = name.startswith("x-a")
        self.world.run(25.0)
        reply = self.world.submit(self.world.nodes["n-a5"], "j1")
        self.world.run(1.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_batch_handed_on_waits_for_what_other_planners_hold(self):
        # Its tasks may run on executors that a third planner takes over.
        self.world.work = 0.9
        replies = [
            self.world.submit(self.world.nodes["n-a5"], f"j{one}")
            for one in range(4)
        ]
        self.world.run(0.1)
        for name in ("n-a", "n-a1"):
            self.world.nodes[name].alive = False
            self.world.run(0.02)
        self.world.run(6.0)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)

    def test_busy_planners_leave_a_batch_to_another_domain(self):
        node = self.world.nodes["n-a5"]
        for name in ("n-a", "n-a1"):
            node.tell(
                pool_messages.GATEWAY, pool_messages.BacklogChanged(name, 3.0)
            )
        reply = self.world.submit(node, "j1")
        self.world.run(1.0)
        self.assert_state(reply, batches.COMPLETE)
        planned = [
            name
            for name, one in self.world.nodes.items()
            if one.events("batch planned")
        ]
        self.assertIn(planned[0], ("n-b", "n-b1"))

    def test_refused_batch_is_offered_to_one_other_planner(self):
        self.world.work = 3.0
        node = self.world.nodes["n-a5"]
        for one in range(4):
            self.world.submit(node, f"long{one}", wait=8.0)
        self.world.run(0.3)
        for name in ("n-a", "n-a1"):
            node.tell(
                pool_messages.GATEWAY, pool_messages.BacklogChanged(name, 0.0)
            )
        reply = self.world.submit(node, "j1", wait=4.0)
        self.world.run(4.5)
        self.assertIsNotNone(self.world.answers.get(reply))
        asked = node.events("asks another planner")
        self.assertLessEqual(len(asked), 4)
        self.assertTrue(all(one.request for one in asked))
