"""When a planner may run the batch of another instance, and when no more."""

import itertools
import unittest

from cardamompath_core import batches
from cardamompath_core import executor_digests
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.planner import planner
from cardamompathd.controllers.planner import planner_executors
from cardamompathd.controllers.planner import planner_runs

CAPACITY = executors.Resources(8000, 1024)
RESUBMIT_DELAY = 1.3
"""Seconds after which callers without an answer submit a job again."""
TIMEOUT = 0.45
"""Seconds from the sign of life that a permission rests on to its end."""
ORIGIN_STARTED = 1001
"""Start time of the instance whose batch is planned."""


EXECUTOR = executors.Executor(
    "x-a", "desk", "a", ("x-a", 2), 1, "ready", CAPACITY, ("m",)
)


def digest_of(*names):
    """Return the digest that a planner announces for executors."""
    return executor_digests.digest_of(map(executor_digests.hash_of, names))


SAME = (digest_of("x-a"),)
"""Digests if the former planner held the same executors."""


def make_member(name, started):
    return planner_election.Member(name, "a", (name, 1), started)


def make_batch(count=1):
    step = batches.Step(count, executors.Resources(4000, 1), 0.2)
    policy = batches.RoutePolicy("r", "desk", max_attempts=4, slack=9.0)
    return batches.Batch("j", "", (step,), policy)


class PlannerPermissionsTest(unittest.TestCase):
    def setUp(self):
        tokens = itertools.count(7)
        controller = planner.make_controller(
            "n-a",
            lambda: next(tokens),
            0.0,
            resubmit_delay=RESUBMIT_DELAY,
        )
        self.receive = controller.receive
        self.now = 10.0
        self.running = ()
        self.ended = ()
        own = make_member("n-a", 1000)
        members = (own, make_member("n-b", ORIGIN_STARTED))
        self.tell(pool_messages.ExecutorsListed((EXECUTOR,)))
        self.tell(fleet_views.make_view(own, members, ()))
        self.answer_hold()

    def tell(self, msg, later=0.0):
        self.now += later
        sent = [send.msg for send in self.receive(msg, self.now)]
        for item in sent:
            if isinstance(item, pool_messages.HoldExecutor):
                self.hold = item
        return sent

    def tick(self, later=0.05):
        return self.tell(messages.TimerFired("tick"), later)

    def answer_hold(self):
        answer = pool_messages.HoldAnswered(
            "x-a", self.hold.token, 1, self.now, self.running, self.ended
        )
        self.ended = ()
        return self.tell(answer)

    def permit(self, seconds, term=1, started=ORIGIN_STARTED, timeout=TIMEOUT):
        until = self.now + seconds
        permitted = pool_messages.PlanningPermitted(
            "n-b", started, term, until, until - timeout
        )
        self.tell(permitted)

    def plan(self, term=1, round_number=0, count=1, **fields):
        msg = pool_messages.PlanBatch(
            make_batch(count), "n-b", 0.1, 9.0, round_number, term=term
        )
        return self.tell(msg._replace(**fields))

    def kinds(self, sent, kind):
        return [msg for msg in sent if isinstance(msg, kind)]

    def started(self, sent):
        return [msg.run for msg in self.kinds(sent, pool_messages.StartRun)]

    def test_batch_starts_once_it_is_permitted(self):
        self.assertEqual(self.started(self.plan()), [])
        self.permit(0.4)
        self.assertEqual(len(self.started(self.tick())), 1)

    def test_lapsed_permission_starts_nothing(self):
        self.permit(0.4)
        self.now += 0.4
        self.assertEqual(self.started(self.plan()), [])
        self.assertEqual(self.started(self.tick()), [])

    def test_old_permission_read_late_does_not_shorten_a_newer_one(self):
        self.permit(0.9)
        self.permit(0.1)
        self.now += 0.5
        self.assertEqual(len(self.started(self.plan())), 1)

    def test_permission_of_a_restarted_instance_replaces_the_older(self):
        self.permit(9.0)
        self.permit(0.1, started=ORIGIN_STARTED + 1)
        self.now += 0.5
        self.assertEqual(self.started(self.plan()), [])

    def test_runs_without_permission_are_not_renewed_and_then_stopped(self):
        self.permit(0.4)
        self.running = tuple(self.started(self.plan()))
        self.answer_hold()
        self.assertIsNotNone(self.hold.expires)
        self.now += 0.5
        self.answer_hold()
        self.assertIsNone(self.hold.expires)
        self.tick()
        self.assertEqual(self.kinds(self.tick(0.5), pool_messages.StopRun), [])
        sent = self.tick(0.2)
        stopped = self.kinds(sent, pool_messages.StopRun)
        self.assertEqual([msg.run for msg in stopped], list(self.running))

    def test_no_lease_outlasts_the_pause_of_a_caller_without_an_answer(self):
        # Leases that a former planner may have renewed lapse first.
        self.now += 0.5
        confirmed_at = self.now - 0.4
        self.permit(0.4, timeout=0.8)
        latest_end = confirmed_at + RESUBMIT_DELAY - planner_runs.END_TIME
        start = self.kinds(self.plan(), pool_messages.StartRun)[0]
        self.assertLessEqual(self.longest_end(start.expires), latest_end)
        self.assertGreater(start.expires, self.now + 0.7)
        self.running = (start.run,)
        self.now += 0.3
        self.answer_hold()
        self.assertLessEqual(self.longest_end(self.hold.expires), latest_end)

    def test_batch_waits_for_a_permission_that_covers_a_lease(self):
        self.permit(0.4, timeout=1.2)
        self.assertEqual(self.started(self.plan()), [])
        self.permit(0.4)
        self.assertEqual(len(self.started(self.tick())), 1)

    def longest_end(self, expires):
        """Return when a lease ends on the slowest clock of an executor."""
        return self.now + (expires - self.now) / (
            1.0 - planner_executors.CLOCK_ERROR
        )

    def test_permission_that_is_late_costs_nothing(self):
        self.permit(0.4)
        self.running = tuple(self.started(self.plan()))
        self.tick(0.5)
        self.permit(0.4)
        self.assertEqual(self.kinds(self.tick(0.3), pool_messages.StopRun), [])

    def test_later_term_does_not_revive_a_batch_of_an_earlier_one(self):
        # The planner was paused, the batch went to another one, and came
        # back as the first was heard again: its old copy started at once,
        # beside the runs of the other.  Failing run: seed 16 of
        # test_slow_planners.
        self.running = (pool_messages.Run("other", 0, 0, 1),) * 2
        self.answer_hold()
        self.permit(0.4)
        self.plan()
        self.permit(0.4, term=2)
        self.running = ()
        self.assertEqual(self.started(self.answer_hold()), [])
        self.assertEqual(self.started(self.tick()), [])

    def test_batch_that_comes_back_waits_for_the_runs_of_others(self):
        self.permit(0.4)
        self.running = tuple(self.started(self.plan()))
        self.answer_hold()
        self.permit(9.0, term=2)
        sent = self.plan(term=2, round_number=2, permitted_time=0.3)
        self.assertEqual(self.started(sent), [])
        stopped = self.kinds(sent, pool_messages.StopRun)
        self.assertEqual([msg.run for msg in stopped], list(self.running))
        self.ended = (pool_messages.EndedRun(1, self.running[0], "stopped"),)
        self.running = ()
        wait = 0.3 + planner_runs.LAPSE_TIME
        self.assertEqual(self.started(self.answer_hold()), [])
        self.assertEqual(self.started(self.tick(wait - 0.1)), [])
        self.answer_hold()
        self.assertEqual(len(self.started(self.tick(0.2))), 1)

    def test_claim_from_before_a_hand_over_proves_nothing(self):
        # A planner that was slow believed its old claims, while another one
        # had claimed an executor again and started a task there.  Failing
        # run: seed 40 of test_slow_planners, in a pool.
        self.permit(9.0)
        self.now += 0.1
        sent = self.plan(
            round_number=1, shard_changed=False, former_executors=SAME
        )
        self.assertEqual(self.started(sent), [])
        self.assertEqual(self.started(self.tick()), [])
        # The first answer is to a hold that was sent before.
        self.assertEqual(self.started(self.answer_hold()), [])
        self.assertEqual(len(self.started(self.answer_hold())), 1)

    def test_claim_proves_all_once_the_former_planner_has_ended(self):
        self.permit(9.0)
        sent = self.plan(
            round_number=1,
            shard_changed=False,
            ended_planner="n-b",
            former_executors=SAME,
        )
        self.assertEqual(len(self.started(sent)), 1)

    def test_claim_waits_for_a_former_planner_that_may_go_on(self):
        self.permit(9.0)
        self.plan(
            round_number=1,
            shard_changed=False,
            permitted_time=0.4,
            former_executors=SAME,
        )
        self.now += 0.3
        self.answer_hold()
        self.assertEqual(self.started(self.answer_hold()), [])
        self.now += 0.2
        self.answer_hold()
        self.assertEqual(len(self.started(self.answer_hold())), 1)

    def test_claim_waits_for_the_executors_of_the_former_planner(self):
        # A list that lacked some was taken for complete, and tasks were
        # started beside their runs on those.
        self.permit(9.0)
        self.now += 0.1
        sent = self.plan(
            round_number=1,
            shard_changed=False,
            former_executors=(digest_of("x-a", "x-b"),),
        )
        requests = self.kinds(sent, pool_messages.SetListingRate)
        self.assertEqual([msg.planning for msg in requests], [True])
        self.now += 0.1
        self.answer_hold()
        self.assertEqual(self.started(self.answer_hold()), [])
        listed = (EXECUTOR, EXECUTOR._replace(name="x-b", state="draining"))
        sent = self.tell(pool_messages.ExecutorsListed(listed))
        self.assertEqual(self.started(sent), [])
        claim = self.kinds(sent, pool_messages.HoldExecutor)[-1]
        self.assertEqual(claim.executor.name, "x-b")
        answer = pool_messages.HoldAnswered(
            "x-b", claim.token, 1, self.now, (), ()
        )
        self.now += 0.01
        self.assertEqual(len(self.started(self.tell(answer))), 1)

    def test_unknown_executors_of_a_former_planner_cost_the_longest_lease(
        self,
    ):
        # The former planner was lost before it had told what it held.
        self.permit(9.0)
        self.now += 0.1
        unknown = (executor_digests.UNKNOWN,)
        for fields in ({}, {"former_executors": unknown}):
            with self.subTest(fields):
                self.setUp()
                self.permit(9.0)
                self.plan(round_number=1, shard_changed=False, **fields)
                self.answer_hold()
                self.assertEqual(self.started(self.answer_hold()), [])
                sent = self.tick(planner_runs.LAPSE_TIME - 0.01)
                self.assertEqual(self.started(sent), [])
                self.answer_hold()
                self.assertEqual(len(self.started(self.tick(0.02))), 1)

    def test_executor_is_used_once_the_origin_knows_of_it(self):
        # If this planner is lost, the origin has to tell its successor of
        # all executors that may have a task.
        self.permit(0.4)
        listed = (EXECUTOR._replace(state="draining"),)
        listed += (EXECUTOR._replace(name="x-b"),)
        self.now += 0.1
        sent = self.tell(pool_messages.ExecutorsListed(listed))
        held = self.kinds(sent, pool_messages.ExecutorsHeld)
        self.assertEqual(
            {msg.digest for msg in held}, {digest_of("x-a", "x-b")}
        )
        claim = self.kinds(sent, pool_messages.HoldExecutor)[-1]
        answer = pool_messages.HoldAnswered(
            "x-b", claim.token, 1, self.now, (), ()
        )
        self.now += 0.01
        self.tell(answer)
        self.assertEqual(self.started(self.plan()), [])
        self.permit(0.4, timeout=0.45)
        self.assertEqual(self.started(self.tick(0.01)), [])
        self.now += 0.1
        self.permit(0.4, timeout=0.41)
        self.assertEqual(len(self.started(self.tick(0.01))), 1)

    def test_stopped_run_is_not_renewed_for_a_batch_that_comes_back(self):
        self.permit(0.4)
        self.running = tuple(self.started(self.plan()))
        self.answer_hold()
        self.permit(9.0, term=2)
        self.plan(term=2, round_number=2)
        self.answer_hold()
        self.assertIsNone(self.hold.expires)

    def test_drop_is_acknowledged_also_if_the_batch_is_unknown(self):
        self.permit(0.4)
        for name in ("j", "unknown"):
            self.plan()
            sent = self.drop(name, 1)
            answers = self.kinds(sent, pool_messages.SendToMember)
            self.assertEqual(
                [
                    (item.msg.name, item.msg.outcome.state, item.msg.handover)
                    for item in answers
                ],
                [(name, batches.CANCELLED, 1)],
            )

    def drop(self, name, handover):
        msg = pool_messages.DropBatch(name, "n-b", ORIGIN_STARTED, handover)
        return self.tell(msg)

    def test_drop_of_an_earlier_version_is_not_answered(self):
        self.permit(0.4)
        self.plan()
        sent = self.tell(pool_messages.DropBatch("j", "n-b"))
        self.assertEqual(len(self.kinds(sent, pool_messages.StopRun)), 1)
        self.assertEqual(self.kinds(sent, pool_messages.SendToMember), [])

    def test_batch_that_arrives_after_its_drop_is_not_planned(self):
        self.permit(0.4)
        self.drop("j", 3)
        self.assertEqual(self.started(self.plan(handover=3)), [])
        self.assertEqual(self.started(self.plan(handover=2)), [])
        self.assertEqual(len(self.started(self.plan(handover=4))), 1)

    def test_late_drop_of_an_earlier_hand_over_stops_nothing(self):
        self.permit(0.4)
        self.plan(handover=4)
        sent = self.drop("j", 3)
        self.assertEqual(self.kinds(sent, pool_messages.StopRun), [])

    def restart_origin(self):
        """Have the instance heard after a restart."""
        own = make_member("n-a", 1000)
        restarted = make_member("n-b", ORIGIN_STARTED + 1)
        return self.tell(fleet_views.make_view(own, (own, restarted), ()))

    def test_permission_of_a_restarted_instance_is_for_no_former_batch(self):
        self.permit(0.4)
        self.running = tuple(self.started(self.plan(count=3)))
        self.answer_hold()
        self.permit(9.0, started=ORIGIN_STARTED + 1)
        self.now += 0.5
        self.answer_hold()
        self.assertIsNone(self.hold.expires)
        self.ended = (pool_messages.EndedRun(1, self.running[0], "done"),)
        self.running = self.running[1:]
        self.assertEqual(self.started(self.answer_hold()), [])

    def test_runs_for_a_restarted_instance_are_stopped(self):
        self.permit(9.0)
        self.running = tuple(self.started(self.plan()))
        self.answer_hold()
        sent = self.restart_origin()
        stopped = self.kinds(sent, pool_messages.StopRun)
        self.assertEqual([msg.run for msg in stopped], list(self.running))

    def test_batch_of_a_restarted_instance_runs_in_its_first_term(self):
        self.permit(9.0, term=5)
        self.running = tuple(self.started(self.plan(term=5)))
        self.answer_hold()
        started = ORIGIN_STARTED + 1
        self.permit(9.0, term=1, started=started)
        self.plan(term=1, origin_started=started)
        sent = self.restart_origin() + self.tick(0.7)
        self.assertEqual(self.kinds(sent, pool_messages.StopRun), [])
        self.answer_hold()
        self.assertIsNotNone(self.hold.expires)

    def test_withdrawal_of_a_former_process_drops_no_batch_of_the_next(self):
        self.permit(9.0, started=ORIGIN_STARTED + 1)
        self.plan(origin_started=ORIGIN_STARTED + 1)
        drop = pool_messages.DropBatch("j", "n-b", ORIGIN_STARTED)
        self.assertEqual(
            self.kinds(self.tell(drop), pool_messages.StopRun), []
        )

    def plan_own(self):
        """Plan a batch whose caller waits at the planner's instance."""
        own = make_batch()._replace(name="k")
        return self.tell(pool_messages.PlanBatch(own, "n-a", 0.0, 9.0, 0))

    def test_leases_are_shortened_for_a_batch_with_an_older_permission(self):
        self.running = tuple(self.started(self.plan_own()))
        self.answer_hold()
        self.assertGreater(self.hold.expires, self.now + 0.95)
        self.permit(0.4, timeout=0.75)
        self.assertEqual(self.started(self.plan(count=3)), [])
        self.tick()
        self.answer_hold()
        self.assertLess(self.hold.expires, self.now + 0.8)

    def test_start_renews_no_run_without_permission(self):
        self.permit(0.4)
        self.running = tuple(self.started(self.plan()))
        self.answer_hold()
        self.now += 0.5
        self.assertEqual(self.started(self.plan_own()), [])
        self.ended = (pool_messages.EndedRun(1, self.running[0], "lapsed"),)
        self.running = ()
        self.assertEqual(len(self.started(self.answer_hold())), 1)

    def test_start_renews_no_run_that_is_being_stopped(self):
        self.permit(9.0)
        first = self.kinds(self.plan(), pool_messages.StartRun)[0]
        self.running = (first.run,)
        self.tell(pool_messages.DropBatch("j", "n-b"), 0.1)
        beside = self.kinds(self.plan_own(), pool_messages.StartRun)[0]
        self.assertEqual(beside.expires, first.expires)

    def test_start_beside_a_lost_stop_gets_no_short_lease(self):
        self.permit(9.0)
        self.running = tuple(self.started(self.plan()))
        self.tell(pool_messages.DropBatch("j", "n-b"), 0.5)
        self.assertEqual(self.started(self.plan_own()), [])

    def test_hold_renews_no_run_of_an_unknown_batch(self):
        own_run = self.started(self.plan_own())[0]
        self.running = (own_run, pool_messages.Run("other", 0, 0, 1))
        self.answer_hold()
        self.assertIsNone(self.hold.expires)

    def test_fenced_start_is_not_repeated_until_the_executor_answers(self):
        # A fenced planner sent the start again with each answer, each 4 ms.
        self.permit(9.0)
        run = self.started(self.plan())[0]
        fenced = pool_messages.StartAnswered(
            "x-a", run, "fenced", "status 409", 1.0
        )
        self.assertEqual(self.started(self.tell(fenced)), [])
        self.assertEqual(self.started(self.tick()), [])
        self.assertEqual(len(self.started(self.answer_hold())), 1)


if __name__ == "__main__":
    unittest.main()
