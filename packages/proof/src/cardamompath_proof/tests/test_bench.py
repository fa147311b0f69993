import math
import unittest

from cardamompath_proof.bench import __main__ as bench
from cardamompath_proof.bench import cluster
from cardamompath_proof.bench import measures
from cardamompath_proof.bench import oracle
from cardamompath_proof.bench import table
from cardamompath_proof.bench import workloads


def make_arrival(at, *sizes, timeout=10.0):
    tasks = tuple(workloads.Task("any", size, None) for size in sizes)
    return workloads.Arrival(at, 0, tasks, timeout, False)


def make_workload(**fields):
    fields = {"warm_up": 0.0, **fields}
    return workloads.Workload("test", 1, **fields)


class OracleTest(unittest.TestCase):
    def test_shortest_goes_first(self):
        arrivals = [make_arrival(0.0, 1.0) for _ in range(8)]
        arrivals += [make_arrival(0.1, 5.0), make_arrival(0.2, 0.5)]
        run = oracle.run(make_workload(speeds=(1.0,)), arrivals)
        self.assertAlmostEqual(1.5, run.results[9].at)

    def test_waits_for_a_faster_server_when_that_ends_sooner(self):
        arrivals = [make_arrival(0.0, 1.0) for _ in range(8)]
        arrivals.append(make_arrival(0.1, 4.0))
        run = oracle.run(make_workload(speeds=(4.0, 1.0)), arrivals)
        self.assertAlmostEqual(1.25, run.results[8].at)

    def test_starts_nothing_that_misses_its_deadline(self):
        run = oracle.run(
            make_workload(), [make_arrival(0.0, 5.0, timeout=1.0)]
        )
        self.assertEqual("refused", run.results[0].state)


class ClusterTest(unittest.TestCase):
    def run_small(self, policy=bench.POLICIES[0], **fields):
        small = make_workload(seconds=2.0, **fields)
        arrivals = workloads.draw_arrivals(small)
        return cluster.run(small, arrivals, policy)

    def test_same_seed_gives_the_same_run(self):
        first, again = self.run_small(), self.run_small()
        self.assertEqual(first.results, again.results)

    def test_connections_beyond_the_limit_are_refused(self):
        run = self.run_small(
            bench.POLICIES[1], speeds=(1.0,), load=20.0, instances=9
        )
        self.assertGreater(run.message_counts["refused connections"], 0)

    def test_failing_server_fails_what_it_starts(self):
        fault = workloads.Fault(0, "fail", 1.0)
        run = self.run_small(bench.POLICIES[1], faults=(fault,))
        self.assertEqual(0.0, measures.failed_share(run, 0.0, 0.9))
        self.assertGreater(measures.failed_share(run, 1.0, 2.0), 0.0)


class TableTest(unittest.TestCase):
    def test_percentile_is_nearest_rank(self):
        self.assertEqual(3, measures.percentile([3, 1, 2], 0.99))
        self.assertEqual(2, measures.percentile([3, 1, 2], 0.5))
        self.assertTrue(math.isnan(measures.percentile([], 0.5)))

    def test_missed_target_is_marked(self):
        row = table.Row("w", "m", {"this": 2.0}, "<= 1", met=False)
        self.assertIn("MISSED", table.format_rows([row], ["this"]))
