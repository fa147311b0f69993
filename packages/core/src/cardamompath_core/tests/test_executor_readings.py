"""When a reading of the executors is recent enough, and whom to ask."""

import unittest

from cardamompath_core import executor_readings
from cardamompath_core import planner_election

ENTRY = executor_readings.Entry("x-1", b"{}")


def make_member(name, domain):
    return planner_election.Member(name, domain, (name, 1), 7)


class ExecutorReadingsTest(unittest.TestCase):
    def setUp(self):
        self.known = executor_readings.Knowledge()
        self.members = [make_member(f"n-{x}", x[0]) for x in ("a", "b", "c")]
        self.set_state(executor_readings.READABLE, *self.members)
        executor_readings.note_own_reading(
            self.known, 10.0, 5, executor_readings.READABLE
        )

    def set_state(self, state, *members):
        for member in members:
            self.known.peer_states[member.name, member.started] = state

    def choose(self, members):
        chosen = executor_readings.choose_peers(self.known, members, "a")
        return [member.name for member in chosen]

    def ask(self, now):
        return executor_readings.make_question(self.known, self.members, now)

    def answer(self, question, now, **changes):
        """Answer a question with what was written since its offset."""
        answer = executor_readings.Answer(
            question.number, "n-a", True, 5, 6, 0, 1, (ENTRY,)
        )
        return executor_readings.add_answer(
            self.known, answer._replace(**changes), now
        )

    def awaits(self, now):
        return executor_readings.awaits_peers(self.known, self.members, now)

    def test_others_are_asked_once_the_own_reading_is_too_old(self):
        for began_at, now, due in (
            (0.0, 10.7, False),
            (0.0, 10.9, True),
            (10.5, 10.53, False),
            (10.5, 10.65, True),
            (9.9, 10.1, False),
        ):
            with self.subTest(began_at=began_at, now=now):
                found = executor_readings.is_due(self.known, began_at, now)
                self.assertEqual(found, due)

    def test_asked_are_of_several_domains_and_can_read(self):
        # Instances of one domain may all be rejected; one of an earlier
        # version would close the link.
        more = [make_member(f"n-a{i}", "a") for i in range(3)]
        old = make_member("n-d", "d")
        self.set_state(executor_readings.READABLE, *more)
        everyone = [*more, old, *self.members]
        self.assertEqual(set(self.choose(everyone)), {"n-a", "n-b", "n-c"})
        self.set_state(executor_readings.FAILING, *self.members[1:])
        self.assertEqual(self.choose(everyone), ["n-a", "n-a0", "n-a1"])
        question = self.ask(11.0)
        self.assertEqual(self.choose(everyone)[:2], ["n-a0", "n-a1"])
        # It need not send the whole list again.
        self.answer(question, 11.1)
        self.assertEqual(self.choose(everyone)[0], "n-a")
        self.assertEqual(self.choose([old]), [])

    def test_faulty_answers_are_rejected(self):
        big = executor_readings.Entry("x", b"1" * (1 << 17))
        half = executor_readings.Entry("x", b"1" * (1 << 15))
        for changes in (
            {"number": 9},
            {"member": "n-z"},
            {"since": 3},
            {"since": -1, "offset": -1},
            {"offset": 4},
            {"offset": 1 << 63},
            {"part": 1},
            {"parts": 0},
            {"part": -1},
            {"parts": 33},
            {"entries": (big,)},
            {"entries": (half, half), "offset": 7},
        ):
            question = self.ask(11.0)
            with self.subTest(changes=changes), self.assertRaises(ValueError):
                self.answer(question, 11.1, **changes)
            self.assertEqual(self.known.readable_at, float("-inf"))

    def test_old_and_replayed_answers_are_rejected(self):
        question = self.ask(11.0)
        reading = executor_readings.Reading(5, 6, (ENTRY,))
        self.assertEqual(self.answer(question, 11.1), (reading, 11.0))
        with self.assertRaises(ValueError):
            self.answer(question, 11.2)
        with self.assertRaises(ValueError):
            self.answer(question, 12.6, member="n-b")

    def test_reading_that_is_behind_the_list_changes_nothing(self):
        question = self.ask(11.0)
        behind = {"since": -1, "offset": 4}
        self.assertIsNone(self.answer(question, 11.1, **behind))
        self.assertEqual(self.known.readable_at, float("-inf"))

    def test_large_answer_is_split_and_joined(self):
        entries = tuple(
            executor_readings.Entry(f"x-{i}", b"1" * 300) for i in range(600)
        )
        reading = executor_readings.Reading(-1, 700, entries)
        question = self.ask(11.0)
        answers = executor_readings.make_answers(1, "n-a", reading)
        self.assertGreater(len(answers), 1)
        results = [
            executor_readings.add_answer(self.known, answer, 11.1)
            for answer in reversed(answers)
        ]
        self.assertEqual(results[-1], (reading, question.asked_at))
        self.assertEqual(set(results[:-1]), {None})
        huge = executor_readings.Reading(-1, 700, entries * 10)
        with self.assertRaises(ValueError):
            executor_readings.make_answers(1, "n-a", huge)

    def test_only_entries_that_mean_something_else_have_changed(self):
        # 600 executors that write their entries every 1.5 s would cost a
        # planner that the store rejects 300 KB a second.
        entry = executor_readings.Entry
        changes = executor_readings.Changes()

        def describe(_, value):
            return value[:1]

        def since(offset):
            return executor_readings.changes_since(changes, offset)

        first = [entry("x-1", b"a1"), entry("x-2", b"a1")]
        executor_readings.restart_changes(changes, first, 7, describe)
        self.assertEqual(since(7), (7, 7, ()))
        self.assertEqual(since(6), (-1, 7, tuple(first)))
        self.assertEqual(since(8), (-1, 7, tuple(first)))
        later = [entry("x-1", b"a2"), entry("x-2", b"b1"), entry("x-2", b"a9")]
        executor_readings.note_changes(changes, later, describe)
        self.assertEqual(since(7), (7, 10, (later[2],)))
        gone = [entry("x-1", b"")]
        executor_readings.note_changes(changes, gone, describe)
        self.assertEqual(since(10), (10, 11, tuple(gone)))
        self.assertEqual(since(-1), (-1, 11, (later[2],)))

    def test_higher_offset_wins(self):
        for known_offset, since, offset, applies in (
            (5, 5, 5, True),
            (6, 5, 7, True),
            (6, 5, 5, False),
            (4, 5, 7, False),
            (6, -1, 6, True),
            (6, -1, 5, False),
            (-1, -1, 0, True),
        ):
            reading = executor_readings.Reading(since, offset, ())
            with self.subTest(known_offset=known_offset, reading=reading):
                self.assertEqual(
                    executor_readings.applies(known_offset, reading), applies
                )

    def test_store_that_nobody_can_read_stops_no_starts(self):
        self.assertFalse(self.awaits(11.0))
        question = self.ask(11.0)
        self.assertTrue(self.awaits(11.1))
        self.answer(question, 11.2, is_readable=False)
        self.assertFalse(self.awaits(11.3))
        self.assertTrue(self.answer(question, 11.4, member="n-b"))
        self.assertTrue(self.awaits(11.5))

    def test_silent_peers_stop_no_starts_for_longer_than_the_bound(self):
        self.ask(11.0)
        self.assertTrue(self.awaits(11.0 + executor_readings.MAX_AGE))
        self.assertFalse(self.awaits(11.1 + executor_readings.MAX_AGE))
        self.known.asking_since = 20.0
        self.set_state(executor_readings.FAILING, *self.members)
        self.assertFalse(self.awaits(20.1))

    def test_no_start_by_a_reading_that_is_too_old(self):
        def is_too_old(now):
            return executor_readings.is_too_old(
                self.known, self.members, 0.0, now
            )

        # A planner that was paused has not asked yet.
        self.assertTrue(is_too_old(11.6))
        self.ask(10.9)
        for now, too_old in ((11.4, False), (11.6, True), (12.5, False)):
            with self.subTest(now=now):
                self.assertEqual(is_too_old(now), too_old)
