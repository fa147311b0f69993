"""Choice of a planner by what planners report of their capacity."""

import collections
import unittest

from cardamompath_core import batch_order
from cardamompath_core import room_reports

NEED = room_reports.Need("desk", 0, 16000, 2)
NOW = 100.0


def make_heard(free, soon=None, age=0.0, queued=()):
    soon = free if soon is None else soon
    size = room_reports.SizeRoom("desk", 16000, free, soon)
    return room_reports.HeardReport(
        room_reports.Report(7.0, (size,), queued), NOW - age
    )


def assess(name, heard, tasks=2, is_local=False, sent=None, run_time=0.2):
    urgency = batch_order.Urgency(
        0, NOW, 1.6 * run_time + 0.06, run_time, NOW + 5.0, False
    )
    return room_reports.assess(
        room_reports.Candidate(name, is_local, 0.0),
        heard,
        NEED._replace(tasks=tasks),
        urgency,
        sent or room_reports.Sent(),
        0.0 if is_local else 0.04,
        NOW,
    )


class ChoiceTest(unittest.TestCase):
    def choose(self, *candidates, batch="b"):
        return room_reports.choose(candidates, batch, 0.02)

    def test_own_domain_comes_first_while_it_has_capacity(self):
        local = assess("a", make_heard(2), is_local=True)
        remote = assess("b", make_heard(50))
        choice = self.choose(remote, local)
        self.assertEqual(choice, (local, room_reports.OWN_DOMAIN))
        full = assess("a", make_heard(1), is_local=True)
        self.assertEqual(self.choose(remote, full).candidate, remote)

    def test_what_was_sent_since_the_report_is_deducted(self):
        # A gateway would send all that arrives within a report interval.
        sent = room_reports.Sent(booked=3 * 16000)
        local = assess("a", make_heard(4), is_local=True, sent=sent)
        self.assertEqual(local.room, 1.0)
        remote = assess("b", make_heard(4))
        self.assertEqual(self.choose(local, remote).candidate, remote)

    def test_what_others_send_is_deducted_with_the_age_of_the_report(self):
        sent = room_reports.Sent(peer_rate=10 * 16000)
        for age, room in ((0.0, 4.0), (0.3, 1.0)):
            candidate = assess("b", make_heard(4, age=age), sent=sent)
            self.assertAlmostEqual(candidate.room, room)

    def test_ten_gateways_do_not_fill_one_planner(self):
        # Each of them took the planner with the largest capacity: 80 tasks.
        rooms = {"p": 40, "q": 20, "r": 20}
        sent = collections.Counter()
        for gateway in range(10):
            booked = collections.Counter()
            for number in range(4):
                candidates = [
                    assess(
                        name,
                        make_heard(room),
                        sent=room_reports.Sent(booked[name] * 16000),
                    )
                    for name, room in rooms.items()
                ]
                batch = f"{gateway}-{number}"
                chosen = self.choose(*candidates, batch=batch).candidate.name
                booked[chosen] += 2
            sent += booked
        for name, room in rooms.items():
            self.assertLess(abs(sent[name] - room), 0.3 * room, sent)

    def test_without_capacity_the_shortest_wait_of_its_priority_counts(self):
        long_ones = (room_reports.QueuedWork(2, 3.0),)
        short_ones = (room_reports.QueuedWork(0, 0.5),)
        busy = assess("b", make_heard(0, queued=short_ones))
        other = assess("c", make_heard(0, queued=long_ones))
        choice = self.choose(busy, other)
        self.assertEqual(choice, (other, room_reports.SHORTEST_WAIT))

    def test_batch_that_cannot_wait_needs_capacity_now(self):
        # A short batch may start 0.09 s late, a long one 0.5 s.
        heard = make_heard(0, 8)
        self.assertEqual(assess("b", heard, run_time=0.05).room, 0.0)
        self.assertEqual(assess("b", heard, run_time=0.8).room, 8.0)

    def test_tasks_that_run_one_after_another_need_less_capacity(self):
        self.assertEqual(room_reports.needed_room(32, 0.05, 0.11), 16)
        self.assertEqual(room_reports.needed_room(32, 0.2, 0.3), 32)
        self.assertEqual(room_reports.needed_room(32, 0.2, -1.0), 32)

    def test_size_without_an_entry_counts_as_no_capacity(self):
        report = make_heard(4).report
        find = room_reports.find_room
        self.assertEqual(find(report, "desk", 9000), report.sizes[0])
        self.assertIsNone(find(report, "desk", 17000))
        self.assertIsNone(find(report, "shop", 9000))

    def test_batch_of_a_size_that_is_not_reported_stays_in_its_domain(self):
        # A batch that had completed ran again at a planner elsewhere.
        report = make_heard(9).report
        unknown = room_reports.HeardReport(report._replace(sizes=()), NOW)
        local = assess("a", unknown, is_local=True)
        remote = assess("b", make_heard(9))
        self.assertEqual(self.choose(remote, local).candidate, local)
        queued = (room_reports.QueuedWork(0, 0.3),)
        busy = unknown._replace(report=unknown.report._replace(queued=queued))
        local = assess("a", busy, is_local=True)
        self.assertEqual(self.choose(remote, local).candidate, remote)


class ReportTest(unittest.TestCase):
    def test_message_that_was_late_makes_its_report_no_newer(self):
        # The link was late by 2 s from the second message on.
        offset = room_reports.estimate_offset(None, 10.0, 40.0)
        offset = room_reports.estimate_offset(offset, 11.0, 43.0)
        self.assertAlmostEqual(offset[0], 30.0, places=2)

    def test_clocks_that_diverge_are_followed(self):
        offset = None
        for second in range(0, 40_000, 100):
            offset = room_reports.estimate_offset(
                offset, second * 0.9995, 30.0 + second
            )
        self.assertAlmostEqual(offset[0], 30.0 + 39_900 * 0.0005)

    def test_sizes_that_were_only_heard_of_are_not_passed_on(self):
        # Two planners would keep each other's sizes for ever.
        sizes = room_reports.RecentSizes()
        heard = make_heard(1).report._replace(asked=1)
        sizes.add_elsewhere(heard, 10.0)
        sizes.add("desk", 3500, 64, 0, 10.0)
        recent, asked = sizes.find_recent(11.0)
        self.assertEqual(recent[0], ("desk", 4000, 64, 0))
        self.assertEqual((len(recent), asked), (2, 1))
        sizes.add_elsewhere(heard._replace(asked=0), 14.0)
        self.assertEqual(sizes.find_recent(15.5), ([], 0))

    def test_report_is_bounded(self):
        sizes = make_heard(1).report.sizes * 20
        queued = tuple(room_reports.QueuedWork(n, 0.1) for n in range(9))
        report = room_reports.Report(1.0, sizes, queued, 20)
        trimmed = room_reports.trim(report)
        entries = len(trimmed.sizes) + len(trimmed.queued)
        self.assertEqual(entries, room_reports.MAX_ENTRIES)
        self.assertEqual(trimmed.asked, len(trimmed.sizes))
        self.assertAlmostEqual(trimmed.queued[-1].seconds, 0.6)


if __name__ == "__main__":
    unittest.main()
