"""Claims on executors: no start of before is carried out after a claim."""

import unittest

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.planner import planner
from cardamompathd.controllers.planner import planner_runs

CAPACITY = executors.Resources(8000, 1024)
TOKEN = 7
"""The token that the clock gives all the time."""


class PlannerClaimsTest(unittest.TestCase):
    def setUp(self):
        controller = planner.make_controller("n-a", lambda: TOKEN, 0.0)
        self.receive = controller.receive
        self.now = 10.0
        self.holds = {}
        self.specs = {
            name: executors.Executor(
                name, "desk", "a", (name, 2), 1, "ready", CAPACITY, ("m",)
            )
            for name in ("x-a", "x-b")
        }
        own = planner_election.Member("n-a", "a", ("n-a", 1), 1000)
        other = planner_election.Member("n-b", "a", ("n-b", 1), 1001)
        self.list_executors()
        self.tell(fleet_views.make_view(own, (own, other), ()))
        for name in self.specs:
            self.answer_hold(name)

    def tell(self, msg, later=0.0):
        self.now += later
        sent = [send.msg for send in self.receive(msg, self.now)]
        for item in sent:
            if isinstance(item, pool_messages.HoldExecutor):
                self.holds[item.executor.name] = item
        return sent

    def tick(self, later=0.05):
        return self.tell(messages.TimerFired("tick"), later)

    def list_executors(self):
        listed = pool_messages.ExecutorsListed(tuple(self.specs.values()))
        return self.tell(listed)

    def answer_hold(self, name, running=(), incarnation=1):
        answer = pool_messages.HoldAnswered(
            name, self.holds[name].token, incarnation, self.now, running, ()
        )
        return self.tell(answer)

    def fail_hold(self, name, later=0.0):
        failed = pool_messages.HoldFailed(
            name, self.holds[name].token, False, False, "timed out"
        )
        return self.tell(failed, later)

    def make_batch(self, label=""):
        step = batches.Step(1, executors.Resources(8000, 1), 0.2, label=label)
        policy = batches.RoutePolicy("r", "desk", max_attempts=9, slack=9.0)
        return batches.Batch("j", "", (step,), policy)

    def plan(self, label=""):
        batch = self.make_batch(label)
        return self.tell(pool_messages.PlanBatch(batch, "n-a", 0.0, 9.0, 0))

    def start_task(self):
        return self.starts(self.plan())[0]

    def answer_start(self, start, result):
        name = start.executor.name
        clock = self.now if result == "started" else None
        return self.tell(
            pool_messages.StartAnswered(name, start.run, result, "", clock)
        )

    def starts(self, sent):
        return [msg for msg in sent if isinstance(msg, pool_messages.StartRun)]

    def stops(self, sent):
        return [msg for msg in sent if isinstance(msg, pool_messages.StopRun)]

    def restart(self, start):
        """List a restarted executor; return the messages."""
        name = start.executor.name
        self.specs[name] = self.specs[name]._replace(incarnation=2)
        return self.list_executors() + self.tick()

    def test_start_counts_the_lease_of_a_former_planner(self):
        self.permit(0.4, timeout=0.75)
        batch = self.make_batch()
        plan = pool_messages.PlanBatch(batch, "n-b", 0.0, 9.0, 0, term=1)
        self.assertEqual(self.starts(self.tell(plan)), [])
        self.now += 0.2
        self.permit(0.4, timeout=0.75)
        self.assertEqual(len(self.starts(self.tick())), 1)

    def permit(self, seconds, timeout):
        """Get a permission of another instance for its batches."""
        until = self.now + seconds
        self.tell(
            pool_messages.PlanningPermitted(
                "n-b", 1001, 1, until, until - timeout
            )
        )

    def test_run_is_lost_once_though_its_executor_restarts_twice(self):
        start = self.start_task()
        name = start.executor.name
        reports = []
        for incarnation in (2, 3):
            self.specs[name] = self.specs[name]._replace(
                incarnation=incarnation
            )
            reports += [
                msg
                for msg in self.list_executors()
                if isinstance(msg, pool_messages.LossesReported)
            ]
        self.assertEqual(
            {loss.incarnation for msg in reports for loss in msg.losses}, {1}
        )

    def test_token_stays_within_64_bits_after_many_fences(self):
        for _ in range(80):
            name = "x-a"
            fenced = pool_messages.HoldFailed(
                name, self.holds[name].token, True, False, "fence"
            )
            self.tell(fenced)
            self.tick(2.1)
        self.assertLess(self.holds["x-a"].token, 1 << 62)

    def test_start_without_answer_is_fenced_off_before_another(self):
        start = self.start_task()
        name = start.executor.name
        sent = self.answer_start(start, "unknown") + self.tick()
        self.assertEqual(self.starts(sent), [])
        self.assertGreater(self.holds[name].token, start.token)
        self.assertEqual(len(self.starts(self.answer_hold(name))), 1)

    def test_start_without_answer_goes_on_where_it_was_carried_out(self):
        start = self.start_task()
        sent = self.answer_start(start, "unknown") + self.tick()
        sent += self.answer_hold(start.executor.name, (start.run,))
        self.assertEqual(self.starts(sent) + self.stops(sent), [])
        self.assertIsNotNone(self.holds[start.executor.name].expires)

    def test_hold_after_a_failed_one_fences_off_what_was_sent_before(self):
        before = self.holds["x-a"].token
        self.fail_hold("x-a")
        self.tick(0.2)
        self.assertGreater(self.holds["x-a"].token, before)

    def test_restarted_executor_is_claimed_before_its_tasks_start_again(self):
        for result in ("started", "unknown"):
            with self.subTest(result=result):
                self.setUp()
                start = self.start_task()
                sent = self.answer_start(start, result)
                sent += self.restart(start)
                self.assertEqual(self.starts(sent), [])
                name = start.executor.name
                self.assertGreater(self.holds[name].token, start.token)
                sent = self.answer_hold(name, (), 2)
                self.assertEqual(len(self.starts(sent)), 1)

    def test_answer_of_a_restarted_executor_to_an_old_claim_is_no_proof(self):
        start = self.start_task()
        name = start.executor.name
        self.assertEqual(self.starts(self.answer_hold(name, (), 2)), [])
        self.assertGreater(self.holds[name].token, start.token)
        sent = self.answer_hold(name, (), 2)
        self.assertEqual(len(self.starts(sent)), 1)

    def test_run_that_a_restarted_executor_started_late_goes_on(self):
        start = self.start_task()
        sent = self.answer_start(start, "unknown")
        sent += self.restart(start)
        sent += self.answer_hold(start.executor.name, (start.run,), 2)
        self.assertEqual(self.starts(sent) + self.stops(sent), [])

    def test_leases_of_a_restarted_silent_executor_do_not_lapse(self):
        # The order of before may be carried out until it is fenced off.
        start = self.start_task()
        sent = self.answer_start(start, "unknown")
        sent += self.restart(start)
        name = start.executor.name
        other = next(each for each in self.specs if each != name)
        for _ in range(40):
            sent += self.fail_hold(name, 0.05)
            sent += self.answer_hold(other)
            sent += self.tick()
        self.assertEqual(self.starts(sent), [])
        sent = self.answer_hold(name, (), 2)
        self.assertEqual(len(self.starts(sent)), 1)

    def test_adopted_run_is_not_over_as_soon_as_its_executor_is_silent(self):
        # No lease was known to be on an executor of which a run was adopted.
        run = pool_messages.Run("j", 0, 0, 1)
        self.answer_hold("x-a", (run,))
        self.assertEqual(self.starts(self.plan()), [])
        began_at = self.now
        while self.now < began_at + planner_runs.LAPSE_TIME - 0.1:
            sent = self.fail_hold("x-a") + self.answer_hold("x-b")
            sent += self.tick()
            self.assertEqual(self.starts(sent), [])
        for _ in range(4):
            sent += self.fail_hold("x-a") + self.tick(0.1)
        self.assertEqual(len(self.starts(sent)), 1)

    def restart_unlisted(self):
        """Have "x-a" answer as a new process; return the messages."""
        sent = self.answer_hold("x-a", (), 2)
        return sent + self.answer_hold("x-a", (), 2)

    def test_new_process_gets_no_task_by_the_labels_of_the_former(self):
        # Tasks that need a label started on a process of another model (case
        # 3 of the review).
        del self.specs["x-b"]
        self.list_executors()
        sent = self.restart_unlisted()
        requests = [
            msg
            for msg in sent
            if isinstance(msg, pool_messages.SetListingRate)
        ]
        self.assertEqual(len(requests), 1)
        self.assertEqual(self.starts(self.plan("m")), [])
        # The entry of the former process is read once more.
        self.assertEqual(self.starts(self.list_executors()), [])
        self.specs["x-a"] = self.specs["x-a"]._replace(
            incarnation=2, labels=("n",)
        )
        self.assertEqual(self.starts(self.list_executors()), [])
        self.assertEqual(self.starts(self.tick()), [])

    def test_new_process_gets_tasks_as_soon_as_its_entry_is_read(self):
        del self.specs["x-b"]
        self.list_executors()
        self.restart_unlisted()
        self.assertEqual(self.starts(self.plan("m")), [])
        self.specs["x-a"] = self.specs["x-a"]._replace(incarnation=2)
        self.assertEqual(len(self.starts(self.list_executors())), 1)

    def test_new_process_has_the_capacity_of_its_own_entry(self):
        del self.specs["x-b"]
        self.list_executors()
        self.restart_unlisted()
        self.plan()
        small = executors.Resources(4000, 1024)
        self.specs["x-a"] = self.specs["x-a"]._replace(
            incarnation=2, capacity=small
        )
        self.assertEqual(self.starts(self.list_executors()), [])

    def test_failures_of_the_former_process_do_not_count(self):
        del self.specs["x-b"]
        self.list_executors()
        sent = self.plan()
        for number in range(1, 5):
            run = self.starts(sent)[0].run
            ended = pool_messages.EndedRun(number, run, "failed")
            answer = pool_messages.HoldAnswered(
                "x-a", self.holds["x-a"].token, 1, self.now, (), (ended,)
            )
            sent = self.tell(answer)
        run = self.starts(sent)[0].run
        self.tick(0.3)
        ended = pool_messages.EndedRun(5, run, "failed")
        answer = pool_messages.HoldAnswered(
            "x-a", self.holds["x-a"].token, 1, self.now, (), (ended,)
        )
        self.assertEqual(self.starts(self.tell(answer)), [])
        self.restart_unlisted()
        self.specs["x-a"] = self.specs["x-a"]._replace(incarnation=2)
        self.assertEqual(len(self.starts(self.list_executors())), 1)

    def test_executor_that_was_removed_gets_a_higher_token(self):
        first = self.holds["x-a"].token
        spec = self.specs.pop("x-a")
        self.list_executors()
        self.answer_hold("x-a")
        self.tick()
        self.specs["x-a"] = spec
        self.list_executors()
        self.assertGreater(self.holds["x-a"].token, first)


if __name__ == "__main__":
    unittest.main()
