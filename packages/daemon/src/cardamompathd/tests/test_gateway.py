"""Choice of the planner for a batch, and answers without a planner."""

import unittest

from cardamompath_core import batches
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.gateway import gateway
from cardamompathd.controllers.gateway import gateway_drops
from cardamompathd.tests import pool_simulation

DOMAINS = "abcd"


def make_members():
    return [
        planner_election.Member(
            f"{domain}-{number}", domain, (f"{domain}{number}", 1), number
        )
        for domain in DOMAINS
        for number in range(9)
    ]


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.receive = gateway.make_controller("a-8", "a").receive
        self.members = make_members()

    def tell(self, msg, later=0.0):
        self.now += later
        return [(send.to, send.msg) for send in self.receive(msg, self.now)]

    def configure(self):
        self.tell(
            pool_messages.RoutesConfigured(pool_simulation.TABLE, b"", "store")
        )

    def update_fleet(self, members):
        domain_sizes = dict.fromkeys(DOMAINS, 9)
        view = fleet_views.make_view(
            self.members[8], members, (), domain_sizes
        )
        return self.handed_over(self.tell(view))

    def submit(self, name="j1"):
        msg = pool_messages.SubmitBatch(
            pool_simulation.HOST,
            f"/jobs/{name}",
            "s",
            pool_simulation.make_steps(),
            5.0,
            name,
            self.now,
            self.now,
        )
        return self.handed_over(self.tell(msg))

    def handed_over(self, sent):
        """Return the address and the message of each batch handed over."""
        return [
            (msg.address[0], msg.msg)
            for to, msg in sent
            if to == pool_messages.LINKS
            and isinstance(msg.msg, pool_messages.PlanBatch)
        ]

    def answers(self, sent):
        return [msg.answer for to, msg in sent if to == messages.CALLERS]

    def planner_addresses(self):
        return ["a0", "a1"]

    def end_batch(self, state, address):
        outcome = batches.Outcome(state, "", 1.0)
        planner = f"{address[0]}-{address[1:]}"
        ended = pool_messages.BatchEnded("j1", "a-8", outcome, planner)
        return self.tell(ended)

    def withdraw(self, name="j1"):
        return self.tell(pool_messages.WithdrawBatch(name))

    def drops(self, sent):
        """Return the address and the batch of each drop."""
        return [
            (msg.address[0], msg.msg.name)
            for to, msg in sent
            if to == pool_messages.LINKS
            and isinstance(msg.msg, pool_messages.DropBatch)
        ]

    def reports(self, sent):
        """Return whether drops are pending, as told to the fleet."""
        return [
            msg.pending
            for _, msg in sent
            if isinstance(msg, pool_messages.DropsPending)
        ]

    def pass_drop_interval(self, seconds=gateway_drops.RESEND_INTERVAL):
        fired = messages.TimerFired(gateway_drops.TIMER_KEY)
        return self.tell(fired, seconds)

    def acknowledge(self, address, handover):
        outcome = batches.Outcome(batches.CANCELLED, "")
        planner = f"{address[0]}-{address[1:]}"
        msg = pool_messages.BatchEnded("j1", "a-8", outcome, planner, handover)
        return self.tell(msg)

    def test_drop_that_a_broken_link_lost_is_repeated(self):
        self.configure()
        self.update_fleet(self.members)
        address = self.submit()[0][0]
        sent = self.withdraw()
        self.assertEqual(self.drops(sent), [(address, "j1")])
        self.assertEqual(self.reports(sent), [True])
        for seconds in (0.1, 0.2, 0.4):
            self.assertEqual(
                self.drops(self.pass_drop_interval(seconds)), [(address, "j1")]
            )
        sent = self.acknowledge(address, 1)
        self.assertEqual(self.reports(sent), [False])
        self.assertEqual(self.drops(self.pass_drop_interval(2.0)), [])

    def test_acknowledgment_of_an_older_drop_ends_no_later_one(self):
        self.configure()
        self.update_fleet(self.members)
        address = self.submit()[0][0]
        self.withdraw()
        self.submit()
        self.withdraw()
        self.assertEqual(self.reports(self.acknowledge(address, 1)), [])
        self.assertEqual(self.reports(self.acknowledge(address, 2)), [False])

    def test_drops_of_a_batch_at_two_planners_are_both_repeated(self):
        self.configure()
        self.update_fleet(self.members)
        first = self.submit()[0][0]
        sent = self.end_batch(batches.REFUSED, first)
        second = self.handed_over(sent)[0][0]
        self.withdraw()
        self.assertEqual(
            sorted(self.drops(self.pass_drop_interval())),
            sorted([(first, "j1"), (second, "j1")]),
        )
        self.assertEqual(self.reports(self.acknowledge(first, 1)), [False])
        self.assertEqual(self.reports(self.acknowledge(second, 2)), [False])

    def test_drop_is_forgotten_with_its_planner(self):
        self.configure()
        self.update_fleet(self.members)
        address = self.submit()[0][0]
        self.withdraw()
        view = fleet_views.make_view(
            self.members[8],
            [item for item in self.members if item.address[0] != address],
            (),
            dict.fromkeys(DOMAINS, 9),
        )
        self.assertEqual(self.reports(self.tell(view)), [False])
        self.assertEqual(self.drops(self.pass_drop_interval()), [])

    def test_batch_that_is_submitted_again_is_not_dropped(self):
        self.configure()
        self.update_fleet(self.members)
        address = self.submit()[0][0]
        self.withdraw()
        self.assertEqual([to for to, _ in self.submit()], [address])
        self.assertEqual(self.drops(self.pass_drop_interval()), [])
        # The acknowledgment of the drop arrives after that.
        sent = self.acknowledge(address, 1)
        self.assertEqual(self.answers(sent), [])
        sent = self.end_batch(batches.COMPLETE, address)
        self.assertEqual(len(self.answers(sent)), 1)

    def test_requests_are_refused_before_the_routes_are_known(self):
        for kind in (pool_messages.CountWaiting, pool_messages.CancelBatch):
            sent = self.tell(kind(pool_simulation.HOST, "/jobs/x", "r"))
            self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_shutdown_leaves_no_caller_without_an_answer(self):
        # In the soak a process exited while its callers waited.
        self.configure()
        self.update_fleet(self.members)
        self.submit("j1")
        self.tell(pool_messages.Leave(2.0))
        self.submit("j2")
        sent = self.tell(messages.TimerFired("j1"), 2.0)
        sent += self.tell(messages.TimerFired("j2"))
        states = [answer.state for answer in self.answers(sent)]
        self.assertEqual(states, [batches.TIMED_OUT] * 2)

    def test_timers_answer_the_callers_of_a_shutdown(self):
        self.configure()
        self.update_fleet(self.members)
        self.submit("j1")
        sent = self.tell(pool_messages.Leave(2.0))
        timer = messages.SetTimer(12.0, pool_messages.GATEWAY, "j1")
        self.assertIn((messages.TIMERS, timer), sent)

    def test_request_at_the_end_of_a_shutdown_is_refused(self):
        self.configure()
        self.update_fleet(self.members)
        self.tell(pool_messages.Leave(2.0))
        self.now += 2.0
        msg = pool_messages.SubmitBatch(
            pool_simulation.HOST,
            "/jobs/j1",
            "s",
            pool_simulation.make_steps(),
            5.0,
            "j1",
            self.now,
            self.now,
        )
        self.assertEqual(
            self.answers(self.tell(msg))[0].state, batches.REFUSED
        )

    def test_batch_goes_to_a_planner_of_its_own_domain(self):
        self.configure()
        self.update_fleet(self.members)
        address, msg = self.submit()[0]
        self.assertIn(address, self.planner_addresses())
        self.assertEqual((msg.round, msg.shard_changed), (0, False))

    def test_batch_goes_to_another_domain_while_its_own_is_busy(self):
        self.configure()
        self.update_fleet(self.members)
        for name in ("a-0", "a-1"):
            self.tell(pool_messages.BacklogChanged(name, 1.0))
        self.assertNotIn(self.submit()[0][0], self.planner_addresses())

    def test_use_of_a_remote_planner_is_reported_to_the_fleet(self):
        self.configure()
        self.update_fleet(self.members)
        for name in ("a-0", "a-1"):
            self.tell(pool_messages.BacklogChanged(name, 1.0))
        msg = pool_messages.SubmitBatch(
            pool_simulation.HOST,
            "/jobs/j",
            "s",
            pool_simulation.make_steps(),
            5.0,
            "r",
            self.now,
            self.now,
        )
        sent = self.tell(msg)
        used = [msg for to, msg in sent if to == pool_messages.FLEET]
        self.assertEqual(used[0].until, self.now + 5.0)

    def test_refused_batch_is_offered_to_one_more_planner(self):
        self.configure()
        self.update_fleet(self.members)
        first = self.submit()[0][0]
        sent = self.end_batch(batches.REFUSED, first)
        second, msg = self.handed_over(sent)[0]
        self.assertNotEqual(first, second)
        self.assertEqual(msg.round, 0)
        sent = self.end_batch(batches.REFUSED, second)
        self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_repeated_refusal_of_a_former_planner_is_ignored(self):
        # A planner may refuse a batch twice, as batches are sent again.
        self.configure()
        self.update_fleet(self.members)
        first = self.submit()[0][0]
        second = self.handed_over(self.end_batch(batches.REFUSED, first))[0][0]
        self.assertEqual(self.end_batch(batches.REFUSED, first), [])
        sent = self.end_batch(batches.COMPLETE, second)
        self.assertEqual(self.answers(sent)[0].state, batches.COMPLETE)

    def test_refusal_is_answered_if_all_planners_are_busy(self):
        self.configure()
        self.update_fleet(self.members)
        first = self.submit()[0][0]
        for member in self.members:
            self.tell(pool_messages.BacklogChanged(member.name, 1.0))
        sent = self.end_batch(batches.REFUSED, first)
        self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_batch_goes_to_the_successor_in_the_shard_of_its_planner(self):
        self.configure()
        members = self.make_planning_members()
        self.update_fleet(members)
        address = self.submit()[0][0]
        remaining = [
            member for member in members if member.address[0] != address
        ]
        successor, msg = self.update_fleet(remaining)[0]
        self.assertEqual(successor, "a2")
        self.assertEqual((msg.round, msg.shard_changed), (1, False))

    def test_batch_that_changes_its_shard_has_it_marked(self):
        self.configure()
        self.update_fleet(self.members)
        self.submit()
        remaining = [member for member in self.members if member.domain != "a"]
        address, msg = self.update_fleet(remaining)[0]
        self.assertEqual((msg.round, msg.shard_changed), (1, True))
        # A batch that may have started is not refused.
        sent = self.end_batch(batches.REFUSED, address)
        self.assertEqual(self.answers(sent)[0].state, batches.TIMED_OUT)

    def make_planning_members(self):
        """Return the members, of which those numbered 0 and 1 plan."""
        return [
            member._replace(shard_number=int(member.name[-1]))
            if member.name[-1] in "01"
            else member
            for member in self.members
        ]

    def hand_over_from_leaving_planner(self, **fields):
        """Return the message to the successor of a planner that leaves."""
        self.configure()
        members = self.make_planning_members()
        self.update_fleet(members)
        address = self.submit()[0][0]
        changed = [
            member._replace(leaving=True, **fields)
            if member.address[0] == address
            else member
            for member in members
        ]
        successor, msg = self.update_fleet(changed)[0]
        self.assertEqual(successor, "a2")
        return f"a-{address[1:]}", changed, msg

    def test_next_planner_learns_how_long_the_former_one_may_go_on(self):
        # One that only lost its role may read that late; one that fell
        # silent has no permission left.
        _, members, msg = self.hand_over_from_leaving_planner()
        self.assertAlmostEqual(msg.permitted_time, 0.45)
        self.assertEqual(msg.ended_planner, "")
        silent = [member for member in members if member.address[0] != "a2"]
        self.now += 2.0
        msg = self.update_fleet(silent)[0][1]
        self.assertEqual((msg.round, msg.permitted_time), (2, 0.0))

    def test_next_planner_learns_that_the_former_one_has_ended(self):
        former, _, msg = self.hand_over_from_leaving_planner(shard_number=-1)
        self.assertEqual(msg.permitted_time, 0.0)
        self.assertEqual(msg.ended_planner, former)

    def test_outcome_of_an_earlier_planner_drops_the_batch_at_the_present(
        self,
    ):
        # The present one went on with it, beside the runs of its next
        # submission elsewhere (seed 4 of random_freezes_start_no_task_twice).
        self.configure()
        self.update_fleet(self.members)
        first = self.submit()[0][0]
        present = [
            member for member in self.members if member.address[0] != first
        ]
        successor = self.update_fleet(present)[0][0]
        sent = self.end_batch(batches.COMPLETE, first)
        self.assertEqual(self.answers(sent)[0].state, batches.COMPLETE)
        self.assertEqual(self.drops(sent), [(successor, "j1")])

    def test_request_is_refused_that_was_read_after_its_time_limit(self):
        self.configure()
        self.update_fleet(self.members)
        msg = pool_messages.SubmitBatch(
            pool_simulation.HOST,
            "/jobs/j1",
            "s",
            pool_simulation.make_steps(),
            1.5,
            "r",
            self.now - 1.5,
            self.now,
        )
        sent = self.tell(msg)
        self.assertEqual(self.handed_over(sent), [])
        self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_hand_over_tells_when_the_caller_was_seen_by_the_planner(self):
        # The planner's clock shows 3 s more than that of this instance.
        self.configure()
        self.update_fleet(self.members)
        for number in (0, 1):
            heard = pool_messages.PlannerHeard(f"a-{number}", number, 12.9)
            self.tell(heard)
        self.now += 0.5
        self.assertAlmostEqual(self.submit()[0][1].seen_at, 13.4)
        self.tell(pool_messages.CallersChecked(self.now + 0.1, ("j1",)))
        handed_over = self.handed_over(
            self.tell(messages.TimerFired(None), 0.5)
        )
        self.assertAlmostEqual(handed_over[0][1].seen_at, 13.5)
