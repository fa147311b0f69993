import unittest

import hypothesis
from hypothesis import strategies

from cardamompath_core import config_fold
from cardamompath_core import journal_fold
from cardamompath_core import snapshots
from cardamompath_core import types
from cardamompath_proof.tests.properties import checked

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
    one = journal_fold.Progress(packed, draw(strategies.booleans()))
    return journal_fold.make_progress(owner, {f"{owner}.1": one}, "r")


@strategies.composite
def notes(draw):
    verb = draw(strategies.sampled_from(("added", "changed")))
    name = draw(strategies.sampled_from(("one", "two")))
    share = draw(strategies.integers(1, 3))
    teams = {name: {"share": float(share)}}
    return {
        "kind": "note",
        "id": name,
        "base": draw(strategies.integers(0, 4)),
        verb: {"teams": teams},
    }


def fold(records, cuts):
    state = config_fold.FoldState()
    numbered = tuple(enumerate(records))
    ends = sorted({*(cut % (len(records) + 1) for cut in cuts), len(records)})
    for begin, end in zip([0, *ends], ends, strict=False):
        part = numbered[begin:end]
        state = config_fold.read_records(state, part, 0, end).state
    return state


class SettlementTest(unittest.TestCase):
    @checked.checked
    @hypothesis.given(states)
    def test_packed_states_are_read_back(self, given):
        packed = journal_fold.pack_states(given)
        self.assertEqual(tuple(given), journal_fold.unpack_states(packed))

    @checked.checked
    @hypothesis.given(checked.json_values)
    def test_no_record_stops_the_fold(self, value):
        ledger = journal_fold.Ledger()
        journal_fold.apply_record(ledger, 0, value)
        journal_fold.apply_record(
            ledger, 1, {"kind": "progress", "owner": value}
        )
        journal_fold.apply_record(
            ledger, 2, journal_fold.make_announcement(OWNERS[0], "r")
        )
        self.assertEqual(OWNERS[:1], journal_fold.live_owners(ledger)[-1:])

    @checked.checked
    @hypothesis.given(strategies.lists(journal_records(), max_size=12))
    def test_a_settlement_stays(self, records):
        ledger = journal_fold.Ledger()
        settled = {}
        for offset, record in enumerate(records):
            journal_fold.apply_record(ledger, offset, record)
            for owner, job in zip(OWNERS, JOBS, strict=True):
                answer = journal_fold.settle(ledger, owner, job, 3)
                if answer is not None:
                    first = settled.setdefault(job, answer)
                    self.assertEqual(first, answer)


class ConfigurationTest(unittest.TestCase):
    @checked.checked
    @hypothesis.given(
        strategies.lists(notes(), max_size=8),
        strategies.lists(strategies.integers(0, 8), max_size=4),
    )
    def test_any_split_of_the_log_folds_alike(self, records, cuts):
        whole = fold(records, ())
        self.assertEqual(whole, fold(records, cuts))

    @checked.checked
    @hypothesis.given(
        strategies.lists(notes(), max_size=8),
        strategies.integers(0, 8),
        strategies.integers(0, 8),
    )
    def test_a_peer_never_turns_back_and_brings_up(self, records, mine, peer):
        behind = fold(records[:mine], ())
        ahead = fold(records[:peer], ())
        body = config_fold.make_update(ahead, behind.cfg.offset)
        taken = config_fold.apply_update(behind, body).state.cfg
        newer = max((behind.cfg, ahead.cfg), key=lambda cfg: cfg.offset)
        self.assertEqual(newer, taken)

    @checked.checked
    @hypothesis.given(strategies.lists(notes(), max_size=8))
    def test_a_snapshot_is_read_back(self, records):
        cfg = fold(records, ()).cfg
        hypothesis.assume(cfg.offset >= 0)
        record = snapshots.make_record(cfg)
        self.assertEqual(cfg, snapshots.read_record(record).unwrap())

    @checked.checked
    @hypothesis.given(strategies.lists(checked.json_values, max_size=3))
    def test_no_record_stops_the_fold(self, values):
        records = [
            *values,
            *({"kind": "note", "base": 0, "added": one} for one in values),
            *({"kind": "snapshot", "cfg": one} for one in values),
        ]
        self.assertEqual(0, fold(records, ()).cfg.revision)
