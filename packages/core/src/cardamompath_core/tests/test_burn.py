import unittest

from cardamompath_core import burn
from cardamompath_core import burn_measures

EMPTY = {"complete": 0, "late": 0, "refused": 0, "failed": 0}


def bucket(begin, team="kiosk", span=60.0, service="booking", **counts):
    series = EMPTY | {"service": service, "team": team} | counts
    return {"begin": begin, "span": span, "series": [series]}


def instance(*buckets, domain="pocitos", now=600.0):
    return burn.InstanceCounts(domain, now, buckets)


def rows(*instances, objective=0.9):
    found = burn.assess(
        burn.collect_samples(instances), {"booking": objective}
    )
    return {row.key: row for row in found}


def measure(*instances):
    return burn_measures.measure(burn.collect_samples(instances))[0]


class BurnTest(unittest.TestCase):
    def test_burn_of_each_window(self):
        # With objective 0.9, 10 bad of 100 is a rate of 1, 20 of 40 of 5.
        old = bucket(0.0, span=3600.0, complete=90, failed=10)
        new = bucket(21540.0, complete=20, late=15, failed=5, refused=7)
        row = rows(instance(old, new, now=21600.0 + 3600.0))[
            burn.Key("booking")
        ]
        self.assertEqual(0, row.windows[0].counts.total)
        self.assertIsNone(row.windows[0].burn)
        self.assertIsNone(row.windows[1].burn)
        self.assertAlmostEqual(5.0, row.windows[2].burn)
        self.assertEqual(burn.Counts(20, 15, 5, 7), row.windows[2].counts)
        self.assertAlmostEqual(30 / 140 / 0.1, row.windows[3].burn)
        covered = [window.covered for window in row.windows]
        self.assertEqual([300.0, 3600.0, 21600.0, 25200.0], covered)
        # Nothing was spent in the last hour.
        self.assertIsNone(row.left)

    def test_budget_spent_and_time_left(self):
        # A burn rate of 2 spends the whole budget in half of the period.
        # In a quarter it spends half, and the rest lasts another quarter.
        half = bucket(0.0, span=3600.0, complete=80, failed=20)
        row = rows(instance(half, now=burn.PERIOD / 2))[burn.Key("booking")]
        self.assertAlmostEqual(1.0, row.spent)
        self.assertEqual(0.0, row.left)
        now = burn.PERIOD / 4
        recent = bucket(now - 60.0, complete=80, failed=20)
        row = rows(instance(half, recent, now=now))[burn.Key("booking")]
        self.assertAlmostEqual(0.5, row.spent)
        self.assertAlmostEqual(burn.PERIOD / 4, row.left)

    def test_refusals_are_not_failures(self):
        row = rows(instance(bucket(540.0, complete=9, refused=1000)))
        row = row[burn.Key("booking")]
        self.assertEqual((0.0, 0.0, None), (row.windows[0].burn, *row[3:]))
        self.assertEqual(1000, row.windows[0].counts.refused)

    def test_instances_merge_by_age(self):
        first = instance(bucket(540.0, complete=9, failed=1))
        second = instance(
            bucket(9940.0, "web", complete=10), domain="cordon", now=10000.0
        )
        found = rows(first, second)
        burns = {key: row.windows[0].burn for key, row in found.items()}
        expected = {
            burn.Key("booking"): 0.5,
            burn.Key("booking", "kiosk"): 1.0,
            burn.Key("booking", "web"): 0.0,
            burn.Key("booking", "", "pocitos"): 1.0,
            burn.Key("booking", "", "cordon"): 0.0,
        }
        self.assertEqual(expected.keys(), burns.keys())
        for key, value in expected.items():
            self.assertAlmostEqual(value, burns[key])

    def test_values_without_counts_are_none(self):
        self.assertEqual({}, rows())
        self.assertEqual({}, rows(instance()))
        self.assertEqual([], burn_measures.measure([]))
        unknown = instance(bucket(540.0, service="other", failed=3))
        row = rows(unknown)[burn.Key("other")]
        self.assertEqual((None, None, None), (row.objective, *row[3:]))
        measures = measure(instance(bucket(0.0, span=3600.0, complete=1)))
        self.assertEqual((None, None, None), measures[1:])


class MeasuresTest(unittest.TestCase):
    def test_percentile(self):
        counts = {"16": 1, "2": 50, "4": 49}
        shares = (0.5, 0.51, 0.99, 1.0)
        found = [burn_measures.percentile(counts, share) for share in shares]
        self.assertEqual([2.0, 4.0, 4.0, 16.0], found)
        self.assertIsNone(burn_measures.percentile({}, 0.5))

    def test_response(self):
        counts = bucket(
            540.0, short={"1": 3}, long={"8": 1}, tasks=8, wasted=2
        )
        response = measure(instance(counts)).response
        self.assertEqual((4, 1.0, 8.0, 0.25), tuple(response))

    def test_peak_is_the_minute_with_the_most_submissions(self):
        quiet = bucket(480.0, complete=1, failed=9)
        busy = bucket(420.0, complete=20, refused=5)
        more = bucket(1425.0, complete=10, late=5)
        peak = measure(instance(quiet, busy), instance(more, now=1605.0)).crest
        self.assertEqual((3.0, 40, 0.75, 0.125), tuple(peak))

    def test_blocking(self):
        alone = bucket(540.0, short={"1": 99, "2": 1})
        beside = bucket(480.0, "web", short={"1": 90, "32": 10})
        long = bucket(480.0, "kiosk", long={"1": 1})
        blocking = measure(instance(alone, beside, long)).blocking
        self.assertEqual((32.0, 1.0), tuple(blocking))
        self.assertIsNone(measure(instance(alone)).blocking.with_long)


if __name__ == "__main__":
    unittest.main()
