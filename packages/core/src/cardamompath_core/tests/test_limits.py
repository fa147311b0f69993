import unittest

from cardamompath_core import limits


class BorrowLimitTest(unittest.TestCase):
    def setUp(self):
        self.limit = limits.BorrowLimit(8.0)

    def test_limit_doubles_after_as_many_tasks_that_did_not_wait(self):
        for _ in range(8):
            self.limit.observe(0.1, 0.11, 0.0, 0.1)
        self.assertEqual(16.0, self.limit.current)
        self.assertEqual(8.0, self.limit.growth())

    def test_limit_shrinks_once_for_tasks_that_were_in_flight_together(self):
        for at in (1.0, 1.1, 1.2):
            self.limit.observe(0.1, 0.4, 0.5, at)
        self.assertAlmostEqual(
            8.0 * limits.DECREASE_FACTOR, self.limit.current
        )
        self.limit.observe(0.1, 0.4, 1.5, 2.0)
        self.assertAlmostEqual(
            8.0 * limits.DECREASE_FACTOR**2, self.limit.current
        )

    def test_limit_never_shrinks_below_its_minimum(self):
        for at in range(1, 50):
            self.limit.shrink(float(at), float(at))
        self.assertEqual(limits.MIN_BORROWED, self.limit.current)

    def test_short_waits_do_not_count(self):
        self.limit.observe(0.004, 0.012, 0.5, 1.0)
        self.assertGreater(self.limit.current, 8.0)

    def test_connections_are_divided_by_the_instances(self):
        self.assertEqual(8, limits.connection_share(64, 8))
        self.assertEqual(1, limits.connection_share(4, 8))
