import unittest

import hypothesis
from hypothesis import strategies

from cardamompath_core import config_fold
from cardamompath_core import journal_fold
from cardamompath_core import snapshots
from cardamompath_core import types
from cardamompath_proof.tests.properties import shared

OWNERS = ("alpha.a1.00000001", "beta.b1.00000002")
JOBS = tuple(f"{owner}.1" for owner in OWNERS)

states = strategies.lists(
    strategies.sampled_from(("finished", "failed", "not_started", "unknown")),
    max_size=types.MAX_TASKS,
)


@strategies.composite
def journal_records(draw):
    owner = draw(strategies.sampled_from(OWNERS))
    kind = draw(strategies.sampled_from(("renew", "death", "progress")))
    if kind == "renew":
        return journal_fold.make_renewal(owner, "r")
    if kind == "death":
        return journal_fold.make_death(
            owner, draw(strategies.integers(0, 20)), "r"
        )
    packed = journal_fold.pack_states(draw(states)[:3])
    progress = journal_fold.Progress(packed, draw(strategies.booleans()))
    return journal_fold.make_progress(owner, {f"{owner}.1": progress}, "r")


@strategies.composite
def notes(draw):
    section = draw(strategies.sampled_from(("added", "changed")))
    name = draw(strategies.sampled_from(("one", "two")))
    share = draw(strategies.integers(1, 3))
    teams = {name: {"share": float(share)}}
    return {
        "kind": "note",
        "id": name,
        "base": draw(strategies.integers(0, 4)),
        section: {"teams": teams},
    }


def fold(records, splits):
    state = config_fold.FoldState()
    numbered = tuple(enumerate(records))
    ends = sorted(
        {*(split % (len(records) + 1) for split in splits), len(records)}
    )
    for begin, end in zip([0, *ends], ends, strict=False):
        batch = numbered[begin:end]
        state = config_fold.read_records(state, batch, 0, end).state
    return state


class JournalFoldTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(states)
    def test_packed_states_survive_a_round_trip(self, task_states):
        packed = journal_fold.pack_states(task_states)
        self.assertEqual(
            tuple(task_states), journal_fold.unpack_states(packed)
        )

    @shared.deterministic
    @hypothesis.given(shared.json_values)
    def test_malformed_records_do_not_stop_the_fold(self, value):
        ledger = journal_fold.Ledger()
        journal_fold.apply_record(ledger, 0, value)
        journal_fold.apply_record(
            ledger, 1, {"kind": "progress", "owner": value}
        )
        journal_fold.apply_record(
            ledger, 2, journal_fold.make_announcement(OWNERS[0], "r")
        )
        self.assertEqual(OWNERS[:1], journal_fold.live_owners(ledger)[-1:])

    @shared.deterministic
    @hypothesis.given(strategies.lists(journal_records(), max_size=12))
    def test_settled_answer_never_changes(self, records):
        ledger = journal_fold.Ledger()
        first_answers = {}
        for offset, record in enumerate(records):
            journal_fold.apply_record(ledger, offset, record)
            for owner, job in zip(OWNERS, JOBS, strict=True):
                answer = journal_fold.settle(ledger, owner, job, 3)
                if answer is not None:
                    first = first_answers.setdefault(job, answer)
                    self.assertEqual(first, answer)


class ConfigFoldTest(unittest.TestCase):
    @shared.deterministic
    @hypothesis.given(
        strategies.lists(notes(), max_size=8),
        strategies.lists(strategies.integers(0, 8), max_size=4),
    )
    def test_fold_does_not_depend_on_the_batches(self, records, splits):
        whole = fold(records, ())
        self.assertEqual(whole, fold(records, splits))

    @shared.deterministic
    @hypothesis.given(
        strategies.lists(notes(), max_size=8),
        strategies.integers(0, 8),
        strategies.integers(0, 8),
    )
    def test_update_from_a_peer_gives_the_newer_configuration(
        self, records, own_count, peer_count
    ):
        own = fold(records[:own_count], ())
        peer = fold(records[:peer_count], ())
        update = config_fold.make_update(peer, own.cfg.offset)
        result = config_fold.apply_update(own, update).state.cfg
        newer = max((own.cfg, peer.cfg), key=lambda cfg: cfg.offset)
        self.assertEqual(newer, result)

    @shared.deterministic
    @hypothesis.given(strategies.lists(notes(), max_size=8))
    def test_snapshot_survives_a_round_trip(self, records):
        cfg = fold(records, ()).cfg
        hypothesis.assume(cfg.offset >= 0)
        record = snapshots.make_record(cfg)
        self.assertEqual(cfg, snapshots.read_record(record).unwrap())

    @shared.deterministic
    @hypothesis.given(strategies.lists(shared.json_values, max_size=3))
    def test_malformed_records_do_not_stop_the_fold(self, values):
        records = [
            *values,
            *({"kind": "note", "base": 0, "added": value} for value in values),
            *({"kind": "snapshot", "cfg": value} for value in values),
        ]
        self.assertEqual(0, fold(records, ()).cfg.revision)
