"""Each failure alone and in pairs; starts recorded against answers."""

import itertools
import unittest

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.tests import fakes

OUTAGE = 16.0
"""Longer than a lease and its margin, in seconds."""


def log_mode(mode, delay=0.0):
    def begin(world):
        world.log_mode, world.log_delay = mode, delay

    def end(world):
        world.log_mode, world.log_delay = "up", 0.0

    return begin, end


def owner_state(key, index=0):
    def begin(world):
        setattr(world.instances[index], key, True)

    def end(world):
        setattr(world.instances[index], key, False)

    return begin, end


def kill(world):
    world.instances[0].alive = False


def end_twice(world):
    world.duplicate_results = True


def nothing(world):
    return


FAULTS = {
    "log down": log_mode("down"),
    "log silent": log_mode("silent"),
    "log slow": log_mode("slow", 2.0),
    "answers lost": log_mode("lost"),
    "owner dies": (kill, nothing),
    "owner pauses": (
        lambda world: world.instances[0].pause(),
        lambda world: world.instances[0].resume(),
    ),
    "owner cut off": owner_state("partitioned"),
    "peer cut off": owner_state("partitioned", 1),
    "answers doubled": (end_twice, nothing),
}


class FaultsTest(unittest.TestCase):
    def run_faults(self, faults, start):
        world = fakes.Simulation()
        world.advance(2.0)
        jobs = [world.issue_job_id(world.instances[0]) for _ in range(3)]
        world.submit(world.instances[0], jobs[0])
        world.advance(start)
        for begin, _ in faults:
            begin(world)
        for node in world.instances:
            world.submit(node, jobs[0])
            world.submit(node, jobs[1])
        for _ in range(4):
            world.advance(OUTAGE / 4)
            for node in world.instances:
                world.submit(node, jobs[0])
        for _, end in faults:
            end(world)
        world.advance(60.0)
        self.check_settled(world, jobs)
        return world

    def check_settled(self, world, jobs):
        for job in jobs:
            for node in world.instances:
                got = world.submit(node, job)
                world.advance(10.0)
                if node.alive:
                    self.assertEqual(1, len(got), (job, node.name))
                    self.assertNotIsInstance(got[0], types.Pending)
        world.check_answers(self)

    def test_each_fault_alone_at_each_time(self):
        for name, fault in FAULTS.items():
            for start in (0.0, 0.5, 1.5, 3.5):
                with self.subTest(name, start=start):
                    self.run_faults([fault], start)

    def test_faults_in_pairs(self):
        for one, two in itertools.combinations(FAULTS, 2):
            with self.subTest(f"{one} and {two}"):
                self.run_faults([FAULTS[one], FAULTS[two]], 1.5)


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.world = fakes.Simulation()
        self.owner, self.two, self.three = self.world.instances
        self.world.advance(2.0)
        self.job = self.world.issue_job_id(self.owner)

    def states(self, answer):
        return [one.state for one in answer.results]

    def test_three_instances_at_once_start_once(self):
        got = [
            self.world.submit(node, self.job) for node in self.world.instances
        ]
        self.world.advance(5.0)
        self.assertIsInstance(got[0][0], types.Complete)
        self.assertEqual([got[0]] * 3, got)
        self.assertEqual(6, sum(self.world.starts.values()))

    def test_failed_job_ends_with_its_tasks_in_flight(self):
        self.world.failing_tasks = {0}
        spec = fakes.make_spec(20)
        got = self.world.submit(self.owner, self.job, spec)
        self.world.advance(5.0)
        states = self.states(got[0])
        self.assertEqual("task_failed", got[0].code)
        self.assertNotIn("unknown", states)
        self.assertEqual(1, states.count("failed"))
        self.world.check_answers(self)

    def test_settlement_is_the_same_at_every_peer(self):
        self.world.submit(self.owner, self.job)
        self.world.advance(1.75)
        self.owner.alive = False
        early = self.world.submit(self.two, self.job)
        self.assertIsInstance(early[0], types.Pending)
        self.world.advance(20.0)
        two = self.world.submit(self.two, self.job)
        three = self.world.submit(self.three, self.job)
        self.assertEqual(two, three)
        self.assertEqual("owner_died", two[0].code)
        self.assertEqual(4, self.states(two[0]).count("finished"))
        self.assertEqual(2, self.states(two[0]).count("unknown"))

    def test_job_ended_before_any_start_is_settled_as_not_run(self):
        spec = fakes.make_spec()
        spec = spec._replace(timeout=1.5)
        blocker = self.world.issue_job_id(self.owner)
        self.world.submit(self.owner, blocker, fakes.make_spec(8))
        self.world.submit(self.owner, self.job, spec)
        self.world.advance(3.0)
        self.owner.alive = False
        self.world.advance(20.0)
        answer = self.world.submit(self.two, self.job)[0]
        self.assertIsInstance(answer, types.Refused)
        self.world.check_answers(self)

    def test_refusal_outlives_its_owner(self):
        cancelled = self.world.issue_job_id(self.owner)
        self.world.ask(self.owner, messages.CancelJob(cancelled, None))
        self.world.ask(self.owner, messages.Drain(None))
        self.world.submit(self.owner, self.job)
        self.world.advance(2.0)
        self.owner.alive = False
        self.world.advance(20.0)
        for job in (self.job, cancelled):
            answer = self.world.submit(self.two, job)[0]
            self.assertIsInstance(answer, types.Refused)

    def test_pause_beyond_the_lease_is_noticed_before_a_start(self):
        self.world.submit(self.owner, self.job)
        self.owner.pause()
        before = sum(self.world.starts.values())
        self.world.advance(30.0)
        got = self.world.submit(self.owner, self.job)
        self.owner.resume()
        self.world.advance(5.0)
        self.assertEqual(before, sum(self.world.starts.values()))
        self.assertEqual("lease_lapsed", got[0].code)
        fresh = self.world.issue_job_id(self.owner)
        done = self.world.submit(self.owner, fresh)
        self.world.advance(5.0)
        self.assertIsInstance(done[0], types.Complete)

    def test_identifier_of_a_lapsed_lease_is_refused_for_good(self):
        self.owner.partitioned = True
        self.world.advance(12.0)
        self.owner.partitioned = False
        self.world.advance(5.0)
        for _ in range(2):
            answer = self.world.submit(self.owner, self.job)[0]
            self.assertEqual("lease_lapsed", answer.code)
        self.assertEqual(0, sum(self.world.starts.values()))

    def test_long_outage_of_the_log_stops_no_new_job(self):
        for mode in ("down", "silent"):
            self.world.log_mode = mode
            for _ in range(12):
                self.world.advance(5.0)
                job = self.world.issue_job_id(self.owner)
                got = self.world.submit(self.owner, job)
                self.world.advance(4.0)
                self.assertIsInstance(got[0], types.Complete, mode)
            long = fakes.make_spec(80)
            got = self.world.submit(
                self.owner, self.world.issue_job_id(self.owner), long
            )
            self.world.advance(25.0)
            self.assertIsInstance(got[0], types.Complete, mode)
            self.world.log_mode = "up"
            self.world.advance(20.0)
        dead = [one for one in self.world.records if one["kind"] == "death"]
        self.assertEqual([], dead)

    def test_job_kept_from_ending_by_an_outage_ends_at_the_lapse(self):
        self.world.submit(self.owner, self.job, fakes.make_spec(200))
        self.world.log_mode = "down"
        self.world.advance(12.0)
        answer = self.world.submit(self.owner, self.job, fakes.make_spec(200))[
            0
        ]
        self.assertEqual("lease_lapsed", answer.code)
        self.world.check_answers(self)

    def test_death_read_by_its_owner_stops_it(self):
        self.world.submit(self.owner, self.job)
        owner = self.job.rpartition(".")[0]
        seen = len(self.world.records)
        self.world.records.append(journal_fold.make_death(owner, seen, "x"))
        self.world.advance(10.0)
        self.assertEqual(4, sum(self.world.starts.values()))
        answer = self.world.submit(self.owner, self.job)[0]
        self.assertEqual("lease_lapsed", answer.code)
        fresh = self.world.issue_job_id(self.owner)
        self.assertNotEqual(owner, fresh.rpartition(".")[0])
        self.world.check_answers(self)

    def test_forgotten_job_does_not_run_again(self):
        self.world.submit(self.owner, self.job)
        unused = self.world.issue_job_id(self.owner)
        self.world.advance(400.0)
        for job in (self.job, unused):
            answer = self.world.submit(self.two, job)[0]
            self.assertEqual("forgotten", answer.code)
        self.assertEqual(6, sum(self.world.starts.values()))
        self.world.check_answers(self)

    def test_complete_job_is_settled_as_finished(self):
        self.world.submit(self.owner, self.job)
        self.world.advance(5.0)
        self.owner.alive = False
        self.world.advance(20.0)
        answer = self.world.submit(self.three, self.job)[0]
        self.assertIsInstance(answer, types.Failed)
        self.assertEqual(["finished"] * 6, self.states(answer))

    def test_replaced_incarnation_keeps_its_answers(self):
        first = self.world.submit(self.owner, self.job)
        self.world.advance(3.0)
        self.world.log_mode = "down"
        self.world.advance(20.0)
        self.world.log_mode = "up"
        self.world.advance(60.0)
        again = self.world.submit(self.two, self.job)
        self.assertIsInstance(again[0], types.Complete)
        self.assertEqual(first, again)

    def test_late_renewal_moves_further_jobs_before_the_lapse(self):
        self.owner.partitioned = True
        self.world.advance(5.0)
        job = self.world.issue_job_id(self.owner)
        got = self.world.submit(self.owner, job, fakes.make_spec(40))
        self.world.advance(12.0)
        self.assertIsInstance(got[0], types.Complete)

    def test_peer_that_was_paused_declares_nobody_dead(self):
        self.two.pause()
        self.world.advance(30.0)
        self.two.resume()
        self.world.advance(10.0)
        dead = [
            one["owner"].split(".")[1]
            for one in self.world.records
            if one["kind"] == "death"
        ]
        self.assertEqual({"entry-1"}, set(dead))

    def test_progress_that_the_log_refused_is_sent_again(self):
        self.world.submit(self.owner, self.job)
        self.world.log_mode = "down"
        self.world.advance(3.0)
        self.world.log_mode = "up"
        self.world.advance(2.0)
        self.owner.alive = False
        self.world.advance(20.0)
        answer = self.world.submit(self.two, self.job)[0]
        self.assertEqual(["finished"] * 6, self.states(answer))

    def test_tasks_that_end_in_a_pause_complete_no_job(self):
        self.world.submit(self.owner, self.job, fakes.make_spec(4))
        self.world.advance(0.75)
        self.owner.pause()
        self.world.advance(30.0)
        self.owner.resume()
        answer = self.world.submit(self.owner, self.job, fakes.make_spec(4))[0]
        self.assertEqual("lease_lapsed", answer.code)
        self.assertEqual(["finished"] * 4, self.states(answer))

    def test_owner_that_was_never_announced_is_given_up_in_the_end(self):
        self.world.log_mode = "down"
        self.world.advance(10.0)
        job = self.world.issue_job_id(self.owner)
        self.world.submit(self.owner, job)
        self.owner.alive = False
        self.world.log_mode = "up"
        for expected in (types.Pending, types.Pending, types.Failed):
            answer = self.world.submit(self.two, job)[0]
            self.assertIsInstance(answer, expected)
            self.world.advance(601.0)

    def test_single_request_needs_no_lease(self):
        self.owner.partitioned = True
        single = fakes.make_spec(1)._replace(single=True)
        self.world.advance(9.5)
        got = self.world.submit(self.owner, "", single)
        self.world.advance(2.0)
        self.assertIsInstance(got[0], types.Complete)


class NamedTest(unittest.TestCase):
    def setUp(self):
        self.world = fakes.Simulation()
        self.world.advance(2.0)

    def submit_everywhere(self):
        return [
            self.world.submit_named(node, "evening")
            for node in self.world.instances
        ]

    def test_three_instances_at_once_start_once(self):
        got = self.submit_everywhere()
        self.world.advance(5.0)
        self.assertIsInstance(got[0][0], types.Complete)
        self.assertEqual([got[0]] * 3, got)
        self.assertEqual(6, sum(self.world.starts.values()))

    def test_each_state_of_the_log(self):
        for mode in ("down", "silent", "lost", "slow"):
            with self.subTest(mode):
                self.setUp()
                self.world.log_mode = mode
                got = self.submit_everywhere()
                self.world.advance(5.0)
                if mode == "silent":
                    node = self.world.instances[0]
                    late = self.world.submit_named(node, "night")
                    self.assertEqual("log_unavailable", late[0].code)
                started = sum(self.world.starts.values())
                self.assertEqual(6 if mode in ("lost", "slow") else 0, started)
                self.world.log_mode = "up"
                self.world.advance(20.0)
                again = self.submit_everywhere()
                self.world.advance(10.0)
                for one in again:
                    self.assertIsInstance(one[0], types.Complete)
                self.assertEqual(6, sum(self.world.starts.values()))
                if mode == "down":
                    self.assertEqual("log_unavailable", got[0][0].code)

    def test_leaving_instance_takes_no_name_but_knows_the_taken(self):
        self.world.submit_named(self.world.instances[1], "evening")
        self.world.advance(5.0)
        leaving = self.world.instances[0]
        self.world.ask(leaving, messages.Drain(None))
        got = [
            self.world.submit_named(leaving, name)[0]
            for name in ("evening", "night")
        ]
        self.assertIsInstance(got[0], types.Complete)
        self.assertEqual("draining", got[1].code)

    def test_another_body_is_a_conflict(self):
        self.submit_everywhere()
        other = fakes.make_spec(digest="two")
        got = [
            self.world.submit_named(node, "evening", other)
            for node in self.world.instances
        ]
        self.world.advance(5.0)
        self.assertEqual(["conflict"] * 3, [one[0].code for one in got])


class JournalTest(unittest.TestCase):
    def test_lost_answer_is_read_back_and_not_appended_again(self):
        world = fakes.Simulation(1)
        world.log_mode = "lost"
        for _ in range(10):
            job = world.issue_job_id(world.instances[0])
            world.submit(world.instances[0], job, fakes.make_spec(1))
            world.advance(3.0)
        self.assertTrue(job.endswith("n00000000.10"))
        ended = [
            job
            for record in world.records
            for job, (_, over) in record.get("jobs", {}).items()
            if over
        ]
        self.assertEqual(10, len(ended))
        self.assertEqual(10, len(set(ended)))

    def make_journal(self):
        owner = identity.Incarnation("pocitos", "entry-1", "0123456789ab")
        self.owner = identity.format_incarnation(owner)
        return controllers.journal.make_controller(owner, lambda: "b" * 12)

    def commit(self, journal, now):
        commit = messages.TimerFired(controllers.journal.COMMIT_TIMER)
        journal.receive(commit, now)
        collected = messages.ProgressCollected({})
        return [one.msg for one in journal.receive(collected, now)]

    def read(self, journal, now, *records):
        first = self.offset
        self.offset += len(records)
        pairs = tuple(enumerate(records, first))
        read = messages.RecordsRead("journal", pairs, 0, self.offset)
        return [one.msg for one in journal.receive(read, now)]

    def test_lease_runs_from_before_the_renewal_was_sent(self):
        self.offset = 0
        journal = self.make_journal()
        self.assertEqual([], self.commit(journal, 0.0))
        self.read(journal, 0.0)
        begun = messages.LeaseChanged(self.owner, 9.0)
        *told, append = self.commit(journal, 0.0)
        self.assertEqual([begun, begun], told)
        self.assertEqual([begun] * 2, self.read(journal, 5.0, *append.records))
        journal.receive(messages.AppendEnded("done"), 5.0)
        *_, append = self.commit(journal, 5.5)
        extended = messages.LeaseChanged(self.owner, 14.5)
        self.assertIn(extended, self.read(journal, 8.0, *append.records))

    def test_announcement_that_turns_up_late_ends_its_incarnation(self):
        self.offset = 0
        journal = self.make_journal()
        self.read(journal, 0.0)
        *_, append = self.commit(journal, 0.0)
        journal.receive(messages.AppendEnded("refused"), 1.0)
        self.commit(journal, 12.0)
        self.read(journal, 12.1, *append.records)
        commit = messages.TimerFired(controllers.journal.COMMIT_TIMER)
        told = [one.msg for one in journal.receive(commit, 12.5)]
        self.assertIn(messages.LeaseChanged(self.owner, leases.NEVER), told)
        changed = messages.OwnerChanged("pocitos.entry-1.bbbbbbbbbbbb")
        self.assertIn(changed, told)

    def test_gap_in_the_log_ends_the_leases_and_claims(self):
        self.offset = 0
        journal = self.make_journal()
        self.read(journal, 0.0)
        *_, append = self.commit(journal, 0.0)
        self.read(journal, 1.0, *append.records)
        journal.receive(messages.Claim("evening", "j", "d"), 1.0)
        self.offset += 1
        told = self.read(journal, 2.0, {"kind": "renew", "owner": "x"})
        self.assertIn(messages.LeaseChanged(self.owner, leases.NEVER), told)
        self.assertIn(messages.ClaimDecided("evening", ""), told)

    def test_terms_of_a_lease(self):
        terms = leases.LeaseTimes(9.0, 3.0)
        self.assertFalse(leases.may_declare_dead(0.0, terms, 12.0))
        self.assertTrue(leases.may_declare_dead(0.0, terms, 12.1))
        self.assertFalse(leases.may_start(9.0, 9.0))
        self.assertTrue(leases.may_start(9.0, 8.9))

    def test_records_of_the_dead_change_no_settlement(self):
        ledger = journal_fold.Ledger()
        running = {"o.1": journal_fold.Progress("n1")}
        ended = {"o.1": journal_fold.Progress("n1", True)}
        records = [
            journal_fold.make_announcement("o", "1"),
            journal_fold.make_progress("o", running, "2"),
            journal_fold.make_death("o", 1, "3"),
            journal_fold.make_progress("o", ended, "4"),
        ]
        for offset, record in enumerate(records):
            journal_fold.apply_record(ledger, offset, record)
        answer = journal_fold.settle(ledger, "o", "o.1", 1)
        self.assertIsInstance(answer, types.Failed)

    def test_death_loses_against_a_renewal_it_has_not_seen(self):
        ledger = journal_fold.Ledger()
        owner = "pocitos.entry-1.0123456789ab"
        records = [
            journal_fold.make_announcement(owner, "1"),
            journal_fold.make_renewal(owner, "2"),
            journal_fold.make_death(owner, 0, "3"),
        ]
        for offset, record in enumerate(records):
            self.assertTrue(journal_fold.apply_record(ledger, offset, record))
        self.assertFalse(ledger.incarnations[owner].dead)
        journal_fold.apply_record(
            ledger, 3, journal_fold.make_death(owner, 1, "4")
        )
        journal_fold.apply_record(
            ledger, 4, journal_fold.make_renewal(owner, "5")
        )
        self.assertTrue(ledger.incarnations[owner].dead)

    def test_malformed_records_are_skipped(self):
        ledger = journal_fold.Ledger()
        records = [
            None,
            {},
            {"kind": []},
            {"kind": "renew", "owner": 1},
            {"kind": "death", "owner": "x"},
            {"kind": "progress", "owner": "x", "jobs": 3},
        ]
        for offset, record in enumerate(records):
            journal_fold.apply_record(ledger, offset, record)
        self.assertEqual((5, {}), (ledger.offset, ledger.incarnations))

    def test_memory_of_the_ledger_is_bounded(self):
        ledger = journal_fold.Ledger(limit=1000)
        journal_fold.apply_record(
            ledger, 0, journal_fold.make_announcement("o", "1")
        )
        for offset in range(1, 200):
            jobs = {f"o.{offset}": journal_fold.Progress("f1u2", True)}
            record = journal_fold.make_progress("o", jobs, str(offset))
            journal_fold.apply_record(ledger, offset, record)
        self.assertLessEqual(ledger.size, 1000)
        self.assertIn("o.199", ledger.incarnations["o"].jobs)
        journal_fold.prune(ledger, 200)
        self.assertEqual((0, {}), (ledger.size, ledger.incarnations["o"].jobs))

    def test_commits_stay_within_the_budget_shared(self):
        world = fakes.Simulation(8)
        world.advance(10.0)
        appended = []
        for node in world.instances:
            tell = node.EXTERNAL_TASKS[messages.APPENDER]
            node.EXTERNAL_TASKS = node.EXTERNAL_TASKS | {
                messages.APPENDER: lambda one, msg, tell=tell: (
                    appended.append(msg),
                    tell(one, msg),
                )
            }
        for _ in range(40):
            for node in world.instances:
                world.submit(
                    node, world.issue_job_id(node), fakes.make_spec(1)
                )
            world.advance(0.25)
        self.assertLessEqual(len(appended), 8 * 10.0 / 0.5)
        self.assertGreater(len(appended), 8 * 10.0 / 0.5 / 2)
