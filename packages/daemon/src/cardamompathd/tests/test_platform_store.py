"""The client of the platform's store and the tasks that use it."""

import base64
import json
import struct
import unittest
import urllib.parse
from typing import NamedTuple

import loguru
import urllib3

from cardamompath_core import executor_readings
from cardamompathd import pool_messages
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import executor_followers
from cardamompathd.platform import followers
from cardamompathd.platform import store
from cardamompathd.tests.test_platform_codec import ENTRY


class Response(NamedTuple):
    status: int
    data: bytes = b""


class FakePool:
    """Answers each call with the next response that a test has queued."""

    def __init__(self):
        self.responses = []
        self.calls = []

    def request(self, method, url, **_):
        self.calls.append((method, url))
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    def close(self):
        """Do nothing."""


def newest_response(*pairs, more=False):
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": 1}
        for key, value in pairs
    ]
    doc = {"items": items, "has_more": more, "end_offset": 9}
    return Response(200, json.dumps(doc).encode())


def read_response(*pairs):
    raw = struct.pack("!QQ", 9, 0)
    for key, value in pairs:
        name = key.encode()
        body = bytes([len(name)]) + name + value
        raw += struct.pack("!I", len(body)) + body
    return Response(200, raw)


def make_client():
    client = store.make_client(("127.0.0.1", 1))
    client._pool = FakePool()
    return client, client._pool


class StoreClientTest(unittest.TestCase):
    def setUp(self):
        self.client, self.pool = make_client()

    def test_all_pages_are_read(self):
        self.pool.responses = [
            newest_response(("a", b"1"), more=True),
            newest_response(("b", b"2")),
        ]
        found, end = self.client.read_newest("keyed.op")
        self.assertEqual([record.key for record in found], ["a", "b"])
        self.assertEqual(end, 9)
        self.assertIn("depends_on=a", self.pool.calls[1][1])

    def test_page_after_a_key_with_any_characters(self):
        # A key with "&" or "#" began the same page again, without end.
        for key in ("a&b", "a#b", "a%41", "a+b", "a b", "\xe9", "a\r\nb"):
            self.pool.responses = [
                newest_response((key, b"1"), more=True),
                newest_response(("z", b"2")),
            ]
            self.client.read_newest("keyed.op")
            query = urllib.parse.urlsplit(self.pool.calls[-1][1]).query
            sent = urllib.parse.parse_qs(query, strict_parsing=True)
            with self.subTest(key=key):
                self.assertEqual(sent["depends_on"], [key])

    def test_pages_without_end_mean_unavailable(self):
        page = newest_response(("a", b"1"), more=True)
        self.pool.responses = [page] * 1000
        with self.assertRaises(errors.StoreUnavailable):
            self.client.read_newest("keyed.op")

    def test_records_are_read_with_the_next_offset(self):
        self.pool.responses = [read_response(("a", b"1"), ("b", b""))]
        found, end = self.client.read("keyed.op", 4, 0.0)
        self.assertEqual(found[0], store.Record("a", b"1"))
        self.assertEqual(found[1], store.Record("b", b""))
        self.assertEqual(end, 6)

    def test_expired_records_raise_their_own_error(self):
        self.pool.responses = [Response(410)]
        with self.assertRaises(errors.RecordsExpired):
            self.client.read("keyed.op", 4, 0.0)

    def test_invalid_response_means_unavailable(self):
        faults = (
            Response(503),
            Response(429),
            Response(200, b"nonsense"),
            Response(200, b'{"items": 7, "end_offset": 1}'),
            Response(200, b'{"items": [{"key": "a"}], "end_offset": 1}'),
            urllib3.exceptions.ReadTimeoutError(None, "", "silent"),
        )
        for fault in faults:
            self.pool.responses = [fault]
            with (
                self.subTest(fault=fault),
                self.assertRaises(errors.StoreUnavailable),
            ):
                self.client.read_newest("keyed.op")

    def test_value_that_is_no_base64_leaves_the_other_records(self):
        for value in ("e30", "\xe9\xe9\xe9\xe9"):
            items = [{"key": "a", "value": value}, {"key": "b", "value": ""}]
            doc = {"items": items, "end_offset": 2}
            self.pool.responses = [Response(200, json.dumps(doc).encode())]
            with self.subTest(value=value):
                found, _ = self.client.read_newest("keyed.op")
                self.assertEqual([record.key for record in found], ["a", "b"])
                self.assertEqual(found[0].value, store.UNREADABLE)

    def test_truncated_records_mean_unavailable(self):
        whole = read_response(("a", b"123")).data
        for size in (len(whole) - 1, len(whole) - 5, 18):
            self.pool.responses = [Response(200, whole[:size])]
            with (
                self.subTest(size=size),
                self.assertRaises(errors.StoreUnavailable),
            ):
                self.client.read("keyed.op", 0, 0.0)


class ExecutorFollowerTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.sent = []
        self.client, self.pool = make_client()
        self.task = executor_followers.ExecutorFollower(
            self.client, self.sent.append, lambda: self.now
        )
        self.entry = json.dumps(ENTRY).encode()

    def step(self, response, later=0.4):
        self.now += later
        self.pool.responses = [response]
        self.task._poll()

    def names(self):
        return [spec.name for spec in self.sent[-1].executors]

    def test_executors_are_sent_only_when_they_change(self):
        self.step(newest_response(("i-1", self.entry)))
        self.assertEqual(self.names(), ["i-1"])
        self.step(newest_response(("i-1", self.entry)))
        self.assertEqual(len(self.sent), 1)

    def test_invalid_entry_is_ignored(self):
        self.step(newest_response(("i-1", self.entry), ("i-2", b"\xff")))
        self.assertEqual(self.names(), ["i-1"])

    def test_entry_that_becomes_invalid_names_no_executor(self):
        # The executor stayed listed as it was before.
        odd = json.dumps({**ENTRY, "addr": "10.1.0.9:70000"}).encode()
        pages = (newest_response, read_response)
        for later in pages:
            self.task.set_planning(later is read_response)
            self.task._receive(self.task._inbox.get())
            entries = (("i-1", self.entry), ("i-2", self.entry))
            self.step(newest_response(*entries))
            self.assertEqual(sorted(self.names()), ["i-1", "i-2"])
            self.step(later(("i-1", odd), ("i-2", self.entry)))
            self.assertEqual(self.names(), ["i-2"])
            self.step(later(("i-1", self.entry), ("i-2", self.entry)))
            self.assertEqual(sorted(self.names()), ["i-1", "i-2"])
            self.task._offset = None

    def test_invalid_entry_is_logged_once_while_it_is_there(self):
        lines = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        for _ in range(3):
            self.step(newest_response(("i-1", self.entry), ("i-2", b"\xff")))
        self.assertEqual(len(lines), 1)
        for between in ((("i-2", self.entry),), ()):
            self.step(newest_response(*between))
            self.step(newest_response(("i-2", b"7")))
        self.assertEqual(len(lines), 3)

    def test_new_planner_gets_the_present_listing(self):
        self.step(newest_response(("i-1", self.entry)))
        self.task._receive(True)
        self.step(read_response())
        self.assertEqual(len(self.sent), 2)
        self.assertIsInstance(self.sent[1], pool_messages.ExecutorsListed)

    def read_for_a_while(self):
        """Read the same entry until no outage can have been missed."""
        for _ in range(8):
            self.step(newest_response(("i-1", self.entry)))

    def test_missing_entry_still_counts_shortly_after_an_outage(self):
        self.read_for_a_while()
        self.task._on_store_unavailable()
        self.step(newest_response(), 0.1)
        self.assertEqual(self.names(), ["i-1"])
        self.step(newest_response(), executor_followers.REREGISTRATION_TIME)
        self.assertEqual(self.names(), [])

    def test_missing_entry_is_removed_at_once_without_an_outage(self):
        self.read_for_a_while()
        self.step(newest_response())
        self.assertEqual(self.names(), [])

    def test_missing_entry_still_counts_after_reads_far_apart(self):
        # An instance that does not plan reads the list each 4 s, and took
        # entries that expired in a short outage for those of executors that
        # had left.
        self.read_for_a_while()
        self.step(newest_response(), executor_followers.IDLE_INTERVAL)
        self.assertEqual(self.names(), ["i-1"])
        self.step(newest_response(), executor_followers.IDLE_INTERVAL)
        self.assertEqual(self.names(), [])

    def test_list_is_complete_once_executors_have_registered_again(self):
        # A process that started after an outage took what was listed then
        # for all there is.
        self.step(newest_response(("i-1", self.entry)))
        self.assertFalse(self.sent[-1].is_complete)
        self.read_for_a_while()
        self.assertTrue(self.sent[-1].is_complete)
        self.task._on_store_unavailable()
        self.assertFalse(self.sent[-1].is_complete)
        self.step(newest_response(("i-1", self.entry)))
        self.assertFalse(self.sent[-1].is_complete)
        self.read_for_a_while()
        self.assertTrue(self.sent[-1].is_complete)


class ExchangedReadingTest(unittest.TestCase):
    """Readings of the executors for other instances, and by them."""

    def setUp(self):
        self.now = 10.0
        self.sent = []
        self.entry = json.dumps(ENTRY).encode()

    def clock(self):
        return self.now

    def make_follower(self):
        client, pool = make_client()
        task = executor_followers.ExecutorFollower(
            client, self.sent.append, self.clock, self.sent.append
        )
        return task, pool

    def make_reader(self):
        client, self.pool = make_client()
        client.reconnect = lambda: None
        self.reader = executor_followers.ExecutorReader(
            client, self.sent.append, self.clock, "n-1"
        )

    def ask(self, since, *responses):
        """Return the answer of an instance to a question."""
        self.sent.clear()
        self.pool.responses = list(responses)
        address = ("10.1.0.2", 8166)
        question = pool_messages.ExecutorsAsked(3, since, "n-2", address)
        self.reader._handle(question, self.now)
        self.assertEqual(self.pool.responses, [])
        self.assertEqual([msg.address for msg in self.sent], [address])
        return self.sent[0].msg.answer

    def merge(self, task, since, offset, *entries):
        """Have a follower merge a reading; return what it sends."""
        self.sent.clear()
        reading = executor_readings.Reading(
            since, offset, tuple(store.Record(*entry) for entry in entries)
        )
        msg = pool_messages.PeerListRead(reading, self.now - 0.1, "n-2")
        task.receive(msg)
        # The next poll is due when it was.
        self.assertTrue(task._receive(task._inbox.get()))
        return [type(msg).__name__ for msg in self.sent]

    def test_changes_since_an_offset_are_answered(self):
        self.make_reader()
        entries = (("i-1", self.entry), ("i-2", self.entry))
        answer = self.ask(9, newest_response(*entries), read_response())
        self.assertEqual(answer[2:], (True, 9, 9, 0, 1, ()))
        bad = ("x\n", b"7")
        huge = ("i-2", b"1" * (documents.MAX_ENTRY_BYTES + 1))
        ping = json.dumps({**ENTRY, "seq_no": 5}).encode()
        page = read_response(("i-1", ping), bad, huge, huge)
        answer = self.ask(9, page)
        self.assertEqual(answer[2:7], (True, 9, 13, 0, 1))
        changed = (("", b""), ("i-2", store.UNREADABLE))
        self.assertEqual(tuple(sorted(answer.entries)), changed)
        self.assertEqual(self.ask(13, read_response()).entries, ())

    def test_all_entries_are_answered_if_an_offset_is_not_kept(self):
        self.make_reader()
        pages = newest_response(("i-1", self.entry)), read_response()
        whole = (-1, 9, 0, 1, (("i-1", self.entry),))
        self.assertEqual(self.ask(3, *pages)[3:], whole)
        self.assertEqual(self.ask(-1, Response(410), *pages)[3:], whole)
        self.now += executor_followers.KEEP_TIME + 0.1
        self.assertEqual(self.ask(8, *pages)[3:], whole)

    def test_page_that_is_later_than_its_offset_hides_no_change(self):
        # The change was in the page, and equal when it was read again, so
        # that an instance at the offset of the page never learned of it.
        self.make_reader()
        later = ("i-1", json.dumps({**ENTRY, "state": "draining"}).encode())
        answer = self.ask(9, newest_response(later), read_response(later))
        self.assertEqual(answer[3:], (-1, 10, 0, 1, (later,)))

    def test_reading_that_failed_halfway_hides_no_change(self):
        # The second call failed, and the next question read only changes,
        # which were in the page of the first call already.
        self.make_reader()
        self.ask(9, newest_response(("i-1", self.entry)), read_response())
        later = ("i-1", json.dumps({**ENTRY, "state": "draining"}).encode())
        pages = newest_response(later), Response(503)
        self.assertFalse(self.ask(9, Response(410), *pages).is_readable)
        answer = self.ask(9, newest_response(later), read_response(later))
        self.assertEqual(answer.entries, (later,))

    def test_instance_that_cannot_read_says_so(self):
        faults = (
            Response(503),
            urllib3.exceptions.ReadTimeoutError(None, "", "silent"),
            Response(200, b"nonsense"),
        )
        for fault in faults:
            self.make_reader()
            with self.subTest(fault=fault):
                self.assertFalse(self.ask(3, fault).is_readable)

    def test_question_that_waited_too_long_is_not_answered(self):
        self.make_reader()
        question = pool_messages.ExecutorsAsked(3, 4, "n-2")
        self.reader._handle(question, self.now - 2.0)
        self.assertEqual((self.sent, self.pool.calls), ([], []))

    def test_readings_of_others_are_merged_while_the_store_fails(self):
        task, pool = self.make_follower()
        pool.responses = [newest_response(("i-1", self.entry)), Response(503)]
        task._poll_once()
        task._poll_once()
        sent = self.merge(task, 9, 11, ("", b""), ("i-2", self.entry))
        self.assertEqual(sent, ["ExecutorsListed", "ExecutorsRead"])
        names = [spec.name for spec in self.sent[0].executors]
        self.assertEqual(names, ["i-1", "i-2"])
        self.assertEqual(self.sent[1], (9.9, 11, 2, "n-2"))
        # A lower offset, and changes after one that is not known.
        for since, offset in ((9, 10), (-1, 10), (12, 13)):
            self.assertEqual(self.merge(task, since, offset), [])
        self.assertEqual(self.merge(task, 11, 11), ["ExecutorsRead"])

    def test_readings_of_others_are_merged_after_records_have_expired(self):
        # The list had no offset any more, so that no change applied to it,
        # and a planner that the store then rejected started nothing.
        task, pool = self.make_follower()
        task._receive(True)
        first = newest_response(("i-1", self.entry))
        pool.responses = [first, Response(410), Response(503)]
        for _ in range(3):
            task._poll_once()
        self.assertEqual(self.sent[-1].offset, 9)
        sent = self.merge(task, 9, 11, ("i-2", self.entry))
        self.assertIn("ExecutorsRead", sent)
        pool.responses = [newest_response(("i-3", self.entry))]
        task._poll_once()
        self.assertIn("log-newest", pool.calls[-1][1])

    def test_entry_that_is_gone_at_another_instance_is_removed(self):
        task, pool = self.make_follower()
        pool.responses = [newest_response(("i-1", self.entry)), Response(503)]
        task._poll_once()
        task._poll_once()
        for _ in range(8):
            self.now += 0.4
            self.merge(task, -1, 9)
        self.assertEqual(task._executors, {})

    def test_store_counts_as_failing_after_two_readings(self):
        task, pool = self.make_follower()
        fault = Response(503)
        page = newest_response(("i-1", self.entry))
        pool.responses = [fault, page, fault, fault, page]
        states = []
        for _ in range(5):
            task._poll_once()
            states.append(self.sent[-1].state)
        failing, readable = executor_readings.FAILING, 2
        expected = [failing, readable, readable, failing, readable]
        self.assertEqual(states, expected)


class MemberFollowerTest(unittest.TestCase):
    def test_invalid_member_is_ignored_and_logged_once(self):
        # Each read logged it again, with the whole of its value.
        client, pool = make_client()
        sent = []
        task = followers.MemberFollower(
            client, "n-1", ("10.1.0.1", 8166), sent.append
        )
        lines = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        values = (b"10.1.0.3:70000", b"evil.example:1", b"\xff" * 9000, b"7")
        records = [(f"x{i}", value) for i, value in enumerate(values)]
        page = newest_response(*records, ("n-2", b"10.1.0.2:8166"))
        pool.responses = [Response(200), page, page, page]
        for _ in range(3):
            task._poll()
        found = pool_messages.AddressesFound((("10.1.0.2", 8166),), "store")
        self.assertEqual(sent, [found] * 3)
        self.assertEqual(len(lines), len(values))
        self.assertLess(max(len(line) for line in lines), 500)


class UnexpectedErrorTest(unittest.TestCase):
    def test_unexpected_error_costs_one_poll(self):
        # Any error but that of the client ended the task; no later version
        # came into force.
        polls = []

        class Follower(followers.Follower):
            def _poll(self):
                polls.append(len(polls))
                if len(polls) == 1:
                    raise OverflowError("unexpected")
                self.stop()
                return 0.01

        class Client:
            def close(self):
                """Do nothing."""

        follower = Follower("test", Client())
        follower._wait_for_message = lambda pause: setattr(
            follower, "_stop_requested", len(polls) > 1
        )
        follower.run()
        self.assertEqual(polls, [0, 1])


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.client, self.pool = make_client()
        self.sent = []

    def poll(self, task, *responses):
        """Return the domains that were sent last, and the offset."""
        self.pool.responses = list(responses)
        for _ in responses:
            task._poll()
        return self.sent[-1].evacuation[::-1] if self.sent else None

    def test_requests_and_withdrawals_are_read(self):
        task = followers.ConfigurationFollower(
            self.client, self.sent.append, 5.0
        )
        # The domains of the second page would not be evacuated.
        page = newest_response(("evacuate/a", b"{}"), more=True)
        with self.assertRaises(errors.StoreUnavailable):
            self.poll(task, page, Response(503))
        self.assertEqual(self.sent, [])
        names = ("", "d" * 256, "\ud800", "a")
        keys = [(f"evacuate/{name}", store.UNREADABLE) for name in names]
        page = newest_response(*keys, ("other", b"1"))
        self.assertEqual(self.poll(task, page), (("a",), 9))
        both = read_response(("evacuate/b", b"{}"), ("evacuate/a", b""))
        self.assertEqual(self.poll(task, both), (("b",), 11))
        # The history is no longer kept, and the key is gone by then.
        expired = (Response(410), newest_response())
        self.assertEqual(self.poll(task, *expired), ((), 9))

    def test_reading_after_a_silent_one_is_within_the_bound(self):
        for bound in (1.9, 5.0, None):
            task = followers.ConfigurationFollower(
                self.client, self.sent.append, bound
            )
            self.poll(task, newest_response(), read_response())
            url = urllib.parse.urlsplit(self.pool.calls[-1][1])
            wait = float(urllib.parse.parse_qs(url.query)["wait_ms"][0]) / 1e3
            again = followers.RETRY_DELAY + store.TIMEOUT
            if bound is not None:
                self.assertLess(wait + store.TIMEOUT + again, bound)
        self.assertEqual(wait, followers.CONFIGURATION_WAIT)
        self.assertEqual(len(self.sent), 2)


class ConfigurationTest(unittest.TestCase):
    def test_invalid_configuration_is_not_sent(self):
        sent = []
        followers.send_configuration(b"nonsense", "store", sent.append)
        self.assertEqual(sent, [])
