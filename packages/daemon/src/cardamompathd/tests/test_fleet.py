"""Signs of life: how often, to whom, and what their absence means."""

import unittest

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import fleet


def make_member(domain, number, power=0):
    name = f"{domain}-{number}"
    return planner_election.Member(
        name, domain, (name, 1), number, thread_millicores=power
    )


class Fleet:
    """The controller of one member, and what it sends."""

    def __init__(self, own, others, interval=0.1):
        self.now = 100.0
        self.others = others
        self.interval = interval
        self.receive = fleet.make_controller(own).receive
        self.sent = []
        found = tuple(one.address for one in others)
        self.tell(pool_messages.AddressesFound(found, "seeds"))
        self.hear(others)

    def tell(self, msg):
        self.sent += self.receive(msg, self.now)

    def hear(self, members, **fields):
        for one in members:
            msg = pool_messages.HeartbeatReceived(one, 0, (), self.interval)
            self.tell(msg._replace(**fields))

    def run(self, seconds, silent=()):
        """Let time pass; members that are not silent speak."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.1, 3)
            speak = [one for one in self.others if one not in silent]
            self.hear(speak)
            self.tell(messages.TimerFired("heartbeat"))

    def views(self):
        return [
            one.msg
            for one in self.sent
            if isinstance(one.msg, pool_messages.FleetChanged)
            and one.to == pool_messages.PLANNER
        ]

    def hellos(self):
        """Return how many signs of life went to each address."""
        counts = {}
        for send in self.sent:
            if isinstance(send.msg, pool_messages.SendToMembers):
                for address in send.msg.addresses:
                    counts[address] = counts.get(address, 0) + 1
        return counts


def make_large(each=10):
    return [
        make_member(domain, one) for domain in "abcd" for one in range(each)
    ]


class IntervalTest(unittest.TestCase):
    def start(self, own, members):
        others = [one for one in members if one != own]
        one = Fleet(own, others)
        one.run(1.0)
        one.sent.clear()
        return one

    def test_planner_speaks_often_to_its_domain_only(self):
        members = make_large()
        one = self.start(members[0], members)
        one.run(10.0)
        counts = one.hellos()
        self.assertGreaterEqual(counts["a-9", 1], 95)
        self.assertLessEqual(counts["b-9", 1], 45)

    def test_others_speak_seldom_but_to_their_planners(self):
        members = make_large()
        one = self.start(members[9], members)
        one.run(10.0)
        counts = one.hellos()
        self.assertGreaterEqual(counts["a-0", 1], 48)
        self.assertLessEqual(counts["b-5", 1], 7)

    def test_number_of_signs_stays_bounded_when_the_fleet_grows(self):
        rates = {}
        for each in (10, 75, 150):
            members = make_large(each)
            one = self.start(members[each - 1], members)
            one.run(5.0)
            rates[4 * each] = sum(one.hellos().values()) / 5.0
        self.assertLess(rates[40], 50.0)
        self.assertLess(rates[600], 150.0)

    def test_planner_with_batches_of_ours_hears_of_us_often(self):
        members = make_large()
        one = self.start(members[9], members)
        one.tell(pool_messages.RemotePlannerUsed("b-0", one.now + 5.0))
        one.run(4.0)
        self.assertGreaterEqual(one.hellos()["b-0", 1], 18)


class SettleTest(unittest.TestCase):
    def test_nobody_is_told_of_the_fleet_while_members_are_found(self):
        members = make_large(3)
        one = Fleet(members[0], [])
        one.tell(messages.TimerFired("heartbeat"))
        for member in members[1:6]:
            one.others.append(member)
            one.run(0.3)
            self.assertEqual(one.views(), [])
        one.run(0.5)
        self.assertEqual(len(one.views()), 1)
        self.assertEqual(len(one.views()[0].alive), 6)

    def test_lone_instance_says_so_soon(self):
        one = Fleet(make_member("a", 0), [])
        one.run(0.5)
        self.assertEqual(len(one.views()), 1)

    def test_fleet_that_never_rests_is_told_in_time(self):
        members = make_large()
        one = Fleet(members[0], [])
        for member in members[1:]:
            one.others.append(member)
            one.run(0.1)
        self.assertGreater(len(one.views()), 1)


class SilenceTest(unittest.TestCase):
    def test_planner_that_falls_silent_is_missing_within_half_a_second(self):
        members = [make_member("a", one) for one in range(3)]
        one = Fleet(members[2], members[:2])
        one.run(1.0)
        one.run(0.6, silent=members[:1])
        self.assertEqual(one.views()[-1].missing, (members[0],))

    def test_member_is_missing_only_when_it_is_overdue(self):
        members = [make_member("a", one) for one in range(3)]
        one = Fleet(members[0], members[1:], interval=0.5)
        one.run(1.0)
        one.run(2.0, silent=members[2:])
        self.assertEqual(one.views()[-1].missing, ())
        one.run(0.6, silent=members[2:])
        self.assertEqual(one.views()[-1].missing, (members[2],))

    def test_member_that_is_gone_still_counts_in_the_census(self):
        members = [make_member("a", one) for one in range(3)]
        one = Fleet(members[0], members[1:])
        one.run(1.0)
        one.tell(pool_messages.LinkFailed(members[1].address, True))
        view = one.views()[-1]
        self.assertNotIn(members[1], view.alive)
        self.assertEqual(view.domain_sizes, (("a", 3),))

    def test_same_sign_of_life_changes_nothing(self):
        members = [make_member("a", one) for one in range(3)]
        one = Fleet(members[0], members[1:])
        one.sent.clear()
        one.hear(members[1:])
        self.assertEqual(one.sent, [])

    def test_successor_counts_on_others_only_when_it_hears_them(self):
        members = make_large()
        own = members[3]
        one = Fleet(own, [it for it in members if it != own], interval=2.0)
        one.run(1.0)
        planners = [members[0], members[1], members[2]]
        for gone in planners:
            one.tell(pool_messages.LinkFailed(gone.address, True))
            one.others.remove(gone)
        one.now += 1.0
        one.tell(messages.TimerFired("heartbeat"))
        self.assertFalse(one.views()[-1].has_quorum)
        one.run(0.2)
        self.assertTrue(one.views()[-1].has_quorum)

    def test_next_life_of_a_planner_tells_its_backlog_anew(self):
        members = [make_member("a", one) for one in range(2)]
        one = Fleet(members[0], members[1:])
        one.hear(members[1:], backlog=0.4)
        one.sent.clear()
        one.hear([members[1]._replace(started=900)])
        changed = pool_messages.BacklogChanged("a-1", 0.0)
        self.assertIn(messages.Send(pool_messages.GATEWAY, changed), one.sent)

    def test_backlog_of_a_planner_reaches_the_gateway(self):
        members = [make_member("a", one) for one in range(2)]
        one = Fleet(members[0], members[1:])
        one.sent.clear()
        one.hear(members[1:], backlog=0.4)
        changed = pool_messages.BacklogChanged("a-1", 0.4)
        expected = messages.Send(pool_messages.GATEWAY, changed)
        self.assertEqual(one.sent, [expected])
