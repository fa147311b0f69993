"""Which executors a planner claims as its view of the fleet changes."""

import itertools
import unittest

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import planner

ROOM = executors.Resources(8000, 1024)


def make_member(name, started=1000):
    return planner_election.Member(f"n-{name}", name, (name, 1), started)


def make_executor(domain, state="ready"):
    return executors.Executor(
        f"x-{domain}", "desk", domain, (domain, 2), 1, state, ROOM, ("a",)
    )


class PlannerRolesTest(unittest.TestCase):
    def setUp(self):
        self.members = {
            name: make_member(name, 1000 + index)
            for index, name in enumerate("abcd")
        }
        token = itertools.count(7)
        made = planner.make_controller("n-a", lambda: next(token), 0.0)
        self.receive = made.receive
        self.now = 10.0

    def tell(self, msg, later=0.0):
        self.now += later
        return [
            send.msg
            for send in self.receive(msg, self.now)
            if send.to != messages.TIMERS
        ]

    def see(self, alive, missing="", has_quorum=True):
        view = pool_messages.FleetChanged(
            self.members["a"],
            tuple(self.members[one] for one in alive),
            tuple(self.members[one] for one in missing),
            (),
            has_quorum,
        )
        return self.tell(view)

    def list_all(self):
        specs = tuple(make_executor(one) for one in "abcd")
        return self.tell(pool_messages.ExecutorsListed(specs))

    def claimed(self, sent):
        return {
            msg.executor.name
            for msg in sent
            if isinstance(msg, pool_messages.HoldExecutor)
        }

    def events(self, sent):
        return [
            msg.event
            for msg in sent
            if isinstance(msg, pool_messages.Decision)
        ]

    def tick(self, later=0.05):
        return self.tell(messages.TimerFired("tick"), later)

    def test_most_senior_member_claims_every_executor(self):
        self.list_all()
        sent = self.see("abcd")
        self.assertEqual(self.claimed(sent), {"x-a", "x-b", "x-c", "x-d"})

    def test_others_claim_nothing(self):
        made = planner.make_controller("n-b", lambda: 7, 0.0)
        self.receive = made.receive
        self.list_all()
        self.assertEqual(self.claimed(self.see("abcd")), set())

    def test_minority_waits_for_probes_and_claims_its_own_domain(self):
        self.list_all()
        sent = self.see("a", "bcd")
        probed = {
            msg.executor.name
            for msg in sent
            if isinstance(msg, pool_messages.ProbeExecutor)
        }
        self.assertEqual(probed, {"x-b", "x-c", "x-d"})
        self.assertEqual(self.claimed(sent), set())
        for name in probed:
            self.tell(pool_messages.ProbeAnswered(name, False), 0.01)
        self.assertEqual(self.claimed(self.tick(0.3)), {"x-a"})

    def test_minority_that_reaches_other_domains_stays_passive(self):
        self.list_all()
        self.see("a", "bcd")
        self.tell(pool_messages.ProbeAnswered("x-b", True))
        self.assertEqual(self.claimed(self.tick(1.0)), set())
        self.assertEqual(self.claimed(self.tick(2.0)), set())
        self.assertTrue(self.claimed(self.tick(2.0)))

    def test_successor_that_hears_nobody_waits_and_probes(self):
        self.list_all()
        sent = self.see("abcd", has_quorum=False)
        self.assertEqual(self.claimed(sent), set())
        self.assertEqual(self.claimed(self.tick(0.3)), set())
        self.assertTrue(self.claimed(self.see("abcd", has_quorum=True)))

    def test_successor_that_goes_on_hearing_nobody_counts_as_cut_off(self):
        self.list_all()
        self.see("a", "bcd", has_quorum=False)
        self.assertEqual(self.claimed(self.tick(0.5)), set())
        self.tell(pool_messages.ProbeAnswered("x-b", True))
        self.assertEqual(self.claimed(self.tick(2.0)), set())

    def test_minority_stops_runs_of_the_other_side_at_once(self):
        # Found on plumeguild-sched scale-2 --seed 641438554989: such a run
        # was kept alive until the other side had started its task again.
        self.list_all()
        self.see("a", "bcd")
        hold = next(
            msg
            for msg in self.tick(0.5)
            if isinstance(msg, pool_messages.HoldExecutor)
        )
        run = pool_messages.Run("other", 0, 0, 1)
        listing = pool_messages.HoldAnswered(
            hold.executor.name, hold.token, 1, self.now, (run,), ()
        )
        stops = [
            msg.run
            for msg in self.tell(listing)
            if isinstance(msg, pool_messages.StopRun)
        ]
        self.assertEqual(stops, [run])

    def test_whole_fleet_in_sight_again_claims_all_at_once(self):
        self.list_all()
        self.see("a", "bcd")
        self.assertEqual(self.claimed(self.tick(0.5)), {"x-a"})
        sent = self.see("abcd")
        self.assertLessEqual({"x-b", "x-c", "x-d"}, self.claimed(sent))

    def answer_holds(self, sent):
        found = []
        for msg in sent:
            if isinstance(msg, pool_messages.HoldExecutor):
                listing = pool_messages.HoldAnswered(
                    msg.executor.name, msg.token, 1, self.now, (), ()
                )
                found += self.tell(listing)
        return found

    def test_minority_does_not_take_over_before_leases_lapsed(self):
        self.list_all()
        self.see("ab", "cd")
        self.answer_holds(self.tick(0.5))
        self.check_starts_only_after_a_lease()

    def test_end_of_a_cut_delays_what_another_planner_may_have_begun(self):
        self.list_all()
        self.answer_holds(self.see("abd", "c"))
        self.tick(0.5)
        self.see("abcd")
        self.check_starts_only_after_a_lease()

    def test_one_of_several_planners_delays_what_another_began(self):
        # Found on manta-alta-grown trouble-2: run 1 and run 9 at once.
        names = "abcdefghi"
        self.members = {
            name: make_member(name, 1000 + index)
            for index, name in enumerate(names)
        }
        self.list_all()
        self.answer_holds(self.see(names))
        self.tick(0.5)
        self.check_starts_only_after_a_lease()

    def test_planner_that_sees_nobody_else_delays_what_another_began(self):
        # Found on manta-alta-grown trouble-2: a restarted planner saw few
        # members yet and took itself for the only one.
        self.list_all()
        self.answer_holds(self.see("a"))
        self.tick(0.5)
        self.check_starts_only_after_a_lease()

    def check_starts_only_after_a_lease(self):
        """Hand over a batch that another planner may have begun."""
        step = batches.Step(1, executors.Resources(1000, 1), 0.2)
        batch = batches.Batch(
            "j", "", (step,), batches.RoutePolicy("r", "desk")
        )
        sent = self.tell(pool_messages.PlanBatch(batch, "n-b", 0.1, 9.0, 1))
        self.assertEqual(self.started(sent), [])
        for _ in range(10):
            sent = self.tick(0.1)
            self.answer_holds(sent)
            self.assertEqual(self.started(sent), [])
        self.assertEqual(len(self.started(self.tick(0.2))), 1)

    def started(self, sent):
        return [msg for msg in sent if isinstance(msg, pool_messages.StartRun)]

    def test_refused_batch_is_not_taken_up_later(self):
        # Found on plumeguild-sched hunt-baf0-19: handed over once before
        # this instance knew that it is cut off, and once after.
        self.list_all()
        self.see("a", "bcd")
        step = batches.Step(1, executors.Resources(1000, 1), 0.2)
        batch = batches.Batch(
            "j", "", (step,), batches.RoutePolicy("r", "desk", slack=5.0)
        )
        plan = pool_messages.PlanBatch(batch, "n-a", 0.1, 9.0, 0)
        self.tell(plan)
        self.tell(pool_messages.ProbeAnswered("x-b", True))
        ended = [
            msg.outcome.state
            for msg in self.tell(plan, 0.4)
            if isinstance(msg, pool_messages.BatchEnded)
        ]
        self.assertEqual(ended, [batches.REFUSED])
        sent = self.see("abcd")
        self.answer_holds(sent)
        self.assertNotIn("batch planned", self.events(sent))
        sent = self.tick(0.5)
        self.assertEqual(self.started(sent), [])

    def test_fenced_minority_lets_go(self):
        self.list_all()
        self.see("a", "bcd")
        sent = self.tick(0.5)
        hold = next(
            m for m in sent if isinstance(m, pool_messages.HoldExecutor)
        )
        self.tell(pool_messages.HoldFailed("x-a", hold.token, True, False, ""))
        sent = self.tick()
        self.assertIn("ended to plan", self.events(sent))
        self.assertEqual(self.claimed(self.tick(1.0)), set())

    def test_fenced_majority_waits_and_claims_with_a_higher_token(self):
        self.list_all()
        sent = self.see("abcd")
        hold = next(
            m for m in sent if isinstance(m, pool_messages.HoldExecutor)
        )
        name = hold.executor.name
        self.tell(pool_messages.HoldFailed(name, hold.token, True, False, ""))
        self.assertNotIn(name, self.claimed(self.tick(0.1)))
        sent = self.tick(0.3)
        again = [
            msg
            for msg in sent
            if isinstance(msg, pool_messages.HoldExecutor)
            and msg.executor.name == name
        ]
        self.assertGreater(again[0].token, hold.token)

    def test_silent_executor_is_held_without_longer_leases(self):
        self.list_all()
        sent = self.see("abcd")
        hold = next(
            m for m in sent if isinstance(m, pool_messages.HoldExecutor)
        )
        name = hold.executor.name
        failed = pool_messages.HoldFailed(
            name, hold.token, False, False, "timed out"
        )
        self.tell(failed, 0.3)
        again = [
            msg
            for msg in self.tick(0.2)
            if isinstance(msg, pool_messages.HoldExecutor)
            and msg.executor.name == name
        ]
        self.assertIsNone(again[0].expires)
