"""Batches under failures of instances, links, executors and the store.

Each test covers a row of the table of failures in docs/PLATFORM.md.
"""

import unittest

from cardamompath_core import batches
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.tests import pool_simulation


class PoolFailureTest(unittest.TestCase):
    def setUp(self):
        self.simulation = pool_simulation.Simulation()
        self.planner_instance = self.simulation.instances["n-a"]
        self.gateway_instance = self.simulation.instances["n-b"]

    def tearDown(self):
        self.assertEqual(self.simulation.duplicate_runs, [])

    def assert_state(self, reply, state):
        outcome = self.simulation.answers.get(reply)
        self.assertIsNotNone(outcome, reply)
        self.assertEqual(outcome.state, state, outcome)

    def find_planners(self):
        return [
            name
            for name, instance in self.simulation.instances.items()
            if instance.alive
            and len(instance.decisions_of("began to plan"))
            > len(instance.decisions_of("ended to plan"))
        ]

    def test_first_ranked_instance_plans_for_all(self):
        reply = self.simulation.submit(self.gateway_instance, "j1", 4)
        self.simulation.advance(0.5)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.find_planners(), ["n-a"])

    def test_planner_killed_before_any_start(self):
        self.planner_instance.alive = False
        reply = self.simulation.submit(self.gateway_instance, "j1")
        self.simulation.advance(2.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_planner_killed_while_tasks_run(self):
        self.simulation.run_time = 0.9
        reply = self.simulation.submit(self.gateway_instance, "j1", 4)
        self.simulation.advance(0.1)
        self.planner_instance.alive = False
        self.simulation.advance(3.0)
        self.assert_state(reply, batches.COMPLETE)
        adopted = self.simulation.instances["n-b"].decisions_of("run adopted")
        self.assertEqual(len(adopted), 4)

    def test_successor_with_an_old_list_starts_no_task_a_second_time(self):
        for name in ("n-b", "n-c"):
            self.simulation.rejected_by_store.add(name)
        added = pool_simulation.FakeExecutor(self.simulation, "x-new", "a")
        self.simulation.executors["x-new"] = added
        self.simulation.advance(0.5)
        self.simulation.run_time = 0.3
        self.simulation.submit(self.gateway_instance, "j0", 10)
        self.simulation.advance(0.02)
        self.simulation.run_time = 1.4
        reply = self.simulation.submit(self.gateway_instance, "j1", 4, 9.0)
        self.simulation.advance(0.4)
        self.assertEqual(len(added.runs), 2)
        self.planner_instance.alive = False
        self.simulation.advance(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_successor_with_an_incomplete_list_starts_no_task_twice(self):
        # It had been started while the store was away, and took the list
        # without the expired entries for complete (case 1 of the review).
        everything = set(self.simulation.executors)
        for expired in ({"x-a0"}, {"x-b0", "x-c1"}, everything):
            with self.subTest(expired=sorted(expired)):
                self.setUp()
                self.replace_planner_after_an_outage(expired)
                self.tearDown()

    def replace_planner_after_an_outage(self, expired):
        """Restart the others while entries expire, then stop the planner."""
        simulation = self.simulation
        planner = self.planner_instance
        simulation.rejected_by_store.add(planner.name)
        simulation.expired_entries.update(expired)
        for name in ("n-b", "n-c"):
            simulation.restart_instance(name, 0.1)
        simulation.advance(1.5)
        simulation.run_time = 1.4
        reply = simulation.submit(planner, "j", 8, 4.0)
        simulation.advance(0.1)
        planner.receive(pool_messages.FLEET, pool_messages.Leave())
        simulation.advance(0.5)
        simulation.expired_entries.clear()
        simulation.advance(3.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_successor_starts_no_dependent_task_beside_its_adopted_run(self):
        for run_time in (0.7, 1.5, 3.0):
            for planner_dies in (True, False):
                with self.subTest(run_time=run_time, dies=planner_dies):
                    self.setUp()
                    self.run_dependent_steps(run_time, planner_dies)
                    self.tearDown()

    def run_dependent_steps(self, run_time, planner_dies):
        """Replace the planner while the second of two steps runs."""
        step = pool_simulation.make_steps(1)[0]
        steps = (step, step._replace(after=(0,)))
        reply = self.simulation.submit(
            self.gateway_instance, "j1", timeout=9.0, steps=steps
        )
        self.simulation.advance(0.1)
        self.simulation.run_time = run_time
        self.simulation.advance(0.2)
        self.simulation.run_time = 0.3
        if planner_dies:
            self.planner_instance.alive = False
        else:
            self.planner_instance.receive(
                pool_messages.FLEET, pool_messages.Leave()
            )
        self.simulation.advance(6.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_frozen_planner_learns_that_it_was_replaced(self):
        self.simulation.run_time = 0.9
        reply = self.simulation.submit(self.gateway_instance, "j1", 4)
        self.simulation.advance(0.1)
        self.simulation.freeze(self.planner_instance, 3.0)
        self.simulation.advance(2.5)
        self.assert_state(reply, batches.COMPLETE)
        later_reply = self.simulation.submit(self.gateway_instance, "j2", 4)
        self.simulation.advance(5.0)
        self.assert_state(later_reply, batches.COMPLETE)
        self.assertEqual(len(self.find_planners()), 1)

    def test_planner_that_leaves_hands_over_its_runs(self):
        self.simulation.run_time = 0.5
        reply = self.simulation.submit(self.gateway_instance, "j1", 4)
        self.simulation.advance(0.1)
        self.planner_instance.receive(
            pool_messages.FLEET, pool_messages.Leave()
        )
        self.simulation.advance(0.5)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.find_planners(), ["n-b"])

    def test_members_that_started_at_the_same_time_are_told_apart(self):
        simulation = pool_simulation.Simulation(())
        for domain in ("a", "b", "c"):
            for index in range(2):
                name = f"x-{domain}{index}"
                executor = pool_simulation.FakeExecutor(
                    simulation, name, domain
                )
                simulation.executors[name] = executor
        for domain in ("a", "b", "c"):
            simulation.add_instance(f"n-{domain}", domain, 1000)
        simulation.advance(1.5)
        simulation.run_time = 0.5
        reply = simulation.submit(simulation.instances["n-c"], "j1", 4)
        simulation.advance(0.1)
        simulation.instances["n-a"].receive(
            pool_messages.FLEET, pool_messages.Leave()
        )
        simulation.advance(2.0)
        self.assertEqual(simulation.answers[reply].state, batches.COMPLETE)
        self.assertEqual(simulation.duplicate_runs, [])

    def test_partitioned_domain_goes_on_with_its_own_executors(self):
        for other in ("b", "c"):
            self.simulation.partition("a", other)
        self.simulation.advance(2.0)
        minority_reply = self.simulation.submit(self.planner_instance, "j1")
        majority_reply = self.simulation.submit(self.gateway_instance, "j2")
        self.simulation.advance(1.0)
        self.assert_state(minority_reply, batches.COMPLETE)
        self.assert_state(majority_reply, batches.COMPLETE)
        self.assertEqual(self.find_planners(), ["n-a", "n-b"])

    def test_one_planner_is_left_after_the_partition(self):
        for other in ("b", "c"):
            self.simulation.partition("a", other)
        self.simulation.advance(2.0)
        self.simulation.run_time = 0.8
        minority_reply = self.simulation.submit(self.planner_instance, "j1")
        majority_reply = self.simulation.submit(self.gateway_instance, "j2")
        self.simulation.advance(0.1)
        self.simulation.heal()
        self.simulation.advance(4.0)
        self.assert_state(minority_reply, batches.COMPLETE)
        self.assert_state(majority_reply, batches.COMPLETE)
        self.assertEqual(len(self.find_planners()), 1)

    def test_whole_fleet_is_claimed_before_a_batch_is_taken_over(self):
        for other in ("b", "c"):
            self.simulation.partition("a", other)
        self.simulation.advance(2.0)
        self.simulation.run_time = 0.8
        reply = self.simulation.submit(self.gateway_instance, "j1", 8)
        self.simulation.advance(0.1)
        self.simulation.heal()
        self.simulation.advance(0.005)
        self.simulation.partition("a", "c")
        self.simulation.advance(0.3)
        self.simulation.heal()
        self.simulation.advance(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_lower_ranked_planner_yields_after_the_partition(self):
        for other in ("a", "b"):
            self.simulation.partition("c", other)
        self.simulation.advance(2.0)
        lower_ranked = self.simulation.instances["n-c"]
        self.simulation.run_time = 0.8
        minority_reply = self.simulation.submit(lower_ranked, "j1")
        self.simulation.advance(0.3)
        self.simulation.heal()
        self.simulation.advance(4.0)
        self.assert_state(minority_reply, batches.COMPLETE)
        self.assertEqual(self.find_planners(), ["n-a"])

    def test_instance_cut_off_from_peers_only_claims_no_executors(self):
        for other in ("n-a", "n-b"):
            self.simulation.partition("n-c", other)
        self.simulation.advance(1.5)
        isolated = self.simulation.instances["n-c"]
        reply = self.simulation.submit(isolated, "j1")
        self.simulation.advance(0.5)
        self.assert_state(reply, batches.REFUSED)
        self.assertGreater(self.simulation.answers[reply].retry_after, 0.0)
        self.assertEqual(self.find_planners(), ["n-a"])

    def test_batch_without_a_planner_is_refused_before_its_limit(self):
        simulation = pool_simulation.Simulation(())
        instance = simulation.add_instance("n-a", "a", 1000)
        empty_view = fleet_views.make_view(instance.member, (), ())
        instance.receive(pool_messages.GATEWAY, empty_view)
        reply = simulation.submit(instance, "j1", timeout=30.0)
        simulation.advance(2.0)
        self.assertEqual(simulation.answers[reply].state, batches.REFUSED)

    def test_batch_that_may_have_started_is_never_refused(self):
        self.simulation.run_time = 3.0
        reply = self.simulation.submit(self.gateway_instance, "j1", 2, 4.0)
        self.simulation.advance(0.1)
        for other in ("n-b", "n-c"):
            self.simulation.partition("n-a", other)
        self.simulation.advance(6.0)
        outcome = self.simulation.answers[reply]
        self.assertNotEqual(outcome.state, batches.REFUSED)

    def test_tasks_of_an_unreachable_executor_start_on_others(self):
        self.simulation.run_time = 0.4
        reply = self.simulation.submit(self.gateway_instance, "j1", 12)
        self.simulation.advance(0.1)
        self.simulation.executors["x-b0"].unreachable = True
        self.simulation.advance(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_tasks_of_a_partitioned_executor_wait_for_lapsed_leases(self):
        self.simulation.run_time = 0.9
        reply = self.simulation.submit(self.gateway_instance, "j1", 12)
        self.simulation.advance(0.1)
        for name in ("n-a", "n-b", "n-c"):
            self.simulation.partition(name, "x-b0")
        self.simulation.advance(4.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_tasks_of_a_restarted_executor_start_again(self):
        reply = self.simulation.submit(self.gateway_instance, "j1", 12)
        self.simulation.advance(0.1)
        executor = self.simulation.executors["x-c0"]
        executor.runs.clear()
        executor.ended_runs.clear()
        executor.highest_attempts.clear()
        executor.spec = executor.spec._replace(incarnation=2)
        self.simulation.advance(2.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_lost_answer_to_a_start_starts_nothing_twice(self):
        for executor in self.simulation.executors.values():
            executor.answers_to_lose = 1
        reply = self.simulation.submit(self.gateway_instance, "j1", 6)
        self.simulation.advance(3.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_executor_that_fails_all_runs_gets_few_tasks(self):
        executor = self.simulation.executors["x-a0"]
        executor.fails_runs = True
        for index in range(10):
            self.simulation.submit(self.gateway_instance, f"j{index}", 4)
            self.simulation.advance(0.5)
        self.assertLess(executor.start_count, 4)

    def test_executor_that_fails_many_runs_is_ejected(self):
        self.simulation.executors["x-a0"].fails_runs = True
        for index in range(12):
            self.simulation.submit(self.gateway_instance, f"j{index}", 4)
        self.simulation.advance(1.0)
        ejections = self.planner_instance.decisions_of("executor rests")
        self.assertEqual(ejections[0].fields["reason"], "runs fail")

    def test_executor_that_stalls_its_runs_is_ejected(self):
        self.simulation.submit(self.gateway_instance, "warm", 6)
        self.simulation.advance(0.5)
        self.simulation.executors["x-a0"].stalls_runs = True
        replies = [
            self.simulation.submit(self.gateway_instance, f"j{index}", 1)
            for index in range(12)
        ]
        self.simulation.advance(4.0)
        for reply in replies:
            self.assert_state(reply, batches.COMPLETE)
        ejections = self.planner_instance.decisions_of("executor rests")
        self.assertEqual(ejections[0].fields["reason"], "runs stall")

    def test_store_down_changes_nothing_for_a_request(self):
        self.simulation.store_up = False
        reply = self.simulation.submit(self.gateway_instance, "j1")
        self.simulation.advance(0.5)
        self.assert_state(reply, batches.COMPLETE)

    def test_takeover_without_the_store_uses_the_last_listing(self):
        self.simulation.store_up = False
        self.planner_instance.alive = False
        reply = self.simulation.submit(self.gateway_instance, "j1")
        self.simulation.advance(3.0)
        self.assert_state(reply, batches.COMPLETE)

    def test_all_instances_killed_at_once(self):
        self.simulation.run_time = 0.9
        self.simulation.submit(self.gateway_instance, "j1", 4)
        self.simulation.advance(0.1)
        for instance in self.simulation.instances.values():
            instance.alive = False
        self.simulation.instances.clear()
        self.simulation.advance(1.0)
        for index, domain in enumerate(("c", "a", "b")):
            self.simulation.add_instance(f"n-{domain}", domain, 3000 + index)
        self.simulation.advance(2.0)
        reply = self.simulation.submit(
            self.simulation.instances["n-b"], "j1", 4
        )
        self.simulation.advance(2.0)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.find_planners(), ["n-c"])

    def test_added_instance_changes_no_planner(self):
        self.simulation.add_instance("n-d", "a", 9000)
        reply = self.simulation.submit(self.simulation.instances["n-d"], "j1")
        self.simulation.advance(1.5)
        self.assert_state(reply, batches.COMPLETE)
        self.assertEqual(self.find_planners(), ["n-a"])

    def test_same_batch_at_two_instances_is_one(self):
        first = self.simulation.submit(self.gateway_instance, "j1")
        second = self.simulation.submit(self.simulation.instances["n-c"], "j1")
        self.simulation.advance(1.0)
        self.assert_state(first, batches.COMPLETE)
        self.assert_state(second, batches.COMPLETE)
        started = sum(
            executor.start_count
            for executor in self.simulation.executors.values()
        )
        self.assertEqual(started, 2)

    def test_disconnected_caller_frees_resources_at_once(self):
        self.simulation.run_time = 3.0
        reply = self.simulation.submit(self.gateway_instance, "j1", 12)
        self.simulation.advance(0.1)
        self.gateway_instance.receive(
            pool_messages.GATEWAY, pool_messages.WithdrawBatch(reply)
        )
        self.simulation.advance(0.1)
        running = [
            len(executor.runs)
            for executor in self.simulation.executors.values()
        ]
        self.assertEqual(sum(running), 0)

    def test_instance_that_answers_the_caller_dies(self):
        self.simulation.run_time = 3.0
        self.simulation.submit(self.gateway_instance, "j1", 12)
        self.simulation.advance(0.1)
        self.gateway_instance.alive = False
        self.simulation.advance(1.2)
        running = [
            len(executor.runs)
            for executor in self.simulation.executors.values()
        ]
        self.assertEqual(sum(running), 0)

    def test_draining_executor_gets_no_tasks(self):
        executor = self.simulation.executors["x-a0"]
        executor.spec = executor.spec._replace(state="draining")
        self.simulation.send_listing(self.planner_instance)
        self.simulation.submit(self.gateway_instance, "j1", 12)
        self.simulation.advance(3.0)
        self.assertEqual(executor.start_count, 0)

    def test_overload_is_refused_at_once(self):
        replies = [
            self.simulation.submit(self.gateway_instance, f"j{index}", 4)
            for index in range(60)
        ]
        self.simulation.advance(0.2)
        refused = [
            reply
            for reply in replies
            if reply in self.simulation.answers
            and self.simulation.answers[reply].state == batches.REFUSED
        ]
        self.assertTrue(refused)
        outcome = self.simulation.answers[refused[0]]
        self.assertGreater(outcome.retry_after, 0.0)


if __name__ == "__main__":
    unittest.main()
