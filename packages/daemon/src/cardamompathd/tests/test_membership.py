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


def make_cfg(revision=1, since=1, names=("e1", "e2", "e3"), leaving_names=()):
    backends = tuple(
        types.BackendSpec(
            name,
            "booking",
            "a",
            f"10.1.0.{index}",
            80,
            leaving=name in leaving_names,
            since=since,
        )
        for index, name in enumerate(names)
    )
    return types.Configuration(revision, revision, (), backends)


def make_listing(name, state="leaving", port=1):
    return types.InstanceEntry(name, "backend", "a", "10.1.0.2", port, state)


class Instance:
    """The membership controller of one instance."""

    def __init__(self, name="one", address=OWN, seeds=(SEED,)):
        self.now = 0.0
        owner = identity.Incarnation("a", name, "0123456789ab")
        self.controller = controllers.fleet.membership.make_controller(
            owner, seeds, random.Random(1)
        )
        self.send(messages.PeerListenerStarted(address))

    def send(self, msg):
        return list(self.controller.receive(msg, self.now))

    def fire(self, key="round"):
        return self.send(messages.TimerFired(key))

    def digest(self):
        received = messages.DigestReceived(make_digest("asker", 0), "fut")
        return self.send(received)[0].msg.answer

    def receive(self, digest):
        return self.send(messages.DigestExchangeEnded(SEED, digest))

    def status(self):
        return self.send(messages.GetStatus("fut"))[0].msg.answer

    def statuses(self):
        return {
            entry["incarnation"]: entry["status"]
            for entry in self.status()["instances"]
        }


def make_entry(name, heartbeat, status="alive", address=None):
    address = address or ADDRESSES[name]
    return membership.Entry(f"a.{name}.0123", *address, status, heartbeat)


def make_digest(name, heartbeat, *rumours, leaving=b"", cfg=None, **fields):
    own = make_entry(name, heartbeat, **fields)
    return membership.Digest(own, -1, cfg or "0" * 16, leaving, rumours)


def leaving_sets(sends):
    return [
        set(send.msg.names)
        for send in sends
        if isinstance(send.msg, messages.BackendsLeaving)
    ]


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.instance = Instance()

    def assert_status(self, name, status):
        self.assertEqual(status, self.instance.statuses()[f"a.{name}.0123"])

    def fail_exchanges(self, count):
        for _ in range(count):
            self.instance.receive(None)

    def test_seed_is_called_until_it_is_a_member(self):
        called = [send for send in self.instance.fire() if send.to == "peers"]
        self.assertEqual([SEED], [send.msg.address for send in called])

    def test_status_goes_to_suspect_and_dead_and_back_to_alive(self):
        self.instance.receive(make_digest("two", 5))
        self.fail_exchanges(membership.FAILURES_TO_SUSPECT - 1)
        self.assert_status("two", "alive")
        self.fail_exchanges(1)
        self.assert_status("two", "suspect")
        self.instance.now = 19.0
        self.instance.fire()
        self.assert_status("two", "dead")
        self.instance.receive(make_digest("three", 1, make_entry("two", 5)))
        self.assert_status("two", "dead")
        self.instance.receive(make_digest("three", 1, make_entry("two", 6)))
        self.assert_status("two", "alive")

    def test_suspect_of_others_is_called_before_it_counts_as_dead(self):
        self.instance.receive(make_digest("two", 5))
        rumour = make_entry("three", 4, "suspect")
        self.instance.receive(make_digest("two", 6, rumour))
        self.instance.now = 19.0
        sends = self.instance.fire()
        self.assert_status("three", "suspect")
        called = {send.msg.address for send in sends if send.to == "peers"}
        self.assertIn(ADDRESSES["three"], called)

    def test_failing_and_dead_members_are_not_regular_targets(self):
        self.instance.receive(make_digest("three", 1))
        self.instance.receive(make_digest("two", 1))
        self.fail_exchanges(1)
        for _ in range(20):
            self.instance.receive(make_digest("three", 1))
            called = {send.msg.address for send in self.calls()}
            self.assertNotIn(SEED, called)
        self.instance.receive(make_digest("next", 1))
        dead = make_entry("next", 1, "dead")
        self.instance.receive(make_digest("three", 2, dead))
        self.instance.now = 40.0
        called = {send.msg.address for _ in range(60) for send in self.calls()}
        self.assertIn(SEED, called)

    def calls(self):
        return [send for send in self.instance.fire() if send.to == "peers"]

    def test_unknown_dead_instance_is_not_added(self):
        rumour = make_entry("three", 4, "dead")
        self.instance.receive(make_digest("two", 6, rumour))
        self.assertEqual(["a.two.0123"], list(self.instance.statuses()))

    def test_own_suspicion_is_refuted(self):
        own = self.instance.digest().own
        rumour = own._replace(status="dead", heartbeat=7)
        self.instance.receive(make_digest("two", 1, rumour))
        refuted = self.instance.digest().own
        self.assertEqual(("alive", 8), (refuted.status, refuted.heartbeat))

    def test_leaving_status_is_final(self):
        self.instance.receive(make_digest("two", 9, status="leaving"))
        self.instance.receive(make_digest("three", 1, make_entry("two", 8)))
        self.assert_status("two", "leaving")
        self.instance.send(messages.InstanceLeaving())
        own = self.instance.digest().own
        self.instance.receive(
            make_digest("two", 1, own._replace(status="suspect", heartbeat=50))
        )
        self.assertEqual("leaving", self.instance.digest().own.status)

    def test_new_incarnation_at_an_address_marks_the_old_dead(self):
        self.instance.receive(make_digest("two", 9))
        self.instance.receive(make_digest("next", 1))
        self.assert_status("two", "dead")
        self.assert_status("next", "alive")

    def test_dead_are_dropped_and_members_are_bounded(self):
        self.instance.receive(make_digest("two", 9))
        self.instance.receive(make_digest("next", 1))
        self.instance.now = 700.0
        self.instance.fire()
        self.assertEqual({"a.next.0123"}, set(self.instance.statuses()))
        for index in range(membership.MAX_MEMBERS):
            rumour = make_entry(
                f"n{index}", 1, address=("10.2.0.1", index + 1)
            )
            self.instance.receive(make_digest("next", 2, rumour))
        self.assertEqual(membership.MAX_MEMBERS, len(self.instance.statuses()))

    def test_listeners_are_notified_of_peers(self):
        self.instance.receive(make_digest("two", 9))
        listeners = [
            send.to
            for send in self.instance.fire()
            if isinstance(send.msg, messages.PeersChanged)
        ]
        self.assertEqual(["backends", "jobs"], listeners)
        self.instance.send(messages.LoadReport(types.LoadHint(1, 2, 3)))
        self.assertEqual((1, 2, 3), self.instance.digest().own.load[:3])

    def test_newer_or_differing_configuration_of_a_peer_is_reported(self):
        self.instance.send(messages.ConfigurationChanged(make_cfg()))
        same = self.instance.digest()
        own = make_entry("two", 1)._replace(revision=1)
        newer = same._replace(own=own, offset=2)
        differs = same._replace(own=own, fingerprint="f" * 16)
        for digest, expected in ((same, 0), (newer, 1), (differs, 1)):
            sends = self.instance.receive(digest._replace(own=own, rumours=()))
            offers = [send for send in sends if send.to == "configuration"]
            self.assertEqual(expected, len(offers))


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.instance = Instance()
        self.instance.send(messages.ConfigurationChanged(make_cfg()))

    def read_list(self, *entries):
        return leaving_sets(
            self.instance.send(messages.InstancesListed(entries))
        )

    def test_marks_come_from_every_source(self):
        self.assertEqual([{"e1"}], self.read_list(make_listing("e1")))
        self.assertEqual(
            [{"e1", "e3"}], self.read_list(make_listing("x", port=80))
        )
        sends = self.instance.send(messages.BackendsLeaving(frozenset(["e2"])))
        self.assertEqual([{"e1", "e2", "e3"}], leaving_sets(sends))
        second = Instance("two", SEED)
        second.send(messages.ConfigurationChanged(make_cfg()))
        sends = second.receive(self.instance.digest())
        self.assertEqual([{"e1", "e2", "e3"}], leaving_sets(sends))

    def test_leaving_entry_instance_marks_no_backend_server(self):
        listing = make_listing("e1")._replace(role="entry")
        self.assertEqual([], self.read_list(listing))

    def test_mark_in_the_configuration(self):
        cfg = make_cfg(2, 1, leaving_names=("e2",))
        sends = self.instance.send(messages.ConfigurationChanged(cfg))
        self.assertEqual([{"e2"}], leaving_sets(sends))

    def test_older_information_removes_no_mark(self):
        before = self.instance.digest()
        self.read_list(make_listing("e1"))
        self.assertEqual([], self.read_list(make_listing("e1", "live")))
        self.assertEqual([], leaving_sets(self.instance.receive(before)))
        cfg = make_cfg(2, 1, ("e0", "e1"))
        self.instance.send(messages.ConfigurationChanged(cfg))
        self.assertEqual(["e1"], self.instance.status()["leaving"])

    def test_note_removes_the_mark_of_a_backend_server(self):
        self.read_list(make_listing("e1"))
        marked = self.instance.digest()
        sends = self.instance.send(
            messages.ConfigurationChanged(make_cfg(2, 2))
        )
        self.assertEqual([set()], leaving_sets(sends))
        self.assertEqual([], leaving_sets(self.instance.receive(marked)))
        self.assertEqual([], self.read_list(make_listing("e1")))
        self.assertEqual([], self.read_list(make_listing("e1", "live")))
        self.assertEqual([{"e1"}], self.read_list(make_listing("e1")))

    def test_bitmap_of_an_unknown_configuration_is_ignored(self):
        digest = make_digest("two", 1, leaving=b"\xff" * 80, cfg="ab" * 8)
        self.assertEqual([], leaving_sets(self.instance.receive(digest)))

    def test_bitmap_has_a_bit_for_each_backend_server(self):
        names = [f"e{index:03d}" for index in range(610)]
        cfg = make_cfg(2, 2, names)
        state = leaving_marks.apply_configuration(
            leaving_marks.LeavingState(), cfg, "ab" * 8
        )
        state = leaving_marks.add_marks(
            state, leaving_marks.marks_for(state, names)
        )
        bitmap = leaving_marks.make_bitmap(state)
        self.assertEqual(77, len(bitmap))
        marks = leaving_marks.read_bitmap(state, "ab" * 8, bitmap)
        self.assertEqual(state.marks, marks)

    def test_rapid_rounds_end_when_peers_are_informed(self):
        self.instance.receive(make_digest("two", 1))
        self.read_list(make_listing("e1"))
        own = make_entry("two", 1)._replace(revision=1)
        known = self.instance.digest()._replace(own=own)
        calls = []
        for _ in range(8):
            calls.append(self.calls())
            for _ in range(calls[-1]):
                self.instance.receive(known)
        self.assertEqual([2, 2, 2, 0], calls[:4])
        self.read_list(make_listing("e2"))
        self.assertEqual(2, self.calls())

    def calls(self):
        return sum(
            send.to == "peers" for send in self.instance.fire("rapid-round")
        )
