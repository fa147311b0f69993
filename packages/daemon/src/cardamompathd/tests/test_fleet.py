"""Heartbeats: how often, to whom, and what a missing one means."""

import unittest

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet


def make_member(domain, number, thread_millicores=0):
    name = f"{domain}-{number}"
    return planner_election.Member(
        name, domain, (name, 1), number, thread_millicores=thread_millicores
    )


class FleetHarness:
    """The fleet controller of a member, and the messages that it sends."""

    def __init__(self, own_member, others, interval=0.1):
        self.now = 100.0
        self.others = others
        self.interval = interval
        self.receive = fleet.make_controller(own_member).receive
        self.sent = []
        found = tuple(member.address for member in others)
        self.tell(pool_messages.AddressesFound(found, "seeds"))
        self.receive_heartbeats(others)

    def tell(self, msg):
        self.sent += self.receive(msg, self.now)

    def receive_heartbeats(self, members, **fields):
        for member in members:
            msg = pool_messages.HeartbeatReceived(member, 0, (), self.interval)
            self.tell(msg._replace(**fields))

    def advance(self, seconds, silent=()):
        """Let time pass; members that are not silent send heartbeats."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.1, 3)
            senders = [
                member for member in self.others if member not in silent
            ]
            self.receive_heartbeats(senders)
            self.tell(messages.TimerFired("heartbeat"))

    def published_views(self):
        return [
            send.msg
            for send in self.sent
            if isinstance(send.msg, pool_messages.FleetChanged)
            and send.to == pool_messages.PLANNER
        ]

    def confirmed_to(self, address):
        """Return the time that the last heartbeat to an address confirms."""
        return [
            send.msg.msg.planner_confirmed_at
            for send in self.sent
            if isinstance(send.msg, pool_messages.SendToMembers)
            and address in send.msg.addresses
        ][-1]

    def count_heartbeats(self):
        """Return the number of heartbeats sent to each address."""
        counts = {}
        for send in self.sent:
            if isinstance(send.msg, pool_messages.SendToMembers):
                for address in send.msg.addresses:
                    counts[address] = counts.get(address, 0) + 1
        return counts


def make_members(members_per_domain=10):
    return [
        make_member(domain, number)
        for domain in "abcd"
        for number in range(members_per_domain)
    ]


class RestartTest(unittest.TestCase):
    """A member restarts while its time of day goes back."""

    def setUp(self):
        self.members = make_members()
        others = self.members[1:]
        self.harness = FleetHarness(self.members[0], others)
        self.harness.advance(1.0)
        self.former = others[3]._replace(started=5000)
        self.receive(self.former)
        self.restarted = self.former._replace(started=4000)

    def receive(self, member):
        self.harness.receive_heartbeats([member])

    def known_starts(self):
        return [
            member.started
            for member in self.harness.published_views()[-1].alive
            if member.name == self.former.name
        ]

    def test_restarted_member_is_alive_though_it_started_earlier(self):
        # It was ignored for 20 s, and its callers got no answer in time.
        self.harness.tell(pool_messages.LinkFailed(self.former.address, True))
        self.assertEqual(self.known_starts(), [])
        self.receive(self.restarted)
        self.assertEqual(self.known_starts(), [4000])

    def test_late_heartbeat_of_a_former_process_does_not_count(self):
        self.harness.tell(pool_messages.LinkFailed(self.former.address, True))
        self.receive(self.restarted)
        self.receive(self.former)
        self.assertEqual(self.known_starts(), [4000])
        self.receive(self.restarted._replace(started=6000))
        self.receive(self.restarted)
        self.assertEqual(self.known_starts(), [6000])

    def test_process_that_is_alive_is_not_replaced_by_an_earlier_one(self):
        self.receive(self.restarted)
        self.assertEqual(self.known_starts(), [5000])


class IntervalTest(unittest.TestCase):
    def start(self, own_member, members):
        others = [member for member in members if member != own_member]
        harness = FleetHarness(own_member, others)
        harness.advance(1.0)
        harness.sent.clear()
        return harness

    def test_planner_sends_many_heartbeats_to_its_domain_only(self):
        members = make_members()
        harness = self.start(members[0], members)
        harness.advance(10.0)
        counts = harness.count_heartbeats()
        self.assertGreaterEqual(counts["a-9", 1], 95)
        self.assertLessEqual(counts["b-9", 1], 45)

    def test_others_send_many_heartbeats_to_their_planners_only(self):
        members = make_members()
        harness = self.start(members[9], members)
        harness.advance(10.0)
        counts = harness.count_heartbeats()
        self.assertGreaterEqual(counts["a-0", 1], 48)
        self.assertLessEqual(counts["b-5", 1], 7)

    def test_heartbeat_rate_is_bounded_when_the_fleet_grows(self):
        rates = {}
        for members_per_domain in (10, 75, 150):
            members = make_members(members_per_domain)
            harness = self.start(members[members_per_domain - 1], members)
            harness.advance(5.0)
            rates[4 * members_per_domain] = (
                sum(harness.count_heartbeats().values()) / 5.0
            )
        self.assertLess(rates[40], 50.0)
        self.assertLess(rates[600], 150.0)

    def test_remote_planner_with_batches_gets_more_heartbeats(self):
        members = make_members()
        harness = self.start(members[9], members)
        harness.tell(pool_messages.RemotePeerUsed("b-0", harness.now + 5.0))
        harness.advance(4.0)
        self.assertGreaterEqual(harness.count_heartbeats()["b-0", 1], 18)

    def test_nothing_later_is_confirmed_while_a_drop_is_pending(self):
        members = make_members()
        harness = self.start(members[9], members)
        confirmed = []
        for pending in (False, True, True, False):
            harness.tell(pool_messages.DropsPending("a-0", pending))
            harness.sent.clear()
            harness.now += 0.5
            harness.receive_heartbeats(members[:1], sent_at=harness.now)
            harness.tell(pool_messages.BatchesConfirmed(harness.now, 1))
            harness.tell(messages.TimerFired("heartbeat"))
            confirmed.append(harness.confirmed_to(members[0].address))
        self.assertEqual(confirmed, [101.5, 101.5, 101.5, 103.0])

    def test_nothing_is_confirmed_later_than_the_callers_were_seen(self):
        # A process that woke from a freeze confirmed batches whose callers
        # had left meanwhile.
        members = make_members()
        harness = self.start(members[9], members)
        confirmed = []
        for seen_at in (100.9, 101.2, 101.4):
            harness.tell(pool_messages.BatchesConfirmed(seen_at, 1))
            harness.sent.clear()
            harness.now += 0.5
            # The planner's clock shows 50 s less.
            sent_at = harness.now - 50.0
            harness.receive_heartbeats(members[:1], sent_at=sent_at)
            harness.tell(messages.TimerFired("heartbeat"))
            confirmed.append(harness.confirmed_to(members[0].address))
        for found, expected in zip(confirmed, (50.9, 51.2, 51.4), strict=True):
            self.assertAlmostEqual(found, expected)

    def test_heartbeat_that_was_overtaken_changes_no_digest(self):
        # A batch would be handed on with the executors that its planner held
        # before.
        members = make_members()
        harness = self.start(members[9], members)
        for sent_at, digest in ((50.0, 7), (50.2, 8), (50.1, 7), (50.3, 9)):
            harness.receive_heartbeats(
                members[:1], sent_at=sent_at, executors_digest=digest
            )
        reported = [
            send.msg.digest
            for send in harness.sent
            if isinstance(send.msg, pool_messages.ExecutorsHeld)
        ]
        self.assertEqual(reported, [7, 8, 9])

    def test_planner_asks_often_whether_a_remote_origin_lives(self):
        members = make_members(24)
        harness = self.start(members[0], members)
        harness.tell(pool_messages.RemotePeerUsed("b-9", harness.now + 5.0))
        harness.advance(4.0)
        counts = harness.count_heartbeats()
        self.assertGreaterEqual(counts["b-9", 1], 18)
        self.assertLessEqual(counts["b-8", 1], 8)

    def test_successor_is_heard_often_enough_to_be_missed(self):
        # The third member of a domain takes the next free shard.
        members = make_members()
        harness = self.start(members[2], members)
        harness.advance(10.0)
        counts = harness.count_heartbeats()
        self.assertGreaterEqual(counts["a-9", 1], 32)
        self.assertLessEqual(counts["a-9", 1], 45)

    def test_only_new_members_get_the_addresses_of_the_others(self):
        # While members are restarted one after the other, every heartbeat
        # of a large fleet listed all of its addresses.
        members = make_members()
        harness = self.start(members[0], members)
        restarted = members[20]._replace(started=members[20].started + 9000)
        harness.others = [
            restarted if member == members[20] else member
            for member in harness.others
        ]
        harness.advance(0.9)
        listed = {
            address
            for send in harness.sent
            if isinstance(send.msg, pool_messages.SendToMembers)
            and send.msg.msg.known_addresses
            for address in send.msg.addresses
        }
        self.assertIn(restarted.address, listed)
        rounds_with_all = max(
            fleet.MIN_ADDRESS_ROUNDS,
            len(members) // fleet.MEMBERS_PER_ADDRESS_ROUND,
        )
        self.assertGreater(rounds_with_all, 4)
        sent = harness.count_heartbeats()
        lists = sum(
            len(send.msg.addresses)
            for send in harness.sent
            if isinstance(send.msg, pool_messages.SendToMembers)
            and send.msg.msg.known_addresses
        )
        self.assertLess(lists, sum(sent.values()) / 2)


class DiscoveryTest(unittest.TestCase):
    def test_no_view_is_published_while_members_are_found(self):
        members = make_members(3)
        harness = FleetHarness(members[0], [])
        harness.tell(messages.TimerFired("heartbeat"))
        for member in members[1:6]:
            harness.others.append(member)
            harness.advance(0.3)
            self.assertEqual(harness.published_views(), [])
        harness.advance(0.5)
        self.assertEqual(len(harness.published_views()), 1)
        self.assertEqual(len(harness.published_views()[0].alive), 6)

    def test_lone_instance_publishes_its_view_soon(self):
        harness = FleetHarness(make_member("a", 0), [])
        harness.advance(0.5)
        self.assertEqual(len(harness.published_views()), 1)

    def test_view_is_published_in_time_if_members_keep_coming(self):
        members = make_members()
        harness = FleetHarness(members[0], [])
        for member in members[1:]:
            harness.others.append(member)
            harness.advance(0.1)
        self.assertGreater(len(harness.published_views()), 1)


class FailureDetectionTest(unittest.TestCase):
    def test_silent_planner_is_missing_within_half_a_second(self):
        members = [make_member("a", number) for number in range(3)]
        harness = FleetHarness(members[2], members[:2])
        harness.advance(1.0)
        harness.advance(0.6, silent=members[:1])
        self.assertEqual(harness.published_views()[-1].missing, (members[0],))

    def test_member_is_missing_only_when_it_is_overdue(self):
        members = [make_member("a", number) for number in range(3)]
        harness = FleetHarness(members[0], members[1:], interval=0.5)
        harness.advance(1.0)
        harness.advance(2.0, silent=members[2:])
        self.assertEqual(harness.published_views()[-1].missing, ())
        harness.advance(0.6, silent=members[2:])
        self.assertEqual(harness.published_views()[-1].missing, (members[2],))

    def test_dead_member_still_counts_in_the_size_of_its_domain(self):
        # A domain of nine members has two planners, one of eight only one.
        members = [
            make_member(domain, number)
            for domain in "ab"
            for number in range(9)
        ]
        harness = FleetHarness(members[0], members[1:])
        harness.advance(1.0)
        harness.tell(pool_messages.LinkFailed(members[8].address, True))
        view = harness.published_views()[-1]
        self.assertNotIn(members[8], view.alive)
        planners = [
            member.name
            for member in view.assignment.planners
            if member.domain == "a"
        ]
        self.assertEqual(planners, ["a-0", "a-1"])

    def test_change_of_the_fleet_is_logged_without_the_other_members(self):
        members = make_members()
        harness = FleetHarness(members[0], members[1:])
        harness.advance(1.0)
        harness.sent.clear()
        harness.tell(pool_messages.LinkFailed(members[8].address, True))
        lines = [
            send.msg.fields
            for send in harness.sent
            if isinstance(send.msg, pool_messages.Decision)
        ]
        expected = {
            "alive": 39,
            "confirmed": True,
            "members_added": [],
            "members_removed": ["a-8"],
        }
        self.assertEqual(lines, [expected])

    def test_unchanged_heartbeat_sends_no_messages(self):
        members = [make_member("a", number) for number in range(3)]
        harness = FleetHarness(members[0], members[1:])
        harness.sent.clear()
        harness.receive_heartbeats(members[1:])
        self.assertEqual(harness.sent, [])

    def test_successor_has_a_quorum_only_while_it_hears_others(self):
        members = make_members()
        own_member = members[3]
        harness = FleetHarness(
            own_member,
            [member for member in members if member != own_member],
            interval=2.0,
        )
        harness.advance(1.0)
        planners = [members[0], members[1], members[2]]
        for dead in planners:
            harness.tell(pool_messages.LinkFailed(dead.address, True))
            harness.others.remove(dead)
        harness.now += 1.0
        harness.tell(messages.TimerFired("heartbeat"))
        self.assertFalse(harness.published_views()[-1].has_quorum)
        harness.advance(0.2)
        self.assertTrue(harness.published_views()[-1].has_quorum)

    def test_new_incarnation_of_a_planner_reports_its_backlog(self):
        members = [make_member("a", number) for number in range(2)]
        harness = FleetHarness(members[0], members[1:])
        harness.receive_heartbeats(members[1:], backlog=0.4)
        harness.sent.clear()
        harness.receive_heartbeats([members[1]._replace(started=900)])
        changed = pool_messages.BacklogChanged("a-1", 0.0)
        self.assertIn(
            messages.Send(pool_messages.GATEWAY, changed), harness.sent
        )

    def test_backlog_of_a_planner_reaches_the_gateway(self):
        members = [make_member("a", number) for number in range(2)]
        harness = FleetHarness(members[0], members[1:])
        harness.sent.clear()
        harness.receive_heartbeats(members[1:], backlog=0.4)
        changed = pool_messages.BacklogChanged("a-1", 0.4)
        expected = messages.Send(pool_messages.GATEWAY, changed)
        self.assertEqual(harness.sent, [expected])
