import unittest

from cardamompath_core import run_ends


class RemainingTest(unittest.TestCase):
    def test_new_run_takes_its_usual_time(self):
        # A forecast that ignored the median would admit what is late.
        left = run_ends.remaining(0.0, 0.2)
        self.assertAlmostEqual(left.expected, 0.2, delta=0.02)
        self.assertGreater(left.bound, 1.5 * left.expected)

    def test_run_of_known_size_has_a_close_bound(self):
        left = run_ends.remaining(0.1, 0.2, known_size=True)
        self.assertAlmostEqual(left.expected, 0.1, delta=0.02)
        self.assertLess(left.bound, 0.15)

    def test_run_that_is_overdue_is_probably_a_straggler(self):
        # Otherwise room would be promised again and again that does not come.
        overdue = run_ends.remaining(0.7, 0.2)
        self.assertGreater(overdue.expected, 0.3)
        self.assertGreater(overdue.bound, overdue.expected)

    def test_forecast_is_continuous_in_the_elapsed_time(self):
        before = run_ends.remaining(0.0, 1.0)
        for step in range(1, 400):
            after = run_ends.remaining(step / 100.0, 1.0)
            self.assertLess(abs(after.expected - before.expected), 0.3)
            before = after


if __name__ == "__main__":
    unittest.main()
