"""Order of batches under load, and their refusal."""

import unittest

from cardamompath_core import batch_order


def make_urgency(priority=1, submitted_at=10.0, started=False, **fields):
    urgency = batch_order.Urgency(
        priority, submitted_at, 0.3, 0.1, 12.0, started
    )
    return urgency._replace(**fields)


class SortKeyTest(unittest.TestCase):
    def assert_order(self, *urgencies, now=10.0):
        """Check that the batches start in this order."""
        keys = [batch_order.sort_key(each, now) for each in urgencies]
        self.assertEqual(keys, sorted(keys))
        self.assertEqual(len(set(keys)), len(keys))

    def test_started_batch_comes_first_until_its_answer_is_of_no_use(self):
        started = make_urgency(2, 9.5, True)
        self.assert_order(started, make_urgency(0))
        self.assert_order(make_urgency(0, 10.4), started, now=10.4)

    def test_priority_comes_before_the_time_left(self):
        self.assert_order(make_urgency(0, 10.0), make_urgency(1, 9.9))

    def test_less_time_left_comes_first_within_a_priority(self):
        self.assert_order(make_urgency(1, 9.9), make_urgency(1, 10.0))

    def test_batches_that_can_only_be_late_come_after_all_others(self):
        late = make_urgency(0, 9.7)
        useless = make_urgency(0, 9.0)
        self.assert_order(make_urgency(2), late, useless)


class RefusalTest(unittest.TestCase):
    def test_batch_is_refused_if_it_would_be_late(self):
        self.assertFalse(batch_order.is_too_late(make_urgency(), 10.3, True))
        self.assertTrue(batch_order.is_too_late(make_urgency(), 10.4, True))

    def test_late_answer_is_given_while_executors_are_free(self):
        urgency = make_urgency()
        self.assertFalse(batch_order.is_too_late(urgency, 10.7, False))
        self.assertTrue(batch_order.is_too_late(urgency, 10.9, False))

    def test_batch_is_refused_if_its_caller_will_have_left(self):
        urgency = make_urgency(deadline=10.2)
        self.assertTrue(batch_order.is_too_late(urgency, 10.15, True))

    def test_started_batch_is_never_refused(self):
        urgency = make_urgency(started=True)
        self.assertFalse(batch_order.is_too_late(urgency, 20.0, True))

    def test_caller_may_retry_when_it_would_have_been_in_time(self):
        self.assertAlmostEqual(
            batch_order.retry_delay(make_urgency(), 12.2), 2.0
        )
        self.assertEqual(batch_order.retry_delay(make_urgency(), 10.3), 0.5)
        self.assertEqual(batch_order.retry_delay(make_urgency(), 99.0), 5.0)


class DemandTest(unittest.TestCase):
    def test_steady_load_is_the_share_that_it_takes(self):
        demand = batch_order.Demand()
        for number in range(300):
            demand.add(0, 0.004, 10.0 + number / 100.0)
        self.assertAlmostEqual(demand.above(1, 13.0), 0.4, delta=0.02)

    def test_only_higher_priorities_count(self):
        demand = batch_order.Demand()
        demand.add(1, 0.4, 10.0)
        self.assertEqual(demand.above(1, 10.0), 0.0)
        self.assertGreater(demand.above(2, 10.0), 0.0)

    def test_past_load_is_forgotten(self):
        demand = batch_order.Demand()
        demand.add(0, 0.4, 10.0)
        self.assertLess(demand.above(1, 13.0), 0.01)

    def test_wait_grows_with_the_load_of_higher_priorities(self):
        self.assertAlmostEqual(batch_order.expected_wait(0.1, 0.0), 0.1)
        self.assertAlmostEqual(batch_order.expected_wait(0.1, 0.5), 0.2)
        self.assertAlmostEqual(batch_order.expected_wait(0.1, 3.0), 2.0)
