"""The HTTP interface for callers on the platform, without sockets."""

import json
import unittest
from unittest import mock

from cardamompath_core import batches
from cardamompathd import pool_messages
from cardamompathd.filters import chain
from cardamompathd.platform import frontend

JOB = {
    "spec": "x",
    "best_effort": True,
    "phases": [{"count": 2, "cpu": 500, "mem_mb": 64}],
}


class FrontendTest(unittest.TestCase):
    def setUp(self):
        self.sent = []
        self.answers = {}
        self.watched = []
        self.chain = frontend.make_chain(
            frontend.Tasks(self.tell, self.watched.append, lambda: 20.0)
        )

    def tell(self, msg):
        self.sent.append(msg)
        answer = self.answers.get(type(msg), self.answers)
        if answer is not self.answers:
            msg.reply_to.set(answer)

    def call(self, method, path, body=None, is_disconnected=bool, **headers):
        raw = json.dumps(body).encode() if body is not None else b""
        req = chain.Request(
            method,
            path,
            {},
            {"host": "a.example:80", **headers},
            lambda: raw,
            len(raw),
            is_disconnected=is_disconnected,
            arrived_at=19.0,
        )
        return self.chain(req)

    def submit(self, outcome, **headers):
        self.answers[pool_messages.SubmitBatch] = outcome
        return self.call("POST", "/x/5c0e", JOB, **headers)

    def test_each_outcome_has_its_status(self):
        cases = (
            (batches.Outcome(batches.COMPLETE, ""), 200),
            (batches.Outcome(batches.FAILED, ""), 200),
            (batches.Outcome(batches.REFUSED, "full", 1.5), 503),
            (batches.Outcome(batches.TIMED_OUT, "late"), 504),
            (batches.Outcome(batches.UNKNOWN_ROUTE, "no route"), 404),
        )
        for outcome, status in cases:
            with self.subTest(state=outcome.state):
                self.assertEqual(self.submit(outcome).status, status)

    def test_refusal_has_a_retry_delay(self):
        outcome = batches.Outcome(batches.REFUSED, "full", 1.5)
        response = self.submit(outcome)
        self.assertEqual(response.body["retry_after_ms"], 1500)
        self.assertEqual(dict(response.headers)["Retry-After"], "2")

    def test_deadline_and_route_are_passed_on(self):
        header = {frontend.DEADLINE_HEADER: "1500"}
        self.submit(batches.Outcome(batches.COMPLETE, ""), **header)
        msg = self.sent[0]
        self.assertEqual(msg.timeout, 1.5)
        self.assertEqual((msg.host, msg.path), ("a.example", "/x/5c0e"))

    def test_invalid_deadline_is_rejected(self):
        for text in ("soon", "0", "-5", "nan", "1e12"):
            with self.subTest(text=text):
                header = {frontend.DEADLINE_HEADER: text}
                response = self.call("POST", "/x/5c0e", JOB, **header)
                self.assertEqual(response.status, 400)
        self.assertEqual(self.sent, [])

    def test_unsupported_job_never_reaches_a_planner(self):
        body = {**JOB, "best_effort": False}
        response = self.call("POST", "/x/5c0e", body)
        self.assertEqual(response.status, 503)
        self.assertIn("durable", response.body["reason"])
        self.assertEqual(self.sent, [])

    def test_batch_of_a_caller_that_has_left_is_not_submitted(self):
        # A process that woke from a pause submitted the batches of callers
        # that had submitted them elsewhere meanwhile (case 2 of the review).
        response = self.call(
            "POST", "/x/5c0e", JOB, is_disconnected=lambda: True
        )
        self.assertEqual(response.status, 504)
        self.assertEqual(self.sent, [])

    def test_caller_is_watched_until_its_answer(self):
        self.submit(batches.Outcome(batches.COMPLETE, ""))
        kinds = [type(msg) for msg in self.watched]
        expected = [pool_messages.WatchCaller, pool_messages.UnwatchCaller]
        self.assertEqual(kinds, expected)
        fut = self.sent[0].reply_to
        self.assertTrue(all(msg.reply_to is fut for msg in self.watched))

    def test_batch_without_an_outcome_in_time_is_withdrawn(self):
        with mock.patch.object(frontend, "REPLY_TIMEOUT", 0.0):
            header = {frontend.DEADLINE_HEADER: "1"}
            response = self.call("POST", "/x/5c0e", JOB, **header)
        self.assertEqual(response.status, 504)
        self.assertIs(type(self.sent[1]), pool_messages.WithdrawBatch)
        self.assertIs(self.sent[0].reply_to, self.sent[1].reply_to)

    def test_age_of_a_request_is_passed_on(self):
        self.submit(batches.Outcome(batches.COMPLETE, ""))
        msg = self.sent[0]
        self.assertEqual((msg.arrived_at, msg.seen_at), (19.0, 20.0))

    def test_pending_count_and_cancellation(self):
        self.answers[pool_messages.CountWaiting] = 0
        response = self.call("GET", "/x/")
        self.assertEqual(response.body, {"pending": 0})
        cases = (
            (batches.ACTIVE, 200),
            (batches.CANCELLED, 200),
            (batches.UNKNOWN, 410),
            (batches.UNKNOWN_ROUTE, 404),
            (batches.REFUSED, 503),
            (batches.INVALID, 400),
        )
        methods = {
            "GET": pool_messages.FindBatch,
            "DELETE": pool_messages.CancelBatch,
        }
        for method, message_type in methods.items():
            for state, status in cases:
                with self.subTest(method=method, state=state):
                    outcome = batches.Outcome(state, "why")
                    self.answers[message_type] = outcome
                    response = self.call(method, "/x/5c0e")
                    self.assertEqual(response.status, status)
                    if status == 200:
                        self.assertEqual(response.body, {"state": state})
        self.answers[pool_messages.CountWaiting] = None
        self.assertEqual(self.call("GET", "/y/").status, 404)

    def test_no_route_is_denied_before_the_configuration_arrived(self):
        outcome = batches.Outcome(batches.REFUSED, "not yet", 1.0)
        self.answers[pool_messages.CountWaiting] = outcome
        self.answers[pool_messages.CancelBatch] = outcome
        for method, path in (("GET", "/x/"), ("DELETE", "/x/5c0e")):
            self.assertEqual(self.call(method, path).status, 503)

    def test_cancellation_with_a_body_is_rejected(self):
        response = self.call("DELETE", "/x/5c0e7a21d94b36f8", {"why": "x"})
        self.assertEqual(response.status, 400)
        self.assertEqual(self.sent, [])

    def test_readiness(self):
        ready = frontend.make_readiness(self.tell)
        for reason, status in (("", 200), ("shutting down", 503)):
            self.answers[pool_messages.GetReadiness] = reason
            with self.subTest(reason=reason):
                self.assertEqual(ready(None).status, status)
