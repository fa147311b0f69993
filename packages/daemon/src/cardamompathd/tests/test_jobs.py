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
        self.jobs = controllers.jobs.jobs.make_controller(OWNER)
        self.receive(messages.ConfigurationChanged(CFG))

    def receive(self, msg, now=0.0):
        return list(self.jobs.receive(msg, now))

    def replies(self, sends):
        return [
            send.msg.answer for send in sends if send.to == messages.CALLERS
        ]

    def issue_id(self):
        return self.replies(self.receive(messages.IssueJobId("fut")))[0]

    def test_resubmission_queues_nothing(self):
        job_id = self.issue_id()
        first = self.receive(messages.Submit(job_id, make_spec(), "a"))
        again = self.receive(messages.Submit(job_id, make_spec(), "b"))
        self.assertIn(messages.BACKENDS, [send.to for send in first])
        self.assertEqual([], again)

    def test_resubmission_with_another_body_is_a_conflict(self):
        job_id = self.issue_id()
        self.receive(messages.Submit(job_id, make_spec(), "a"))
        other = make_spec(digest="two")
        answer = self.replies(
            self.receive(messages.Submit(job_id, other, "b"))
        )[0]
        self.assertEqual("conflict", answer.code)

    def test_foreign_job_is_not_started(self):
        job_id = "pocitos.entry-2.0123456789ab.1"
        sends = self.receive(messages.Submit(job_id, make_spec(), "a"))
        resolve = messages.ResolveForeignJob(job_id, 2, None, "a")
        self.assertEqual([messages.Send(messages.JOURNAL, resolve)], sends)

    def test_unsubmitted_identifier_is_pending(self):
        job_id = self.issue_id()
        answer = self.replies(self.receive(messages.AwaitJob(job_id, "a")))[0]
        self.assertIsInstance(answer, types.Pending)

    def test_refusal_and_cancellation_are_final(self):
        refused, cancelled = self.issue_id(), self.issue_id()
        other = types.TaskSpec("unknown", "reserve", b"")
        spec = make_spec()._replace(tasks=(other,))
        first = self.receive(messages.Submit(refused, spec, "a"))
        self.receive(messages.CancelJob(cancelled, "a"))
        service = types.ServiceSpec("unknown")
        cfg = CFG._replace(services=(*CFG.services, service))
        self.receive(messages.ConfigurationChanged(cfg))
        again = self.receive(messages.Submit(refused, spec, "b"))
        self.assertEqual("unknown_service", self.replies(again)[0].code)
        self.assertEqual(self.replies(first), self.replies(again))
        late = self.receive(messages.Submit(cancelled, make_spec(), "b"))
        self.assertEqual("cancelled", self.replies(late)[0].code)

    def test_identifier_that_was_never_issued_is_refused(self):
        job_id = identity.format_incarnation(OWNER) + ".7"
        answer = self.replies(
            self.receive(messages.Submit(job_id, make_spec(), 1))
        )
        self.assertEqual("unknown_job", answer[0].code)

    def test_kept_answers_are_bounded_in_bytes(self):
        self.jobs = controllers.jobs.jobs.make_controller(OWNER, 300.0, 5000)
        self.receive(messages.ConfigurationChanged(CFG))
        done = types.TaskResult("finished", 200, b"x" * 1000)
        job_ids = [self.issue_id() for _ in range(5)]
        for job_id in job_ids:
            self.receive(messages.Submit(job_id, make_spec(1), "a"))
            self.receive(messages.TaskSettled(types.TaskRef(job_id, 0), done))
        answer_types = [
            type(self.replies(self.receive(messages.AwaitJob(job_id, "b")))[0])
            for job_id in job_ids
        ]
        self.assertEqual(
            [types.Failed] * 2 + [types.Complete] * 3, answer_types
        )

    def test_duplicate_result_is_ignored(self):
        job_id = self.issue_id()
        self.receive(messages.Submit(job_id, make_spec(2), "a"))
        done = types.TaskResult("finished", 200)
        for _ in range(2):
            msg = messages.TaskSettled(types.TaskRef(job_id, 0), done)
            self.assertEqual([], self.receive(msg))

    def test_failed_task_withdraws_the_other_tasks(self):
        job_id = self.issue_id()
        self.receive(messages.Submit(job_id, make_spec(3), "a"))
        failed = types.TaskResult("failed", 500)
        sends = self.receive(
            messages.TaskSettled(types.TaskRef(job_id, 0), failed)
        )
        self.assertIn(messages.Withdraw(job_id), [send.msg for send in sends])
        sends = self.receive(messages.TasksWithdrawn(job_id, (1, 2)))
        answer = self.replies(sends)[0]
        self.assertEqual("task_failed", answer.code)
        states = [result.state for result in answer.results]
        self.assertEqual(["failed", "not_started", "not_started"], states)

    def test_job_still_queued_at_the_deadline_is_refused(self):
        job_id = self.issue_id()
        self.receive(messages.Submit(job_id, make_spec(2), "a"))
        self.receive(messages.TimerFired(("deadline", job_id)), 10.0)
        sends = self.receive(messages.TasksWithdrawn(job_id, (0, 1)), 10.0)
        self.assertIsInstance(self.replies(sends)[0], types.Refused)

    def test_task_in_flight_at_the_deadline_is_unknown(self):
        job_id = self.issue_id()
        self.receive(messages.Submit(job_id, make_spec(2), "a"))
        self.receive(messages.TimerFired(("deadline", job_id)), 10.0)
        sends = self.receive(messages.TasksWithdrawn(job_id, (1,)), 10.0)
        answer = self.replies(sends)[0]
        states = [result.state for result in answer.results]
        self.assertEqual(["unknown", "not_started"], states)
