import collections
import heapq
import itertools
import random
import unittest

from cardamompath_core import identity
from cardamompath_core import leases
from cardamompath_core import reservations
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

OWNER = identity.Incarnation("pocitos", "entry-0", "0123456789ab")
NAME = identity.format_incarnation(OWNER)
TASK = types.TaskSpec("booking", "reserve", b"")
FINISHED = types.BackendAnswer("done", 200, b"x" * 100, elapsed=0.1)
FAILED = types.BackendAnswer("done", 500, elapsed=0.1)
REFUSED = types.BackendAnswer("connect", error="refused")
RESERVED_PER_TASK = (
    int(reservations.DEFAULT_ANSWER_BYTES) + reservations.RESULT_OVERHEAD_BYTES
)
MEMORY_LIMIT = 10 * RESERVED_PER_TASK


def make_backends(count, slots=4):
    return tuple(
        types.BackendSpec(
            f"b{index}", "booking", "pocitos", "::1", index, slots
        )
        for index in range(count)
    )


def make_peer(number, status):
    name = f"pocitos.entry-{number}.0123456789ab"
    return types.PeerView(name, "::1", 1, status)


class DispatchCase(unittest.TestCase):
    """Drives the job, quota and backend controllers of an instance."""

    def setUp(self):
        self.now = 0.0
        self.timers = []
        self.sequence = itertools.count()
        self.answers = {}
        self.started = []
        self.answer = None
        """Function from `StartTask` to its immediate answer."""
        self.shares = None
        rng = random.Random(1)
        dispatch_controllers = (
            controllers.jobs.jobs.make_controller(
                OWNER, queue=messages.QUOTAS
            ),
            controllers.jobs.quotas.make_controller(OWNER, MEMORY_LIMIT),
            controllers.backends.backends.make_controller(OWNER, rng),
        )
        self.receivers = {
            controller.name: controller.receive
            for controller in dispatch_controllers
        }
        self.configure(make_backends(2))

    def configure(self, backends, teams=()):
        services = (types.ServiceSpec("booking"), types.ServiceSpec("none"))
        cfg = types.Configuration(1, 0, services, backends, teams)
        for name in self.receivers:
            self.send(name, messages.ConfigurationChanged(cfg))

    def send(self, target, msg):
        pending = collections.deque([messages.Send(target, msg)])
        while pending:
            target, msg = pending.popleft()
            if target in self.receivers:
                pending.extend(self.receivers[target](msg, self.now))
            elif target == messages.TIMERS:
                heapq.heappush(self.timers, (msg.at, next(self.sequence), msg))
            elif target == messages.CALLERS:
                self.answers[msg.reply_to] = msg.answer
            elif target == messages.CONNECTIONS:
                self.started.append(msg)
                if self.answer is not None:
                    pending.append(self.make_end(msg, self.answer(msg)))

    @staticmethod
    def make_end(msg, answer):
        ended = messages.AttemptEnded(msg.backend.name, msg.task, answer)
        return messages.Send(messages.BACKENDS, ended)

    def end(self, answer=FINISHED, job=None):
        """End the started tasks, all or those of a job."""
        running, self.started = self.started, []
        for msg in running:
            if job in (None, msg.task.job):
                self.send(*self.make_end(msg, answer))
            else:
                self.started.append(msg)

    def advance(self, seconds):
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            self.now, _, msg = heapq.heappop(self.timers)
            self.send(msg.to, messages.TimerFired(msg.key))
        self.now = end

    def submit(self, count=1, team="box-office", single=False, **fields):
        """Submit a job or request; return the key of its answer."""
        task = TASK._replace(kind=fields.pop("kind", TASK.kind))
        spec = types.JobSpec(team, (task,) * count, 30.0, "one")
        spec = spec._replace(single=single, **fields)
        job = ""
        if not single:
            self.send(messages.JOBS, messages.IssueJobId("issued"))
            job = self.answers["issued"]
        reply_to = job or f"request-{next(self.sequence)}"
        self.send(messages.JOBS, messages.Submit(job, spec, reply_to))
        return reply_to

    def cancel(self, job):
        self.send(messages.JOBS, messages.CancelJob(job, job))

    def status(self, name):
        self.send(name, messages.GetStatus("status"))
        return self.answers["status"]

    def check_empty(self):
        status = self.status(messages.QUOTAS)
        self.assertEqual(0, status["reserved_bytes"])
        self.assertEqual(0, status["waiting_for_memory"])
        status = self.status(messages.BACKENDS)
        self.assertEqual(0, status["queued"])
        self.assertEqual({0}, {*status["in_flight"].values()})
        self.assertEqual({}, status["teams"])
        self.assertEqual(0, status["retrying"])
        self.assertEqual(0, self.status(messages.JOBS)["unanswered"])


class ReservationTest(DispatchCase):
    """However a job ends, a job that waits for its memory starts."""

    def setUp(self):
        super().setUp()
        self.first = self.submit(10)
        self.waiting = self.submit(2)

    def check_released(self, answer_type, code=None):
        answer = self.answers[self.first]
        self.assertIsInstance(answer, answer_type)
        self.assertEqual(code, getattr(answer, "code", None))
        self.assertIn(self.waiting, {start.task.job for start in self.started})
        self.end(job=self.waiting)
        self.assertIsInstance(self.answers[self.waiting], types.Complete)
        self.check_empty()

    def test_job_waits_until_memory_is_free(self):
        self.assertEqual(8, len(self.started))
        self.end()
        self.assertEqual(2, len(self.started))
        self.assertEqual(
            {self.first}, {start.task.job for start in self.started}
        )

    def test_complete(self):
        self.end()
        self.end()
        self.check_released(types.Complete)

    def test_failed(self):
        self.end(FAILED)
        self.end(job=self.first)
        self.check_released(types.Failed, "task_failed")

    def test_cancelled(self):
        self.cancel(self.first)
        self.assertNotIn(self.first, self.answers)
        self.end()
        self.check_released(types.Failed, "cancelled")

    def test_deadline(self):
        self.now = 5.0
        self.cancel(self.waiting)
        self.waiting = self.submit(2)
        self.advance(26.0)
        self.end(job=self.first)
        self.check_released(types.Failed, "deadline")

    def test_lease_lapse(self):
        lapsed = messages.LeaseChanged(NAME, leases.NEVER)
        for name in (messages.BACKENDS, messages.JOBS):
            self.send(name, lapsed)
        self.end()
        self.assertEqual("lease_lapsed", self.answers[self.first].code)
        answer = self.answers[self.waiting]
        self.assertIsInstance(answer, types.Refused)
        self.assertEqual("lease_lapsed", answer.code)
        self.check_empty()

    def test_refused(self):
        self.cancel(self.first)
        self.end()
        self.end()
        other = self.submit(2)
        no_backend = TASK._replace(service="none")
        spec = types.JobSpec("box-office", (TASK, no_backend), 30.0, "two")
        self.send(messages.JOBS, messages.IssueJobId("issued"))
        job = self.answers["issued"]
        self.send(messages.JOBS, messages.Submit(job, spec, job))
        self.assertEqual("no_backend", self.answers[job].code)
        self.assertIn("'none'", self.answers[job].reason)
        self.end(job=other)
        self.check_empty()

    def test_waiting_job_is_refused_when_it_is_cancelled(self):
        self.cancel(self.waiting)
        answer = self.answers[self.waiting]
        self.assertIsInstance(answer, types.Refused)
        self.assertEqual("cancelled", answer.code)
        self.end()
        self.end()
        self.check_empty()

    def test_waiting_job_is_not_run_after_its_deadline(self):
        self.advance(31.0)
        self.assertIsInstance(self.answers[self.waiting], types.Refused)
        self.end()
        self.check_empty()

    def test_job_that_waited_too_long_for_memory_is_not_run(self):
        self.cancel(self.waiting)
        large = FINISHED._replace(payload=b"x" * 5000)
        self.end(large)
        self.end(large)
        self.submit(10, timeout=90.0)
        late = self.submit(10)
        self.advance(29.95)
        self.end()
        self.end()
        self.assertEqual("overloaded", self.answers[late].code)
        self.assertEqual([], self.started)

    def test_declined_under_a_lapsed_lease(self):
        self.send(messages.JOBS, messages.LeaseChanged(NAME, 5.0))
        self.now = 6.0
        refusal = types.Refused("overloaded", "late")
        declined = messages.JobRefused(self.waiting, refusal)
        self.send(messages.JOBS, declined)
        self.assertEqual("lease_lapsed", self.answers[self.waiting].code)

    def test_sizes_are_learned_from_answers(self):
        self.end()
        self.end()
        self.end()
        self.submit(3)
        status = self.status(messages.QUOTAS)
        reserved_per_task = 100 + reservations.RESULT_OVERHEAD_BYTES
        self.assertEqual(3 * reserved_per_task, status["reserved_bytes"])

    def test_single_request_needs_no_reservation(self):
        self.end(job=self.first)
        request = self.submit(single=True)
        self.end()
        self.assertIsInstance(self.answers[request], types.Complete)


class TeamsTest(DispatchCase):
    TEAMS = (types.TeamSpec("box-office", 8.0), types.TeamSpec("tours", 8.0))

    def configure(self, backends, teams=None):
        super().configure(backends, self.TEAMS)

    def teams(self):
        return collections.Counter(self.status(messages.BACKENDS)["teams"])

    def peers(self, *statuses):
        peers = [make_peer(*item) for item in enumerate(statuses, 1)]
        msg = messages.PeersChanged(tuple(peers))
        self.send(messages.QUOTAS, msg)

    def test_idle_shares_are_borrowed_and_given_back(self):
        self.peers("alive")
        self.submit(9)
        self.assertEqual({"box-office": 8}, self.teams())
        self.submit(1, "tours")
        first = self.started.pop(0)
        self.send(*self.make_end(first, FINISHED))
        self.assertEqual({"box-office": 7, "tours": 1}, self.teams())

    def test_team_above_its_share_borrows_no_slots_while_cut_off(self):
        self.configure(make_backends(4, slots=8))
        peers = tuple(make_peer(number, "alive") for number in (1, 2, 3))
        self.send(messages.BACKENDS, messages.PeersChanged(peers))
        self.peers("alive", "suspect", "suspect")
        self.submit(9)
        self.assertEqual(8, len(self.started))
        self.peers("alive", "alive", "alive")
        self.submit(1)
        self.assertEqual(10, len(self.started))

    def test_order_of_teams_applies_to_long_kinds(self):
        self.peers("alive")
        self.answer = lambda msg: FINISHED._replace(
            elapsed=5.0 if msg.kind == "report" else 0.05
        )
        for kind in ("confirm", "report") * 3 + ("confirm",) * 60:
            self.submit(kind=kind)
        self.answer = None
        self.started.clear()
        self.submit(10, kind="confirm")
        self.submit(1, "tours", kind="report")
        self.send(*self.make_end(self.started.pop(), FINISHED))
        self.assertEqual({"box-office": 7, "tours": 1}, self.teams())

    def test_unknown_team_is_refused_and_nothing_runs(self):
        job = self.submit(3, "crew")
        self.assertEqual("unknown_team", self.answers[job].code)
        self.assertEqual([], self.started)
        self.check_empty()

    def test_unreachable_instances_keep_their_share(self):
        for statuses, instances, cut_off in (
            (("alive", "alive", "alive"), 4, False),
            (("alive", "suspect", "suspect"), 4, True),
            (("suspect", "suspect", "suspect"), 4, True),
            (("dead", "dead", "dead"), 4, True),
            (("alive", "leaving", "alive"), 3, False),
            (("alive", "dead", "alive"), 3, False),
            (("alive",), 2, False),
        ):
            self.peers(*statuses)
            status = self.status(messages.QUOTAS)
            self.assertEqual(instances, status["instances"], statuses)
            self.assertEqual(cut_off, status["cut_off"], statuses)


class AdmissionTest(DispatchCase):
    def test_job_that_would_miss_its_deadline_is_refused(self):
        slow = FINISHED._replace(elapsed=1.0)
        self.answer = lambda msg: slow
        self.submit(1)
        self.answer = None
        for _ in range(48):
            self.submit(1, single=True)
        late = self.submit(1, single=True, timeout=4.0)
        answer = self.answers[late]
        self.assertIsInstance(answer, types.Refused)
        self.assertEqual("overloaded", answer.code)
        self.assertGreater(answer.retry_after, 0.0)
        accepted = self.submit(1, single=True, timeout=30.0)
        self.assertNotIn(accepted, self.answers)
        self.assertNotIn(late, {start.task.job for start in self.started})

    def test_short_request_that_starts_first_is_not_refused(self):
        for _ in range(3):
            self.submit(1, single=True, kind="report", timeout=900.0)
        self.end(FINISHED._replace(elapsed=60.0))
        self.submit(1, single=True, kind="reserve")
        self.end(FINISHED._replace(elapsed=0.1))
        for _ in range(60):
            self.submit(1, single=True, kind="report", timeout=900.0)
        late = self.submit(1, single=True, kind="report", timeout=200.0)
        short = self.submit(1, single=True, kind="reserve")
        self.assertEqual("overloaded", self.answers[late].code)
        self.assertNotIn(short, self.answers)


class RetryTest(DispatchCase):
    def request(self, **fields):
        return self.submit(single=True, **{"idempotent": True, **fields})

    def test_idempotent_request_is_retried_after_a_backoff(self):
        request = self.request()
        self.end(FAILED)
        self.assertEqual([], self.started)
        self.advance(0.1)
        self.end()
        self.assertIsInstance(self.answers[request], types.Complete)
        self.check_empty()

    def test_jobs_and_non_idempotent_requests_are_not_retried(self):
        self.answer = lambda msg: FAILED
        self.request(idempotent=False)
        self.submit(1)
        self.advance(5.0)
        self.assertEqual(2, len(self.started))

    def test_retries_are_bounded(self):
        self.answer = lambda msg: FAILED
        request = self.request()
        self.advance(5.0)
        self.assertEqual(3, len(self.started))
        self.assertEqual("failed", self.answers[request].results[0].state)
        for _ in range(200):
            self.request()
        self.advance(5.0)
        self.assertLess(len(self.started), 3 + 200 + 10 + 20 + 1)
        self.check_empty()

    def test_failed_request_never_counts_as_not_run(self):
        self.configure(make_backends(1, slots=1))
        for pause in (0.0, 0.1):
            request = self.request(timeout=1.0)
            self.end(FAILED)
            self.submit(1, timeout=90.0)
            self.advance(pause)
            self.advance(1.1)
            self.assertIsInstance(self.answers[request], types.Failed)
            self.end()
            self.end()
        self.check_empty()

    def test_refused_retry_after_a_failed_attempt_is_a_failure(self):
        request = self.request(timeout=1.0)
        self.end(FAILED)
        self.advance(0.5)
        self.send(messages.BACKENDS, messages.Withdraw(self.job()))
        self.end(REFUSED)
        self.assertIsInstance(self.answers[request], types.Failed)

    def job(self):
        return self.started[0].task.job

    def test_no_retry_is_planned_past_the_deadline(self):
        request = self.request(timeout=0.01)
        self.end(FAILED)
        self.assertIsInstance(self.answers[request], types.Failed)

    def test_last_attempt_is_unknown_while_it_is_in_flight(self):
        request = self.request(timeout=1.0)
        self.end(FAILED)
        self.advance(1.1)
        self.assertEqual("unknown", self.answers[request].results[0].state)

    def test_failed_probe_never_counts_as_not_run(self):
        self.configure(make_backends(3, slots=1))
        self.answer = lambda msg: (
            FAILED if msg.backend.name == "b0" else FINISHED
        )
        for _ in range(60):
            self.submit(1)
        self.answer = None
        self.advance(2.0)
        self.started.clear()
        self.submit(2, timeout=90.0)
        request = self.request(timeout=1.0)
        self.assertEqual("b0", self.started[-1].backend.name)
        self.send(*self.make_end(self.started.pop(), FAILED))
        self.advance(1.1)
        self.assertIsInstance(self.answers[request], types.Failed)

    def test_simultaneous_refusals_count_once(self):
        self.configure(make_backends(1, slots=8))
        self.submit(10)
        self.end(REFUSED)
        self.advance(0.3)
        self.assertEqual(8, len(self.started))

    def test_recovered_server_gets_its_full_share(self):
        self.configure(make_backends(1, slots=8))
        self.answer = lambda msg: REFUSED
        self.submit(10)
        self.advance(10.0)
        self.answer = None
        self.started.clear()
        self.advance(1.5)
        self.assertEqual(1, len(self.started))
        self.end()
        self.assertEqual(8, len(self.started))

    def test_dead_backend_server_is_called_with_pauses(self):
        self.configure(make_backends(1, slots=8))
        self.answer = lambda msg: REFUSED
        self.submit(10)
        self.advance(10.0)
        self.assertLessEqual(len(self.started), 60)
        self.assertGreaterEqual(len(self.started), 10)
        self.answer = lambda msg: FINISHED
        self.advance(2.0)
        self.check_empty()


class CancellationTest(DispatchCase):
    def test_many_cancellations_leave_no_state(self):
        jobs = [self.submit(1) for _ in range(2)]
        jobs += [self.submit(500) for _ in range(10)]
        for job in jobs:
            self.cancel(job)
        self.end()
        self.end()
        self.assertEqual([], self.started)
        self.check_empty()
        self.advance(700.0)
        self.assertEqual({"tick"}, {timer[2].key for timer in self.timers})
        self.assertEqual(0, self.status(messages.JOBS)["jobs"])
