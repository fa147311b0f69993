import random
import unittest

from cardamompath_core import config_fold
from cardamompath_core import release_notes
from cardamompath_core import snapshots
from cardamompathd import controllers
from cardamompathd import messages

PEER = ("10.0.0.9", 7400)
OTHER = ("10.0.0.8", 7400)


def note(base, name=""):
    added = {"services": {name or f"s{base}": {}}}
    return {"kind": "note", "id": f"n{base}", "base": base, "added": added}


LOG = [note(0), note(1), note(2), note(0, "late"), "broken", note(3)]


def fold(log):
    state = config_fold.FoldState()
    records = tuple(enumerate(log))
    return config_fold.read_records(state, records, 0, len(log)).state


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.restart()

    def restart(self):
        self.controller = controllers.configuration.make_controller(
            random.Random(1), 100.0
        )

    def tell(self, msg):
        return list(self.controller.receive(msg, self.now))

    def read(self, log, first=0, oldest=0):
        records = tuple(enumerate(log))[max(first, oldest) :]
        read = messages.RecordsRead("c", records, oldest, len(log))
        return self.tell(read)

    def ask(self, message=messages.GetConfiguration):
        return self.tell(message("fut"))[0].msg.answer

    def of(self, sends, kind):
        return [one.msg for one in sends if isinstance(one.msg, kind)]

    def fire(self, sends, key):
        (timer,) = [
            one for one in self.of(sends, messages.SetTimer) if one.key == key
        ]
        self.now = timer.at
        return self.tell(messages.TimerFired(key))

    def offer(self, cfg, address=PEER):
        printed = release_notes.fingerprint(cfg)
        return self.tell(
            messages.PeerConfiguration(
                address, cfg.revision, cfg.offset, printed
            )
        )

    def take(self, state):
        body = config_fold.make_body(state, self.ask().offset)
        return self.tell(messages.ConfigurationFetched(body))

    def test_each_listener_is_told_of_a_revision_once(self):
        self.assertFalse(self.ask(messages.GetStatus)["ready"])
        sends = self.read(LOG)
        told = [
            one.to
            for one in sends
            if isinstance(one.msg, messages.ConfigurationChanged)
        ]
        self.assertEqual(["jobs", "backends", "membership"], told)
        self.assertEqual([], self.read(LOG))
        self.assertEqual(fold(LOG).cfg, self.ask())
        status = self.ask(messages.GetStatus)
        refused = [one["offset"] for one in status["notes"] if one["errors"]]
        self.assertEqual(([3], True), (refused, status["ready"]))
        lines = [one.level for one in self.of(sends, messages.LogLine)]
        self.assertEqual(5, len(lines))

    def test_restart_without_the_log_takes_a_peers_snapshot(self):
        peer = config_fold.adopt(config_fold.FoldState(), fold(LOG).cfg).state
        sends = self.offer(peer.cfg)
        fetch = self.of(sends, messages.FetchConfiguration)
        self.assertEqual([(PEER, -1)], fetch)
        self.take(peer)
        self.assertEqual(fold(LOG).cfg, self.ask())
        self.read(LOG)
        self.assertEqual(fold(LOG).cfg, self.ask())

    def test_peer_is_asked_only_after_the_log_had_its_time(self):
        self.read(LOG[:2])
        sends = self.offer(fold(LOG).cfg)
        self.assertEqual([], self.of(sends, messages.FetchConfiguration))
        self.read(LOG, first=2)
        self.assertEqual([], self.fire(sends, "fetch"))

    def test_another_peer_is_asked_when_one_is_silent(self):
        self.read(LOG[:2])
        first = self.offer(fold(LOG).cfg)
        self.offer(fold(LOG).cfg, OTHER)
        sends = self.fire(first, "fetch")
        (asked,) = self.of(sends, messages.FetchConfiguration)
        sends = self.fire(sends, "fetch")
        (again,) = self.of(sends, messages.FetchConfiguration)
        self.assertEqual({PEER, OTHER}, {asked.address, again.address})
        self.assertEqual([], self.tell(messages.ConfigurationFetched(None)))
        self.take(fold(LOG))
        self.assertEqual(4, self.ask().revision)

    def test_old_peer_and_late_answer_never_revert(self):
        late = config_fold.make_body(fold(LOG[:2]), -1)
        self.read(LOG)
        self.assertEqual([], self.offer(fold(LOG[:2]).cfg))
        self.assertEqual([], self.tell(messages.ConfigurationFetched(late)))
        self.assertEqual(fold(LOG).cfg, self.ask())

    def test_divergence_is_reported_once(self):
        self.read(LOG)
        other = fold(LOG).cfg._replace(services=())
        (line,) = self.of(self.offer(other), messages.LogLine)
        self.assertEqual("ERROR", line.level)
        self.assertIn("revision 4 has fingerprint", line.text)
        self.assertEqual([], self.offer(other))
        self.assertEqual(1, len(self.ask(messages.GetStatus)["faults"]))

    def test_retention_overrun_keeps_what_is_in_force(self):
        self.read(LOG[:2])
        self.read(LOG, first=4, oldest=4)
        self.assertEqual(2, self.ask().revision)
        self.assertTrue(self.ask(messages.GetStatus)["records_missing"])
        snapshot = snapshots.make_record(fold(LOG).cfg)
        self.read([*LOG, snapshot], first=6, oldest=4)
        self.assertEqual(4, self.ask().revision)
        self.assertFalse(self.ask(messages.GetStatus)["records_missing"])

    def test_snapshot_is_appended_in_time_and_by_one(self):
        self.read(LOG)
        self.now = 60.0
        due = self.tell(messages.TimerFired("check-snapshot"))
        sends = self.fire(due, "append-snapshot")
        (append,) = self.of(sends, messages.AppendSnapshot)
        self.assertEqual(snapshots.make_record(self.ask()), append.record)
        self.now = 120.0
        due = self.tell(messages.TimerFired("check-snapshot"))
        self.read([*LOG, append.record], first=6)
        self.assertEqual([], self.fire(due, "append-snapshot"))

    def test_snapshot_is_due_when_records_begin_to_expire(self):
        self.read(LOG)
        sends = self.read(LOG, first=6, oldest=1)
        (append,) = self.of(
            self.fire(sends, "append-snapshot"), messages.AppendSnapshot
        )
        self.assertEqual(4, append.record["revision"])
        self.restart()
        sends = self.read(LOG, oldest=1)
        self.assertEqual([], self.of(sends, messages.AppendSnapshot))
        self.assertEqual(0, self.ask().revision)
