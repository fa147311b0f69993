import unittest

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

OWNER = identity.Incarnation("pocitos", "entry-1", "0123456789ab")
CFG = types.Configuration(1, 0, (types.ServiceSpec("booking"),))


def make_spec(count=2, digest="one"):
    tasks = tuple(
        types.TaskSpec("booking", "reserve", b"%d" % index)
        for index in range(count)
    )
    return types.JobSpec("box-office", tasks, 10.0, digest)


class JobsTest(unittest.TestCase):
    def setUp(self):
        self.jobs = controllers.jobs.make_controller(OWNER)
        self.tell(messages.ConfigurationChanged(CFG))

    def tell(self, msg, now=0.0):
        return list(self.jobs.receive(msg, now))

    def replies(self, sends):
        return [one.msg.answer for one in sends if one.to == messages.CALLERS]

    def issue(self):
        return self.replies(self.tell(messages.IssueJobId("fut")))[0]

    def test_resubmission_starts_nothing_again(self):
        job = self.issue()
        first = self.tell(messages.Submit(job, make_spec(), "a"))
        again = self.tell(messages.Submit(job, make_spec(), "b"))
        self.assertIn(messages.BACKENDS, [one.to for one in first])
        self.assertEqual([], again)

    def test_another_body_is_a_conflict(self):
        job = self.issue()
        self.tell(messages.Submit(job, make_spec(), "a"))
        other = make_spec(digest="two")
        answer = self.replies(self.tell(messages.Submit(job, other, "b")))[0]
        self.assertEqual("conflict", answer.code)

    def test_foreign_job_is_not_started(self):
        job = "pocitos.entry-2.0123456789ab.1"
        sends = self.tell(messages.Submit(job, make_spec(), "a"))
        ask = messages.ResolveForeignJob(job, 2, None, "a")
        self.assertEqual([messages.Send(messages.JOURNAL, ask)], sends)

    def test_identifier_is_pending_until_it_is_submitted(self):
        job = self.issue()
        answer = self.replies(self.tell(messages.AwaitJob(job, "a")))[0]
        self.assertIsInstance(answer, types.Pending)

    def test_refusal_and_cancellation_are_final(self):
        refused, cancelled = self.issue(), self.issue()
        other = types.TaskSpec("unknown", "reserve", b"")
        spec = make_spec()._replace(tasks=(other,))
        first = self.tell(messages.Submit(refused, spec, "a"))
        self.tell(messages.CancelJob(cancelled, "a"))
        service = types.ServiceSpec("unknown")
        cfg = CFG._replace(services=(*CFG.services, service))
        self.tell(messages.ConfigurationChanged(cfg))
        again = self.tell(messages.Submit(refused, spec, "b"))
        self.assertEqual("unknown_service", self.replies(again)[0].code)
        self.assertEqual(self.replies(first), self.replies(again))
        late = self.tell(messages.Submit(cancelled, make_spec(), "b"))
        self.assertEqual("cancelled", self.replies(late)[0].code)

    def test_identifier_that_was_never_issued_is_refused(self):
        job = identity.format_incarnation(OWNER) + ".7"
        answer = self.replies(self.tell(messages.Submit(job, make_spec(), 1)))
        self.assertEqual("unknown_job", answer[0].code)

    def test_answers_are_bounded_in_bytes(self):
        self.jobs = controllers.jobs.make_controller(OWNER, 300.0, 5000)
        self.tell(messages.ConfigurationChanged(CFG))
        done = types.TaskResult("finished", 200, b"x" * 1000)
        jobs = [self.issue() for _ in range(5)]
        for job in jobs:
            self.tell(messages.Submit(job, make_spec(1), "a"))
            self.tell(messages.TaskSettled(types.TaskRef(job, 0), done))
        kinds = [
            type(self.replies(self.tell(messages.AwaitJob(job, "b")))[0])
            for job in jobs
        ]
        self.assertEqual([types.Failed] * 2 + [types.Complete] * 3, kinds)

    def test_result_that_comes_twice_counts_once(self):
        job = self.issue()
        self.tell(messages.Submit(job, make_spec(2), "a"))
        done = types.TaskResult("finished", 200)
        for _ in range(2):
            msg = messages.TaskSettled(types.TaskRef(job, 0), done)
            self.assertEqual([], self.tell(msg))

    def test_failed_task_withdraws_the_rest(self):
        job = self.issue()
        self.tell(messages.Submit(job, make_spec(3), "a"))
        failed = types.TaskResult("failed", 500)
        sends = self.tell(messages.TaskSettled(types.TaskRef(job, 0), failed))
        self.assertIn(messages.Withdraw(job), [one.msg for one in sends])
        sends = self.tell(messages.TasksWithdrawn(job, (1, 2)))
        answer = self.replies(sends)[0]
        self.assertEqual("task_failed", answer.code)
        states = [one.state for one in answer.results]
        self.assertEqual(["failed", "not_started", "not_started"], states)

    def test_deadline_in_the_queue_is_a_true_refusal(self):
        job = self.issue()
        self.tell(messages.Submit(job, make_spec(2), "a"))
        self.tell(messages.TimerFired(("deadline", job)), 10.0)
        sends = self.tell(messages.TasksWithdrawn(job, (0, 1)), 10.0)
        self.assertIsInstance(self.replies(sends)[0], types.Refused)

    def test_unanswered_start_is_unknown_at_the_deadline(self):
        job = self.issue()
        self.tell(messages.Submit(job, make_spec(2), "a"))
        self.tell(messages.TimerFired(("deadline", job)), 10.0)
        sends = self.tell(messages.TasksWithdrawn(job, (1,)), 10.0)
        answer = self.replies(sends)[0]
        states = [one.state for one in answer.results]
        self.assertEqual(["unknown", "not_started"], states)
