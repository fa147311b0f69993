"""Batches under failures of instances, links, executors and the store.

Each test is a row of the table of failures in docs/PLATFORM.md.
"""

import unittest

from cardamompath_core import batches
from cardamompathd import pool_messages
from cardamompathd.tests import pool_simulation


class PoolFailureTest(unittest.TestCase):
    def setUp(self):
        self.world = pool_simulation.World()
        self.planner = self.world.nodes["n-a"]
        self.entry = self.world.nodes["n-b"]

    def tearDown(self):
        self.assertEqual(self.world.twice, [])

    def assert_state(self, reply, state):
        outcome = self.world.answers.get(reply)
        self.assertIsNotNone(outcome, reply)
        self.assertEqual(outcome.state, state, outcome)

    def planning(self):
        return [
            name
            for name, node in self.world.nodes.items()
            if node.alive
            and len(node.events("began to plan"))
            > len(node.events("ended to plan"))
        ]

    def test_the_most_senior_instance_plans_for_all(self):
        reply = self.world.submit(self.entry, "j1", 4)
        self.world.run(0.5)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.planning(), ["n-a"])

    def test_planner_killed_before_any_start(self):
        self.planner.alive = False
        reply = self.world.submit(self.entry, "j1")
        self.world.run(2.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_planner_killed_while_tasks_run(self):
        self.world.work = 0.9
        reply = self.world.submit(self.entry, "j1", 4)
        self.world.run(0.1)
        self.planner.alive = False
        self.world.run(3.0)
        self.assert_state(reply, batches.COMPLETE)
        adopted = self.world.nodes["n-b"].events("run adopted")
        self.assertEqual(len(adopted), 4)

    def test_frozen_planner_learns_that_it_was_replaced(self):
        self.world.work = 0.9
        reply = self.world.submit(self.entry, "j1", 4)
        self.world.run(0.1)
        self.world.freeze(self.planner, 3.0)
        self.world.run(2.5)
        self.assert_state(reply, batches.COMPLETE)
        late = self.world.submit(self.entry, "j2", 4)
        self.world.run(5.0)
        self.assert_state(late, batches.COMPLETE)
        self.assertEqual(len(self.planning()), 1)

    def test_planner_that_leaves_hands_over_what_runs(self):
        self.world.work = 0.5
        reply = self.world.submit(self.entry, "j1", 4)
        self.world.run(0.1)
        self.planner.tell(pool_messages.FLEET, pool_messages.Leave())
        self.world.run(0.5)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.planning(), ["n-b"])

    def test_members_that_started_at_the_same_time_are_told_apart(self):
        world = pool_simulation.World(())
        for domain in ("a", "b", "c"):
            for index in range(2):
                name = f"x-{domain}{index}"
                one = pool_simulation.FakeExecutor(world, name, domain)
                world.executors[name] = one
        for domain in ("a", "b", "c"):
            world.add_node(f"n-{domain}", domain, 1000)
        world.run(1.5)
        world.work = 0.5
        reply = world.submit(world.nodes["n-c"], "j1", 4)
        world.run(0.1)
        world.nodes["n-a"].tell(pool_messages.FLEET, pool_messages.Leave())
        world.run(2.0)
        self.assertEqual(world.answers[reply].state, batches.COMPLETE)
        self.assertEqual(world.twice, [])

    def test_domain_cut_off_goes_on_with_its_own_executors(self):
        for other in ("b", "c"):
            self.world.cut("a", other)
        self.world.run(2.0)
        cut = self.world.submit(self.planner, "j1")
        rest = self.world.submit(self.entry, "j2")
        self.world.run(1.0)
        self.assert_state(cut, batches.COMPLETE)
        self.assert_state(rest, batches.COMPLETE)
        self.assertEqual(self.planning(), ["n-a", "n-b"])

    def test_one_planner_is_left_after_the_cut(self):
        for other in ("b", "c"):
            self.world.cut("a", other)
        self.world.run(2.0)
        self.world.work = 0.8
        cut = self.world.submit(self.planner, "j1")
        rest = self.world.submit(self.entry, "j2")
        self.world.run(0.1)
        self.world.heal()
        self.world.run(4.0)
        self.assert_state(cut, batches.COMPLETE)
        self.assert_state(rest, batches.COMPLETE)
        self.assertEqual(len(self.planning()), 1)

    def test_whole_fleet_is_claimed_before_a_batch_is_taken_over(self):
        for other in ("b", "c"):
            self.world.cut("a", other)
        self.world.run(2.0)
        self.world.work = 0.8
        reply = self.world.submit(self.entry, "j1", 8)
        self.world.run(0.1)
        self.world.heal()
        self.world.run(0.005)
        self.world.cut("a", "c")
        self.world.run(0.3)
        self.world.heal()
        self.world.run(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_junior_planner_yields_after_the_cut_of_its_domain(self):
        for other in ("a", "b"):
            self.world.cut("c", other)
        self.world.run(2.0)
        junior = self.world.nodes["n-c"]
        self.world.work = 0.8
        cut = self.world.submit(junior, "j1")
        self.world.run(0.3)
        self.world.heal()
        self.world.run(4.0)
        self.assert_state(cut, batches.COMPLETE)
        self.assertEqual(self.planning(), ["n-a"])

    def test_instance_cut_from_peers_only_leaves_executors_alone(self):
        for other in ("n-a", "n-b"):
            self.world.cut("n-c", other)
        self.world.run(1.5)
        alone = self.world.nodes["n-c"]
        reply = self.world.submit(alone, "j1")
        self.world.run(0.5)
        self.assert_state(reply, batches.REFUSED)
        self.assertGreater(self.world.answers[reply].retry_after, 0.0)
        self.assertEqual(self.planning(), ["n-a"])

    def test_batch_without_a_planner_is_refused_before_its_limit(self):
        world = pool_simulation.World(())
        node = world.add_node("n-a", "a", 1000)
        blind = pool_messages.FleetChanged(node.own, (), ())
        node.tell(pool_messages.GATEWAY, blind)
        reply = world.submit(node, "j1", wait=30.0)
        world.run(2.0)
        self.assertEqual(world.answers[reply].state, batches.REFUSED)

    def test_batch_that_may_have_started_is_never_called_not_run(self):
        self.world.work = 3.0
        reply = self.world.submit(self.entry, "j1", 2, 4.0)
        self.world.run(0.1)
        for other in ("n-b", "n-c"):
            self.world.cut("n-a", other)
        self.world.run(6.0)
        outcome = self.world.answers[reply]
        self.assertNotEqual(outcome.state, batches.REFUSED)

    def test_executor_that_goes_dark_loses_its_tasks_to_others(self):
        self.world.work = 0.4
        reply = self.world.submit(self.entry, "j1", 12)
        self.world.run(0.1)
        self.world.executors["x-b0"].dark = True
        self.world.run(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_executor_cut_off_is_not_raced_before_its_lease_lapses(self):
        self.world.work = 0.9
        reply = self.world.submit(self.entry, "j1", 12)
        self.world.run(0.1)
        for node in ("n-a", "n-b", "n-c"):
            self.world.cut(node, "x-b0")
        self.world.run(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_restarted_executor_gets_its_tasks_again(self):
        reply = self.world.submit(self.entry, "j1", 12)
        self.world.run(0.1)
        one = self.world.executors["x-c0"]
        one.runs.clear()
        one.ended.clear()
        one.highest.clear()
        one.spec = one.spec._replace(incarnation=2)
        self.world.run(2.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_lost_answer_to_a_start_starts_nothing_twice(self):
        for one in self.world.executors.values():
            one.lose_answers = 1
        reply = self.world.submit(self.entry, "j1", 6)
        self.world.run(3.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_executor_that_fails_all_it_starts_is_left(self):
        one = self.world.executors["x-a0"]
        one.fails = True
        for index in range(10):
            self.world.submit(self.entry, f"j{index}", 4)
            self.world.run(0.5)
        self.assertLess(one.started, 4)

    def test_crowd_on_an_executor_that_fails_makes_it_rest(self):
        self.world.executors["x-a0"].fails = True
        for index in range(12):
            self.world.submit(self.entry, f"j{index}", 4)
        self.world.run(1.0)
        rests = self.planner.events("executor rests")
        self.assertEqual(rests[0].fields["reason"], "runs fail")

    def test_executor_on_which_tasks_stand_still_rests(self):
        self.world.submit(self.entry, "warm", 6)
        self.world.run(0.5)
        self.world.executors["x-a0"].stalls = True
        replies = [
            self.world.submit(self.entry, f"j{index}", 1)
            for index in range(12)
        ]
        self.world.run(4.0)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)
        rests = self.planner.events("executor rests")
        self.assertEqual(rests[0].fields["reason"], "runs stall")

    def test_store_down_changes_nothing_for_a_request(self):
        self.world.store_up = False
        reply = self.world.submit(self.entry, "j1")
        self.world.run(0.5)
        self.assert_state(reply, batches.COMPLETE)

    def test_takeover_without_the_store_uses_the_last_listing(self):
        self.world.store_up = False
        self.planner.alive = False
        reply = self.world.submit(self.entry, "j1")
        self.world.run(3.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_all_instances_killed_at_once(self):
        self.world.work = 0.9
        self.world.submit(self.entry, "j1", 4)
        self.world.run(0.1)
        for node in self.world.nodes.values():
            node.alive = False
        self.world.nodes.clear()
        self.world.run(1.0)
        for index, domain in enumerate(("c", "a", "b")):
            self.world.add_node(f"n-{domain}", domain, 3000 + index)
        self.world.run(2.0)
        reply = self.world.submit(self.world.nodes["n-b"], "j1", 4)
        self.world.run(2.0)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.planning(), ["n-c"])

    def test_machine_added_changes_no_planner(self):
        self.world.add_node("n-d", "a", 9000)
        reply = self.world.submit(self.world.nodes["n-d"], "j1")
        self.world.run(1.5)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.planning(), ["n-a"])

    def test_same_batch_at_two_instances_is_one(self):
        first = self.world.submit(self.entry, "j1")
        second = self.world.submit(self.world.nodes["n-c"], "j1")
        self.world.run(1.0)
        self.assert_state(first, batches.COMPLETE)
        self.assert_state(second, batches.COMPLETE)
        started = sum(one.started for one in self.world.executors.values())
        self.assertEqual(started, 2)

    def test_caller_that_leaves_frees_its_room_at_once(self):
        self.world.work = 3.0
        reply = self.world.submit(self.entry, "j1", 12)
        self.world.run(0.1)
        self.entry.tell(
            pool_messages.GATEWAY, pool_messages.WithdrawBatch(reply)
        )
        self.world.run(0.1)
        running = [len(x.runs) for x in self.world.executors.values()]
        self.assertEqual(sum(running), 0)

    def test_instance_that_answers_the_caller_dies(self):
        self.world.work = 3.0
        self.world.submit(self.entry, "j1", 12)
        self.world.run(0.1)
        self.entry.alive = False
        self.world.run(1.2)
        running = [len(x.runs) for x in self.world.executors.values()]
        self.assertEqual(sum(running), 0)

    def test_draining_executor_gets_nothing_new(self):
        one = self.world.executors["x-a0"]
        one.spec = one.spec._replace(state="draining")
        self.world.list_to(self.planner)
        self.world.submit(self.entry, "j1", 12)
        self.world.run(3.0)
        self.assertEqual(one.started, 0)

    def test_crowd_is_refused_at_once_and_truthfully(self):
        replies = [
            self.world.submit(self.entry, f"j{index}", 4)
            for index in range(60)
        ]
        self.world.run(0.2)
        refused = [
            reply
            for reply in replies
            if reply in self.world.answers
            and self.world.answers[reply].state == batches.REFUSED
        ]
        self.assertTrue(refused)
        outcome = self.world.answers[refused[0]]
        self.assertGreater(outcome.retry_after, 0.0)


if __name__ == "__main__":
    unittest.main()
