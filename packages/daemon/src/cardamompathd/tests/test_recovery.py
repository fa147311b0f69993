"""Recovery from failures of the log, of the network and of instances.

Guards against a task that starts twice and against an answer that
contradicts what started: each failure, alone and in pairs, hits a job
whose submission is repeated at every instance, and the answers are then
compared with the recorded starts.
"""

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


def set_log_mode(mode, delay=0.0):
    def begin(simulation):
        simulation.log_mode, simulation.log_delay = mode, delay

    def end(simulation):
        simulation.log_mode, simulation.log_delay = "up", 0.0

    return begin, end


def set_flag(attribute, index=0):
    def begin(simulation):
        setattr(simulation.instances[index], attribute, True)

    def end(simulation):
        setattr(simulation.instances[index], attribute, False)

    return begin, end


def kill_owner(simulation):
    simulation.instances[0].alive = False


def duplicate_results(simulation):
    simulation.duplicate_results = True


def do_nothing(simulation):
    return


FAULTS = {
    "log down": set_log_mode("down"),
    "log silent": set_log_mode("silent"),
    "log slow": set_log_mode("slow", 2.0),
    "answers lost": set_log_mode("lost"),
    "owner dies": (kill_owner, do_nothing),
    "owner pauses": (
        lambda simulation: simulation.instances[0].pause(),
        lambda simulation: simulation.instances[0].resume(),
    ),
    "owner cut off": set_flag("partitioned"),
    "peer cut off": set_flag("partitioned", 1),
    "results duplicated": (duplicate_results, do_nothing),
}


class FaultsTest(unittest.TestCase):
    def run_faults(self, faults, start):
        simulation = fakes.Simulation()
        simulation.advance(2.0)
        job_ids = [
            simulation.issue_job_id(simulation.instances[0]) for _ in range(3)
        ]
        simulation.submit(simulation.instances[0], job_ids[0])
        simulation.advance(start)
        for begin, _ in faults:
            begin(simulation)
        for instance in simulation.instances:
            simulation.submit(instance, job_ids[0])
            simulation.submit(instance, job_ids[1])
        for _ in range(4):
            simulation.advance(OUTAGE / 4)
            for instance in simulation.instances:
                simulation.submit(instance, job_ids[0])
        for _, end in faults:
            end(simulation)
        simulation.advance(60.0)
        self.check_settled(simulation, job_ids)
        return simulation

    def check_settled(self, simulation, job_ids):
        for job_id in job_ids:
            for instance in simulation.instances:
                answers = simulation.submit(instance, job_id)
                simulation.advance(10.0)
                if instance.alive:
                    self.assertEqual(1, len(answers), (job_id, instance.name))
                    self.assertNotIsInstance(answers[0], types.Pending)
        simulation.check_answers(self)

    def test_each_fault_at_different_times(self):
        for name, fault in FAULTS.items():
            for start in (0.0, 0.5, 1.5, 3.5):
                with self.subTest(name, start=start):
                    self.run_faults([fault], start)

    def test_faults_in_pairs(self):
        for first, second in itertools.combinations(FAULTS, 2):
            with self.subTest(f"{first} and {second}"):
                self.run_faults([FAULTS[first], FAULTS[second]], 1.5)


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.simulation = fakes.Simulation()
        self.owner, self.peer, self.other_peer = self.simulation.instances
        self.simulation.advance(2.0)
        self.job_id = self.simulation.issue_job_id(self.owner)

    def states(self, answer):
        return [result.state for result in answer.results]

    def test_simultaneous_submissions_start_tasks_once(self):
        answers = [
            self.simulation.submit(instance, self.job_id)
            for instance in self.simulation.instances
        ]
        self.simulation.advance(5.0)
        self.assertIsInstance(answers[0][0], types.Complete)
        self.assertEqual([answers[0]] * 3, answers)
        self.assertEqual(6, sum(self.simulation.starts.values()))

    def test_failed_job_is_answered_after_its_tasks_in_flight(self):
        self.simulation.failing_tasks = {0}
        spec = fakes.make_spec(20)
        answers = self.simulation.submit(self.owner, self.job_id, spec)
        self.simulation.advance(5.0)
        states = self.states(answers[0])
        self.assertEqual("task_failed", answers[0].code)
        self.assertNotIn("unknown", states)
        self.assertEqual(1, states.count("failed"))
        self.simulation.check_answers(self)

    def test_settlement_is_the_same_at_every_peer(self):
        self.simulation.submit(self.owner, self.job_id)
        self.simulation.advance(1.75)
        self.owner.alive = False
        early = self.simulation.submit(self.peer, self.job_id)
        self.assertIsInstance(early[0], types.Pending)
        self.simulation.advance(20.0)
        answers = self.simulation.submit(self.peer, self.job_id)
        others = self.simulation.submit(self.other_peer, self.job_id)
        self.assertEqual(answers, others)
        self.assertEqual("owner_died", answers[0].code)
        self.assertEqual(4, self.states(answers[0]).count("finished"))
        self.assertEqual(2, self.states(answers[0]).count("unknown"))

    def test_job_that_ended_before_any_start_is_settled_as_refused(self):
        spec = fakes.make_spec()
        spec = spec._replace(timeout=1.5)
        blocker = self.simulation.issue_job_id(self.owner)
        self.simulation.submit(self.owner, blocker, fakes.make_spec(8))
        self.simulation.submit(self.owner, self.job_id, spec)
        self.simulation.advance(3.0)
        self.owner.alive = False
        self.simulation.advance(20.0)
        answer = self.simulation.submit(self.peer, self.job_id)[0]
        self.assertIsInstance(answer, types.Refused)
        self.simulation.check_answers(self)

    def test_refusal_survives_the_death_of_its_owner(self):
        cancelled = self.simulation.issue_job_id(self.owner)
        self.simulation.ask(self.owner, messages.CancelJob(cancelled, None))
        self.simulation.ask(self.owner, messages.Drain(None))
        self.simulation.submit(self.owner, self.job_id)
        self.simulation.advance(2.0)
        self.owner.alive = False
        self.simulation.advance(20.0)
        for job_id in (self.job_id, cancelled):
            answer = self.simulation.submit(self.peer, job_id)[0]
            self.assertIsInstance(answer, types.Refused)

    def test_owner_paused_beyond_its_lease_starts_no_task(self):
        self.simulation.submit(self.owner, self.job_id)
        self.owner.pause()
        starts_before = sum(self.simulation.starts.values())
        self.simulation.advance(30.0)
        answers = self.simulation.submit(self.owner, self.job_id)
        self.owner.resume()
        self.simulation.advance(5.0)
        self.assertEqual(starts_before, sum(self.simulation.starts.values()))
        self.assertEqual("lease_lapsed", answers[0].code)
        new_job_id = self.simulation.issue_job_id(self.owner)
        later_answers = self.simulation.submit(self.owner, new_job_id)
        self.simulation.advance(5.0)
        self.assertIsInstance(later_answers[0], types.Complete)

    def test_identifier_of_a_lapsed_lease_is_always_refused(self):
        self.owner.partitioned = True
        self.simulation.advance(12.0)
        self.owner.partitioned = False
        self.simulation.advance(5.0)
        for _ in range(2):
            answer = self.simulation.submit(self.owner, self.job_id)[0]
            self.assertEqual("lease_lapsed", answer.code)
        self.assertEqual(0, sum(self.simulation.starts.values()))

    def test_new_jobs_complete_during_a_long_outage_of_the_log(self):
        for mode in ("down", "silent"):
            self.simulation.log_mode = mode
            for _ in range(12):
                self.simulation.advance(5.0)
                job_id = self.simulation.issue_job_id(self.owner)
                answers = self.simulation.submit(self.owner, job_id)
                self.simulation.advance(4.0)
                self.assertIsInstance(answers[0], types.Complete, mode)
            long = fakes.make_spec(80)
            answers = self.simulation.submit(
                self.owner, self.simulation.issue_job_id(self.owner), long
            )
            self.simulation.advance(25.0)
            self.assertIsInstance(answers[0], types.Complete, mode)
            self.simulation.log_mode = "up"
            self.simulation.advance(20.0)
        deaths = [
            record
            for record in self.simulation.records
            if record["kind"] == "death"
        ]
        self.assertEqual([], deaths)

    def test_job_still_running_in_an_outage_fails_when_the_lease_lapses(self):
        self.simulation.submit(self.owner, self.job_id, fakes.make_spec(200))
        self.simulation.log_mode = "down"
        self.simulation.advance(12.0)
        answer = self.simulation.submit(
            self.owner, self.job_id, fakes.make_spec(200)
        )[0]
        self.assertEqual("lease_lapsed", answer.code)
        self.simulation.check_answers(self)

    def test_owner_that_reads_its_own_death_starts_no_task(self):
        self.simulation.submit(self.owner, self.job_id)
        owner = self.job_id.rpartition(".")[0]
        read_offset = len(self.simulation.records)
        self.simulation.records.append(
            journal_fold.make_death(owner, read_offset, "x")
        )
        self.simulation.advance(10.0)
        self.assertEqual(4, sum(self.simulation.starts.values()))
        answer = self.simulation.submit(self.owner, self.job_id)[0]
        self.assertEqual("lease_lapsed", answer.code)
        new_job_id = self.simulation.issue_job_id(self.owner)
        self.assertNotEqual(owner, new_job_id.rpartition(".")[0])
        self.simulation.check_answers(self)

    def test_forgotten_job_does_not_run_again(self):
        self.simulation.submit(self.owner, self.job_id)
        unused = self.simulation.issue_job_id(self.owner)
        self.simulation.advance(400.0)
        for job_id in (self.job_id, unused):
            answer = self.simulation.submit(self.peer, job_id)[0]
            self.assertEqual("forgotten", answer.code)
        self.assertEqual(6, sum(self.simulation.starts.values()))
        self.simulation.check_answers(self)

    def test_complete_job_is_settled_as_finished(self):
        self.simulation.submit(self.owner, self.job_id)
        self.simulation.advance(5.0)
        self.owner.alive = False
        self.simulation.advance(20.0)
        answer = self.simulation.submit(self.other_peer, self.job_id)[0]
        self.assertIsInstance(answer, types.Failed)
        self.assertEqual(["finished"] * 6, self.states(answer))

    def test_replaced_incarnation_keeps_its_answers(self):
        first = self.simulation.submit(self.owner, self.job_id)
        self.simulation.advance(3.0)
        self.simulation.log_mode = "down"
        self.simulation.advance(20.0)
        self.simulation.log_mode = "up"
        self.simulation.advance(60.0)
        again = self.simulation.submit(self.peer, self.job_id)
        self.assertIsInstance(again[0], types.Complete)
        self.assertEqual(first, again)

    def test_overdue_renewal_starts_a_new_incarnation_before_the_lapse(self):
        self.owner.partitioned = True
        self.simulation.advance(5.0)
        job_id = self.simulation.issue_job_id(self.owner)
        answers = self.simulation.submit(
            self.owner, job_id, fakes.make_spec(40)
        )
        self.simulation.advance(12.0)
        self.assertIsInstance(answers[0], types.Complete)

    def test_resumed_instance_declares_no_peer_dead(self):
        self.peer.pause()
        self.simulation.advance(30.0)
        self.peer.resume()
        self.simulation.advance(10.0)
        dead_instances = [
            record["owner"].split(".")[1]
            for record in self.simulation.records
            if record["kind"] == "death"
        ]
        self.assertEqual({"entry-1"}, set(dead_instances))

    def test_progress_that_the_log_refused_is_appended_again(self):
        self.simulation.submit(self.owner, self.job_id)
        self.simulation.log_mode = "down"
        self.simulation.advance(3.0)
        self.simulation.log_mode = "up"
        self.simulation.advance(2.0)
        self.owner.alive = False
        self.simulation.advance(20.0)
        answer = self.simulation.submit(self.peer, self.job_id)[0]
        self.assertEqual(["finished"] * 6, self.states(answer))

    def test_job_whose_tasks_end_while_its_owner_is_paused_is_not_complete(
        self,
    ):
        self.simulation.submit(self.owner, self.job_id, fakes.make_spec(4))
        self.simulation.advance(0.75)
        self.owner.pause()
        self.simulation.advance(30.0)
        self.owner.resume()
        answer = self.simulation.submit(
            self.owner, self.job_id, fakes.make_spec(4)
        )[0]
        self.assertEqual("lease_lapsed", answer.code)
        self.assertEqual(["finished"] * 4, self.states(answer))

    def test_job_of_an_unannounced_dead_owner_fails_after_the_incarnation_ttl(
        self,
    ):
        self.simulation.log_mode = "down"
        self.simulation.advance(10.0)
        job_id = self.simulation.issue_job_id(self.owner)
        self.simulation.submit(self.owner, job_id)
        self.owner.alive = False
        self.simulation.log_mode = "up"
        for expected in (types.Pending, types.Pending, types.Failed):
            answer = self.simulation.submit(self.peer, job_id)[0]
            self.assertIsInstance(answer, expected)
            self.simulation.advance(601.0)

    def test_single_request_needs_no_lease(self):
        self.owner.partitioned = True
        single = fakes.make_spec(1)._replace(single=True)
        self.simulation.advance(9.5)
        answers = self.simulation.submit(self.owner, "", single)
        self.simulation.advance(2.0)
        self.assertIsInstance(answers[0], types.Complete)


class NamedTest(unittest.TestCase):
    def setUp(self):
        self.simulation = fakes.Simulation()
        self.simulation.advance(2.0)

    def submit_everywhere(self):
        return [
            self.simulation.submit_named(instance, "evening")
            for instance in self.simulation.instances
        ]

    def test_simultaneous_submissions_start_tasks_once(self):
        answers = self.submit_everywhere()
        self.simulation.advance(5.0)
        self.assertIsInstance(answers[0][0], types.Complete)
        self.assertEqual([answers[0]] * 3, answers)
        self.assertEqual(6, sum(self.simulation.starts.values()))

    def test_named_job_starts_once_in_each_state_of_the_log(self):
        for mode in ("down", "silent", "lost", "slow"):
            with self.subTest(mode):
                self.setUp()
                self.simulation.log_mode = mode
                answers = self.submit_everywhere()
                self.simulation.advance(5.0)
                if mode == "silent":
                    instance = self.simulation.instances[0]
                    late = self.simulation.submit_named(instance, "night")
                    self.assertEqual("log_unavailable", late[0].code)
                start_count = sum(self.simulation.starts.values())
                self.assertEqual(
                    6 if mode in ("lost", "slow") else 0, start_count
                )
                self.simulation.log_mode = "up"
                self.simulation.advance(20.0)
                later_answers = self.submit_everywhere()
                self.simulation.advance(10.0)
                for received in later_answers:
                    self.assertIsInstance(received[0], types.Complete)
                self.assertEqual(6, sum(self.simulation.starts.values()))
                if mode == "down":
                    self.assertEqual("log_unavailable", answers[0][0].code)

    def test_leaving_instance_answers_claimed_names_only(self):
        self.simulation.submit_named(self.simulation.instances[1], "evening")
        self.simulation.advance(5.0)
        leaving = self.simulation.instances[0]
        self.simulation.ask(leaving, messages.Drain(None))
        answers = [
            self.simulation.submit_named(leaving, name)[0]
            for name in ("evening", "night")
        ]
        self.assertIsInstance(answers[0], types.Complete)
        self.assertEqual("draining", answers[1].code)

    def test_same_name_with_another_body_is_a_conflict(self):
        self.submit_everywhere()
        other = fakes.make_spec(digest="two")
        answers = [
            self.simulation.submit_named(instance, "evening", other)
            for instance in self.simulation.instances
        ]
        self.simulation.advance(5.0)
        self.assertEqual(
            ["conflict"] * 3, [received[0].code for received in answers]
        )


class JournalTest(unittest.TestCase):
    def test_append_with_a_lost_answer_is_not_repeated(self):
        simulation = fakes.Simulation(1)
        simulation.log_mode = "lost"
        for _ in range(10):
            job_id = simulation.issue_job_id(simulation.instances[0])
            simulation.submit(
                simulation.instances[0], job_id, fakes.make_spec(1)
            )
            simulation.advance(3.0)
        self.assertTrue(job_id.endswith("n00000000.10"))
        ended = [
            job_id
            for record in simulation.records
            for job_id, (_, is_ended) in record.get("jobs", {}).items()
            if is_ended
        ]
        self.assertEqual(10, len(ended))
        self.assertEqual(10, len(set(ended)))

    def make_journal(self):
        owner = identity.Incarnation("pocitos", "entry-1", "0123456789ab")
        self.owner = identity.format_incarnation(owner)
        return controllers.journal.journal.make_controller(
            owner, lambda: "b" * 12
        )

    def commit(self, journal, now):
        commit = messages.TimerFired(controllers.journal.journal.COMMIT_TIMER)
        journal.receive(commit, now)
        collected = messages.ProgressCollected({})
        return [send.msg for send in journal.receive(collected, now)]

    def read(self, journal, now, *records):
        first_offset = self.offset
        self.offset += len(records)
        numbered = tuple(enumerate(records, first_offset))
        read = messages.RecordsRead("journal", numbered, 0, self.offset)
        return [send.msg for send in journal.receive(read, now)]

    def test_lease_starts_when_the_renewal_is_sent(self):
        self.offset = 0
        journal = self.make_journal()
        self.assertEqual([], self.commit(journal, 0.0))
        self.read(journal, 0.0)
        announced = messages.LeaseChanged(self.owner, 9.0)
        *changes, append = self.commit(journal, 0.0)
        self.assertEqual([announced, announced], changes)
        self.assertEqual(
            [announced] * 2, self.read(journal, 5.0, *append.records)
        )
        journal.receive(messages.AppendEnded("done"), 5.0)
        *_, append = self.commit(journal, 5.5)
        extended = messages.LeaseChanged(self.owner, 14.5)
        self.assertIn(extended, self.read(journal, 8.0, *append.records))

    def test_late_announcement_ends_its_incarnation(self):
        self.offset = 0
        journal = self.make_journal()
        self.read(journal, 0.0)
        *_, append = self.commit(journal, 0.0)
        journal.receive(messages.AppendEnded("refused"), 1.0)
        self.commit(journal, 12.0)
        self.read(journal, 12.1, *append.records)
        commit = messages.TimerFired(controllers.journal.journal.COMMIT_TIMER)
        sent = [send.msg for send in journal.receive(commit, 12.5)]
        self.assertIn(messages.LeaseChanged(self.owner, leases.NEVER), sent)
        changed = messages.OwnerChanged("pocitos.entry-1.bbbbbbbbbbbb")
        self.assertIn(changed, sent)

    def test_gap_in_the_log_ends_the_leases_and_claims(self):
        self.offset = 0
        journal = self.make_journal()
        self.read(journal, 0.0)
        *_, append = self.commit(journal, 0.0)
        self.read(journal, 1.0, *append.records)
        journal.receive(messages.Claim("evening", "j", "d"), 1.0)
        self.offset += 1
        sent = self.read(journal, 2.0, {"kind": "renew", "owner": "x"})
        self.assertIn(messages.LeaseChanged(self.owner, leases.NEVER), sent)
        self.assertIn(messages.ClaimDecided("evening", ""), sent)

    def test_lease_ends_before_a_peer_may_declare_a_death(self):
        times = leases.LeaseTimes(9.0, 3.0)
        self.assertFalse(leases.may_declare_dead(0.0, times, 12.0))
        self.assertTrue(leases.may_declare_dead(0.0, times, 12.1))
        self.assertFalse(leases.may_start(9.0, 9.0))
        self.assertTrue(leases.may_start(9.0, 8.9))

    def test_records_of_a_dead_incarnation_have_no_effect(self):
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

    def test_death_that_missed_a_renewal_has_no_effect(self):
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

    def test_malformed_records_are_ignored(self):
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

    def test_size_of_the_ledger_is_bounded(self):
        ledger = journal_fold.Ledger(limit=1000)
        journal_fold.apply_record(
            ledger, 0, journal_fold.make_announcement("o", "1")
        )
        for offset in range(1, 200):
            progress = {f"o.{offset}": journal_fold.Progress("f1u2", True)}
            record = journal_fold.make_progress("o", progress, str(offset))
            journal_fold.apply_record(ledger, offset, record)
        self.assertLessEqual(ledger.size, 1000)
        self.assertIn("o.199", ledger.incarnations["o"].jobs)
        journal_fold.prune(ledger, 200)
        self.assertEqual((0, {}), (ledger.size, ledger.incarnations["o"].jobs))

    def test_appends_of_all_instances_share_one_budget(self):
        simulation = fakes.Simulation(8)
        simulation.advance(10.0)
        appended = []
        for instance in simulation.instances:
            append = instance.EXTERNAL_TASKS[messages.APPENDER]
            instance.EXTERNAL_TASKS = instance.EXTERNAL_TASKS | {
                messages.APPENDER: lambda receiver, msg, append=append: (
                    appended.append(msg),
                    append(receiver, msg),
                )
            }
        for _ in range(40):
            for instance in simulation.instances:
                simulation.submit(
                    instance,
                    simulation.issue_job_id(instance),
                    fakes.make_spec(1),
                )
            simulation.advance(0.25)
        self.assertLessEqual(len(appended), 8 * 10.0 / 0.5)
        self.assertGreater(len(appended), 8 * 10.0 / 0.5 / 2)
