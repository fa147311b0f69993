"""Tests the stand-in of an executor in virtual time."""

import heapq
import itertools
import json
import unittest

from cardamompath_standins import executor
from cardamompathd import messages

BORN = 1_700_000_000_000


class ExecutorTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.lines = []
        self.answers = {}
        self.timers = []
        self.order = itertools.count()
        self.make_executor()

    def make_executor(self, **fields):
        incarnation = executor.Incarnation(4000, BORN, self.lines.append)
        controller = executor.make_controller(incarnation._replace(**fields))
        self.receive = controller.receive

    def deliver(self, msg):
        for send in self.receive(msg, self.now):
            if send.to == messages.TIMERS:
                entry = (send.msg.at, next(self.order), send.msg)
                heapq.heappush(self.timers, entry)
            else:
                self.answers[send.msg.reply_to] = send.msg.answer

    def run_until(self, at):
        while self.timers and self.timers[0][0] <= at:
            self.now, _, timer = heapq.heappop(self.timers)
            self.deliver(messages.TimerFired(timer.key))
        self.now = at

    def call(self, path, **doc):
        reply_to = f"{path}{next(self.order)}"
        self.deliver(executor.Command(path, doc, reply_to))
        return reply_to

    def start(
        self, task="j.0.0.0", attempt=1, token=5, ms=300, lease=1.0, **spec
    ):
        reply_to = self.call(
            "/v1/run-start",
            task=task,
            attempt=attempt,
            spec=json.dumps({"ms": ms, "cpu": 2000, **spec}),
            expires_ms=int((self.now + lease) * 1000),
            fencing_token=token,
        )
        return self.answers[reply_to]

    def hold(self, **doc):
        doc = {"fencing_token": 5, "ack_index": 0, **doc}
        return self.call("/v1/hold", **doc)

    def end_states(self):
        return [line["how"] for line in self.lines if line["event"] == "end"]

    def test_run_ends_after_its_run_time(self):
        self.assertEqual(self.start().status, 200)
        self.run_until(10.4)
        self.assertEqual(self.end_states(), ["done"])

    def test_run_ends_with_its_lease(self):
        self.start(ms=3000)
        self.run_until(10.9)
        self.assertEqual(self.end_states(), [])
        self.run_until(11.1)
        self.assertEqual(self.end_states(), ["lapsed"])

    def test_lease_that_lapsed_unnoticed_is_not_extended(self):
        # A process that is not scheduled for a while handles its timers late.
        self.start("j.0.0.0", ms=3000)
        self.start("j.0.0.1", ms=300)
        self.now = 11.4
        self.hold(expires_ms=12_400)
        self.assertEqual(self.end_states(), ["done", "lapsed"])
        times = [line["at"] for line in self.lines if "how" in line]
        self.assertEqual(times, [10.3, 11.0])

    def test_hold_extends_every_lease(self):
        self.start(ms=1500)
        self.run_until(10.8)
        self.hold(expires_ms=11_800)
        self.run_until(11.6)
        self.assertEqual(self.end_states(), ["done"])

    def test_lower_token_is_refused(self):
        self.start(token=7)
        answer = self.start(task="j.0.0.1", token=6)
        self.assertEqual(
            (answer.status, answer.body["reason"]), (409, "fence")
        )

    def test_repeated_start_has_no_effect(self):
        self.start()
        self.assertEqual(self.start().status, 200)
        starts = [line for line in self.lines if line["event"] == "start"]
        self.assertEqual(len(starts), 1)

    def test_start_beyond_the_capacity_or_of_an_old_attempt_is_refused(self):
        self.start("j.0.0.0")
        self.start("j.0.0.1")
        answer = self.start("j.0.0.2")
        self.assertEqual(answer.body["reason"], "room")
        self.run_until(10.5)
        answer = self.start("j.0.0.0")
        self.assertEqual(answer.body["reason"], "old")

    def test_stop_prevents_a_later_start_of_the_run(self):
        self.call("/v1/run-stop", task="j.0.0.0", attempt=1, fencing_token=5)
        self.assertEqual(self.start().body["reason"], "old")

    def test_hold_waits_for_an_end_and_lists_it_until_acknowledged(self):
        self.start()
        reply_to = self.hold(wait_ms=2000)
        self.assertNotIn(reply_to, self.answers)
        self.run_until(10.4)
        ended = self.answers[reply_to].body["ended_runs"]
        self.assertEqual(ended, [[1, "j.0.0.0", 1, "done", ""]])
        again = self.answers[self.hold()].body["ended_runs"]
        self.assertEqual(again, ended)
        self.assertEqual(
            self.answers[self.hold(ack_index=1)].body["ended_runs"], []
        )

    def test_hold_without_an_end_is_answered_after_its_wait(self):
        reply_to = self.hold(wait_ms=500)
        self.run_until(10.6)
        self.assertEqual(self.answers[reply_to].body["running"], [])

    def test_run_starts_although_the_response_is_lost(self):
        self.call("/standin/faults", mute=1)
        self.assertIsNone(self.start().status)
        self.assertEqual(len(self.lines), 1)

    def test_refused_start_extends_every_lease(self):
        self.start("j.0.0.0", ms=2000)
        self.run_until(10.8)
        self.start("j.0.0.1", ms=3000)
        self.run_until(11.6)
        self.assertEqual(self.start("j.0.0.2").body["reason"], "room")
        self.run_until(12.5)
        self.assertEqual(self.end_states(), ["done"])

    def test_task_crashes_its_executor(self):
        crashes = []
        self.make_executor(crash=lambda: crashes.append(self.now))
        self.start(crash_ms=200)
        self.run_until(10.25)
        self.assertEqual(crashes, [10.2])
        self.assertEqual(self.lines[-1]["event"], "crash")

    def test_crash_at_once_is_not_before_its_start(self):
        self.start(crash_ms=0)
        self.run_until(10.1)
        self.assertEqual([line["at"] for line in self.lines], [10.0, 10.0])

    def test_capacity_shrinks_and_grows(self):
        announced = []
        self.make_executor(announce=announced.append)
        self.call("/standin/faults", cpu=1000)
        self.assertEqual(self.start().body["reason"], "room")
        self.call("/standin/faults")
        self.assertEqual(self.start().status, 200)
        self.assertEqual(announced, [1000, 4000])

    def test_executor_without_a_guard_exceeds_its_capacity(self):
        self.make_executor(enforces_capacity=False)
        for index in range(3):
            answer = self.start(f"j.0.0.{index}")
            self.assertEqual(answer.status, 200)

    def test_clock_starts_anew_with_the_process(self):
        self.make_executor(clock_start=9.0)
        answer = self.call("/v1/hold", ack_index=0)
        self.assertEqual(self.answers[answer].body["clock_ms"], 1000)
        # By the clock of a former process it ends in 11 s; it lasts 1 s.
        self.start(ms=3000, lease=2.0)
        self.run_until(11.1)
        self.assertEqual(self.end_states(), ["lapsed"])
