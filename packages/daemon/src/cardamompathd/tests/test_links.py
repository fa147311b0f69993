"""Links between instances over real sockets, and their codec."""

import contextlib
import functools
import queue
import socket
import unittest
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.peers import errors
from cardamompathd.peers import links
from cardamompathd.peers import pool_codec
from cardamompathd.peers import wire
from cardamompathd.runtime import clocks
from cardamompathd.runtime import inboxes
from cardamompathd.runtime import sockets

WAIT = 10.0
"""Seconds to wait for a message or for bytes."""


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


def make_plan():
    step = batches.Step(
        8, executors.Resources(27000, 64, 1), 0.051, (), "a", "r1-2", 3
    )
    after = step._replace(after=(0,))
    policy = batches.RoutePolicy("r-1", "desk", 2, 3, 1.6, 0.06)
    batch = batches.Batch("5c0e", "text", (step, after), policy)
    return pool_messages.PlanBatch(batch, "n-1", 0.25, 1.5, 2)


class OldDropFields(NamedTuple):
    """A dropped batch, as instances without start times send it."""

    name: str
    origin: str


wire.declare(OldDropFields, wire.TEXT, wire.TEXT)


class CodecTest(unittest.TestCase):
    def assert_same(self, msg, to):
        send = pool_codec.decode(pool_codec.encode(msg))
        self.assertEqual(send, messages.Send(to, msg))

    def test_losses_of_a_batch_are_sent(self):
        losses = (
            pool_messages.RunLoss(
                0, 3, "i-1", 17, ("h", 1), True, True, False
            ),
            pool_messages.RunLoss(
                1, 0, "i-2", 9, ("h", 2), True, False, True, True
            ),
        )
        for msg in (
            make_plan()._replace(losses=losses),
            pool_messages.LossesReported("j1", losses),
        ):
            send = pool_codec.decode(pool_codec.encode(msg))
            self.assertEqual(send.msg, msg)

    def test_messages_survive_a_round_trip(self):
        self.assert_same(make_plan(), pool_messages.PLANNER)
        self.assert_same(
            make_plan()._replace(origin_started=1700), pool_messages.PLANNER
        )
        self.assert_same(
            pool_messages.DropBatch("5c0e", "n-1"), pool_messages.PLANNER
        )
        self.assert_same(
            pool_messages.DropBatch("5c0e", "n-1", 1700), pool_messages.PLANNER
        )
        outcome = batches.Outcome(batches.REFUSED, "full", 1.0)
        self.assert_same(
            pool_messages.BatchEnded("5c0e", "n-1", outcome, "n-2"),
            pool_messages.GATEWAY,
        )
        self.assert_same(
            pool_messages.ConfigurationOffered(7, b"{}"),
            pool_messages.CONFIGURATIONS,
        )
        self.assert_same(
            pool_messages.EvacuationRead(evacuation.make(7, ["a", "b"])),
            pool_messages.GATEWAY,
        )

    def test_versions_with_and_without_start_times_understand_another(self):
        method = wire.Method("drop", OldDropFields, OldDropFields)
        old = OldDropFields("5c0e", "n-1")
        send = pool_codec.decode(wire.encode_call(method, old))
        self.assertEqual(send.msg, pool_messages.DropBatch(*old))
        new = pool_codec.encode(pool_messages.DropBatch(*old, 1700))
        _, fields = wire.decode_call(new, {"drop": method})
        self.assertEqual(fields, old)

    def test_heartbeat_is_decoded_as_received_heartbeat(self):
        member = planner_election.Member(
            "n-1", "a", ("10.1.0.1", 7), 1700, True, 645, 1
        )
        heartbeat = fleet_state.Heartbeat(
            member, 3, (("10.1.0.2", 7),), 0.25, 0.42
        )._replace(evacuation_offset=7, evacuation_digest=8)
        send = pool_codec.decode(pool_codec.encode(heartbeat))
        self.assertEqual(send.msg, pool_messages.HeartbeatReceived(*heartbeat))

    def test_permission_of_an_earlier_version_allows_a_lease(self):
        member = planner_election.Member("n-1", "a", ("127.0.0.1", 1), 1)
        for confirmed_at, expected in ((4.6, 4.6), (0.0, 4.55)):
            heartbeat = fleet_state.Heartbeat(
                member,
                1,
                (),
                planner_until=5.0,
                planner_confirmed_at=confirmed_at,
            )
            received = pool_codec.decode(pool_codec.encode(heartbeat)).msg
            self.assertAlmostEqual(received.planner_confirmed_at, expected)

    def test_heartbeat_with_a_backlog_of_months_is_sent(self):
        # It could not be encoded, so that the sender counted as failed.
        member = planner_election.Member("n-1", "a", ("10.1.0.1", 7), 1700)
        heartbeat = fleet_state.Heartbeat(member, 3, (), backlog=1e9)
        msg = pool_codec.decode(pool_codec.encode(heartbeat)).msg
        self.assertEqual(msg.backlog, pool_codec.MAX_BACKLOG_MS / 1000.0)

    def test_heartbeat_with_an_address_out_of_range_is_rejected(self):
        # The address was passed on to every member.
        member = planner_election.Member("n-1", "a", ("10.1.0.1", 7), 1700)
        for address in (
            ("10.1.0.2", 70000),
            ("10.1.0.2", 0),
            ("10.1.0.2", -1),
            ("evil.example", 7),
            ("", 7),
        ):
            own = member._replace(address=address)
            for heartbeat in (
                fleet_state.Heartbeat(own, 3, ()),
                fleet_state.Heartbeat(member, 3, (address,)),
            ):
                raw = pool_codec.encode(heartbeat)
                with (
                    self.subTest(heartbeat=heartbeat),
                    self.assertRaises(errors.BadMessage),
                ):
                    pool_codec.decode(raw)

    def test_malformed_bytes_are_rejected(self):
        raw = pool_codec.encode(make_plan())
        for bad in (b"", b"\x00" * 40, raw[:20], raw[3:]):
            with self.subTest(bad=bad), self.assertRaises(errors.BadMessage):
                pool_codec.decode(bad)


class LinksTest(unittest.TestCase):
    def start(self):
        address = free_address()
        received = queue.SimpleQueue()
        return address, received, self.start_at(address, received)

    def start_at(self, address, received, clock=clocks.boottime):
        ref = sockets.SocketActor.start(
            [],
            received.put,
            clock,
            [functools.partial(links.make_owner, address)],
        )
        self.addCleanup(ref.stop)
        return ref

    def tell(self, ref, msg):
        ref.tell(messages.Send(pool_messages.LINKS, msg))

    def wait_for(self, received, kind):
        while True:
            send = received.get(timeout=WAIT)
            if isinstance(send.msg, kind):
                return send

    def test_messages_arrive_in_order(self):
        address, received, _ = self.start()
        ref = self.start()[2]
        self.tell(ref, pool_messages.SetLink(address, True))
        for number in range(50):
            drop = pool_messages.DropBatch(f"b{number}", "n-1")
            self.tell(ref, pool_messages.SendToMember(address, drop))
        names = []
        while len(names) < 10:
            names.append(
                self.wait_for(received, pool_messages.DropBatch).msg.name
            )
        self.assertEqual(names, sorted(names, key=lambda name: int(name[1:])))

    def test_refused_connection_is_reported(self):
        _, received, ref = self.start()
        address = free_address()
        self.tell(ref, pool_messages.SetLink(address, True))
        failed = self.wait_for(received, pool_messages.LinkFailed).msg
        self.assertEqual(failed.address, address)
        self.assertTrue(failed.refused)

    def test_invalid_address_leaves_the_other_links(self):
        # Each attempt to open it ended the check of all links early.
        self.now = 100.0
        received = queue.SimpleQueue()
        ref = self.start_at(free_address(), received, lambda: self.now)
        invalid = (("10.1.0.9", 70000), ("10.1.0.9", -1), ("a\0", 1))
        address = free_address()
        for to in (*invalid, address):
            self.tell(ref, pool_messages.SetLink(to, True))
            failed = self.wait_for(received, pool_messages.LinkFailed).msg
            self.assertEqual(failed.address, to)
        self.start_at(address, after_reopening := queue.SimpleQueue())
        drop = pool_messages.DropBatch("b", "n-1")
        self.tell(ref, pool_messages.SendToMember(address, drop))
        send = None
        for _ in range(100):
            # The other side may not listen yet.
            self.now += links.CONNECT_TIMEOUT + links.REOPEN_DELAY
            ref.tell(inboxes.DeadlineReached())
            self.tell(ref, pool_messages.SendToMember(address, drop))
            with contextlib.suppress(queue.Empty):
                send = after_reopening.get(timeout=0.1)
                break
        self.assertIsNotNone(send)
        self.assertEqual(send.msg, drop)

    def test_broken_link_is_reopened(self):
        address, _, peer_ref = self.start()
        _, received, ref = self.start()
        self.tell(ref, pool_messages.SetLink(address, True))
        drop = pool_messages.DropBatch("b", "n-1")
        self.tell(ref, pool_messages.SendToMember(address, drop))
        peer_ref.stop()
        self.wait_for(received, pool_messages.LinkFailed)
        after_reopening = queue.SimpleQueue()
        self.start_at(address, after_reopening)
        send = None
        while send is None:
            self.tell(ref, pool_messages.SendToMember(address, drop))
            try:
                send = after_reopening.get(timeout=0.1)
            except queue.Empty:
                continue
        self.assertEqual(send.msg, drop)

    def test_malformed_bytes_close_only_their_link(self):
        address, received, _ = self.start()
        with socket.create_connection(address) as sock:
            sock.sendall(b"\xff" * 64)
            sock.settimeout(WAIT)
            self.assertEqual(sock.recv(1), b"")
        ref = self.start()[2]
        self.tell(ref, pool_messages.SetLink(address, True))
        drop = pool_messages.DropBatch("b", "n-1")
        self.tell(ref, pool_messages.SendToMember(address, drop))
        self.assertEqual(self.wait_for(received, type(drop)).msg, drop)

    def test_message_that_cannot_be_encoded_is_lost_alone(self):
        address, received, _ = self.start()
        ref = self.start()[2]
        self.tell(ref, pool_messages.SetLink(address, True))
        for name in ("\ud800", "b"):
            drop = pool_messages.DropBatch(name, "n-1")
            self.tell(ref, pool_messages.SendToMember(address, drop))
        # Messages before the link is open are lost.
        drop = pool_messages.DropBatch("c", "n-1")
        self.tell(ref, pool_messages.SendToMember(address, drop))
        sent = self.wait_for(received, type(drop)).msg
        self.assertIn(sent.name, ("b", "c"))
