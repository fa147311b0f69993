import math
import random
import unittest

from cardamompath_core import admission_forecast
from cardamompath_core import batch_order
from cardamompath_core import executors

NEEDED = executors.Resources(6000, 64)
CAPACITY = executors.Resources(16000, 32768)
LEFT = executors.subtract(CAPACITY, executors.add(NEEDED, NEEDED))


def make_profile(count, now=10.0):
    """Make executors with two runs each that have just started."""
    profile = admission_forecast.CapacityProfile()
    end = admission_forecast.run_end(now, 0.1, NEEDED, now)
    for number in range(count):
        events = admission_forecast.executor_events(
            NEEDED, LEFT, (end, end), now
        )
        profile.replace(f"x{number}", events)
    return profile


class CapacityTest(unittest.TestCase):
    def test_small_leftovers_are_no_capacity(self):
        # Free CPU of many executors, added up, looked like free slots.
        calendar = make_profile(20).upcoming(10.0)
        self.assertEqual(calendar[0], 0.0)
        self.assertAlmostEqual(make_profile(20).total(), 40.0)

    def test_large_task_needs_the_end_of_several_runs(self):
        end = admission_forecast.run_end(10.0, 0.1, NEEDED, 10.0)
        later = admission_forecast.run_end(10.0, 0.5, NEEDED, 10.0)
        large = executors.Resources(15000, 64)
        events = admission_forecast.executor_events(
            large, LEFT, (later, end), 10.0
        )
        self.assertEqual(len(events), 3)
        self.assertAlmostEqual(events[1][0], later.median)

    def test_lost_executor_leaves_no_events(self):
        profile = make_profile(2)
        for name in ("x0", "x1"):
            profile.replace(name, ())
        self.assertEqual(profile.total(), 0.0)
        self.assertEqual(profile.upcoming(10.0)[0], 0.0)


class WaitTest(unittest.TestCase):
    def test_work_ahead_delays_a_batch(self):
        calendar = make_profile(20).upcoming(10.0)
        alone = admission_forecast.expected_waits(
            calendar, [admission_forecast.Work(4, 0.1)]
        )[-1]
        work = admission_forecast.Work(80, 0.1)
        behind = admission_forecast.expected_waits(
            calendar, [work, admission_forecast.Work(4, 0.1)]
        )[-1]
        self.assertLess(alone, 0.1)
        # The first 40 take the slots that become free, then they end.
        self.assertGreater(behind, alone + 0.1)
        self.assertLess(behind, 0.5)

    def test_start_beyond_the_horizon_is_never(self):
        waits = admission_forecast.expected_waits(
            [0.0] * 5, [admission_forecast.Work(1, 0.1)]
        )
        self.assertEqual(waits, [math.inf])

    def test_batch_with_started_tasks_is_not_late(self):
        # A refusal would say that it has not run.
        urgency = batch_order.Urgency(0, 10.0, 0.2, 0.1, 12.0, False)
        self.assertTrue(admission_forecast.is_late(urgency, 10.2))
        self.assertFalse(admission_forecast.is_late(urgency, 10.05))
        started = urgency._replace(is_started=True)
        self.assertFalse(admission_forecast.is_late(started, 99.0))


class LimitTest(unittest.TestCase):
    def test_work_that_is_refused_delays_none_behind_it(self):
        # One batch that could not be in time had all behind it refused.
        calendar = [1.0 if step in (1, 5, 30) else 0.0 for step in range(60)]
        wide = admission_forecast.Work(3, 9.0, 0.1)
        behind = admission_forecast.Work(2, 9.0, 0.1)
        waits = admission_forecast.expected_waits(calendar, [wide, behind])
        self.assertGreater(waits[0], wide.limit)
        self.assertAlmostEqual(waits[1], 0.05)

    def test_slots_that_returned_meanwhile_are_taken_back(self):
        # A run that is undone would leave a slot that nobody frees.
        calendar = [1.0] + [0.0] * 59
        refused = admission_forecast.Work(9, 0.02, 0.1)
        behind = admission_forecast.Work(3, 0.1)
        waits = admission_forecast.expected_waits(calendar, [refused, behind])
        self.assertAlmostEqual(waits[1], 0.2)


class SizeClassTest(unittest.TestCase):
    def test_as_many_tasks_fit_as_of_the_true_size(self):
        # Two tasks of 16 cores fit into 32; rounded up to 16.4 cores, one
        # did, and batches were refused for capacity that was there.
        capacities = [executors.Resources(cpu, 64) for cpu in (32000, 48000)]
        for cpu in (8000, 11000, 16000, 24000, 32000):
            needed = executors.Resources(cpu, 1)
            rounded = admission_forecast.size_class(needed, capacities)
            for capacity in capacities:
                with self.subTest(cpu=cpu, capacity=capacity.cpu):
                    self.assertGreaterEqual(
                        executors.count_fitting(rounded, capacity),
                        min(4, executors.count_fitting(needed, capacity)),
                    )


class BiasTest(unittest.TestCase):
    def test_lasting_error_is_corrected(self):
        bias = admission_forecast.Bias()
        rng = random.Random(1)
        for _ in range(500):
            forecast = rng.uniform(0.05, 0.3)
            bias.observe(forecast, 1.5 * forecast * rng.uniform(0.8, 1.25))
        self.assertAlmostEqual(bias.factor, 1.5, delta=0.1)

    def test_single_straggler_changes_little(self):
        bias = admission_forecast.Bias()
        bias.observe(0.05, 3.0)
        bias.observe(math.inf, 3.0)
        self.assertLess(bias.factor, 1.03)


class ReturnsTest(unittest.TestCase):
    def test_callers_return_in_their_order_as_capacity_allows(self):
        # Callers refused in one burst returned as the next burst.
        returns = admission_forecast.Returns()
        times = [returns.book(1, 10.5, 15.0, 0.1) for _ in range(20)]
        self.assertEqual(times, sorted(times))
        self.assertAlmostEqual(times[-1] - times[0], 1.9)
        self.assertLessEqual(returns.book(0, 10.5, 15.0, 0.1), 10.5)
