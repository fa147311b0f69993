"""Which instances plan, and for which executors."""

import unittest

from cardamompath_core import seniority


def make_members(count, started=1000):
    return [
        seniority.Member(f"n-{one}", "a", (f"n-{one}", 1), started + one)
        for one in range(count)
    ]


class SeniorityTest(unittest.TestCase):
    def test_longest_running_member_plans(self):
        members = make_members(5)
        chosen = seniority.choose_planners(reversed(members))
        self.assertEqual(chosen, (members[0],))

    def test_leaving_member_does_not_plan(self):
        members = make_members(3)
        members[0] = members[0]._replace(leaving=True)
        chosen = seniority.choose_planners(members)
        self.assertEqual(chosen, (members[1],))

    def test_leaving_members_plan_where_no_other_is_left(self):
        members = [one._replace(leaving=True) for one in make_members(2)]
        self.assertEqual(seniority.choose_planners(members), (members[0],))

    def test_number_of_planners_grows_with_the_fleet(self):
        sizes = {
            count: len(seniority.choose_planners(make_members(count)))
            for count in (0, 1, 8, 9, 42, 300)
        }
        self.assertEqual(sizes, {0: 0, 1: 1, 8: 1, 9: 2, 42: 6, 300: 38})

    def test_every_executor_has_one_of_several_planners(self):
        planners = make_members(6)
        counts = dict.fromkeys(planners, 0)
        for index in range(600):
            counts[seniority.planner_of(f"x-{index}", planners)] += 1
        self.assertGreater(min(counts.values()), 60)

    def test_loss_of_a_planner_moves_only_its_executors(self):
        planners = make_members(6)
        for index in range(100):
            name = f"x-{index}"
            before = seniority.planner_of(name, planners)
            after = seniority.planner_of(name, planners[1:])
            if before != planners[0]:
                self.assertEqual(before, after)

    def test_no_planner_for_an_empty_fleet(self):
        self.assertIsNone(seniority.planner_of("x", ()))
