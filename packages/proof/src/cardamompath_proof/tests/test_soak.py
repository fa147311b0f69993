"""The checks of the soak on hand-made records, and its draws of faults."""

import hashlib
import json
import math
import os
import pathlib
import signal
import socket
import tempfile
import types
import unittest

import urllib3

from cardamompath_proof import processes
from cardamompath_proof import proxy
from cardamompath_proof.soak import __main__ as soak_main
from cardamompath_proof.soak import broken
from cardamompath_proof.soak import checks
from cardamompath_proof.soak import clients
from cardamompath_proof.soak import faults
from cardamompath_proof.soak import policies
from cardamompath_proof.soak import pressure
from cardamompath_proof.soak import publications
from cardamompath_proof.soak import regressions
from cardamompath_proof.soak import rig as rigs
from cardamompath_standins import fixtures
from cardamompath_standins import store
from cardamompathd.settings import pool_table


def make_submission(
    job="j", tasks=1, began=10.0, ended=10.5, status=200, **fields
):
    state = "complete" if status == 200 else ""
    submission = clients.Submission(
        job, tasks, "i00", began, ended, status, state, ""
    )
    return submission._replace(**fields)


def make_run(
    task="j.0.0.0", executor="x0", began=10.1, ended=10.3, state="done"
):
    return checks.Run(task, 1, executor, began, ended, state)


def make_rig(
    disturbances=(),
    freezes=(),
    terminations=(),
    published=(),
    started_at=0.0,
):
    instance = types.SimpleNamespace(
        name="i00",
        disturbances=list(disturbances),
        freezes=list(freezes),
        incarnations=[rigs.Incarnation(started_at, pathlib.Path(os.devnull))],
    )
    return types.SimpleNamespace(
        instances=[instance],
        executors=[
            types.SimpleNamespace(name=f"x{index}", domain=f"d{index}")
            for index in range(2)
        ],
        evacuations=[],
        scarcities=[],
        clock_offset=1000.0,
        outages=[],
        terminations={"i00": list(terminations)},
        published=list(published),
        violations=[],
        last_fault_at=0.0,
    )


def make_publication(at, version, *routes):
    return publications.Publication(at, at, version, routes)


class CheckTest(unittest.TestCase):
    def assert_violations(self, violations, count=1):
        self.assertEqual(len(violations), count, violations)

    def test_records_without_violations_pass(self):
        rig = make_rig(published=[make_publication(1.0, 1, "r0")])
        query = clients.RouteQuery("r0", "i00", 10.0, 10.1, 200)
        found = checks.check_all(
            [make_submission()], [query], [], [make_run()], rig
        )
        self.assertEqual(found, [])

    def test_tasks_that_start_after_their_job_was_cancelled(self):
        cancelled = clients.Cancellation("j", "i00", 5.0, 5.1, 200)
        rig = make_rig()
        rig.instances[0].end_times = []
        late = make_run(began=8.2, ended=8.3)
        in_time = make_run(began=8.0, ended=9.0)
        cases = (
            (200, late, 1),
            (410, late, 1),
            (503, late, 0),
            (200, in_time, 0),
        )
        for status, run, count in cases:
            with self.subTest(status=status, began=run.began):
                each = cancelled._replace(status=status)
                self.assert_violations(
                    checks.check_cancelled([each], [run], rig), count
                )

    def test_cancellations_are_forgotten_if_no_instance_was_up(self):
        cancelled = clients.Cancellation("j", "i00", 5.0, 5.1, 200)
        run = make_run(began=9.0, ended=9.1)
        rig = make_rig()
        instance = rig.instances[0]
        instance.incarnations.append(rigs.Incarnation(7.0, pathlib.Path()))
        instance.end_times = [6.0]
        self.assert_violations(
            checks.check_cancelled([cancelled], [run], rig), 0
        )
        other = make_rig().instances[0]
        other.end_times = []
        rig.instances.append(other)
        self.assert_violations(checks.check_cancelled([cancelled], [run], rig))

    def test_runs_on_executors_without_the_label(self):
        sub = make_submission(label="a")
        run = make_run()
        for label, count in (("a", 0), (None, 0), ("b", 1)):
            with self.subTest(label=label):
                found = checks.check_labels([sub], [run._replace(label=label)])
                self.assert_violations(found, count)

    def test_starts_in_an_evacuated_domain(self):
        rig = make_rig()
        rig.evacuations = [rigs.Evacuation("d0", 10.0, 30.0)]
        cases = (
            ("x0", 16.2, "a", 0),
            ("x0", 16.3, "a", 1),
            # The other domain goes on.
            ("x1", 16.3, "a", 0),
            # An order to the former process, see `checks.Run.label`.
            ("x0", 16.3, None, 0),
            ("x0", 30.1, "a", 0),
        )
        for executor, began, label, count in cases:
            with self.subTest(executor=executor, began=began, label=label):
                run = make_run(executor=executor, began=began, ended=began + 1)
                found = checks.check_evacuated(
                    [run._replace(label=label)], rig
                )
                self.assert_violations(found, count)
        self.assertAlmostEqual(checks.evacuated_time(rig, 20.0), 3.78)

    def test_evacuation_counts_later_while_the_store_is_away(self):
        run = make_run(began=17.0, ended=18.0)._replace(label="a")
        cases = (
            ([12.0, 13.0], 0),
            # It ended so early that everyone was in contact again.
            ([5.0, 6.9], 1),
            # It was in force before.
            ([16.3, 16.8], 1),
        )
        for outage, count in cases:
            with self.subTest(outage=outage):
                rig = make_rig()
                rig.evacuations = [rigs.Evacuation("d0", 10.0)]
                rig.outages = [outage]
                found = checks.check_evacuated([run], rig)
                self.assert_violations(found, count)

    def test_store_path_of_one_instance_delays_no_evacuation(self):
        run = make_run(began=17.0, ended=18.0)._replace(label="a")
        rig = make_rig(disturbances=[(9.0, 16.0)])
        rig.evacuations = [rigs.Evacuation("d0", 10.0)]
        self.assert_violations(checks.check_evacuated([run], rig))

    def check_log(self, text, **fields):
        rig = make_rig(**fields)
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder, "i00-1.log")
            log.write_text(text)
            rig.instances[0].incarnations.append(rigs.Incarnation(9.0, log))
            return checks.check_logs(rig)

    def test_errors_in_the_log_of_any_incarnation(self):
        found = self.check_log(
            '{"part":"a","event":"b","level":"WARNING"}\n'
            '{"part":"a","event":"c","level":"ERROR"}\n'
            '{"part":"a","event":"cut o'
        )
        self.assert_violations(found)
        self.assertIn("i00-1.log", found[0])

    def test_request_without_reply_unless_the_instance_was_frozen(self):
        # Seed 303 of size small: two instances were frozen for 3.2 and 4 s
        # while requests to cancel waited.
        line = (
            '{"time":1012.5,"part":"frontend","event":"DELETE failed",'
            '"level":"ERROR","exception":"Timeout(\'2.0 seconds\')"}\n'
        )
        other = line.replace("Timeout", "KeyError")
        freeze = (8.0, 12.0)
        cases = (
            (line, (), 1),
            (line, [freeze], 0),
            (line[:-5], [freeze], 0),
            (line, [(6.0, 10.4)], 1),
            (other, [freeze], 1),
        )
        for text, freezes, count in cases:
            with self.subTest(text=text, freezes=freezes):
                found = self.check_log(text, freezes=freezes)
                self.assert_violations(found, count)

    def test_two_runs_of_a_task_at_the_same_time(self):
        runs = [make_run(), make_run(executor="x1", began=10.2, ended=10.4)]
        self.assert_violations(checks.check_concurrent_runs(runs))
        in_turn = [make_run(), make_run(executor="x1", began=10.3, ended=10.4)]
        self.assert_violations(checks.check_concurrent_runs(in_turn), 0)

    def test_runs_of_tasks_that_were_not_submitted(self):
        runs = [make_run("other.0.0.0"), make_run("j.0.0.1")]
        self.assert_violations(
            checks.check_submitted([make_submission()], runs), 2
        )

    def test_complete_before_all_tasks_were_done(self):
        submission = make_submission(tasks=2)
        self.assert_violations(
            checks.check_answers([submission], [make_run()])
        )
        late_run = make_run(ended=11.0)
        self.assert_violations(
            checks.check_answers([make_submission()], [late_run])
        )

    def test_refused_but_started(self):
        refused = make_submission(status=503)
        self.assert_violations(checks.check_refusals([refused], [make_run()]))
        # The second submission was accepted.
        both = [refused, make_submission()]
        self.assert_violations(checks.check_refusals(both, [make_run()]), 0)

    def test_late_answer_unless_the_instance_was_frozen(self):
        late = make_submission(ended=15.0)
        self.assert_violations(checks.check_timeouts([late], make_rig()))
        rig = make_rig(freezes=[(12.0, 14.5)])
        self.assert_violations(checks.check_timeouts([late], rig), 0)

    def test_request_dropped_by_a_shutdown(self):
        dropped = make_submission(status=0)
        rig = make_rig(terminations=[(10.2, 0.0)])
        self.assert_violations(checks.check_shutdown([dropped], rig))
        disturbances = make_rig(terminations=[(10.2, 10.1)])
        self.assert_violations(
            checks.check_shutdown([dropped], disturbances), 0
        )
        own_span = [(10.2, 17.0)]
        rig = make_rig(own_span, terminations=[(10.2, 0.0)])
        self.assert_violations(checks.check_shutdown([dropped], rig))
        killed = make_rig(
            [*own_span, (10.4, 11.0)], terminations=[(10.2, 0.0)]
        )
        self.assert_violations(checks.check_shutdown([dropped], killed), 0)

    def test_route_of_an_old_version(self):
        published = [
            make_publication(1.0, 1, "r0"),
            make_publication(10.0, 2, "r1"),
        ]
        rig = make_rig(published=published)
        cases = (
            (clients.RouteQuery("r0", "i00", 11.0, 11.1, 200), 0),
            (clients.RouteQuery("r0", "i00", 12.1, 12.2, 200), 1),
            (clients.RouteQuery("r1", "i00", 11.0, 11.1, 404), 0),
            (clients.RouteQuery("r1", "i00", 12.1, 12.2, 404), 1),
            (clients.RouteQuery("r1", "i00", 9.0, 9.1, 200), 1),
        )
        for query, count in cases:
            with self.subTest(query=query):
                self.assert_violations(
                    checks.check_routes([query], rig), count
                )

    def test_disturbed_instance_may_have_an_old_version(self):
        published = [
            make_publication(1.0, 1, "r0"),
            make_publication(10.0, 2, "r1"),
        ]
        rig = make_rig(disturbances=[(9.0, 11.0)], published=published)
        query = clients.RouteQuery("r0", "i00", 12.1, 12.2, 200)
        self.assert_violations(checks.check_routes([query], rig), 0)

    def test_version_whose_answer_was_lost_counts_from_its_sending(self):
        # Two publications took effect though their answers were lost; the
        # answers that followed them counted as wrong.  Failing run: seed 207.
        lost = publications.Publication(10.0, 10.5, 2, ("r1",))
        rig = make_rig(published=[make_publication(1.0, 1, "r0"), lost])
        cases = (
            (clients.RouteQuery("r1", "i00", 10.0, 10.1, 200), 0),
            (clients.RouteQuery("r0", "i00", 10.1, 10.2, 404), 0),
            (clients.RouteQuery("r1", "i00", 9.8, 9.9, 200), 1),
            (clients.RouteQuery("r0", "i00", 12.4, 12.5, 200), 0),
            (clients.RouteQuery("r0", "i00", 12.6, 12.7, 200), 1),
        )
        for query, count in cases:
            with self.subTest(query=query):
                self.assert_violations(
                    checks.check_routes([query], rig), count
                )

    def test_late_answer_of_an_instance_that_has_just_started(self):
        # Seed 45 of usual size: a request waited 1.5 s in the queue of an
        # instance that the soak had started 0.9 s before.
        late = make_submission(began=10.0, ended=14.2)
        for started_at, count in ((6.9, 1), (7.1, 0), (14.3, 1)):
            rig = make_rig(started_at=started_at)
            found = checks.check_timeouts([late], rig)
            self.assert_violations(found, count)

    def test_waiting_between_two_samples(self):
        samples = [pressure.Sample(*each) for each in ((1, 0), (2, 1), (3, 1))]
        self.assertEqual(pressure.waited(samples, 1.5, 2.5), 0.5)
        self.assertEqual(pressure.waited(samples, 0.0, 9.0), 1.0)
        self.assertAlmostEqual(pressure.longest_gap(samples), 0.9)

    def test_start_after_the_executor_was_full(self):
        runs = [
            make_run()._replace(load=8000, capacity=8000),
            make_run("j.0.0.1")._replace(load=9000, capacity=8000),
        ]
        self.assert_violations(checks.check_capacity(runs))

    def test_third_start_after_three_crashes(self):
        crashes = [
            make_run(began=at, ended=at + 0.5, state="crashed")
            for at in (1.0, 2.0, 3.0)
        ]
        later = [make_run(began=at) for at in (4.0, 5.0, 6.0)]
        self.assert_violations(checks.check_crashes(crashes + later[:2]), 0)
        self.assert_violations(checks.check_crashes(crashes + later), 1)

    def test_failed_without_a_cause(self):
        failed = make_submission(state="failed")
        ends = [make_run(state="failed")] * 3
        crashes = [make_run(state="crashed"), make_run(state="")]
        for runs, count in ((ends, 0), (crashes, 0), (ends[:2], 1)):
            found = checks.check_failed([failed], runs)
            self.assert_violations(found, count)

    def test_answer_that_is_neither_complete_nor_failed(self):
        partial = make_submission(state="active")
        self.assert_violations(checks.check_failed([partial], []))

    def test_few_jobs_served_long_after_the_last_fault(self):
        served = make_submission(began=30.0)
        refused = [make_submission(began=30.0, status=503)] * 4
        found = checks.check_recovery([served, *refused], 17.9)
        self.assert_violations(found, 1)
        early = [sub._replace(began=5.0) for sub in refused]
        # The share before was below the bound too: seed 23, on a machine
        # that was short of processor time.
        found = checks.check_recovery([*early, served, *refused], 17.9)
        self.assert_violations(found, 0)
        for since, subs in ((18.0, refused), (17.0, [served, *refused[:3]])):
            self.assert_violations(checks.check_recovery(subs, since), 0)

    def test_refusals_in_a_crest_exempt_no_run(self):
        # Seed 303 of size small: of the jobs before the last fault 21 %
        # were served, as most arrived in a crest or an evacuation.
        late = [make_submission(began=30.0, status=503)] * 4
        crest = [make_submission(began=5.0, status=503)] * 9
        early = [make_submission(began=9.0)]
        for spans, count in (((), 0), ([[4.0, 6.0]], 1)):
            found = checks.check_recovery([*crest, *early, *late], 17.9, spans)
            self.assert_violations(found, count)

    def test_client_that_leaves_at_its_timeout_was_not_dropped(self):
        rig = make_rig(terminations=[(10.2, 0.0)])
        left = make_submission(
            status=0, began=10.0, ended=11.0, timeout=0.9, error="TimeoutError"
        )
        reset = left._replace(error="ConnectionResetError")
        waited = left._replace(ended=12.0)
        for sub, count in ((left, 0), (reset, 1), (waited, 1)):
            found = checks.check_shutdown([sub], rig)
            self.assert_violations(found, count)


class ReadingTest(unittest.TestCase):
    def read(self, *events):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = pathlib.Path(folder.name, "x0.log")
        log.write_text("\n".join(json.dumps(event) for event in events))
        incarnation = types.SimpleNamespace(log=log)
        executor = types.SimpleNamespace(
            name="x0", incarnations=[incarnation], end_times=[]
        )
        return checks.read_runs([executor], 20.0)

    def make_event(self, kind, at, index=0, **fields):
        task = {"task": f"j.0.0.{index}", "attempt": 1}
        return {"event": kind, "at": at, **task, **fields}

    def test_crash_ends_every_run(self):
        runs = self.read(
            self.make_event("start", 1.0, 0, cpu=1000),
            self.make_event("start", 2.0, 1, cpu=1000),
            self.make_event("crash", 3.0, 1),
        )
        found = {(run.task, run.ended, run.state) for run in runs}
        expected = {("j.0.0.0", 3.0, ""), ("j.0.0.1", 3.0, "crashed")}
        self.assertEqual(found, expected)

    def test_smaller_capacity_counts_later(self):
        runs = self.read(
            {"event": "capacity", "at": 1.0, "cpu": 2000},
            self.make_event("start", 4.7, 0, cpu=1000),
            self.make_event("start", 4.9, 1, cpu=1500),
        )
        use = [(run.load, run.capacity) for run in runs]
        self.assertEqual(use, [(1000, 8000), (2500, 2000)])

    def test_late_orders_to_a_former_process_need_no_label(self):
        # Seed 566, size small: a hold and two starts of a planner reached
        # the next process of their executor seconds later, with the token
        # of before.  Its clock had started anew, so that their leases seemed
        # to last 3.7 s.
        runs = self.read(
            {"event": "boot", "at": 1.0, "label": "b"},
            self.make_event("start", 1.5, 0, cpu=1000, lease=1.0),
            {"event": "held", "at": 2.0},
            self.make_event("start", 3.0, 1, cpu=1000, lease=1.0),
            self.make_event("start", 3.5, 2, cpu=1000, lease=3.7),
        )
        self.assertEqual([run.label for run in runs], [None, "b", None])


class PublicationTest(unittest.TestCase):
    def setUp(self):
        listener = store.start()
        self.addCleanup(listener.stop)
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.url = f"http://{listener.host}:{listener.port}"
        self.publish = publications.make_publish(self.http, self.url)

    def set_faults(self, **fields):
        self.http.request(
            "PUT", f"{self.url}/standin/faults", body=json.dumps(fields)
        )

    def make_record(self, version):
        return fixtures.make_configuration(version, "desk", "h", {"r": "/r/"})

    def test_version_is_known_though_its_answer_was_lost(self):
        self.set_faults(lose=1)
        publication = self.publish(3, ("r",), self.make_record(3))
        self.assertEqual(publication.version, 3)
        self.assertLess(publication.effective_from, publication.confirmed_at)

    def test_answered_version_counts_from_its_answer(self):
        publication = self.publish(3, ("r",), self.make_record(3))
        self.assertEqual(publication.effective_from, publication.confirmed_at)

    def test_rejected_version_does_not_count(self):
        self.set_faults(down=True)
        self.assertIsNone(self.publish(3, ("r",), self.make_record(3)))


class ProxyTest(unittest.TestCase):
    def test_late_request_reaches_the_process_but_is_not_answered(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        listener.settimeout(5.0)
        link = proxy.start(processes.free_port(), listener.getsockname()[1])
        self.addCleanup(link.stop)
        # Draws below the share that arrives late, then above that of resets.
        draws = iter((0.0, 0.9))
        rng = types.SimpleNamespace(
            random=lambda: next(draws), uniform=lambda first, last: first
        )
        link.delay_requests(rng, (0.0, 0.0))
        client = socket.create_connection(("127.0.0.1", link.port))
        self.addCleanup(client.close)
        first = listener.accept()[0]
        self.addCleanup(first.close)
        client.sendall(b"POST /v1/run-start")
        second = listener.accept()[0]
        self.addCleanup(second.close)
        self.assertEqual(second.recv(100), b"POST /v1/run-start")
        client.setblocking(False)
        self.assertRaises(BlockingIOError, client.recv, 1)


class FaultTest(unittest.TestCase):
    def test_kill_is_noted_before_the_process_is_gone(self):
        # A client saw its connection end before the kill was noted, which
        # then looked like a request dropped by an earlier SIGTERM.  Failing
        # run: seed 7 of size small.
        noted = []
        process = types.SimpleNamespace(
            popen=types.SimpleNamespace(poll=lambda: None)
        )
        instance = types.SimpleNamespace(
            name="i00", disturbances=[], process=process
        )
        rig = types.SimpleNamespace(
            instances=[instance],
            kill=lambda target: noted.append(len(target.disturbances)),
        )
        for kind in ("kill instance", "kill all"):
            instance.disturbances.clear()
            faults.KINDS[kind](rig, faults.Fault(0.0, kind, 0, 1.0))
        self.assertEqual(noted, [1, 1])

    def test_same_seed_draws_the_same_faults(self):
        first = faults.draw(7, 14, 20.0)
        self.assertEqual(first, faults.draw(7, 14, 20.0))
        self.assertNotEqual(first, faults.draw(8, 14, 20.0))

    def test_every_kind_is_drawn_in_fifty_seeds(self):
        drawn = {
            fault.kind
            for seed in range(1, 51)
            for fault in faults.draw(seed, 14, 20.0)
        }
        self.assertEqual(drawn, set(faults.KINDS))

    def test_series_overlap_and_stay_in_their_family(self):
        plain = faults.draw(3, 14, 20.0, series_share=0.0)
        drawn = faults.draw(3, 14, 20.0, series_share=1.0)
        self.assertGreaterEqual(len(drawn), 2 * len(plain))
        self.assertLessEqual(set(plain), set(drawn))
        self.assertEqual(drawn, sorted(drawn))

    def test_seeds_of_ci_draw_every_kind(self):
        drawn = faults.draw(302, 14, 20.0) + faults.draw(303, 14, 20.0)
        self.assertEqual({fault.kind for fault in drawn}, set(faults.KINDS))

    def test_seeds_draw_what_they_drew_before_later_kinds(self):
        # Records of failures name a seed; each names the same run as long as
        # these digests stay.  The first is that of all regressions.
        cases = [
            (case.seed, case.count, case.length, case.kinds, case.series_share)
            for case in regressions.CASES
        ]
        self.assertEqual(self.digest(*cases), "86928dbe597f0739")
        for seed, digest in (
            (302, "2e3827b6fd51ccd4"),
            (303, "f356a24cf69a3333"),
            (506, "ac1952e954dfa12c"),
            (573, "e195aa883343948d"),
            (579, "5a55214191d1f48f"),
        ):
            self.assertEqual(self.digest((seed, 14, 20.0)), digest)

    def digest(self, *cases):
        found = hashlib.sha256()
        for case in cases:
            drawn = [
                tuple(fault)
                for fault in faults.draw(*case)
                if fault.kind in faults.MIXED_KINDS
            ]
            found.update(repr(drawn).encode())
        return found.hexdigest()[:16]

    def test_each_seed_draws_the_faults_of_a_domain(self):
        for seed in range(1, 51):
            drawn = {fault.kind for fault in faults.draw(seed, 14, 20.0)}
            self.assertLessEqual(set(faults.DOMAIN_KINDS), drawn)

    def test_outages_are_noted_until_the_store_is_back(self):
        # Only they delay an evacuation; lost answers to appends do not.
        for target, count in ((0, 1), (1, 1), (2, 0)):
            rig = types.SimpleNamespace(
                instances=[],
                outages=[],
                store=types.SimpleNamespace(
                    popen=types.SimpleNamespace(send_signal=lambda number: 0)
                ),
                store_url="",
                set_faults=lambda url, **fields: None,
                call_later=lambda call: call(),
            )
            fault = faults.Fault(0.0, "store down", target, 1.0)
            ((_, undo),) = faults.KINDS[fault.kind](rig, fault)
            open_ended = [ended == math.inf for _, ended in rig.outages]
            self.assertEqual(open_ended, [True] * count)
            undo()
            self.assertTrue(all(end < math.inf for _, end in rig.outages))

    def test_regressions_draw_kinds_that_exist(self):
        for case in regressions.CASES:
            self.assertLessEqual(set(case.kinds), set(faults.KINDS))

    def test_kinds_can_be_chosen(self):
        drawn = faults.draw(1, 9, 20.0, ["publish"])
        self.assertEqual({fault.kind for fault in drawn}, {"publish"})

    def test_there_are_eight_faulty_variants(self):
        self.assertEqual(len(broken.VARIANTS), 8)


class PolicyTest(unittest.TestCase):
    def load(self, seed):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "pool.ini")
            path.write_text(policies.draw(seed))
            return pool_table.load([str(path)]).unwrap()

    def test_seeds_of_ci_run_each_part_off_and_on(self):
        # A part that is off in both is not tested by CI.
        first, second = self.load(302), self.load(303)
        self.assertNotEqual(first.room, second.room)
        self.assertNotEqual(first.shares, second.shares)
        self.assertNotEqual(first.admission, second.admission)
        self.assertNotEqual(first.placement, second.placement)

    def test_all_combinations_are_drawn(self):
        drawn = {self.load(seed) for seed in range(300)}
        self.assertEqual(len(drawn), 2 ** len(policies.SWITCHES))


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        listener = store.start()
        self.addCleanup(listener.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        size = rigs.Size(1, 0, 0)
        self.rig = rigs.Rig(pathlib.Path(folder.name), size)
        self.addCleanup(self.rig.stop)
        self.rig.store_port = listener.port

    def newest_keys(self):
        url = f"{self.rig.store_url}{store.READY_PATH}"
        items = self.rig.http.request("GET", url).json()["items"]
        return [item["key"] for item in items]

    def test_second_request_ends_with_the_first_withdrawal(self):
        self.rig._evacuate("d0")
        self.rig._evacuate("d0")
        self.assertEqual(self.newest_keys(), ["evacuate/d0"])
        self.rig._withdraw("d0")
        self.assertEqual(self.newest_keys(), [])
        (first,) = self.rig.evacuations
        self.rig._withdraw("d0")
        self.assertEqual(self.rig.evacuations, [first])
        self.assertLess(first.since, first.until)

    def test_request_whose_answer_was_lost_is_repeated(self):
        # A request that took effect unnoticed would never be withdrawn.
        self.rig.set_faults(self.rig.store_url, lose=1)
        self.rig._evacuate("d0")
        self.assertEqual(len(self.rig.evacuations), 1)


class SignalTest(unittest.TestCase):
    def test_second_signal_does_not_cut_the_cleanup_off(self):
        # A soak that got two at once left its processes behind, and did not
        # end itself.
        for each in soak_main.EXIT_SIGNALS:
            handler = signal.signal(each, soak_main.exit_on_signal)
            self.addCleanup(signal.signal, each, handler)
        with self.assertRaises(SystemExit):
            signal.raise_signal(signal.SIGTERM)
        for each in soak_main.EXIT_SIGNALS:
            signal.raise_signal(each)
