import json
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from cardamompath_core import config_fold
from cardamompath_core import snapshots


def note(base, name, **extra):
    added = {"services": {name: {}}}
    return {"kind": "note", "id": name, "base": base, "added": added} | extra


def read(state, log, oldest=0, start=None):
    first = max(oldest, state.read_through + 1 if start is None else start)
    records = tuple(enumerate(log))[first:]
    return config_fold.read_records(state, records, oldest, len(log))


LOG = [
    note(0, "one"),
    note(0, "racer"),
    {"kind": "unknown"},
    note(1, "two"),
    "text",
    note(2, "three"),
]
WHOLE = read(config_fold.FoldState(), LOG)


class LogFoldTest(unittest.TestCase):
    def test_outcomes_of_racing_notes(self):
        made = [(one.id, one.revision) for one in WHOLE.outcomes]
        expected = [("one", 1), ("racer", 0), ("two", 2), ("three", 3)]
        self.assertEqual(expected, made)
        self.assertEqual((3, 5), WHOLE.state.cfg[:2])

    def test_gap_without_a_snapshot_folds_nothing(self):
        state = read(config_fold.FoldState(), LOG, oldest=1).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(0, state.cfg.revision)

    def test_gap_with_a_snapshot_behind_the_retained_notes(self):
        early = read(config_fold.FoldState(), LOG[:1]).state.cfg
        log = [*LOG, snapshots.make_record(early)]
        folded = read(config_fold.FoldState(), log, oldest=1)
        self.assertEqual(3, folded.state.cfg.revision)
        self.assertEqual(0, folded.snapshot)
        stale = read(config_fold.FoldState(), log, oldest=2)
        self.assertTrue(config_fold.has_gap(stale.state))
        self.assertIsNone(stale.snapshot)

    def test_reader_that_was_outrun_keeps_its_revision(self):
        state = read(config_fold.FoldState(), LOG[:1]).state
        state = read(state, LOG, oldest=4).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(1, state.cfg.revision)
        middle = read(config_fold.FoldState(), LOG[:4]).state.cfg
        state = config_fold.adopt(state, middle).state
        self.assertEqual(WHOLE.state.cfg, state.cfg)

    def test_doubled_and_stale_snapshots_change_nothing(self):
        early = read(config_fold.FoldState(), LOG[:1]).state.cfg
        records = [snapshots.make_record(early)] * 2
        records.append(snapshots.make_record(WHOLE.state.cfg))
        folded = read(WHOLE.state, [*LOG, *records, records[0]])
        self.assertEqual((), folded.faults)
        self.assertEqual(WHOLE.state.cfg._replace(offset=9), folded.state.cfg)

    def test_broken_snapshots_are_not_used(self):
        good = snapshots.make_record(WHOLE.state.cfg)
        broken = [
            good | {"revision": 4},
            good | {"cfg": {"services": [{"name": "x", "timeout": 0}]}},
            good | {"cfg": None},
            good | {"offset": "5"},
            good | {"offset": 50},
            {"kind": "snapshot"},
        ]
        folded = read(config_fold.FoldState(), [*LOG, *broken], oldest=6)
        self.assertEqual(len(broken), len(folded.faults), folded.faults)
        self.assertTrue(config_fold.has_gap(folded.state))

    def test_gap_is_not_closed_by_an_older_revision(self):
        state = read(WHOLE.state, [*LOG, *LOG], oldest=8).state
        other = WHOLE.state.cfg._replace(offset=9, revision=1)
        log = [*LOG, *LOG, snapshots.make_record(other)]
        state = read(state, log, oldest=8).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(WHOLE.state.cfg, state.cfg)

    def test_notes_held_behind_a_gap_are_bounded(self):
        with mock.patch.object(config_fold, "MAX_PENDING", 2):
            state = read(config_fold.FoldState(), LOG, oldest=1).state
        self.assertEqual([3, 5], [offset for offset, _ in state.pending])
        early = read(config_fold.FoldState(), LOG[:1]).state.cfg
        state = config_fold.adopt(state, early).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(1, state.cfg.revision)

    def test_body_of_notes_that_do_not_join_is_left_aside(self):
        state = read(config_fold.FoldState(), LOG[:1]).state
        body = config_fold.Body(3, 5, ((5, LOG[5]),))
        self.assertEqual(state, config_fold.take_body(state, body).state)

    def test_divergence_is_told(self):
        other = [note(0, "x"), *LOG[1:]]
        wrong = read(config_fold.FoldState(), other).state.cfg
        folded = read(WHOLE.state, [*LOG, snapshots.make_record(wrong)])
        self.assertIn("revision 3 is", folded.faults[0])
        older = wrong._replace(offset=9, revision=2)
        refused = config_fold.adopt(WHOLE.state, older)
        self.assertIn("offset 9 has revision 2", refused.faults[0])
        self.assertEqual(WHOLE.state.cfg, refused.state.cfg)

    def test_log_that_went_back_is_told(self):
        folded = config_fold.read_records(WHOLE.state, (), 0, 2)
        self.assertIn("log ends before offset 2", folded.faults[0])
        self.assertEqual(WHOLE.state.cfg, folded.state.cfg)

    def test_peer_hands_over_notes_or_all(self):
        for count in range(len(LOG)):
            state = read(config_fold.FoldState(), LOG[:count]).state
            body = config_fold.make_body(WHOLE.state, state.cfg.offset)
            self.assertIsNone(body.snapshot)
            taken = config_fold.take_body(state, body)
            self.assertEqual(WHOLE.state.cfg, taken.state.cfg)
        joined = config_fold.adopt(
            config_fold.FoldState(), WHOLE.state.cfg
        ).state
        body = config_fold.make_body(joined, -1)
        self.assertEqual((), body.records)
        body = body._replace(snapshot=json.loads(json.dumps(body.snapshot)))
        taken = config_fold.take_body(config_fold.FoldState(), body)
        self.assertEqual(WHOLE.state.cfg, taken.state.cfg)

    def test_notes_for_peers_are_bounded(self):
        log = [note(base, f"n{base}") for base in range(100)]
        state = read(config_fold.FoldState(), log).state
        self.assertEqual(config_fold.MAX_RECENT, len(state.recent))
        self.assertIsNotNone(config_fold.make_body(state, 66).snapshot)
        self.assertEqual(32, len(config_fold.make_body(state, 67).records))

    def test_old_peer_is_not_followed(self):
        early = read(config_fold.FoldState(), LOG[:4]).state
        self.assertEqual(
            WHOLE.state, config_fold.adopt(WHOLE.state, early.cfg).state
        )
        body = config_fold.make_body(early, -1)
        self.assertEqual(
            WHOLE.state, config_fold.take_body(WHOLE.state, body).state
        )

    def test_when_a_snapshot_is_due(self):
        seen = snapshots.SnapshotSeen(100, 0.0)
        due = snapshots.is_due
        self.assertFalse(due(seen, 0, 1000, 10.0, 100.0))
        self.assertFalse(due(None, 0, 1000, 10.0, 100.0))
        self.assertTrue(due(seen, 0, 1000, 50.0, 100.0))
        self.assertTrue(due(None, 1, 1000, 1.0, 100.0))
        self.assertFalse(due(seen, 50, 150, 1.0, 100.0))
        self.assertTrue(due(seen, 51, 150, 1.0, 100.0))


class AnyHistoryTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_readers_agree_and_never_go_back(self, seed):
        rng = random.Random(seed)
        log = []
        readers = [config_fold.FoldState() for _ in range(3)]
        truths = [config_fold.FoldState()]
        oldest = 0
        for step in range(60):
            base = truths[-1].cfg.revision - rng.choice((0, 0, 1))
            log.append(note(base, f"n{step}"))
            if rng.random() < 0.1:
                log[-1] = snapshots.make_record(truths[-1].cfg)
            truths.append(read(truths[-1], log).state)
            oldest = max(oldest, len(log) - rng.randrange(5, 40))
            place = rng.randrange(3)
            before = readers[place]
            if rng.random() < 0.5:
                state = read(before, log, oldest).state
            else:
                peer = rng.choice(readers)
                body = config_fold.make_body(peer, before.cfg.offset)
                state = config_fold.take_body(before, body).state
            self.assertGreaterEqual(state.cfg.revision, before.cfg.revision)
            self.assertGreaterEqual(state.cfg.offset, before.cfg.offset)
            readers[place] = state
            self.assertEqual(truths[state.cfg.offset + 1].cfg, state.cfg)
