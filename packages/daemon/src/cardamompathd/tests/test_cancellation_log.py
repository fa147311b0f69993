"""Cancellations outlast all instances, by a log in the store."""

import json
import struct
import unittest

import urllib3

from cardamompath_core import batches
from cardamompath_core import cancellation_log as records
from cardamompath_core import cancellations
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway
from cardamompathd.platform import cancellation_log
from cardamompathd.platform import errors
from cardamompathd.telemetry import pool_metrics
from cardamompathd.tests import pool_simulation
from cardamompathd.tests import test_large_fleet
from cardamompathd.tests.test_platform_store import Response
from cardamompathd.tests.test_platform_store import make_client

DOWN_TIME = 0.5
"""Seconds after which instances that were killed start again."""
START_TIME = 3.0
"""Seconds after which a fleet that starts serves requests."""


class FleetTest(unittest.TestCase):
    """The real controllers and tasks of the log, in virtual time."""

    def setUp(self):
        self.simulation = test_large_fleet.make_simulation(
            cancellation_log=True
        )
        self.simulation.run_time = 0.5
        self.instances = self.simulation.instances

    def tearDown(self):
        self.assertEqual(self.simulation.duplicate_runs, [])

    def state_of(self, reply):
        outcome = self.simulation.answers.get(reply)
        return outcome and outcome.state

    def submit(self, origin="n-a5", name="j", count=4):
        instance = self.instances[origin]
        return self.simulation.submit(instance, name, count, 20.0)

    def starts(self, name="j"):
        return sum(
            task[0] == name
            for executor in self.simulation.executors.values()
            for task in executor.started_tasks
        )

    def submit_and_cancel(self):
        """Return the `reply_to` of a cancellation while its batch runs."""
        self.submit()
        self.simulation.advance(0.3)
        reply = self.simulation.cancel(self.instances["n-b6"], "j")
        self.simulation.advance(0.02)
        return reply

    def restart_all(self, later=START_TIME):
        """Kill all instances at once, and advance after their restart."""
        for name in sorted(self.instances):
            self.simulation.restart_instance(name, DOWN_TIME)
        for executor in self.simulation.executors.values():
            executor.started_tasks.clear()
        self.simulation.advance(DOWN_TIME + later)

    def assert_cancelled(self):
        replies = [self.submit(origin) for origin in ("n-a5", "n-b7", "n-a")]
        self.simulation.advance(2.0)
        states = {self.state_of(reply) for reply in replies}
        self.assertEqual(states, {batches.CANCELLED})
        self.assertEqual(self.starts(), 0)

    def decisions_of(self, event):
        return [
            decision.fields
            for instance in self.instances.values()
            for decision in instance.decisions_of(event)
        ]

    def test_cancellation_outlasts_all_instances(self):
        # All tasks of the job started again (review/6).  The second request
        # arrives before the log is read.
        for later in (START_TIME, 0.001):
            reply = self.submit_and_cancel()
            self.assertEqual(self.state_of(reply), batches.CANCELLED)
            self.restart_all(later)
            self.assert_cancelled()
            self.setUp()

    def test_wave_of_cancellations_shares_appends(self):
        # An append for each would cost the store as many calls.
        for number in range(60):
            if number >= 20:
                self.simulation.advance(0.005)
            self.simulation.cancel(self.instances["n-b6"], f"j{number}")
        self.simulation.advance(0.1)
        self.assertEqual(len(self.simulation.log), 60)
        times = self.simulation.append_times
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreater(min(gaps), records.COMMIT_INTERVAL - 1e-6)

    def test_caller_waits_a_second_at_most_while_the_store_is_down(self):
        self.simulation.store_up = False
        reply = self.submit_and_cancel()
        self.simulation.advance(0.9)
        self.assertIsNone(self.state_of(reply))
        self.simulation.advance(0.1)
        self.assertEqual(self.state_of(reply), batches.CANCELLED)
        self.assertFalse(self.decisions_of("batch looked up")[-1]["logged"])
        self.simulation.store_up = True
        self.simulation.advance(0.5)
        self.restart_all()
        self.assert_cancelled()

    def test_append_whose_answer_is_lost_is_repeated(self):
        self.simulation.appends_to_lose = 1
        reply = self.submit_and_cancel()
        self.assertIsNone(self.state_of(reply))
        self.simulation.advance(0.5)
        self.assertEqual(self.state_of(reply), batches.CANCELLED)
        self.assertEqual(len(self.simulation.log), 2)
        self.restart_all()
        self.assert_cancelled()

    def test_instance_that_the_store_rejects_learns_from_others(self):
        # No planner had read the log when all started at once.
        for is_late in (False, True):
            self.submit_and_cancel()
            planners = {"n-a", "n-a1", "n-b", "n-b1"}
            self.simulation.rejected_by_store = {*planners, "n-a5", "n-b7"}
            self.simulation.log_up = not is_late
            self.restart_all()
            self.simulation.log_up = True
            self.simulation.advance(1.0)
            self.assert_cancelled()
            self.setUp()

    def test_start_without_the_log_waits_a_second_after_the_view(self):
        # Without an end of the wait, no batch was served until the store was
        # back; without a wait, what it would tell was not known.
        self.submit_and_cancel()
        self.simulation.log_up = False
        self.restart_all(1.0)
        replies = [self.submit("n-a5", "other"), self.submit(count=60)]
        self.simulation.advance(0.1)
        self.assertEqual(self.starts("other"), 0)
        self.simulation.advance(START_TIME)
        waits = {
            fields["waited_ms"]
            for fields in self.decisions_of("cancellations not read")
        }
        self.assertEqual(waits, {round(records.READ_TIMEOUT * 1000.0)})
        # What is read late still counts.
        self.simulation.log_up = True
        self.simulation.advance(1.0)
        states = [self.state_of(reply) for reply in replies]
        self.assertEqual(states, [batches.COMPLETE, batches.CANCELLED])

    def test_unreadable_and_old_records_change_nothing(self):
        self.submit_and_cancel()
        old = records.encode(records.LogRecord("old", 31.0, 1, 0.0))
        bad = [b"", b"\xff" * 40, b"\x01" * 2000, old]
        self.simulation.log = [*bad, *self.simulation.log, *bad]
        self.restart_all()
        lines = self.decisions_of("unreadable cancellation")
        counts = [fields["count"] for fields in lines]
        self.assertEqual(counts, [6] * len(self.instances))
        reply = self.submit(name="old")
        self.assert_cancelled()
        self.assertEqual(self.state_of(reply), batches.COMPLETE)

    def test_start_is_not_slower_where_the_store_answers(self):
        times = []
        for has_log in (False, True):
            simulation = pool_simulation.Simulation(cancellation_log=has_log)
            simulation.restart_instance("n-b", 0.1)
            simulation.advance(0.1)
            reply = simulation.submit(simulation.instances["n-b"], "j", 1)
            while reply not in simulation.answers:
                simulation.advance(0.001)
            times.append(simulation.now)
        self.assertLess(times[1], times[0] + 0.006)


class TaskTest(unittest.TestCase):
    """The task on the client of the store."""

    def setUp(self):
        self.now = 10.0
        self.sent = []
        client, self.pool = make_client()
        self.task = cancellation_log.CancellationLog(
            client, 7, self.sent.append, lambda: self.now
        )

    def step(self, *responses):
        self.pool.responses = list(responses)
        return self.task.step()

    def page(self, names, end):
        raw = struct.pack("!QQ", end, 0)
        for name in names:
            record = records.LogRecord(name, 0.0, 1, 0.0)
            raw += struct.pack("!I", records.HEADER.size + len(name))
            raw += records.encode(record)
        return Response(200, raw)

    def test_reading_is_repeated_until_it_is_whole(self):
        silent = urllib3.exceptions.ReadTimeoutError(None, "", "silent")
        first = self.page(["a"], 2)
        for failure in (Response(503), silent, Response(200, b"\0" * 15)):
            pause = self.step(first, failure)
            self.assertAlmostEqual(pause, records.RETRY_DELAY)
            self.assertEqual(self.step(), pause)
            self.now += pause + 0.001
        self.assertIsNone(self.step(first, self.page(["b"], 2)))
        self.assertEqual(self.sent[0].reading.names, ("a", "b"))
        # It is read only once, and the task waits for a message.
        self.assertIsNone(self.step())

    def test_reading_begins_where_records_are_retained(self):
        expired = Response(410, json.dumps({"first": 5000}).encode())
        newest = 12000 - cancellations.MAX_CANCELLATIONS
        self.step(expired, self.page(["a"], 12000), self.page([], newest))
        urls = [url for _, url in self.pool.calls]
        for offset, url in zip((0, 5000, newest), urls, strict=True):
            self.assertIn(f"from={offset}&", url)

    def test_answers_without_progress_are_no_reading(self):
        # The task read without end.
        for faults in (
            [self.page([], 9)],
            [Response(410, b"{}")],
            [Response(410, b'{"first": 0}')],
            [self.page(["a"], 2**40)] * cancellation_log.MAX_PAGES,
        ):
            self.pool.responses = faults
            with self.assertRaises(errors.AdapterError):
                cancellation_log.read_newest(self.task._client)

    def test_stop_appends_what_waits(self):
        self.step(self.page([], 0))
        # Nobody remembers the first one; a name that fits into no record
        # costs only itself.
        cancelled = {"old": -20.1, "a": 9.0, "j" * 300: 9.0, "b": 9.0}
        for each in cancelled.items():
            self.task.append(pool_messages.AppendCancellation(*each))
        self.pool.responses = [Response(200)]
        self.task.stop()
        self.task.run()
        self.assertIn("topic=cancelled&part=0", self.pool.calls[-1][1])
        self.assertEqual(self.sent[-2:], [((), ("old",)), (("a", "b"), ())])


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.receive = gateway.make_controller(
            "n", logs_cancellations=True
        ).receive

    def test_planner_is_told_what_was_read(self):
        # A batch from an instance that could not read was run.
        reading = records.LogReading(("j",), (2.0,), 0, 0, "")
        sent = self.receive(pool_messages.CancellationsRead(reading, 0.1), 9.0)
        told = [send.msg for send in sent if send.to == pool_messages.PLANNER]
        report = pool_messages.CancellationsReported(("j",), (2.0,))
        self.assertEqual(told, [report])

    def test_records_are_counted_by_result(self):
        counts = pool_metrics.DecisionCounts()
        bad = records.choose([b"x", b"y"])
        for msg in (
            pool_messages.CancellationsRead(bad, 0.004),
            pool_messages.CancellationsLogged(("a", "b", "c"), ("d",)),
        ):
            for send in self.receive(msg, 10.0):
                if send.to == pool_messages.DECISION_LOG:
                    counts.count(send.msg)
        found = {
            labels["result"]: count for count, labels in counts.cancellations()
        }
        expected = {"unreadable": 2, "appended": 3, "not_appended": 1}
        self.assertEqual(found, {"read": 0, "expired": 0, **expected})
