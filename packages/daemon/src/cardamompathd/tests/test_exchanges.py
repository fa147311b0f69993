"""Exchanges of digests and configurations, and the list of instances."""

import queue
import random
import unittest

import hypothesis
import urllib3
from hypothesis import strategies

from cardamompath_core import config_fold
from cardamompath_core import identity
from cardamompath_core import membership
from cardamompath_core import types
from cardamompath_standins import platform
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.peers import errors
from cardamompathd.peers import exchanges
from cardamompathd.peers import gossip_codec
from cardamompathd.peers import server
from cardamompathd.peers import wire
from cardamompathd.recordlog import instance_list
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks
from cardamompathd.tests import network

WAIT = 10.0
"""Seconds to wait for a reply or a message."""
LOOPBACK = ("127.0.0.1", 0)


class Peer:
    """The configuration and membership controllers behind a real listener."""

    def __init__(self, name):
        self.ended = queue.Queue()
        table = {
            messages.CALLERS: lambda msg: msg.reply_to.set(msg.answer),
            messages.PEERS: lambda msg: self.pool.tell(msg),
        }
        for sink in ("jobs", "backends", "instances", "logs"):
            table[sink] = lambda msg: None
        owner = identity.Incarnation("a", name, "0123456789ab")
        rng = random.Random(1)
        self.ref = actors.ControllerActor.start(
            [
                controllers.configuration.configuration.make_controller(rng),
                controllers.fleet.membership.make_controller(owner, (), rng),
            ],
            actors.make_router(table),
            clocks.boottime,
        )
        self.tell = actors.make_tell(self.ref, messages.MEMBERSHIP)
        self.configuration = actors.make_tell(self.ref, messages.CONFIGURATION)
        self.ask = asking.make_ask(self.tell)
        self.pool = exchanges.start(self.deliver)
        handlers = exchanges.make_method_handlers(
            self.ask, asking.make_ask(self.configuration)
        )
        self.listener = server.start(LOOPBACK, handlers)
        self.address = (self.listener.host, self.listener.port)
        self.tell(messages.PeerListenerStarted(self.address))

    def deliver(self, send):
        self.ref.tell(send)
        self.ended.put(type(send.msg))

    def exchange(self, address):
        """Exchange digests with an address; return the type of the result."""
        received = messages.DigestReceived
        digest = self.ask(lambda fut: received(OTHER_DIGEST, fut), WAIT)
        self.pool.tell(messages.ExchangeDigest(address, digest))
        return self.ended.get(timeout=WAIT)

    def stop(self):
        self.pool.stop()
        self.listener.stop()
        self.ref.stop()


OTHER_DIGEST = membership.Digest(
    membership.Entry("a.test.0123", "127.0.0.1", 1), -1, "0" * 16, b""
)


class ExchangesTest(unittest.TestCase):
    def setUp(self):
        self.first, self.second = Peer("one"), Peer("two")
        self.addCleanup(self.first.stop)
        self.addCleanup(self.second.stop)

    def test_peer_fetches_the_newer_configuration(self):
        read = messages.RecordsRead("c", ((0, network.make_note(0, 5)),), 0, 1)
        self.first.configuration(read)
        ended = self.second.exchange(self.first.address)
        while ended is not messages.ConfigUpdateFetched:
            ended = self.second.ended.get(timeout=WAIT)
        ask = asking.make_ask(self.second.configuration)
        cfg = ask(messages.GetConfiguration, WAIT)
        self.assertEqual((1, 5), (cfg.revision, len(cfg.backends)))
        known = self.first.ask(messages.GetStatus, WAIT)["instances"]
        self.assertIn("a.two.0123456789ab", str(known))

    def test_exchange_with_an_unreachable_peer_ends(self):
        self.first.listener.stop()
        for address in (self.first.address, self.second.address):
            ended = self.second.exchange(address)
            self.assertIs(messages.DigestExchangeEnded, ended)


ENTRIES = strategies.builds(
    membership.Entry,
    strategies.text(max_size=20),
    strategies.ip_addresses().map(str),
    strategies.integers(1, 65535),
    strategies.sampled_from(membership.STATUSES),
    strategies.integers(0, 2**62),
    strategies.builds(
        types.LoadHint, *[strategies.integers(0, 2**31 - 1)] * 3
    ),
    strategies.integers(0, 2**62),
)
DIGESTS = strategies.builds(
    membership.Digest,
    ENTRIES,
    strategies.integers(-1, 2**62),
    strategies.binary(min_size=8, max_size=8).map(bytes.hex),
    strategies.binary(max_size=77),
    strategies.lists(ENTRIES, max_size=membership.RUMOURS_PER_DIGEST).map(
        tuple
    ),
)


class CodecTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(digest=DIGESTS)
    def test_digest_survives_a_round_trip(self, digest):
        fields = gossip_codec.encode_digest(digest)
        raw = wire.encode_reply(gossip_codec.DIGEST, fields)
        read = wire.decode_reply(raw, gossip_codec.DIGEST)
        self.assertEqual(digest, gossip_codec.decode_digest(read))

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(raw=strategies.binary(max_size=60))
    def test_malformed_content_is_rejected(self, raw):
        fields = gossip_codec.ConfigUpdateFields(0, 1, raw)
        with self.assertRaises(errors.BadMessage):
            gossip_codec.decode_config_update(fields)

    def test_update_round_trip_and_rejected_digests(self):
        update = config_fold.ConfigUpdate(3, 9, ((4, {"kind": "note"}),))
        fields = gossip_codec.encode_config_update(update)
        self.assertEqual(update, gossip_codec.decode_config_update(fields))
        valid = gossip_codec.encode_digest(OTHER_DIGEST)
        for changes in ({"host": b"123"}, {"status": 9}, {"port": 0}):
            bad = valid._replace(own=valid.own._replace(**changes))
            with self.assertRaises(errors.BadMessage):
                gossip_codec.decode_digest(bad)


class InstancesTest(unittest.TestCase):
    def test_list_is_read_once_until_it_changes(self):
        standin = platform.start()
        self.addCleanup(standin.stop)
        address = (standin.host, standin.port)
        entry = network.make_leaving_entry("executor-1")
        lines = [entry._asdict(), {"name": "broken"}, 7]
        url = f"http://{standin.host}:{standin.port}/v1/instances"
        urllib3.request("PUT", url, json=lines)
        task = instance_list.InstancesTask(address, WAIT, self.fail)
        self.assertEqual((entry,), task.read().entries)
        self.assertIsNone(task.read())
        urllib3.request("PUT", url, json=[])
        self.assertEqual((), task.read().entries)
