import random
import unittest

from cardamompath_core import identity
from cardamompath_core import leaving_marks
from cardamompath_core import membership
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

OWN = ("10.0.0.1", 7400)
SEED = ("10.0.0.2", 7400)
ADDRESSES = {
    "two": SEED,
    "next": SEED,
    "three": ("10.0.0.3", 7400),
    "asker": ("10.0.0.4", 7400),
}


def make_cfg(revision=1, since=1, names=("e1", "e2", "e3"), gone=()):
    backends = tuple(
        types.BackendSpec(
            name,
            "booking",
            "a",
            f"10.1.0.{place}",
            80,
            leaving=name in gone,
            since=since,
        )
        for place, name in enumerate(names)
    )
    return types.Configuration(revision, revision, (), backends)


def listed(name, state="leaving", port=1):
    return types.InstanceEntry(name, "backend", "a", "10.1.0.2", port, state)


class Node:
    def __init__(self, name="one", address=OWN, seeds=(SEED,)):
        self.now = 0.0
        owner = identity.Incarnation("a", name, "0123456789ab")
        self.controller = controllers.membership.make_controller(
            owner, seeds, random.Random(1)
        )
        self.tell(messages.PeerListenerStarted(address))

    def tell(self, msg):
        return list(self.controller.receive(msg, self.now))

    def fire(self, key="round"):
        return self.tell(messages.TimerFired(key))

    def digest(self):
        received = messages.DigestReceived(make_digest("asker", 0), "fut")
        return self.tell(received)[0].msg.answer

    def hear(self, digest):
        return self.tell(messages.DigestExchangeEnded(SEED, digest))

    def status(self):
        return self.tell(messages.GetStatus("fut"))[0].msg.answer

    def statuses(self):
        return {
            one["incarnation"]: one["status"]
            for one in self.status()["instances"]
        }


def entry(name, heartbeat, status="alive", address=None):
    address = address or ADDRESSES[name]
    return membership.Entry(f"a.{name}.0123", *address, status, heartbeat)


def make_digest(name, heartbeat, *rumours, leaving=b"", cfg=None, **fields):
    own = entry(name, heartbeat, **fields)
    return membership.Digest(own, -1, cfg or "0" * 16, leaving, rumours)


def left(sends):
    return [
        set(one.msg.names)
        for one in sends
        if isinstance(one.msg, messages.BackendsLeaving)
    ]


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.node = Node()

    def assert_status(self, name, status):
        self.assertEqual(status, self.node.statuses()[f"a.{name}.0123"])

    def miss(self, count):
        for _ in range(count):
            self.node.hear(None)

    def test_seed_is_called_until_it_is_known(self):
        called = [one for one in self.node.fire() if one.to == "peers"]
        self.assertEqual([SEED], [one.msg.address for one in called])

    def test_alive_suspect_dead_and_back(self):
        self.node.hear(make_digest("two", 5))
        self.miss(membership.SUSPECT_FAILURES - 1)
        self.assert_status("two", "alive")
        self.miss(1)
        self.assert_status("two", "suspect")
        self.node.now = 19.0
        self.node.fire()
        self.assert_status("two", "dead")
        self.node.hear(make_digest("three", 1, entry("two", 5)))
        self.assert_status("two", "dead")
        self.node.hear(make_digest("three", 1, entry("two", 6)))
        self.assert_status("two", "alive")

    def test_suspicion_of_others_is_checked_before_a_death(self):
        self.node.hear(make_digest("two", 5))
        rumour = entry("three", 4, "suspect")
        self.node.hear(make_digest("two", 6, rumour))
        self.node.now = 19.0
        sends = self.node.fire()
        self.assert_status("three", "suspect")
        called = {one.msg.address for one in sends if one.to == "peers"}
        self.assertIn(ADDRESSES["three"], called)

    def test_failing_and_dead_are_called_apart_from_the_others(self):
        self.node.hear(make_digest("three", 1))
        self.node.hear(make_digest("two", 1))
        self.miss(1)
        for _ in range(20):
            self.node.hear(make_digest("three", 1))
            called = {one.msg.address for one in self.calls()}
            self.assertNotIn(SEED, called)
        self.node.hear(make_digest("next", 1))
        gone = entry("next", 1, "dead")
        self.node.hear(make_digest("three", 2, gone))
        self.node.now = 40.0
        called = {one.msg.address for _ in range(60) for one in self.calls()}
        self.assertIn(SEED, called)

    def calls(self):
        return [one for one in self.node.fire() if one.to == "peers"]

    def test_dead_that_was_never_known_is_not_taken_in(self):
        rumour = entry("three", 4, "dead")
        self.node.hear(make_digest("two", 6, rumour))
        self.assertEqual(["a.two.0123"], list(self.node.statuses()))

    def test_own_suspicion_is_refuted(self):
        own = self.node.digest().own
        rumour = own._replace(status="dead", heartbeat=7)
        self.node.hear(make_digest("two", 1, rumour))
        refuted = self.node.digest().own
        self.assertEqual(("alive", 8), (refuted.status, refuted.heartbeat))

    def test_leaving_instance_never_comes_back(self):
        self.node.hear(make_digest("two", 9, status="leaving"))
        self.node.hear(make_digest("three", 1, entry("two", 8)))
        self.assert_status("two", "leaving")
        self.node.tell(messages.InstanceLeaving())
        own = self.node.digest().own
        self.node.hear(
            make_digest("two", 1, own._replace(status="suspect", heartbeat=50))
        )
        self.assertEqual("leaving", self.node.digest().own.status)

    def test_new_incarnation_at_an_address_ends_the_old(self):
        self.node.hear(make_digest("two", 9))
        self.node.hear(make_digest("next", 1))
        self.assert_status("two", "dead")
        self.assert_status("next", "alive")

    def test_dead_are_forgotten_and_members_bounded(self):
        self.node.hear(make_digest("two", 9))
        self.node.hear(make_digest("next", 1))
        self.node.now = 700.0
        self.node.fire()
        self.assertEqual({"a.next.0123"}, set(self.node.statuses()))
        for index in range(membership.MAX_MEMBERS):
            rumour = entry(f"n{index}", 1, address=("10.2.0.1", index + 1))
            self.node.hear(make_digest("next", 2, rumour))
        self.assertEqual(membership.MAX_MEMBERS, len(self.node.statuses()))

    def test_peers_are_told_with_load_and_revision(self):
        self.node.hear(make_digest("two", 9))
        told = [
            one.to
            for one in self.node.fire()
            if isinstance(one.msg, messages.PeersChanged)
        ]
        self.assertEqual(["backends", "jobs"], told)
        self.node.tell(messages.LoadReport(types.LoadHint(1, 2, 3)))
        self.assertEqual((1, 2, 3), self.node.digest().own.load[:3])

    def test_newer_or_differing_configuration_of_a_peer_is_told(self):
        self.node.tell(messages.ConfigurationChanged(make_cfg()))
        same = self.node.digest()
        own = entry("two", 1)._replace(revision=1)
        newer = same._replace(own=own, offset=2)
        differs = same._replace(own=own, fingerprint="f" * 16)
        for digest, expected in ((same, 0), (newer, 1), (differs, 1)):
            sends = self.node.hear(digest._replace(own=own, rumours=()))
            told = [one for one in sends if one.to == "configuration"]
            self.assertEqual(expected, len(told))


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.node = Node()
        self.node.tell(messages.ConfigurationChanged(make_cfg()))

    def list_(self, *entries):
        return left(self.node.tell(messages.InstancesListed(entries)))

    def test_signs_of_every_source(self):
        self.assertEqual([{"e1"}], self.list_(listed("e1")))
        self.assertEqual([{"e1", "e3"}], self.list_(listed("x", port=80)))
        sends = self.node.tell(messages.BackendsLeaving(frozenset(["e2"])))
        self.assertEqual([{"e1", "e2", "e3"}], left(sends))
        other = Node("two", SEED)
        other.tell(messages.ConfigurationChanged(make_cfg()))
        sends = other.hear(self.node.digest())
        self.assertEqual([{"e1", "e2", "e3"}], left(sends))

    def test_leaving_entry_instance_marks_no_backend_server(self):
        line = listed("e1")._replace(role="entry")
        self.assertEqual([], self.list_(line))

    def test_sign_in_the_configuration(self):
        cfg = make_cfg(2, 1, gone=("e2",))
        sends = self.node.tell(messages.ConfigurationChanged(cfg))
        self.assertEqual([{"e2"}], left(sends))

    def test_no_older_sign_takes_a_mark_back(self):
        before = self.node.digest()
        self.list_(listed("e1"))
        self.assertEqual([], self.list_(listed("e1", "live")))
        self.assertEqual([], left(self.node.hear(before)))
        cfg = make_cfg(2, 1, ("e0", "e1"))
        self.node.tell(messages.ConfigurationChanged(cfg))
        self.assertEqual(["e1"], self.node.status()["leaving"])

    def test_note_brings_a_backend_server_back(self):
        self.list_(listed("e1"))
        marked = self.node.digest()
        sends = self.node.tell(messages.ConfigurationChanged(make_cfg(2, 2)))
        self.assertEqual([set()], left(sends))
        self.assertEqual([], left(self.node.hear(marked)))
        self.assertEqual([], self.list_(listed("e1")))
        self.assertEqual([], self.list_(listed("e1", "live")))
        self.assertEqual([{"e1"}], self.list_(listed("e1")))

    def test_bitmap_of_an_unknown_configuration_is_left_aside(self):
        digest = make_digest("two", 1, leaving=b"\xff" * 80, cfg="ab" * 8)
        self.assertEqual([], left(self.node.hear(digest)))

    def test_bitmap_is_a_bit_for_each_backend_server(self):
        names = [f"e{index:03d}" for index in range(610)]
        cfg = make_cfg(2, 2, names)
        state = leaving_marks.configure(
            leaving_marks.LeavingState(), cfg, "ab" * 8
        )
        state = leaving_marks.add_marks(
            state, leaving_marks.marks_of(state, names)
        )
        bitmap = leaving_marks.make_bitmap(state)
        self.assertEqual(77, len(bitmap))
        marks = leaving_marks.read_bitmap(state, "ab" * 8, bitmap)
        self.assertEqual(state.marks, marks)

    def test_news_end_when_others_know_them(self):
        self.node.hear(make_digest("two", 1))
        self.list_(listed("e1"))
        own = entry("two", 1)._replace(revision=1)
        known = self.node.digest()._replace(own=own)
        sent = []
        for _ in range(8):
            sent.append(self.calls())
            for _ in range(sent[-1]):
                self.node.hear(known)
        self.assertEqual([2, 2, 2, 0], sent[:4])
        self.list_(listed("e2"))
        self.assertEqual(2, self.calls())

    def calls(self):
        return sum(one.to == "peers" for one in self.node.fire("rapid-round"))
