import random
import unittest

from cardamompath_core import health

USUAL = health.LEAST_SHARE


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.health = health.Health()
        self.rng = random.Random(1)

    def fail(self, times, share=USUAL):
        return [self.health.record_failure(share) for _ in range(times)]

    def test_two_failures_in_a_row_are_enough(self):
        self.assertEqual([False, True], self.fail(2))

    def test_success_in_between_makes_up_for_failures(self):
        for _ in range(20):
            self.assertEqual([False], self.fail(1))
            self.health.record_success(USUAL)
            self.health.record_success(USUAL)

    def test_kind_that_fails_everywhere_is_no_evidence(self):
        self.assertFalse(any(self.fail(50, share=0.95)))

    def test_probes_wait_longer_each_time(self):
        pauses = []
        now = 0.0
        for _ in range(4):
            self.health.eject(now, self.rng)
            pauses.append(self.health.probe_at - now)
            now = self.health.probe_at
        self.assertEqual(pauses, sorted(pauses))
        self.assertGreater(pauses[3], 4 * pauses[0])

    def test_task_that_cannot_run_again_is_no_early_probe(self):
        self.health.eject(0.0, self.rng)
        due = self.health.probe_at
        self.assertFalse(self.health.may_probe(due - 0.1, True))
        self.assertTrue(self.health.may_probe(due, True))
        self.assertFalse(self.health.may_probe(due, False))
        late = due + health.HARMFUL_PROBE_WAIT
        self.assertTrue(self.health.may_probe(late, False))

    def test_one_probe_at_a_time_and_several_to_return(self):
        self.health.eject(0.0, self.rng)
        for _ in range(health.PROBES):
            self.assertTrue(self.health.ejected)
            self.health.probing = True
            self.assertFalse(self.health.may_probe(100.0, True))
            self.health.record_probe(True, 100.0, self.rng)
        self.assertFalse(self.health.ejected)
        self.assertEqual(0.25, self.health.traffic_share(100.0))
        self.assertEqual(1.0, self.health.traffic_share(102.0))

    def test_floor_on_how_many_are_ejected(self):
        self.assertFalse(health.may_eject(0, 1))
        self.assertTrue(health.may_eject(0, 2))
        self.assertTrue(health.may_eject(7, 24))
        self.assertFalse(health.may_eject(8, 24))

    def test_failures_of_one_job_count_once(self):
        shares = health.FailureRates()
        self.assertTrue(shares.is_first_failure("job"))
        self.assertFalse(shares.is_first_failure("job"))

    def test_failure_share_of_a_kind_is_learned(self):
        shares = health.FailureRates()
        for _ in range(200):
            shares.observe("bad", True)
        self.assertGreater(shares.rate("bad"), 0.9)
        self.assertEqual(USUAL, shares.rate("good"))
