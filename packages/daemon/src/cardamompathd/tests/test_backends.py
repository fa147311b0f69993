import random
import unittest

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

OWNER = identity.Incarnation("pocitos", "entry-0", "0123456789ab")
FINISHED = types.BackendAnswer("done", 200)
NOT_RUN = types.BackendAnswer("done", 503, not_run=True)
FAILED = types.BackendAnswer("done", 500)


def make_backends(count, slots=8, domains=("pocitos",)):
    return tuple(
        types.BackendSpec(
            f"b{index}",
            "booking",
            domains[index % len(domains)],
            "127.0.0.1",
            7000 + index,
            slots,
        )
        for index in range(count)
    )


def make_peers(count, status="alive", **load):
    return tuple(
        types.PeerView(
            f"pocitos.entry-{index}.0123456789ab",
            "127.0.0.1",
            8000 + index,
            status,
            types.LoadHint(**load),
        )
        for index in range(1, count + 1)
    )


class BackendsCase(unittest.TestCase):
    """Drives the controller; keeps started tasks in `running`."""

    def setUp(self):
        self.now = 0.0
        self.job_count = 0
        self.running = {}
        self.settled = {}
        self.sends = []
        self.controller = controllers.backends.backends.make_controller(
            OWNER, random.Random(1)
        )

    def configure(self, *backends):
        services = (types.ServiceSpec("booking"),)
        cfg = types.Configuration(1, 0, services, backends)
        self.send(messages.ConfigurationChanged(cfg))

    def send(self, msg):
        self.sends = list(self.controller.receive(msg, self.now))
        for _, output in self.sends:
            if isinstance(output, messages.StartTask):
                self.running[output.task] = output
            if isinstance(output, messages.TaskSettled):
                self.settled[output.task] = output.result

    def submit(self, count=1, kind="reserve", declared=None, **fields):
        """Enqueue a job; return its name."""
        self.job_count += 1
        name = f"job-{self.job_count}"
        task = types.TaskSpec("booking", kind, b"", declared)
        spec = types.JobSpec("team", (task,) * count, 60.0, name, **fields)
        self.send(messages.Enqueue(name, spec, self.now + 60.0))
        return name

    def end(self, ref, answer=FINISHED, elapsed=0.1):
        backend = self.running.pop(ref).backend.name
        result = answer._replace(elapsed=elapsed)
        self.send(messages.AttemptEnded(backend, ref, result))

    def count_running(self):
        """Return the number of running tasks by backend server."""
        refs_by_backend = {}
        for start in self.running.values():
            refs_by_backend.setdefault(start.backend.name, []).append(
                start.task
            )
        return {
            name: len(refs) for name, refs in sorted(refs_by_backend.items())
        }

    def refs_on(self, name):
        return [
            ref
            for ref, start in self.running.items()
            if start.backend.name == name
        ]


class SharingTest(BackendsCase):
    def test_tasks_are_queued_until_a_slot_is_free(self):
        self.configure(*make_backends(2))
        self.submit(40)
        self.assertEqual({"b0": 8, "b1": 8}, self.count_running())
        self.end(self.refs_on("b1")[0])
        self.assertEqual({"b0": 8, "b1": 8}, self.count_running())

    def test_home_slots_fill_before_borrowed_ones(self):
        self.send(messages.PeersChanged(make_peers(3)))
        self.configure(*make_backends(4))
        self.submit(8)
        self.assertEqual(
            {"b0": 2, "b1": 2, "b2": 2, "b3": 2}, self.count_running()
        )

    def test_borrowed_tasks_stay_within_the_limit(self):
        self.send(messages.PeersChanged(make_peers(3)))
        self.configure(*make_backends(4))
        self.submit(100)
        self.assertEqual(8 + 8, len(self.running))

    def test_connections_stay_within_the_share(self):
        self.send(messages.PeersChanged(make_peers(15)))
        self.configure(*make_backends(2, slots=16))
        self.submit(100)
        self.assertEqual({"b0": 4, "b1": 4}, self.count_running())

    def test_refused_borrowed_task_shrinks_the_limit(self):
        self.send(messages.PeersChanged(make_peers(3)))
        self.configure(*make_backends(4))
        self.submit(100)
        self.now += 1.0
        self.end([*self.running][-1], NOT_RUN)
        self.assertEqual(15, len(self.running))

    def test_borrowing_grows_while_slots_are_idle(self):
        self.send(messages.PeersChanged(make_peers(7)))
        self.configure(*make_backends(24))
        self.submit(400)
        first = len(self.running)
        for _ in range(3):
            self.now += 0.1
            for ref in [*self.running]:
                self.end(ref)
        self.assertGreater(len(self.running), 2 * first)

    def test_borrowing_shrinks_when_borrowed_tasks_wait(self):
        self.send(messages.PeersChanged(make_peers(7)))
        self.configure(*make_backends(24))
        self.submit(400)
        for _ in range(12):
            self.now += 0.4
            for ref in [*self.running]:
                own = sum(self.count_running().values()) <= 24
                self.end(ref, elapsed=0.1 if own else 0.4)
        self.assertLessEqual(len(self.running), 24 + 3)

    def test_slots_of_a_dead_peer_are_reassigned(self):
        self.send(messages.PeersChanged(make_peers(1)))
        self.configure(*make_backends(1))
        self.send(messages.PeersChanged(make_peers(1, "dead")))
        self.submit(20)
        self.assertEqual({"b0": 8}, self.count_running())


class LongLaneTest(BackendsCase):
    def setUp(self):
        super().setUp()
        self.configure(*make_backends(2))
        for kind, elapsed in (("confirm", 0.05), ("report", 5.0)) * 3:
            self.submit(kind=kind)
            self.end([*self.running][0], elapsed=elapsed)
        for _ in range(60):
            self.submit(kind="confirm")
            self.end([*self.running][0], elapsed=0.05)

    def test_long_kinds_leave_slots_for_short_ones(self):
        self.submit(40, kind="report")
        self.assertEqual(12, len(self.running))
        self.submit(4, kind="confirm")
        self.assertEqual(16, len(self.running))

    def test_short_kinds_take_every_slot(self):
        self.submit(40, kind="confirm")
        self.assertEqual(16, len(self.running))

    def test_long_tasks_of_a_removed_server_are_counted_out(self):
        self.submit(12, kind="report")
        self.assertEqual(12, len(self.running))
        self.configure(*make_backends(4)[2:])
        for ref in list(self.running):
            self.end(ref, elapsed=5.0)
        self.submit(12, kind="report")
        self.assertEqual(12, len(self.running))

    def test_declared_size_does_not_make_a_known_kind_long(self):
        self.submit(16, kind="confirm", declared=500.0)
        self.assertEqual(16, len(self.running))


class NotRunTest(BackendsCase):
    def test_refused_task_starts_again(self):
        self.configure(*make_backends(2))
        self.submit()
        (ref,) = self.running
        self.end(ref, NOT_RUN)
        self.now += 1.0
        self.submit()
        self.assertIn(ref, self.running)
        self.assertEqual({}, self.settled)

    def test_withdrawn_tasks_do_not_start_again(self):
        self.configure(*make_backends(1, slots=1))
        job = self.submit(3)
        self.send(messages.Withdraw(job))
        withdrawn = self.sends[0].msg
        self.assertEqual(2, len(withdrawn.indexes))
        (ref,) = self.running
        self.end(ref, NOT_RUN)
        self.assertEqual({}, self.running)


class HealthTest(BackendsCase):
    def run_requests(self, count, failing="b0", answer=FAILED, **fields):
        """Run single requests one by one; return those that failed."""
        failed = 0
        for _ in range(count):
            self.now += 0.02
            self.submit(idempotent=True, single=True, **fields)
            for ref in [*self.running]:
                is_failing = self.running[ref].backend.name == failing
                self.end(ref, answer if is_failing else FINISHED)
            failed += any(
                result.state != "finished" for result in self.settled.values()
            )
            self.settled.clear()
        return failed

    def tick(self):
        self.now += 0.25
        self.send(messages.TimerFired("tick"))

    def test_server_that_fails_everything_is_ejected(self):
        self.configure(*make_backends(6))
        self.assertLessEqual(self.run_requests(200), 2)

    def test_probe_that_fails_runs_elsewhere(self):
        self.configure(*make_backends(6))
        self.run_requests(100)
        self.now += 10.0
        self.submit(idempotent=True, single=True)
        (ref,) = self.refs_on("b0")
        self.end(ref, FAILED)
        self.assertNotIn(ref, self.settled)
        self.assertNotEqual("b0", self.running[ref].backend.name)

    def test_server_that_recovered_returns_by_probes(self):
        self.configure(*make_backends(6))
        self.run_requests(100)
        self.assertEqual([], self.started_on("b0", 30))
        self.now += 10.0
        self.run_requests(20, failing="none")
        self.assertNotEqual([], self.started_on("b0", 30))

    def started_on(self, name, count):
        self.submit(count)
        refs = self.refs_on(name)
        for ref in [*self.running]:
            self.end(ref)
        return refs

    def test_bad_job_ejects_no_server(self):
        self.configure(*make_backends(6))
        for _ in range(3):
            self.submit(200, kind="bad")
            for ref in [*self.running]:
                self.end(ref, FAILED)
            self.send(messages.Withdraw(f"job-{self.job_count}"))
            for ref in [*self.running]:
                self.end(ref, FAILED)
        self.submit(48)
        self.assertEqual(6, len(self.count_running()))

    def test_silent_server_gets_no_more_tasks(self):
        self.configure(*make_backends(6))
        for _ in range(3):
            self.now += 0.1
            self.submit(12)
            for ref in [*self.running]:
                if self.running[ref].backend.name != "b0":
                    self.end(ref)
        before = len(self.refs_on("b0"))
        self.assertLess(before, 8)
        for _ in range(4):
            self.tick()
        self.submit(200)
        self.assertEqual(before, len(self.refs_on("b0")))

    def test_overdue_tasks_make_a_server_slow(self):
        self.configure(*make_backends(2))
        self.submit(8)
        self.now += 0.1
        self.end(self.refs_on("b0")[0])
        self.now += 2.0
        for ref in self.refs_on("b1"):
            self.end(ref)
        self.submit(3)
        self.tick()
        before = len(self.refs_on("b0"))
        self.submit(3)
        self.assertEqual(before, len(self.refs_on("b0")))

    def test_unused_slow_server_is_tried_again(self):
        self.configure(*make_backends(2))
        self.submit(8)
        for ref in self.refs_on("b1"):
            self.end(ref)
        self.now += 3.0
        self.tick()
        for ref in self.refs_on("b0"):
            self.end(ref)
        for _ in range(400):
            self.tick()
        self.submit(9)
        self.assertEqual({"b0", "b1"}, set(self.count_running()))

    def test_a_third_of_the_servers_at_most_is_ejected(self):
        self.configure(*make_backends(6))
        for index in range(60):
            self.submit(kind=f"kind-{index}")
            self.end([*self.running][0], FAILED)
        self.submit(48)
        self.assertEqual(4, len(self.count_running()))

    def test_suspect_server_gets_no_borrowed_tasks(self):
        self.send(messages.PeersChanged(make_peers(1)))
        self.configure(*make_backends(2))
        self.submit(2)
        self.end(self.refs_on("b0")[0], FAILED)
        self.submit(40)
        self.assertEqual({"b0": 4, "b1": 8}, self.count_running())

    def test_leaving_server_gets_no_probe(self):
        self.configure(*make_backends(6))
        self.run_requests(100)
        self.send(messages.BackendsLeaving(frozenset({"b0"})))
        self.now += 60.0
        self.submit(idempotent=True, single=True)
        self.assertEqual([], self.refs_on("b0"))

    def test_slow_server_gets_tasks_by_its_speed(self):
        self.configure(*make_backends(2))
        for _ in range(60):
            self.now += 0.1
            self.submit(2)
            for ref in [*self.running]:
                is_slow = self.running[ref].backend.name == "b0"
                self.end(ref, elapsed=0.5 if is_slow else 0.1)
        self.submit(4)
        self.assertEqual({"b1": 4}, self.count_running())


class LeavingTest(BackendsCase):
    def test_leaving_server_gets_no_new_tasks(self):
        self.configure(*make_backends(2))
        self.send(messages.BackendsLeaving(frozenset({"b0"})))
        self.submit(20)
        self.assertEqual({"b1": 8}, self.count_running())
        self.send(messages.BackendsLeaving(frozenset()))
        self.end(self.refs_on("b1")[0])
        self.assertEqual({"b0", "b1"}, set(self.count_running()))

    def test_leaving_stays_in_force_in_a_new_configuration(self):
        self.send(messages.BackendsLeaving(frozenset({"b0"})))
        self.configure(*make_backends(2))
        self.submit(20)
        self.assertEqual({"b1": 8}, self.count_running())

    def test_mark_in_an_answer_makes_a_server_leaving(self):
        self.configure(*make_backends(2))
        self.submit(2)
        (ref,) = self.refs_on("b0")
        self.end(ref, FINISHED._replace(leaving=True))
        leaving = messages.BackendsLeaving(frozenset({"b0"}))
        report = messages.Send(messages.MEMBERSHIP, leaving)
        self.assertIn(report, self.sends)
        self.submit(20)
        self.assertEqual({"b1": 8}, self.count_running())

    def test_refusal_pauses_the_server(self):
        self.configure(*make_backends(2))
        self.submit(1)
        (ref,) = self.running
        refusing = self.running[ref].backend.name
        self.end(ref, NOT_RUN)
        self.submit(20)
        self.assertNotIn(refusing, self.count_running())


class LoadReportTest(BackendsCase):
    def tick(self):
        self.now += 0.25
        self.send(messages.TimerFired("tick"))
        return [send.msg for send in self.sends if send.to == "membership"]

    def test_slots_of_busy_peers_are_not_borrowed(self):
        self.send(messages.PeersChanged(make_peers(1, queued=5)))
        self.configure(*make_backends(2))
        self.submit(40)
        self.assertEqual({"b0": 4, "b1": 4}, self.count_running())
        self.send(messages.PeersChanged(make_peers(1)))
        self.assertEqual({"b0": 8, "b1": 8}, self.count_running())

    def test_load_is_reported_when_a_backlog_begins_or_ends(self):
        self.send(messages.PeersChanged(make_peers(1, queued=5)))
        self.configure(*make_backends(2))
        self.assertEqual([], self.tick())
        self.submit(9)
        (report,) = self.tick()
        self.assertEqual(types.LoadHint(1, 8, 8), report.load)
        self.assertEqual([], self.tick())
        self.end([*self.running][0])
        (report,) = self.tick()
        self.assertEqual(0, report.load.queued)

    def test_pause_grows_with_consecutive_refusals(self):
        self.configure(*make_backends(1))
        self.submit(1)
        starts = 0
        for _ in range(200):
            self.now += 0.05
            self.send(messages.TimerFired("tick"))
            for ref in [*self.running]:
                starts += 1
                self.end(ref, NOT_RUN)
        self.assertLess(starts, 20)
        self.now += 3.0
        self.send(messages.TimerFired("tick"))
        self.end([*self.running][0])
        self.submit(1)
        self.assertEqual({"b0": 1}, self.count_running())
