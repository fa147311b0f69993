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


class ConfigFoldTest(unittest.TestCase):
    def test_one_of_two_concurrent_notes_is_accepted(self):
        outcomes = [(note.id, note.revision) for note in WHOLE.outcomes]
        expected = [("one", 1), ("racer", 0), ("two", 2), ("three", 3)]
        self.assertEqual(expected, outcomes)
        self.assertEqual((3, 5), WHOLE.state.cfg[:2])

    def test_nothing_is_folded_across_a_gap_without_a_snapshot(self):
        state = read(config_fold.FoldState(), LOG, oldest=1).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(0, state.cfg.revision)

    def test_snapshot_closes_a_gap_only_if_no_note_is_missing_after_it(self):
        early = read(config_fold.FoldState(), LOG[:1]).state.cfg
        log = [*LOG, snapshots.make_record(early)]
        folded = read(config_fold.FoldState(), log, oldest=1)
        self.assertEqual(3, folded.state.cfg.revision)
        self.assertEqual(0, folded.snapshot)
        stale = read(config_fold.FoldState(), log, oldest=2)
        self.assertTrue(config_fold.has_gap(stale.state))
        self.assertIsNone(stale.snapshot)

    def test_reader_overtaken_by_retention_keeps_its_revision(self):
        state = read(config_fold.FoldState(), LOG[:1]).state
        state = read(state, LOG, oldest=4).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(1, state.cfg.revision)
        middle = read(config_fold.FoldState(), LOG[:4]).state.cfg
        state = config_fold.adopt(state, middle).state
        self.assertEqual(WHOLE.state.cfg, state.cfg)

    def test_duplicate_and_stale_snapshots_change_nothing(self):
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

    def test_number_of_notes_kept_after_a_gap_is_bounded(self):
        with mock.patch.object(config_fold, "MAX_PENDING", 2):
            state = read(config_fold.FoldState(), LOG, oldest=1).state
        self.assertEqual([3, 5], [offset for offset, _ in state.pending])
        early = read(config_fold.FoldState(), LOG[:1]).state.cfg
        state = config_fold.adopt(state, early).state
        self.assertTrue(config_fold.has_gap(state))
        self.assertEqual(1, state.cfg.revision)

    def test_update_that_does_not_join_is_ignored(self):
        state = read(config_fold.FoldState(), LOG[:1]).state
        update = config_fold.ConfigUpdate(3, 5, ((5, LOG[5]),))
        self.assertEqual(state, config_fold.apply_update(state, update).state)

    def test_divergence_is_reported(self):
        other = [note(0, "x"), *LOG[1:]]
        wrong = read(config_fold.FoldState(), other).state.cfg
        folded = read(WHOLE.state, [*LOG, snapshots.make_record(wrong)])
        self.assertIn("revision 3 has fingerprint", folded.faults[0])
        older = wrong._replace(offset=9, revision=2)
        refused = config_fold.adopt(WHOLE.state, older)
        self.assertIn("offset 9 has revision 2", refused.faults[0])
        self.assertEqual(WHOLE.state.cfg, refused.state.cfg)

    def test_truncated_log_is_reported(self):
        folded = config_fold.read_records(WHOLE.state, (), 0, 2)
        self.assertIn("log ends before offset 2", folded.faults[0])
        self.assertEqual(WHOLE.state.cfg, folded.state.cfg)

    def test_update_for_a_peer_holds_notes_or_a_snapshot(self):
        for count in range(len(LOG)):
            state = read(config_fold.FoldState(), LOG[:count]).state
            update = config_fold.make_update(WHOLE.state, state.cfg.offset)
            self.assertIsNone(update.snapshot)
            updated = config_fold.apply_update(state, update)
            self.assertEqual(WHOLE.state.cfg, updated.state.cfg)
        adopted = config_fold.adopt(
            config_fold.FoldState(), WHOLE.state.cfg
        ).state
        update = config_fold.make_update(adopted, -1)
        self.assertEqual((), update.records)
        update = update._replace(
            snapshot=json.loads(json.dumps(update.snapshot))
        )
        updated = config_fold.apply_update(config_fold.FoldState(), update)
        self.assertEqual(WHOLE.state.cfg, updated.state.cfg)

    def test_number_of_notes_kept_for_peers_is_bounded(self):
        log = [note(base, f"n{base}") for base in range(100)]
        state = read(config_fold.FoldState(), log).state
        self.assertEqual(config_fold.MAX_RECENT, len(state.recent))
        self.assertIsNotNone(config_fold.make_update(state, 66).snapshot)
        self.assertEqual(32, len(config_fold.make_update(state, 67).records))

    def test_older_configuration_of_a_peer_is_ignored(self):
        early = read(config_fold.FoldState(), LOG[:4]).state
        self.assertEqual(
            WHOLE.state, config_fold.adopt(WHOLE.state, early.cfg).state
        )
        update = config_fold.make_update(early, -1)
        self.assertEqual(
            WHOLE.state, config_fold.apply_update(WHOLE.state, update).state
        )

    def test_snapshot_is_due_after_half_of_the_retention(self):
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
    def test_readers_agree_and_never_lose_a_revision(self, seed):
        rng = random.Random(seed)
        log = []
        readers = [config_fold.FoldState() for _ in range(3)]
        expected = [config_fold.FoldState()]
        oldest = 0
        for step in range(60):
            base = expected[-1].cfg.revision - rng.choice((0, 0, 1))
            log.append(note(base, f"n{step}"))
            if rng.random() < 0.1:
                log[-1] = snapshots.make_record(expected[-1].cfg)
            expected.append(read(expected[-1], log).state)
            oldest = max(oldest, len(log) - rng.randrange(5, 40))
            index = rng.randrange(3)
            before = readers[index]
            if rng.random() < 0.5:
                state = read(before, log, oldest).state
            else:
                peer = rng.choice(readers)
                update = config_fold.make_update(peer, before.cfg.offset)
                state = config_fold.apply_update(before, update).state
            self.assertGreaterEqual(state.cfg.revision, before.cfg.revision)
            self.assertGreaterEqual(state.cfg.offset, before.cfg.offset)
            readers[index] = state
            self.assertEqual(expected[state.cfg.offset + 1].cfg, state.cfg)
