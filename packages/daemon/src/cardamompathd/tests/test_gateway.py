"""Which planner a batch goes to, and what is answered without one."""

import unittest

from cardamompath_core import batches
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import gateway
from cardamompathd.tests import pool_simulation

DOMAINS = "abcd"


def make_members():
    return [
        planner_election.Member(
            f"{domain}-{one}", domain, (f"{domain}{one}", 1), one
        )
        for domain in DOMAINS
        for one in range(9)
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

    def see(self, members):
        census = tuple((domain, 9) for domain in DOMAINS)
        view = pool_messages.FleetChanged(
            self.members[8], tuple(members), (), census
        )
        return self.handed(self.tell(view))

    def submit(self, name="j1"):
        msg = pool_messages.SubmitBatch(
            pool_simulation.HOST,
            f"/jobs/{name}",
            "s",
            pool_simulation.make_steps(),
            5.0,
            name,
        )
        return self.handed(self.tell(msg))

    def handed(self, sent):
        """Return the addresses and messages of batches handed over."""
        return [
            (msg.address[0], msg.msg)
            for to, msg in sent
            if to == pool_messages.LINKS
            and isinstance(msg.msg, pool_messages.PlanBatch)
        ]

    def answers(self, sent):
        return [msg.answer for to, msg in sent if to == messages.CALLERS]

    def planners(self):
        return ["a0", "a1"]

    def end(self, state, address):
        outcome = batches.Outcome(state, "", 1.0)
        planner = f"{address[0]}-{address[1:]}"
        ended = pool_messages.BatchEnded("j1", "a-8", outcome, planner)
        return self.tell(ended)

    def test_nothing_is_denied_before_the_routes_are_known(self):
        for kind in (pool_messages.CountWaiting, pool_messages.CancelBatch):
            sent = self.tell(kind(pool_simulation.HOST, "/jobs/x", "r"))
            self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_batch_goes_to_a_planner_of_the_own_domain(self):
        self.configure()
        self.see(self.members)
        address, msg = self.submit()[0]
        self.assertIn(address, self.planners())
        self.assertEqual((msg.round, msg.shard_changed), (0, False))

    def test_batch_goes_elsewhere_while_the_own_domain_is_busy(self):
        self.configure()
        self.see(self.members)
        for name in ("a-0", "a-1"):
            self.tell(pool_messages.BacklogChanged(name, 1.0))
        self.assertNotIn(self.submit()[0][0], self.planners())

    def test_planner_elsewhere_is_told_to_watch_this_instance(self):
        self.configure()
        self.see(self.members)
        for name in ("a-0", "a-1"):
            self.tell(pool_messages.BacklogChanged(name, 1.0))
        msg = pool_messages.SubmitBatch(
            pool_simulation.HOST,
            "/jobs/j",
            "s",
            pool_simulation.make_steps(),
            5.0,
            "r",
        )
        sent = self.tell(msg)
        engaged = [msg for to, msg in sent if to == pool_messages.FLEET]
        self.assertEqual(engaged[0].until, self.now + 5.0)

    def test_refused_batch_is_offered_once_more(self):
        self.configure()
        self.see(self.members)
        first = self.submit()[0][0]
        sent = self.end(batches.REFUSED, first)
        second, msg = self.handed(sent)[0]
        self.assertNotEqual(first, second)
        self.assertEqual(msg.round, 0)
        sent = self.end(batches.REFUSED, second)
        self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_refusal_of_the_planner_before_says_nothing_of_the_next(self):
        # It may be said twice, as batches are handed over again.
        self.configure()
        self.see(self.members)
        first = self.submit()[0][0]
        second = self.handed(self.end(batches.REFUSED, first))[0][0]
        self.assertEqual(self.end(batches.REFUSED, first), [])
        sent = self.end(batches.COMPLETE, second)
        self.assertEqual(self.answers(sent)[0].state, batches.COMPLETE)

    def test_refusal_stands_when_all_are_busy(self):
        self.configure()
        self.see(self.members)
        first = self.submit()[0][0]
        for one in self.members:
            self.tell(pool_messages.BacklogChanged(one.name, 1.0))
        sent = self.end(batches.REFUSED, first)
        self.assertEqual(self.answers(sent)[0].state, batches.REFUSED)

    def test_batch_follows_the_place_of_its_planner(self):
        self.configure()
        members = [
            one._replace(shard_number=int(one.name[-1]))
            if one.name[-1] in "01"
            else one
            for one in self.members
        ]
        self.see(members)
        address = self.submit()[0][0]
        left = [one for one in members if one.address[0] != address]
        successor, msg = self.see(left)[0]
        self.assertEqual(successor, "a2")
        self.assertEqual((msg.round, msg.shard_changed), (1, False))

    def test_batch_that_changes_its_place_says_so(self):
        self.configure()
        self.see(self.members)
        self.submit()
        left = [one for one in self.members if one.domain != "a"]
        address, msg = self.see(left)[0]
        self.assertEqual((msg.round, msg.shard_changed), (1, True))
        # What may have run is never called not run.
        sent = self.end(batches.REFUSED, address)
        self.assertEqual(self.answers(sent)[0].state, batches.TIMED_OUT)
