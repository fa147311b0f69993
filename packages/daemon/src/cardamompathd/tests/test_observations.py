import io
import json
import sys
import unittest
from unittest import mock

import loguru

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.controllers.jobs import observations
from cardamompathd.telemetry import logs

OWNER = identity.Incarnation("pocitos", "entry-1", "0123456789ab")
LIMITS = observations.BurnLimits(max_minutes=3, max_hours=2, max_series=3)


def make_ended(
    team="kiosk", outcome="complete", code="", seconds=0.2, late=False
):
    return messages.SubmissionEnded(
        "booking", team, outcome, code, seconds, not late, {"finished": 2}
    )


class BurnTest(unittest.TestCase):
    def setUp(self):
        self.observations = observations.make_controller("pocitos", LIMITS)

    def burn_counts(self, now=0.0):
        return self.observations.receive(messages.GetBurnCounts("fut"), now)[
            0
        ].msg.answer

    def test_submissions_are_counted_by_outcome(self):
        for msg in (
            make_ended(),
            make_ended(late=True),
            make_ended(outcome="refused", code="draining"),
            make_ended(outcome="failed", code="deadline", seconds=9.0),
        ):
            self.observations.receive(msg, 61.0)
        bucket = self.burn_counts()["buckets"][0]
        series = bucket["series"][0]
        self.assertEqual((60.0, 60.0), (bucket["begin"], bucket["span"]))
        counts = [series[key] for key in ("complete", "late", "refused")]
        self.assertEqual([1, 1, 1], counts)
        self.assertEqual({"draining": 1, "deadline": 1}, series["codes"])
        # A refusal has no response time.
        self.assertEqual(3, sum(series["seconds"].values()))
        for bound, seconds in zip(series["seconds"], (0.2, 9.0), strict=True):
            self.assertTrue(seconds <= float(bound) < 1.5 * seconds)

    def test_traffic_with_peers_is_summed(self):
        for msg in (
            messages.PeerCallEnded(3, 5),
            messages.PeerCallEnded(7, 0),
        ):
            self.assertEqual([], self.observations.receive(msg, 0.0))
        status = self.observations.receive(messages.GetStatus("fut"), 0.0)
        expected = {"calls": 2, "sent": 10, "received": 5}
        self.assertEqual(expected, status[0].msg.answer["peers"])

    def test_slowdowns_and_wasted_attempts(self):
        for ideal, outcome in (
            (0.1, "complete"),
            (2.0, "complete"),
            (0.0, "complete"),
            (0.1, "failed"),
        ):
            ended = make_ended(outcome=outcome, seconds=0.8)
            tasks = {"finished": 2, "not_started": 5}
            ended = ended._replace(
                ideal_time=ideal, wasted_attempts=3, task_counts=tasks
            )
            self.observations.receive(ended, 0.0)
        series = self.burn_counts()["buckets"][0]["series"][0]
        self.assertEqual({"8.192": 1}, series["short"])
        self.assertEqual([1], list(series["long"].values()))
        self.assertEqual((8, 12), (series["tasks"], series["wasted"]))

    def test_minutes_merge_into_hours_and_old_hours_are_dropped(self):
        for minute in range(200):
            self.observations.receive(make_ended(), minute * 60.0)
        buckets = self.burn_counts()["buckets"]
        self.assertEqual(
            [3600.0] * 2 + [60.0] * 3, [bucket["span"] for bucket in buckets]
        )
        counts = [bucket["series"][0]["complete"] for bucket in buckets]
        self.assertEqual([60, 17, 1, 1, 1], counts)

    def test_number_of_series_is_bounded(self):
        for team in range(50):
            self.observations.receive(make_ended(team=f"team-{team}"), 0.0)
        series = self.burn_counts()["buckets"][0]["series"]
        self.assertEqual(3, len(series))
        self.assertEqual(48, series[-1]["complete"])
        self.assertEqual("other", series[-1]["team"])


class JobReportsTest(unittest.TestCase):
    def setUp(self):
        self.jobs = controllers.jobs.jobs.make_controller(OWNER)
        service = types.ServiceSpec("booking")
        cfg = types.Configuration(1, 0, (service,))
        self.jobs.receive(messages.ConfigurationChanged(cfg), 0.0)
        self.job_id = self.answers(messages.IssueJobId("fut"))[0]
        tasks = (types.TaskSpec("booking", "reserve", b"1"),) * 3
        spec = types.JobSpec("kiosk", tasks, 10.0, "one")
        self.submit = messages.Submit(self.job_id, spec, "first")
        self.jobs.receive(self.submit, 5.0)

    def sends(self, msg, now=5.0):
        return list(self.jobs.receive(msg, now))

    def answers(self, msg, now=5.0):
        sends = self.sends(msg, now)
        return [
            send.msg.answer for send in sends if send.to == messages.CALLERS
        ]

    def settle(self, index, now=6.0, **fields):
        result = types.TaskResult("finished", 200)
        ref = types.TaskRef(self.job_id, index)
        settled = messages.TaskSettled(ref, result, **fields)
        return self.sends(settled, now)

    def test_request_that_stopped_waiting_gets_no_second_answer(self):
        self.settle(0)
        msg = messages.StopWaiting(self.job_id, "first")
        pending = self.answers(msg)[0]
        self.assertEqual((1, 3), (pending.finished, pending.total))
        self.assertEqual([], self.answers(msg))
        self.settle(1)
        self.assertEqual(
            [],
            [send for send in self.settle(2) if send.to == messages.CALLERS],
        )

    def test_release_answers_each_waiter_once(self):
        self.sends(messages.AwaitJob(self.job_id, "second"))
        answers = self.answers(messages.ReleaseWaiters())
        self.assertEqual(
            [types.Pending] * 2, [type(answer) for answer in answers]
        )
        self.assertEqual([], self.answers(messages.ReleaseWaiters()))

    def test_overdue_jobs_are_listed_with_a_reason(self):
        stuck = messages.ListJobs("fut", 10, True)
        self.assertEqual([], self.answers(stuck, 15.0)[0])
        self.sends(messages.TimerFired(("deadline", self.job_id)), 15.0)
        summary = self.answers(stuck, 16.0)[0][0]
        self.assertEqual((11.0, 1.0), (summary["age"], summary["overdue"]))
        self.assertIn("deadline", summary["reason"])

    def test_answered_submissions_are_reported_to_telemetry(self):
        for index in range(2):
            self.settle(index, ideal_time=2.0 - index, wasted_attempts=1)
        sends = self.settle(2, 16.0)
        ended = [s.msg for s in sends if s.to == messages.TELEMETRY][0]
        self.assertEqual(
            ("kiosk", "complete", 11.0, False, {"finished": 3}),
            (
                ended.team,
                ended.outcome,
                ended.response_time,
                ended.in_time,
                ended.task_counts,
            ),
        )
        self.assertEqual((2.0, 2), (ended.ideal_time, ended.wasted_attempts))
        self.sends(messages.Drain("drain"))
        other = self.submit._replace(job="")
        sends = self.sends(other)
        ended = [s.msg for s in sends if s.to == messages.TELEMETRY][0]
        self.assertEqual(("refused", "draining"), (ended.outcome, ended.code))

    def test_drain_waits_until_answers_are_fetched(self):
        self.sends(messages.StopWaiting(self.job_id, "first"))
        self.assertEqual([], self.answers(messages.Drain("drain", 4.0)))
        for index in range(3):
            sends = self.settle(index)
            self.assertNotIn(
                "drain",
                [
                    send.msg.reply_to
                    for send in sends
                    if send.to == messages.CALLERS
                ],
            )
        answers = self.answers(messages.AwaitJob(self.job_id, "late"))
        self.assertIsInstance(answers[0], types.Complete)
        self.assertEqual(messages.Drained(), answers[1])

    def test_drain_ends_after_its_hold(self):
        self.sends(messages.StopWaiting(self.job_id, "first"))
        self.sends(messages.Drain("drain", 4.0))
        for index in range(3):
            self.settle(index)
        fired = messages.TimerFired(("drained", ""))
        self.assertEqual([messages.Drained()], self.answers(fired, 9.0))


class LogsTest(unittest.TestCase):
    def log(self, log_format):
        stderr = io.StringIO()
        with mock.patch.object(sys, "stderr", stderr):
            logs.configure("INFO", log_format)
            loguru.logger.info("jobs: accepted {}", "a.b.c.1")
            try:
                payload = "the-secret-payload"
                raise ValueError(payload)
            except ValueError:
                loguru.logger.exception("jobs: failed")
            loguru.logger.remove()
        return stderr.getvalue()

    def test_json_lines_name_the_part_and_omit_payloads(self):
        lines = [json.loads(line) for line in self.log("json").splitlines()]
        self.assertEqual(
            [("jobs", "accepted a.b.c.1"), ("jobs", "failed")],
            [(line["part"], line["message"]) for line in lines],
        )
        self.assertIn("ValueError at test_observations", str(lines[1]))
        self.assertNotIn("the-secret-payload", str(lines))

    def test_tracebacks_in_text_omit_variables(self):
        text = self.log("text")
        self.assertIn("jobs: accepted a.b.c.1", text)
        self.assertNotIn("payload = ", text)
        self.assertNotIn("└", text)
