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
            f"b{one}",
            "booking",
            domains[one % len(domains)],
            "127.0.0.1",
            7000 + one,
            slots,
        )
        for one in range(count)
    )


def make_peers(count, status="alive", **load):
    return tuple(
        types.PeerView(
            f"pocitos.entry-{one}.0123456789ab",
            "127.0.0.1",
            8000 + one,
            status,
            types.LoadHint(**load),
        )
        for one in range(1, count + 1)
    )


class BackendsCase(unittest.TestCase):
    """Drives the controller; what starts is kept in `flying`."""

    def setUp(self):
        self.now = 0.0
        self.jobs = 0
        self.flying = {}
        self.settled = {}
        self.sends = []
        self.controller = controllers.backends.make_controller(
            OWNER, random.Random(1)
        )

    def configure(self, *backends):
        services = (types.ServiceSpec("booking"),)
        cfg = types.Configuration(1, 0, services, backends)
        self.tell(messages.ConfigurationChanged(cfg))

    def tell(self, msg):
        self.sends = list(self.controller.receive(msg, self.now))
        for _, sent in self.sends:
            if isinstance(sent, messages.StartTask):
                self.flying[sent.task] = sent
            if isinstance(sent, messages.TaskSettled):
                self.settled[sent.task] = sent.result

    def submit(self, count=1, kind="reserve", declared=None, **fields):
        """Enqueue a job; return its name."""
        self.jobs += 1
        name = f"job-{self.jobs}"
        task = types.TaskSpec("booking", kind, b"", declared)
        spec = types.JobSpec("team", (task,) * count, 60.0, name, **fields)
        self.tell(messages.Enqueue(name, spec, self.now + 60.0))
        return name

    def end(self, ref, answer=FINISHED, elapsed=0.1):
        backend = self.flying.pop(ref).backend.name
        ended = answer._replace(elapsed=elapsed)
        self.tell(messages.AttemptEnded(backend, ref, ended))

    def in_flight(self):
        """Return the tasks in flight by backend server."""
        found = {}
        for sent in self.flying.values():
            found.setdefault(sent.backend.name, []).append(sent.task)
        return {name: len(refs) for name, refs in sorted(found.items())}

    def refs_on(self, name):
        return [
            ref
            for ref, sent in self.flying.items()
            if sent.backend.name == name
        ]


class SharingTest(BackendsCase):
    def test_tasks_wait_here_until_a_slot_is_free(self):
        self.configure(*make_backends(2))
        self.submit(40)
        self.assertEqual({"b0": 8, "b1": 8}, self.in_flight())
        self.end(self.refs_on("b1")[0])
        self.assertEqual({"b0": 8, "b1": 8}, self.in_flight())

    def test_own_slots_fill_before_borrowed_ones(self):
        self.tell(messages.PeersChanged(make_peers(3)))
        self.configure(*make_backends(4))
        self.submit(8)
        self.assertEqual(
            {"b0": 2, "b1": 2, "b2": 2, "b3": 2}, self.in_flight()
        )

    def test_borrowed_tasks_stay_within_the_limit(self):
        self.tell(messages.PeersChanged(make_peers(3)))
        self.configure(*make_backends(4))
        self.submit(100)
        self.assertEqual(8 + 8, len(self.flying))

    def test_connections_stay_within_the_share(self):
        self.tell(messages.PeersChanged(make_peers(15)))
        self.configure(*make_backends(2, slots=16))
        self.submit(100)
        self.assertEqual({"b0": 4, "b1": 4}, self.in_flight())

    def test_refused_borrowed_task_shrinks_the_limit(self):
        self.tell(messages.PeersChanged(make_peers(3)))
        self.configure(*make_backends(4))
        self.submit(100)
        self.now += 1.0
        self.end([*self.flying][-1], NOT_RUN)
        self.assertEqual(15, len(self.flying))

    def test_borrowing_grows_while_slots_are_idle(self):
        self.tell(messages.PeersChanged(make_peers(7)))
        self.configure(*make_backends(24))
        self.submit(400)
        first = len(self.flying)
        for _ in range(3):
            self.now += 0.1
            for ref in [*self.flying]:
                self.end(ref)
        self.assertGreater(len(self.flying), 2 * first)

    def test_borrowing_shrinks_when_borrowed_tasks_wait(self):
        self.tell(messages.PeersChanged(make_peers(7)))
        self.configure(*make_backends(24))
        self.submit(400)
        for _ in range(12):
            self.now += 0.4
            for ref in [*self.flying]:
                mine = sum(self.in_flight().values()) <= 24
                self.end(ref, elapsed=0.1 if mine else 0.4)
        self.assertLessEqual(len(self.flying), 24 + 3)

    def test_a_dead_peer_leaves_its_share(self):
        self.tell(messages.PeersChanged(make_peers(1)))
        self.configure(*make_backends(1))
        self.tell(messages.PeersChanged(make_peers(1, "dead")))
        self.submit(20)
        self.assertEqual({"b0": 8}, self.in_flight())


class LongTest(BackendsCase):
    def setUp(self):
        super().setUp()
        self.configure(*make_backends(2))
        for kind, took in (("confirm", 0.05), ("report", 5.0)) * 3:
            self.submit(kind=kind)
            self.end([*self.flying][0], elapsed=took)
        for _ in range(60):
            self.submit(kind="confirm")
            self.end([*self.flying][0], elapsed=0.05)

    def test_long_kinds_leave_slots_for_short_ones(self):
        self.submit(40, kind="report")
        self.assertEqual(12, len(self.flying))
        self.submit(4, kind="confirm")
        self.assertEqual(16, len(self.flying))

    def test_short_kinds_take_every_slot(self):
        self.submit(40, kind="confirm")
        self.assertEqual(16, len(self.flying))

    def test_long_tasks_of_a_withdrawn_server_are_counted_out(self):
        self.submit(12, kind="report")
        self.assertEqual(12, len(self.flying))
        self.configure(*make_backends(4)[2:])
        for ref in list(self.flying):
            self.end(ref, elapsed=5.0)
        self.submit(12, kind="report")
        self.assertEqual(12, len(self.flying))

    def test_declared_size_makes_no_known_kind_long(self):
        self.submit(16, kind="confirm", declared=500.0)
        self.assertEqual(16, len(self.flying))


class NotRunTest(BackendsCase):
    def test_refused_task_starts_again(self):
        self.configure(*make_backends(2))
        self.submit()
        (ref,) = self.flying
        self.end(ref, NOT_RUN)
        self.now += 1.0
        self.submit()
        self.assertIn(ref, self.flying)
        self.assertEqual({}, self.settled)

    def test_withdrawn_tasks_do_not_start_again(self):
        self.configure(*make_backends(1, slots=1))
        job = self.submit(3)
        self.tell(messages.Withdraw(job))
        withdrawn = self.sends[0].msg
        self.assertEqual(2, len(withdrawn.indexes))
        (ref,) = self.flying
        self.end(ref, NOT_RUN)
        self.assertEqual({}, self.flying)


class HealthTest(BackendsCase):
    def run_all(self, count, bad="b0", answer=FAILED, **fields):
        """Run single requests one by one; return those that failed."""
        lost = 0
        for _ in range(count):
            self.now += 0.02
            self.submit(idempotent=True, single=True, **fields)
            for ref in [*self.flying]:
                broken = self.flying[ref].backend.name == bad
                self.end(ref, answer if broken else FINISHED)
            lost += any(
                result.state != "finished" for result in self.settled.values()
            )
            self.settled.clear()
        return lost

    def tick(self):
        self.now += 0.25
        self.tell(messages.TimerFired("tick"))

    def test_server_that_fails_everything_is_left(self):
        self.configure(*make_backends(6))
        self.assertLessEqual(self.run_all(200), 2)

    def test_probe_that_fails_runs_elsewhere(self):
        self.configure(*make_backends(6))
        self.run_all(100)
        self.now += 10.0
        self.submit(idempotent=True, single=True)
        (ref,) = self.refs_on("b0")
        self.end(ref, FAILED)
        self.assertNotIn(ref, self.settled)
        self.assertNotEqual("b0", self.flying[ref].backend.name)

    def test_server_that_recovered_returns_by_probes(self):
        self.configure(*make_backends(6))
        self.run_all(100)
        self.assertEqual([], self.started_on("b0", 30))
        self.now += 10.0
        self.run_all(20, bad="none")
        self.assertNotEqual([], self.started_on("b0", 30))

    def started_on(self, name, count):
        self.submit(count)
        found = self.refs_on(name)
        for ref in [*self.flying]:
            self.end(ref)
        return found

    def test_bad_job_ejects_no_server(self):
        self.configure(*make_backends(6))
        for _ in range(3):
            self.submit(200, kind="bad")
            for ref in [*self.flying]:
                self.end(ref, FAILED)
            self.tell(messages.Withdraw(f"job-{self.jobs}"))
            for ref in [*self.flying]:
                self.end(ref, FAILED)
        self.submit(48)
        self.assertEqual(6, len(self.in_flight()))

    def test_silent_server_gets_no_more(self):
        self.configure(*make_backends(6))
        for _ in range(3):
            self.now += 0.1
            self.submit(12)
            for ref in [*self.flying]:
                if self.flying[ref].backend.name != "b0":
                    self.end(ref)
        held = len(self.refs_on("b0"))
        self.assertLess(held, 8)
        for _ in range(4):
            self.tick()
        self.submit(200)
        self.assertEqual(held, len(self.refs_on("b0")))

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
        self.assertEqual({"b0", "b1"}, set(self.in_flight()))

    def test_a_third_of_the_servers_at_most_is_ejected(self):
        self.configure(*make_backends(6))
        for one in range(60):
            self.submit(kind=f"kind-{one}")
            self.end([*self.flying][0], FAILED)
        self.submit(48)
        self.assertEqual(4, len(self.in_flight()))

    def test_suspect_server_gets_no_borrowed_tasks(self):
        self.tell(messages.PeersChanged(make_peers(1)))
        self.configure(*make_backends(2))
        self.submit(2)
        self.end(self.refs_on("b0")[0], FAILED)
        self.submit(40)
        self.assertEqual({"b0": 4, "b1": 8}, self.in_flight())

    def test_leaving_server_gets_no_probe(self):
        self.configure(*make_backends(6))
        self.run_all(100)
        self.tell(messages.BackendsLeaving(frozenset({"b0"})))
        self.now += 60.0
        self.submit(idempotent=True, single=True)
        self.assertEqual([], self.refs_on("b0"))

    def test_slow_server_keeps_what_it_can_carry(self):
        self.configure(*make_backends(2))
        for _ in range(60):
            self.now += 0.1
            self.submit(2)
            for ref in [*self.flying]:
                slow = self.flying[ref].backend.name == "b0"
                self.end(ref, elapsed=0.5 if slow else 0.1)
        self.submit(4)
        self.assertEqual({"b1": 4}, self.in_flight())


class LeavingTest(BackendsCase):
    def test_leaving_server_gets_nothing_new(self):
        self.configure(*make_backends(2))
        self.tell(messages.BackendsLeaving(frozenset({"b0"})))
        self.submit(20)
        self.assertEqual({"b1": 8}, self.in_flight())
        self.tell(messages.BackendsLeaving(frozenset()))
        self.end(self.refs_on("b1")[0])
        self.assertEqual({"b0", "b1"}, set(self.in_flight()))

    def test_leaving_stays_in_force_in_a_new_configuration(self):
        self.tell(messages.BackendsLeaving(frozenset({"b0"})))
        self.configure(*make_backends(2))
        self.submit(20)
        self.assertEqual({"b1": 8}, self.in_flight())

    def test_sign_in_an_answer_is_enough(self):
        self.configure(*make_backends(2))
        self.submit(2)
        (ref,) = self.refs_on("b0")
        self.end(ref, FINISHED._replace(leaving=True))
        sign = messages.BackendsLeaving(frozenset({"b0"}))
        told = messages.Send(messages.MEMBERSHIP, sign)
        self.assertIn(told, self.sends)
        self.submit(20)
        self.assertEqual({"b1": 8}, self.in_flight())

    def test_refusal_pauses_the_server(self):
        self.configure(*make_backends(2))
        self.submit(1)
        (ref,) = self.flying
        refused = self.flying[ref].backend.name
        self.end(ref, NOT_RUN)
        self.submit(20)
        self.assertNotIn(refused, self.in_flight())


class HintTest(BackendsCase):
    def tick(self):
        self.now += 0.25
        self.tell(messages.TimerFired("tick"))
        return [one.msg for one in self.sends if one.to == "membership"]

    def test_busy_peers_lend_nothing(self):
        self.tell(messages.PeersChanged(make_peers(1, queued=5)))
        self.configure(*make_backends(2))
        self.submit(40)
        self.assertEqual({"b0": 4, "b1": 4}, self.in_flight())
        self.tell(messages.PeersChanged(make_peers(1)))
        self.assertEqual({"b0": 8, "b1": 8}, self.in_flight())

    def test_peers_hear_of_the_load_when_it_turns(self):
        self.tell(messages.PeersChanged(make_peers(1, queued=5)))
        self.configure(*make_backends(2))
        self.assertEqual([], self.tick())
        self.submit(9)
        (report,) = self.tick()
        self.assertEqual(types.LoadHint(1, 8, 8), report.load)
        self.assertEqual([], self.tick())
        self.end([*self.flying][0])
        (report,) = self.tick()
        self.assertEqual(0, report.load.queued)

    def test_refusals_in_a_row_pause_longer(self):
        self.configure(*make_backends(1))
        self.submit(1)
        starts = 0
        for _ in range(200):
            self.now += 0.05
            self.tell(messages.TimerFired("tick"))
            for ref in [*self.flying]:
                starts += 1
                self.end(ref, NOT_RUN)
        self.assertLess(starts, 20)
        self.now += 3.0
        self.tell(messages.TimerFired("tick"))
        self.end([*self.flying][0])
        self.submit(1)
        self.assertEqual({"b0": 1}, self.in_flight())
