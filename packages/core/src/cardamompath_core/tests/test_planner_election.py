"""Choice of the planners and assignment of executors to them."""

import collections
import unittest

from cardamompath_core import planner_election


def make_members(count, started=1000):
    return [
        planner_election.Member(
            f"n-{number}", "a", (f"n-{number}", 1), started + number
        )
        for number in range(count)
    ]


class PlannerElectionTest(unittest.TestCase):
    def test_longest_running_member_plans(self):
        members = make_members(5)
        chosen = planner_election.choose_planners(reversed(members))
        self.assertEqual(chosen, (members[0],))

    def test_leaving_member_does_not_plan(self):
        members = make_members(3)
        members[0] = members[0]._replace(leaving=True)
        chosen = planner_election.choose_planners(members)
        self.assertEqual(chosen, (members[1],))

    def test_leaving_members_plan_if_no_other_is_left(self):
        members = [member._replace(leaving=True) for member in make_members(2)]
        self.assertEqual(
            planner_election.choose_planners(members), (members[0],)
        )

    def test_number_of_planners_grows_with_the_fleet(self):
        sizes = {
            count: len(planner_election.choose_planners(make_members(count)))
            for count in (0, 1, 8, 9, 42, 300)
        }
        self.assertEqual(sizes, {0: 0, 1: 1, 8: 1, 9: 2, 42: 6, 300: 38})

    def test_fast_members_of_a_pool_share_fewer_planners(self):
        # A pool of nine had two planners, or one while a member restarted;
        # at each change batches waited for leases.  Found in incident
        # inc-0538 of tsagaan-pitch.
        members = [
            member._replace(thread_millicores=537)
            for member in make_members(13)
        ]
        sizes = {
            count: len(planner_election.choose_planners(members[:count]))
            for count in (8, 9, 12, 13)
        }
        self.assertEqual(sizes, {8: 1, 9: 1, 12: 1, 13: 2})

    def test_every_executor_has_one_of_several_planners(self):
        planners = make_members(6)
        counts = dict.fromkeys(planners, 0)
        for index in range(600):
            counts[planner_election.planner_of(f"x-{index}", planners)] += 1
        self.assertGreater(min(counts.values()), 60)

    def test_loss_of_a_planner_moves_only_its_executors(self):
        planners = make_members(6)
        for index in range(100):
            name = f"x-{index}"
            before = planner_election.planner_of(name, planners)
            after = planner_election.planner_of(name, planners[1:])
            if before != planners[0]:
                self.assertEqual(before, after)

    def test_no_planner_for_an_empty_fleet(self):
        self.assertIsNone(planner_election.planner_of("x", ()))

    def test_larger_instance_plans_before_one_that_runs_longer(self):
        members = make_members(4)
        members[2] = members[2]._replace(thread_millicores=717)
        members[3] = members[3]._replace(thread_millicores=645)
        chosen = planner_election.choose_planners(members)
        self.assertEqual(chosen, (members[2],))

    def test_slightly_larger_instance_does_not_plan_first(self):
        members = [
            member._replace(thread_millicores=700)
            for member in make_members(3)
        ]
        members[2] = members[2]._replace(thread_millicores=720)
        self.assertEqual(
            planner_election.choose_planners(members), (members[0],)
        )


def make_fleet(each, domains="abcd"):
    return [
        planner_election.Member(
            f"{domain}-{number}", domain, (f"{domain}{number}", 1), number
        )
        for domain in domains
        for number in range(each)
    ]


def count_by_domain(members):
    return dict(collections.Counter(member.domain for member in members))


class PlannerAssignmentTest(unittest.TestCase):
    def assign(self, alive, missing=()):
        counts = count_by_domain([*alive, *missing])
        return planner_election.assign_planners(alive, missing, counts)

    def test_small_fleet_plans_for_the_whole_pool(self):
        assignment = self.assign(make_fleet(2))
        self.assertFalse(assignment.by_domain)
        self.assertEqual(len(assignment.planners), 1)

    def test_large_fleet_plans_by_failure_domain(self):
        assignment = self.assign(make_fleet(10))
        self.assertTrue(assignment.by_domain)
        self.assertEqual(
            count_by_domain(assignment.planners),
            {"a": 2, "b": 2, "c": 2, "d": 2},
        )

    def test_executor_belongs_to_a_planner_of_its_domain(self):
        assignment = self.assign(make_fleet(10))
        for index in range(40):
            for domain in "abcd":
                planner = planner_election.planner_of_executor(
                    f"x-{index}", domain, assignment
                )
                self.assertEqual(planner.domain, domain)

    def test_partition_changes_no_planner_on_either_side(self):
        members = make_fleet(10)
        inside = [member for member in members if member.domain == "a"]
        outside = [member for member in members if member.domain != "a"]
        whole = set(self.assign(members).planners)
        within = self.assign(inside, outside)
        without = self.assign(outside, inside)
        self.assertTrue(within.by_domain)
        self.assertEqual({*within.planners, *without.planners}, whole)

    def test_executors_behind_a_partition_are_left_to_their_domain(self):
        members = make_fleet(10)
        inside = [member for member in members if member.domain == "a"]
        outside = [member for member in members if member.domain != "a"]
        assignment = self.assign(outside, inside)
        found = planner_election.planner_of_executor("x-1", "a", assignment)
        self.assertIsNone(found)

    def test_executors_of_a_dead_domain_go_to_the_others(self):
        outside = [member for member in make_fleet(10) if member.domain != "a"]
        counts = count_by_domain(make_fleet(10))
        assignment = planner_election.assign_planners(outside, (), counts)
        found = planner_election.planner_of_executor("x-1", "a", assignment)
        self.assertIn(found, assignment.planners)

    def test_batch_tries_planners_of_its_own_domain_first(self):
        assignment = self.assign(make_fleet(10))
        for name in ("b-1", "b-2", "b-3"):
            ordered = planner_election.order_planners(name, "c", assignment)
            domains = [member.domain for member in ordered]
            self.assertEqual(domains[:2], ["c", "c"])
            self.assertEqual(len(ordered), 8)

    def test_restarts_do_not_change_the_number_of_planners(self):
        members = make_fleet(9)
        counts = count_by_domain(members)
        remaining = [
            member for member in members if member.name not in ("a-1", "a-2")
        ]
        assignment = planner_election.assign_planners(remaining, (), counts)
        self.assertEqual(count_by_domain(assignment.planners)["a"], 2)
