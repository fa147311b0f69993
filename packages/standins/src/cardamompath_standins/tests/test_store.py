"""Tests the stand-in of the store in virtual time."""

import struct
import unittest

from cardamompath_standins import store
from cardamompathd import messages
from cardamompathd.platform import store as store_client


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.answers = {}
        self.timers = []
        self.receive = store.make_controller(1.0).receive

    def deliver(self, msg):
        for send in self.receive(msg, self.now):
            if send.to == messages.TIMERS:
                self.timers.append(send.msg)
            else:
                self.answers[send.msg.reply_to] = send.msg.answer

    def call(self, path, body=b"", **query):
        reply_to = f"{path}{len(self.answers)}"
        query = {name: str(value) for name, value in query.items()}
        self.deliver(store.StoreRequest(path, query, body, reply_to))
        return reply_to

    def put(self, key, value=b"v", topic="keyed.members"):
        record = store.encode_keyed_record(key, value)
        return self.call("/v1/log-append", record, topic=topic, part=0)

    def newest(self, topic="keyed.members"):
        reply_to = self.call("/v1/log-newest", topic=topic, part=0)
        return {item["key"] for item in self.answers[reply_to].body["items"]}

    def fire_timers(self):
        timers, self.timers = self.timers, []
        for timer in timers:
            self.now = max(self.now, timer.at)
            self.deliver(messages.TimerFired(timer.key))

    def test_log_newest_returns_the_newest_record_of_each_key(self):
        self.put("a", b"1")
        self.put("a", b"2")
        self.put("b")
        self.assertEqual(self.newest(), {"a", "b"})
        self.put("a", b"")
        self.assertEqual(self.newest(), {"b"})

    def test_read_waits_for_a_record(self):
        fields = {"topic": "keyed.members", "part": 0, "from": 0}
        reply_to = self.call("/v1/log-read", wait_ms=500, **fields)
        self.assertNotIn(reply_to, self.answers)
        self.put("a", b"1")
        raw = self.answers[reply_to].body
        end, oldest = struct.unpack_from("!QQ", raw)
        self.assertEqual((end, oldest), (1, 0))
        records = store_client._decode_records(raw[16:])
        self.assertEqual(records, [store_client.Record("a", b"1")])

    def test_read_without_a_record_is_answered_after_its_wait(self):
        fields = {"topic": "keyed.members", "part": 0, "from": 0}
        reply_to = self.call("/v1/log-read", wait_ms=500, **fields)
        self.fire_timers()
        self.assertEqual(len(self.answers[reply_to].body), 16)

    def test_outage_and_lost_response(self):
        self.deliver(store.SetFaults({"down": True}, "f"))
        self.assertEqual(self.answers[self.put("a")].status, 503)
        self.deliver(store.SetFaults({"lose": 1}, "g"))
        self.assertIsNone(self.answers[self.put("a")].status)
        self.assertEqual(self.newest(), {"a"})

    def test_entry_of_a_silent_executor_expires(self):
        self.put("x", topic=store.SERVERS_TOPIC)
        self.deliver(messages.TimerFired(None))
        for _ in range(5):
            self.fire_timers()
        self.assertEqual(self.newest(store.SERVERS_TOPIC), set())
