"""Max-min shares, average use and the rank of batches under shares."""

import math
import random
import unittest

from cardamompath_core import fair_shares


def fill(demands, capacity, weights=None):
    weights = weights or {}
    level = fair_shares.fill_level(demands, weights, capacity)
    return {
        group: round(min(demand, weights.get(group, 1.0) * level), 5)
        for group, demand in demands.items()
    }


class FairSharesTest(unittest.TestCase):
    def test_what_a_group_leaves_is_divided_by_weight(self):
        shares = fill({"a": 0.1, "b": 0.3, "c": 0.9}, 0.9)
        self.assertEqual(shares, {"a": 0.1, "b": 0.3, "c": 0.5})
        shares = fill({"a": 1, "b": 1, "c": 1}, 1.0, {"a": 3, "c": 0})
        self.assertEqual(shares, {"a": 0.75, "b": 0.25, "c": 0.0})
        level = fair_shares.fill_level({"a": 0.4, "b": 0.5}, {}, 1.0)
        self.assertEqual(level, math.inf)

    def test_separate_planners_err_by_their_uneven_demand_at_most(self):
        # The bound that docs/design/fair-shares.md states.
        rng = random.Random(3)
        for _ in range(200):
            parts = [rng.random() for _ in range(4)]
            parts = [part / sum(parts) for part in parts]
            demands = [{g: rng.random() * p for g in "abcde"} for p in parts]
            total = {g: sum(each[g] for each in demands) for g in "abcde"}
            single = fill(total, 1.0)
            divided = list(map(fill, demands, parts))
            bound = sum(
                abs(each[g] - part * total[g])
                for each, part in zip(demands, parts, strict=True)
                for g in "abcde"
            )
            for g in "abcde":
                given = sum(shares[g] for shares in divided)
                self.assertLessEqual(abs(given - single[g]), bound + 1e-4)

    def test_average_follows_the_use_and_forgets_idle_groups(self):
        usage = fair_shares.Usage()
        usage.update({"a": 0.5}, 10.0)
        self.assertEqual((usage.average("a"), usage.peak("a")), (0.0, 0.5))
        usage.update({}, 10.0 + fair_shares.USE_TIME)
        self.assertAlmostEqual(usage.average("a"), 0.5 * (1 - math.exp(-1)))
        # Borrowed capacity counts as returned within a second.
        usage.update({}, 11.0 + fair_shares.USE_TIME)
        self.assertLess(usage.average("a"), 0.05 * 0.5)
        usage.update({}, 20.0)
        self.assertEqual(set(usage.groups()), set())

    def test_minimums_of_many_groups_are_not_above_the_capacity(self):
        self.assertEqual(fair_shares.minimum_share(0.05, 4), 0.05)
        self.assertEqual(fair_shares.minimum_share(0.05, 40), 0.025)

    def test_a_tenth_of_the_sizes_are_large(self):
        rng, size = random.Random(5), fair_shares.LargeSize()
        sizes = [math.exp(rng.gauss(0, 0.6)) for _ in range(2000)]
        self.assertAlmostEqual(sum(map(size.observe, sizes)), 200, delta=60)

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
