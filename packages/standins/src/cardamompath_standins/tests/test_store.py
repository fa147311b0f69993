"""The stand-in of the users' store, in virtual time."""

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
        reply = f"{path}{len(self.answers)}"
        query = {name: str(value) for name, value in query.items()}
        self.deliver(store.StoreCall(path, query, body, reply))
        return reply

    def put(self, key, value=b"v", topic="keyed.members"):
        record = store.pack_keyed(key, value)
        return self.call("/v1/log-append", record, topic=topic, part=0)

    def newest(self, topic="keyed.members"):
        reply = self.call("/v1/log-newest", topic=topic, part=0)
        return {one["key"] for one in self.answers[reply].body["items"]}

    def fire(self):
        timers, self.timers = self.timers, []
        for due in timers:
            self.now = max(self.now, due.at)
            self.deliver(messages.TimerFired(due.key))

    def test_newest_record_of_each_key_is_kept(self):
        self.put("a", b"1")
        self.put("a", b"2")
        self.put("b")
        self.assertEqual(self.newest(), {"a", "b"})
        self.put("a", b"")
        self.assertEqual(self.newest(), {"b"})

    def test_read_waits_for_a_record(self):
        fields = {"topic": "keyed.members", "part": 0, "from": 0}
        waiting = self.call("/v1/log-read", wait_ms=500, **fields)
        self.assertNotIn(waiting, self.answers)
        self.put("a", b"1")
        raw = self.answers[waiting].body
        end, first = struct.unpack_from("!QQ", raw)
        self.assertEqual((end, first), (1, 0))
        records = store_client._decode_records(raw[16:])
        self.assertEqual(records, [store_client.Record("a", b"1")])

    def test_read_without_a_record_ends(self):
        fields = {"topic": "keyed.members", "part": 0, "from": 0}
        waiting = self.call("/v1/log-read", wait_ms=500, **fields)
        self.fire()
        self.assertEqual(len(self.answers[waiting].body), 16)

    def test_outage_and_lost_answer(self):
        self.deliver(store.SetFaults({"down": True}, "f"))
        self.assertEqual(self.answers[self.put("a")].status, 503)
        self.deliver(store.SetFaults({"lose": 1}, "g"))
        self.assertIsNone(self.answers[self.put("a")].status)
        self.assertEqual(self.newest(), {"a"})

    def test_entry_of_a_silent_executor_expires(self):
        self.put("x", topic=store.SERVERS)
        self.deliver(messages.TimerFired(None))
        for _ in range(5):
            self.fire()
        self.assertEqual(self.newest(store.SERVERS), set())
