import random
import unittest

from cardamompath_core import admission
from cardamompath_core import queueing
from cardamompath_core import quotas
from cardamompath_core import reservations
from cardamompath_core import retries
from cardamompath_core import types

TEAMS = (types.TeamSpec("box-office", 8.0), types.TeamSpec("tours", 4.0))
FAILED = types.TaskResult("failed", 503)


class AdmissionTest(unittest.TestCase):
    def test_submission_that_would_miss_its_deadline_is_refused(self):
        load = admission.Load(40.0, 8.0, 2.0)
        self.assertIsNone(admission.check_deadline(load, 5.25))
        refusal = admission.check_deadline(load, 5.0)
        self.assertEqual("overloaded", refusal.code)
        self.assertAlmostEqual(0.25, refusal.retry_after)
        self.assertIsNotNone(
            admission.check_deadline(load._replace(size=20.0), 5.25)
        )

    def test_nothing_is_refused_on_an_idle_service_or_unknown_rate(self):
        for load in ((0.0, 8.0, 900.0), (40.0, 0.0, 1.0)):
            self.assertIsNone(
                admission.check_deadline(admission.Load(*load), 1.0)
            )
        late = admission.Load(0.0, 8.0, 900.0)
        self.assertIsNotNone(admission.check_deadline(late, 1.0, waited=True))


class RetriesTest(unittest.TestCase):
    def test_retries_are_limited_to_a_share_of_first_tries(self):
        budget = retries.RetryBudget()
        while budget.spend():
            pass
        taken = 0
        for _ in range(1000):
            budget.record_first_try()
            taken += budget.spend()
        self.assertAlmostEqual(100, taken, delta=1)

    def test_saved_tokens_are_bounded(self):
        budget = retries.RetryBudget()
        for _ in range(1000):
            budget.record_first_try()
        taken = sum(budget.spend() for _ in range(100))
        self.assertEqual(retries.MAX_TOKENS, taken)

    def test_only_idempotent_single_requests_are_retried(self):
        spec = types.JobSpec("t", (), 1.0, "", idempotent=True, single=True)
        self.assertTrue(retries.may_retry(spec, FAILED))
        unknown = types.TaskResult("unknown")
        self.assertTrue(retries.may_retry(spec, unknown))
        for other in (
            spec._replace(idempotent=False),
            spec._replace(single=False),
        ):
            self.assertFalse(retries.may_retry(other, FAILED))
        client_error = types.TaskResult("failed", 404)
        self.assertFalse(retries.may_retry(spec, client_error))

    def test_backoff_grows_with_jitter_and_is_bounded(self):
        rng = random.Random(1)
        for backoff, first, longest in (
            (retries.backoff, 0.025, 1.0),
            (retries.refusal_backoff, 0.1, 1.0),
        ):
            early = [backoff(0, rng) for _ in range(100)]
            late = [backoff(99, rng) for _ in range(100)]
            self.assertLessEqual(max(early), first)
            self.assertLessEqual(max(late), longest)
            self.assertGreater(min(late), max(early))
            self.assertGreater(max(late) - min(late), 0.2)


class ReservationsTest(unittest.TestCase):
    def setUp(self):
        self.reserved = reservations.Reservations(100)

    def test_jobs_wait_in_order_for_memory(self):
        self.assertTrue(self.reserved.reserve("a", 60, 1.0))
        self.assertFalse(self.reserved.reserve("b", 50, 2.0))
        self.assertFalse(self.reserved.reserve("c", 10, 3.0))
        self.assertTrue(self.reserved.reserve("small", 10, 0.5))
        self.assertEqual([], self.reserved.release("small"))
        self.assertEqual(["b", "c"], self.reserved.release("a"))
        self.assertEqual(60, self.reserved.used_bytes)

    def test_job_above_the_limit_runs_alone(self):
        self.reserved.reserve("a", 10, 1.0)
        self.assertFalse(self.reserved.reserve("large", 500, 2.0))
        self.assertEqual(["large"], self.reserved.release("a"))
        self.assertFalse(self.reserved.reserve("b", 1, 3.0))
        self.assertEqual(["b"], self.reserved.release("large"))

    def test_release_of_a_waiting_job_grants_the_next(self):
        self.reserved.reserve("a", 60, 1.0)
        self.reserved.reserve("large", 500, 2.0)
        self.reserved.reserve("c", 10, 3.0)
        self.assertEqual(["c"], self.reserved.release("large"))
        self.assertEqual([], self.reserved.release("large"))
        self.reserved.release("a")
        self.reserved.release("c")
        self.assertEqual(
            (0, {}), (self.reserved.used_bytes, self.reserved.granted)
        )

    def test_small_jobs_overtake_large_ones_for_a_limited_time(self):
        large = reservations.priority(0.0, 840)
        self.assertLess(reservations.priority(10.0, 20), large)
        self.assertGreater(reservations.priority(90.0, 20), large)

    def test_sizes_are_averaged_by_kind_from_a_default(self):
        sizes = reservations.AnswerSizes()
        task = types.TaskSpec("booking", "reserve", b"")
        other = task._replace(kind="report")
        overhead = reservations.RESULT_OVERHEAD_BYTES
        default = sizes.expected((other,))
        self.assertEqual(reservations.DEFAULT_ANSWER_BYTES + overhead, default)
        for _ in range(3):
            sizes.observe(task, 10000)
        self.assertEqual(2 * (10000 + overhead), sizes.expected((task, task)))
        self.assertEqual(default, sizes.expected((other,)))


class QuotasTest(unittest.TestCase):
    def setUp(self):
        self.teams = quotas.Quotas()
        self.teams.shares = quotas.divide_shares(TEAMS, 4, False)
        self.queue = quotas.TeamQueues("booking", self.teams)
        self.count = 0

    def start(self, team):
        self.count += 1
        self.teams.record_start(types.TaskRef("job", self.count), team)

    def add(self, team, arrived):
        queued = queueing.QueuedJob(team, arrived, 60.0, team)
        task = queueing.QueuedTask(1.0, 0, queueing.SHORT)
        self.queue.add(queued, [task], 1.0)
        return queued

    def test_team_below_its_share_goes_first(self):
        first = self.add("box-office", 1.0)
        later = self.add("tours", 2.0)
        self.assertIs(first, self.queue.head(queueing.SHORT)[1])
        self.start("box-office")
        self.assertIs(first, self.queue.head(queueing.SHORT)[1])
        self.start("box-office")
        self.assertIs(later, self.queue.head(queueing.SHORT)[1])
        self.teams.record_end(types.TaskRef("job", 1))
        self.assertIs(first, self.queue.head(queueing.SHORT)[1])

    def test_team_at_its_share_gets_idle_slots(self):
        for _ in range(9):
            self.start("tours")
        only = self.add("tours", 1.0)
        self.assertIs(only, self.queue.head(queueing.SHORT)[1])

    def test_shares_are_divided_and_bound_to_services(self):
        bound = (TEAMS[0]._replace(services=("pickup",)), TEAMS[1])
        self.assertFalse(self.teams.is_at_share("box-office", "booking"))
        self.teams.shares = quotas.divide_shares(bound, 4, False)
        self.assertTrue(self.teams.is_at_share("box-office", "booking"))
        self.assertFalse(self.teams.is_at_share("box-office", "pickup"))

    def test_only_teams_below_their_share_borrow_when_cut_off(self):
        self.start("tours")
        self.assertTrue(self.teams.may_borrow("tours", "booking"))
        self.teams.shares = quotas.divide_shares(TEAMS, 4, True)
        self.assertFalse(self.teams.may_borrow("tours", "booking"))
        self.assertTrue(self.teams.may_borrow("box-office", "booking"))

    def test_refusal_of_an_unknown_team_lists_the_known_ones(self):
        refusal = quotas.check_team(TEAMS, "crew")
        self.assertEqual("unknown_team", refusal.code)
        self.assertIn("box-office, tours", refusal.reason)
        self.assertIsNone(quotas.check_team(TEAMS, "tours"))
        self.assertIsNone(quotas.check_team((), "crew"))
        self.assertEqual("", quotas.Quotas().charged_team("crew"))

    def test_queues_are_empty_after_pop_and_withdrawal(self):
        jobs = [self.add(team, 1.0) for team in ("tours", "box-office")]
        self.queue.pop(jobs[0], queueing.SHORT, 1.0)
        self.queue.withdraw(jobs[1])
        self.assertEqual((0, 0.0), (len(self.queue), self.queue.work))
        self.assertIsNone(self.queue.head(queueing.SHORT))
