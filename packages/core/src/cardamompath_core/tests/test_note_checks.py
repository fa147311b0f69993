import json
import unittest

import hypothesis
from hypothesis import strategies

from cardamompath_core import note_checks
from cardamompath_core import note_fields
from cardamompath_core import release_notes
from cardamompath_core import types

BACKEND = {
    "service": "booking",
    "domain": "pocitos",
    "host": "10.0.0.1",
    "port": 8000,
}
FIRST = {
    "kind": "note",
    "base": 0,
    "added": {
        "services": {"booking": {"timeout": 5}, "pickup": {}},
        "backends": {"executor-1": BACKEND},
        "teams": {"box-office": {"share": 40, "services": ["pickup"]}},
    },
}


def make_cfg():
    return release_notes.apply_note(types.Configuration(), FIRST, 0).cfg


def make_note(**verbs):
    return {"kind": "note", "base": 1, **verbs}


class NotesTest(unittest.TestCase):
    def faults(self, **verbs):
        return note_checks.check_note(make_cfg(), make_note(**verbs)).faults

    def assert_refused(self, note, *expected):
        applied = release_notes.apply_note(make_cfg(), note, 7)
        self.assertEqual(make_cfg()._replace(offset=7), applied.cfg)
        self.assertEqual(len(expected), len(applied.errors), applied.errors)
        for text, error in zip(expected, applied.errors, strict=True):
            self.assertIn(text, error)

    def test_table_lists_every_field(self):
        for section in note_fields.SECTIONS.values():
            keys = [field.key for field in section.fields]
            fields = set(section.spec._fields) - {"name", "since"}
            self.assertEqual(fields, set(keys))
            for field in section.fields:
                self.assertRaises(ValueError, field.parse, None)

    def test_first_note_is_accepted(self):
        cfg = make_cfg()
        self.assertEqual(1, cfg.revision)
        self.assertEqual(
            (8, 1), (cfg.backends[0].slots, cfg.backends[0].since)
        )
        self.assertEqual(5.0, cfg.services[0].timeout)

    def test_change_of_a_backend_server_sets_its_revision(self):
        note = make_note(changed={"backends": {"executor-1": {"slots": 4}}})
        cfg = release_notes.apply_note(make_cfg(), note, 1).cfg
        self.assertEqual(
            (4, 2), (cfg.backends[0].slots, cfg.backends[0].since)
        )

    def test_all_faults_are_reported_at_once(self):
        fields = {"slots": 0, "port": "80", "host": "::1%é", "rack": 1}
        note = make_note(
            added={"backends": {"executor-2": fields, "a b": {}}},
            changed={"services": {"booking": {"timeout": True}, "x": {}}},
            withdrawn={"teams": ["absent"], "racks": []},
            colour="red",
        )
        self.assert_refused(
            note,
            "key 'colour' is unknown; allowed are added, base,",
            "added backends name is 'a b'; allowed is 1 to 63 letters",
            "section of withdrawn is 'racks'; allowed is one of services",
            "slots is 0; allowed is an integer from 1 to 4096 tasks",
            "port is '80'; allowed is an integer from 1 to 65535",
            "host is '::1%é'; allowed is an IP address",
            "key of added backends 'executor-2' is 'rack'; allowed is one",
            "added backends 'executor-2' lacks domain, service",
            "timeout is True; allowed is a number from 0.001 to 3600 sec",
            "changed services 'x' does not exist",
            "withdrawn teams 'absent' does not exist",
        )

    def test_service_in_use_cannot_be_withdrawn(self):
        self.assert_refused(
            make_note(withdrawn={"services": ["booking", "pickup"]}),
            "'booking' is still in use by backends 'executor-1'",
            "'pickup' is still in use by teams 'box-office'",
        )
        withdrawn = {
            "services": ["booking", "pickup"],
            "backends": ["executor-1"],
            "teams": ["box-office"],
        }
        self.assertEqual((), self.faults(withdrawn=withdrawn))

    def test_resulting_configuration_is_checked(self):
        other = BACKEND | {"service": "absent", "slots": 9, "connections": 8}
        self.assert_refused(
            make_note(added={"backends": {"executor-2": other}}),
            "service 'absent' does not exist",
            "slots is 9; allowed is at most its connections, 8",
            "address 10.0.0.1:8000 is that of 'executor-1' already",
        )
        self.assert_refused(
            make_note(
                changed={"services": {"pickup": {"timeout": 1}}},
                withdrawn={"services": ["pickup"]},
            ),
            "withdrawn services 'pickup' is listed as changed too",
            "still in use",
        )
        self.assert_refused(make_note(), "lists nothing")
        many = {f"s{index}": {} for index in range(1024)}
        self.assert_refused(
            make_note(added={"services": many}), "1026 entries; allowed are"
        )

    def test_exactly_one_of_two_concurrent_notes_is_accepted(self):
        one = make_note(added={"services": {"one": {}}})
        two = make_note(added={"services": {"two": {}}})
        first = release_notes.apply_note(make_cfg(), one, 1).cfg
        second = release_notes.apply_note(first, two, 2)
        self.assertEqual(first._replace(offset=2), second.cfg)
        self.assertIn(
            "base is 1; the revision in force is 2", second.errors[0]
        )
        self.assertEqual(
            ("added services 'one'",), release_notes.compare(make_cfg(), first)
        )

    def test_note_against_an_old_revision_is_checked_for_its_form(self):
        note = make_note(added={"backends": {"executor-1": {"slots": 0}}})
        self.assert_refused(
            note | {"base": 0},
            "base is 0; the revision in force is 1",
            "slots is 0",
        )

    def test_form_is_checked_without_a_configuration(self):
        note = make_note(changed={"services": {"absent": {"timeout": 0}}})
        faults = note_checks.check_form(note)
        self.assertEqual(1, len(faults))
        self.assertIn("timeout is 0; allowed", faults[0])


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["services", "backends", "teams", "booking", "executor-1"]
            )
            | strategies.sampled_from(["timeout", "slots", "host", "share"])
            | strategies.text(max_size=3),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)
VERBS = strategies.fixed_dictionaries(
    {"base": strategies.just(1) | JSON},
    optional=dict.fromkeys(
        ("added", "changed", "withdrawn", "id", "kind", "x"), JSON
    ),
)


class FuzzTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    @hypothesis.given(note=VERBS | JSON)
    def test_any_record_is_folded_without_an_exception(self, note):
        cfg = make_cfg()
        applied = release_notes.apply_note(cfg, note, 5)
        again = release_notes.apply_note(cfg, note, 5)
        self.assertEqual(applied, again)
        note_checks.check_form(note)
        json.dumps(applied.errors)
        self.assertEqual(not applied.errors, applied.cfg.revision == 2)
        release_notes.fingerprint(applied.cfg)

    def test_deep_and_huge_values_are_refused(self):
        deep = []
        for _ in range(5000):
            deep = [deep]
        for value in (deep, 10**5000, "x" * 10**6, float("nan")):
            note = make_note(changed={"teams": {"box-office": value}})
            refused = release_notes.apply_note(make_cfg(), note, 1).errors
            self.assertLess(len("".join(refused)), 300)
