import random
import unittest

from cardamompath_core import health

USUAL_RATE = health.MIN_FAILURE_RATE


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.health = health.Health()
        self.rng = random.Random(1)

    def fail(self, times, rate=USUAL_RATE):
        return [self.health.record_failure(rate) for _ in range(times)]

    def test_server_is_ejected_after_two_consecutive_failures(self):
        self.assertEqual([False, True], self.fail(2))

    def test_successes_in_between_offset_failures(self):
        for _ in range(20):
            self.assertEqual([False], self.fail(1))
            self.health.record_success(USUAL_RATE)
            self.health.record_success(USUAL_RATE)

    def test_kind_that_fails_everywhere_is_no_evidence(self):
        self.assertFalse(any(self.fail(50, rate=0.95)))

    def test_pause_before_a_probe_grows_with_each_ejection(self):
        pauses = []
        now = 0.0
        for _ in range(4):
            self.health.eject(now, self.rng)
            pauses.append(self.health.probe_at - now)
            now = self.health.probe_at
        self.assertEqual(pauses, sorted(pauses))
        self.assertGreater(pauses[3], 4 * pauses[0])

    def test_task_that_cannot_be_retried_is_a_probe_only_later(self):
        self.health.eject(0.0, self.rng)
        due = self.health.probe_at
        self.assertFalse(self.health.may_probe(due - 0.1, True))
        self.assertTrue(self.health.may_probe(due, True))
        self.assertFalse(self.health.may_probe(due, False))
        late = due + health.NON_RETRYABLE_PROBE_DELAY
        self.assertTrue(self.health.may_probe(late, False))

    def test_server_returns_after_several_probes_one_at_a_time(self):
        self.health.eject(0.0, self.rng)
        for _ in range(health.PROBES_TO_RETURN):
            self.assertTrue(self.health.ejected)
            self.health.probing = True
            self.assertFalse(self.health.may_probe(100.0, True))
            self.health.record_probe(True, 100.0, self.rng)
        self.assertFalse(self.health.ejected)
        self.assertEqual(0.25, self.health.traffic_share(100.0))
        self.assertEqual(1.0, self.health.traffic_share(102.0))

    def test_number_of_ejected_servers_is_bounded(self):
        self.assertFalse(health.may_eject(0, 1))
        self.assertTrue(health.may_eject(0, 2))
        self.assertTrue(health.may_eject(7, 24))
        self.assertFalse(health.may_eject(8, 24))

    def test_failures_of_one_job_count_once(self):
        rates = health.FailureRates()
        self.assertTrue(rates.is_first_failure("job"))
        self.assertFalse(rates.is_first_failure("job"))

    def test_failure_rate_of_a_kind_is_learned(self):
        rates = health.FailureRates()
        for _ in range(200):
            rates.observe("bad", True)
        self.assertGreater(rates.rate("bad"), 0.9)
        self.assertEqual(USUAL_RATE, rates.rate("good"))
