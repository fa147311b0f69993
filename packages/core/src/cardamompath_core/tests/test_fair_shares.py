"""Max-min shares, average use and the rank of batches under shares."""

import math
import random
import unittest

from cardamompath_core import fair_shares


def fill(demands, capacity, weights=None):
    weights = weights or {}
    level = fair_shares.fill_level(demands, weights, capacity)
    return {
        group: min(demand, weights.get(group, 1.0) * level)
        for group, demand in demands.items()
    }


class FillTest(unittest.TestCase):
    def test_what_a_group_leaves_goes_to_the_others(self):
        shares = fill({"a": 0.1, "b": 0.3, "c": 0.9}, 0.9)
        self.assertEqual(shares["a"], 0.1)
        self.assertEqual(shares["b"], 0.3)
        self.assertAlmostEqual(shares["c"], 0.5)

    def test_weights_divide_what_is_scarce(self):
        shares = fill({"a": 1.0, "b": 1.0, "c": 1.0}, 1.0, {"a": 3, "c": 0})
        self.assertAlmostEqual(shares["a"], 0.75, 5)
        self.assertAlmostEqual(shares["b"], 0.25, 5)
        self.assertAlmostEqual(shares["c"], 0.0, 5)

    def test_there_is_no_limit_while_there_is_enough(self):
        self.assertEqual(
            fair_shares.fill_level({"a": 0.4, "b": 0.5}, {}, 1.0), math.inf
        )
        self.assertEqual(fair_shares.fill_level({}, {}, 1.0), math.inf)

    def test_separate_planners_err_by_their_uneven_demand_at_most(self):
        # The bound that docs/design/fair-shares.md states.
        rng = random.Random(3)
        for _ in range(200):
            parts = [rng.random() for _ in range(4)]
            parts = [part / sum(parts) for part in parts]
            demands = [
                {group: rng.random() * part * 2.0 for group in "abcde"}
                for part in parts
            ]
            total = {
                group: sum(demand[group] for demand in demands)
                for group in "abcde"
            }
            single = fill(total, 1.0)
            divided = [
                fill(demand, part)
                for demand, part in zip(demands, parts, strict=True)
            ]
            bound = sum(
                abs(demand[group] - part * total[group])
                for demand, part in zip(demands, parts, strict=True)
                for group in "abcde"
            )
            for group in "abcde":
                given = sum(shares[group] for shares in divided)
                self.assertLessEqual(abs(given - single[group]), bound + 1e-9)

    def test_minimums_of_many_groups_are_not_above_the_capacity(self):
        self.assertEqual(fair_shares.minimum_share(0.05, 4), 0.05)
        self.assertEqual(fair_shares.minimum_share(0.05, 40), 0.025)


class UsageTest(unittest.TestCase):
    def test_average_follows_the_use_and_forgets_idle_groups(self):
        usage = fair_shares.Usage()
        usage.update({"a": 0.5}, 10.0)
        self.assertEqual(usage.average("a"), 0.0)
        self.assertEqual(usage.peak("a"), 0.5)
        usage.update({"a": 0.5}, 10.0 + fair_shares.USE_TIME)
        self.assertAlmostEqual(usage.average("a"), 0.5 * (1 - math.exp(-1)))
        usage.update({}, 12.0)
        # Borrowed capacity counts as returned within a second.
        usage.update({}, 13.0)
        self.assertLess(usage.average("a"), 0.05 * 0.5)
        usage.update({}, 20.0)
        self.assertEqual(set(usage.groups()), set())

    def test_large_sizes_are_about_a_tenth(self):
        rng = random.Random(5)
        size = fair_shares.LargeSize()
        found = [
            size.observe(math.exp(rng.gauss(0, 0.6))) for _ in range(2000)
        ]
        self.assertTrue(150 < sum(found) < 260, sum(found))

    def test_balance_tells_what_is_borrowed_and_lent(self):
        self.assertEqual(fair_shares.balance(0.5, 0.6, 0.25), (0.25, 0.0))
        self.assertEqual(fair_shares.balance(0.0, 0.1, 0.25), (0.0, 0.15))


class RankTest(unittest.TestCase):
    def test_shares_decide_only_between_batches_that_can_be_in_time(self):
        ranks = [
            fair_shares.rank((0, 0, 9.0), False, 2),
            fair_shares.rank((1, 2, 9.0), True, 2),
            fair_shares.rank((1, 0, 9.5), False, 0),
            fair_shares.rank((1, 0, 9.0), False, 1),
            fair_shares.rank((1, 1, 8.0), False, 0),
            fair_shares.rank((2, 0, 5.0), True, 0),
        ]
        self.assertEqual(ranks, sorted(ranks))
