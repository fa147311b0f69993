import random
import unittest

from cardamompath_core import config_fold
from cardamompath_core import release_notes
from cardamompath_core import snapshots
from cardamompathd import controllers
from cardamompathd import messages

PEER = ("10.0.0.9", 7400)
OTHER_PEER = ("10.0.0.8", 7400)


def make_note(base, name=""):
    added = {"services": {name or f"s{base}": {}}}
    return {"kind": "note", "id": f"n{base}", "base": base, "added": added}


LOG = [
    make_note(0),
    make_note(1),
    make_note(2),
    make_note(0, "late"),
    "broken",
    make_note(3),
]


def fold(log):
    state = config_fold.FoldState()
    records = tuple(enumerate(log))
    return config_fold.read_records(state, records, 0, len(log)).state


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.restart()

    def restart(self):
        self.controller = (
            controllers.configuration.configuration.make_controller(
                random.Random(1), 100.0
            )
        )

    def send(self, msg):
        return list(self.controller.receive(msg, self.now))

    def read(self, log, first=0, oldest=0):
        records = tuple(enumerate(log))[max(first, oldest) :]
        read = messages.RecordsRead("c", records, oldest, len(log))
        return self.send(read)

    def ask(self, message=messages.GetConfiguration):
        return self.send(message("fut"))[0].msg.answer

    def messages_of(self, sends, message_type):
        return [
            send.msg for send in sends if isinstance(send.msg, message_type)
        ]

    def fire(self, sends, key):
        (timer,) = [
            candidate
            for candidate in self.messages_of(sends, messages.SetTimer)
            if candidate.key == key
        ]
        self.now = timer.at
        return self.send(messages.TimerFired(key))

    def offer(self, cfg, address=PEER):
        fingerprint = release_notes.fingerprint(cfg)
        return self.send(
            messages.PeerConfiguration(
                address, cfg.revision, cfg.offset, fingerprint
            )
        )

    def deliver(self, state):
        body = config_fold.make_update(state, self.ask().offset)
        return self.send(messages.ConfigUpdateFetched(body))

    def test_each_listener_is_notified_of_a_revision_once(self):
        self.assertFalse(self.ask(messages.GetStatus)["ready"])
        sends = self.read(LOG)
        listeners = [
            send.to
            for send in sends
            if isinstance(send.msg, messages.ConfigurationChanged)
        ]
        self.assertEqual(["jobs", "backends", "membership"], listeners)
        self.assertEqual([], self.read(LOG))
        self.assertEqual(fold(LOG).cfg, self.ask())
        status = self.ask(messages.GetStatus)
        refused_offsets = [
            note["offset"] for note in status["notes"] if note["errors"]
        ]
        self.assertEqual(([3], True), (refused_offsets, status["ready"]))
        levels = [
            line.level for line in self.messages_of(sends, messages.LogLine)
        ]
        self.assertEqual(5, len(levels))

    def test_restart_without_the_log_adopts_a_peers_snapshot(self):
        peer = config_fold.adopt(config_fold.FoldState(), fold(LOG).cfg).state
        sends = self.offer(peer.cfg)
        fetch = self.messages_of(sends, messages.FetchConfigUpdate)
        self.assertEqual([(PEER, -1)], fetch)
        self.deliver(peer)
        self.assertEqual(fold(LOG).cfg, self.ask())
        self.read(LOG)
        self.assertEqual(fold(LOG).cfg, self.ask())

    def test_peer_is_asked_only_if_the_log_is_slow(self):
        self.read(LOG[:2])
        sends = self.offer(fold(LOG).cfg)
        self.assertEqual(
            [], self.messages_of(sends, messages.FetchConfigUpdate)
        )
        self.read(LOG, first=2)
        self.assertEqual([], self.fire(sends, "fetch"))

    def test_another_peer_is_asked_when_one_does_not_answer(self):
        self.read(LOG[:2])
        offer_sends = self.offer(fold(LOG).cfg)
        self.offer(fold(LOG).cfg, OTHER_PEER)
        sends = self.fire(offer_sends, "fetch")
        (first_fetch,) = self.messages_of(sends, messages.FetchConfigUpdate)
        sends = self.fire(sends, "fetch")
        (second_fetch,) = self.messages_of(sends, messages.FetchConfigUpdate)
        self.assertEqual(
            {PEER, OTHER_PEER}, {first_fetch.address, second_fetch.address}
        )
        self.assertEqual([], self.send(messages.ConfigUpdateFetched(None)))
        self.deliver(fold(LOG))
        self.assertEqual(4, self.ask().revision)

    def test_old_peer_and_late_answer_do_not_revert(self):
        late = config_fold.make_update(fold(LOG[:2]), -1)
        self.read(LOG)
        self.assertEqual([], self.offer(fold(LOG[:2]).cfg))
        self.assertEqual([], self.send(messages.ConfigUpdateFetched(late)))
        self.assertEqual(fold(LOG).cfg, self.ask())

    def test_divergence_is_reported_once(self):
        self.read(LOG)
        other = fold(LOG).cfg._replace(services=())
        (line,) = self.messages_of(self.offer(other), messages.LogLine)
        self.assertEqual("ERROR", line.level)
        self.assertIn("revision 4 has fingerprint", line.text)
        self.assertEqual([], self.offer(other))
        self.assertEqual(1, len(self.ask(messages.GetStatus)["faults"]))

    def test_lost_records_leave_the_configuration_in_force(self):
        self.read(LOG[:2])
        self.read(LOG, first=4, oldest=4)
        self.assertEqual(2, self.ask().revision)
        self.assertTrue(self.ask(messages.GetStatus)["records_missing"])
        snapshot = snapshots.make_record(fold(LOG).cfg)
        self.read([*LOG, snapshot], first=6, oldest=4)
        self.assertEqual(4, self.ask().revision)
        self.assertFalse(self.ask(messages.GetStatus)["records_missing"])

    def test_snapshot_is_appended_by_one_instance(self):
        self.read(LOG)
        self.now = 60.0
        due = self.send(messages.TimerFired("check-snapshot"))
        sends = self.fire(due, "append-snapshot")
        (append,) = self.messages_of(sends, messages.AppendSnapshot)
        self.assertEqual(snapshots.make_record(self.ask()), append.record)
        self.now = 120.0
        due = self.send(messages.TimerFired("check-snapshot"))
        self.read([*LOG, append.record], first=6)
        self.assertEqual([], self.fire(due, "append-snapshot"))

    def test_snapshot_is_due_when_records_begin_to_expire(self):
        self.read(LOG)
        sends = self.read(LOG, first=6, oldest=1)
        (append,) = self.messages_of(
            self.fire(sends, "append-snapshot"), messages.AppendSnapshot
        )
        self.assertEqual(4, append.record["revision"])
        self.restart()
        sends = self.read(LOG, oldest=1)
        self.assertEqual([], self.messages_of(sends, messages.AppendSnapshot))
        self.assertEqual(0, self.ask().revision)
