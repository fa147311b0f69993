"""Instances that exchange digests in virtual time, for tests."""

import collections
import heapq
import itertools
import random

from cardamompath_core import config_fold
from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.peers import gossip_codec
from cardamompathd.peers import wire

LATENCY = 0.0015
TIMEOUT = 1.0
FRAME = 4
TCP = 9 * 52
"""Bytes of the packets that open and close a connection."""


class Instance:
    def __init__(self, net, index, domain, seeds):
        self.net = net
        self.address = (f"10.0.{index // 250}.{index % 250 + 1}", 7400)
        rng = random.Random(net.rng.random())
        owner = identity.Incarnation(
            domain, f"entry-{index}", f"{rng.getrandbits(48):012x}"
        )
        self.domain = domain
        self.read_through = -1
        self.alive = True
        self.listening = False
        self.bytes = 0
        self.tcp = 0
        self.leaving = frozenset()
        self.revisions = [0]
        self.logged = []
        self.snapshots = []
        self.peers = ()
        self.controllers = {
            one.name: one.receive
            for one in (
                controllers.configuration.make_controller(rng),
                controllers.membership.make_controller(owner, seeds, rng),
            )
        }

    def tell(self, name, msg):
        if not self.alive:
            return
        pending = collections.deque([messages.Send(name, msg)])
        while pending:
            send = pending.popleft()
            receive = self.controllers.get(send.to)
            if receive is not None:
                pending.extend(receive(send.msg, self.net.now))
            else:
                self.net.deliver(self, send)

    def ask(self, name, make_message):
        answers = []
        self.tell(name, make_message(answers.append))
        return answers[0]

    def is_up(self):
        return self.alive and self.listening

    def listen(self):
        self.listening = True
        msg = messages.PeerListenerStarted(self.address)
        self.tell(messages.MEMBERSHIP, msg)

    def cfg(self):
        return self.ask(messages.CONFIGURATION, messages.GetConfiguration)


class Network:
    """Instances, a log and cuts between them."""

    def __init__(self, count, seed, loss=0.0, domains=("a", "b", "c", "d")):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.events = []
        self.order = itertools.count()
        self.log = []
        self.oldest = 0
        self.listed = []
        self.encode = False
        self.may_talk = lambda one, other: True
        self.may_read = lambda one: True
        self.instances = []
        for index in range(count):
            self.add(domains[index * len(domains) // count])

    def add(self, domain):
        index = len(self.instances)
        known = [one.address for one in self.instances]
        seeds = known[:2] + known[-2:]
        one = Instance(self, index, domain, seeds)
        self.instances.append(one)
        self.later(self.rng.uniform(0.0, 2.0), one.listen)
        self.read_log(one)
        return one

    def later(self, delay, run):
        event = (self.now + delay, next(self.order), run)
        heapq.heappush(self.events, event)

    def run(self, seconds, until=lambda: False):
        """Run for some seconds, or until a condition; return the time."""
        began = self.now
        while self.events and self.events[0][0] <= began + seconds:
            self.now, _, event = heapq.heappop(self.events)
            event()
            if until():
                return self.now - began
        self.now = began + seconds
        return seconds

    def append(self, record):
        self.log.append(record)
        for one in self.instances:
            delay = self.rng.uniform(0.002, 0.05)
            self.later(delay, lambda one=one: self.read_log(one))

    def read_log(self, one):
        if not self.may_read(one):
            return
        first = max(self.oldest, one.read_through + 1)
        records = tuple(enumerate(self.log))[first:]
        read = messages.RecordsRead(
            "configuration", records, self.oldest, len(self.log)
        )
        one.read_through = max(one.read_through, len(self.log) - 1)
        one.tell(messages.CONFIGURATION, read)

    def deliver(self, one, send):
        msg = send.msg
        if isinstance(msg, messages.SetTimer):
            fired = messages.TimerFired(msg.key)
            self.later(msg.at - self.now, lambda: one.tell(msg.to, fired))
        elif isinstance(msg, messages.Reply):
            msg.reply_to(msg.answer)
        elif isinstance(msg, messages.ExchangeDigest):
            self.exchange(one, msg)
        elif isinstance(msg, messages.FetchConfiguration):
            self.fetch(one, msg)
        elif isinstance(msg, messages.ReadInstances):
            if self.may_read(one):
                one.tell(messages.MEMBERSHIP, self.list_instances())
        elif isinstance(msg, messages.AppendSnapshot):
            one.snapshots.append(msg.record)
            self.append(msg.record)
        else:
            self.record(one, msg)

    def list_instances(self):
        live = [
            types.InstanceEntry(
                f"entry-{index}", "entry", one.domain, *one.address, "live"
            )
            for index, one in enumerate(self.instances)
        ]
        return messages.InstancesListed((*live, *self.listed))

    def record(self, one, msg):
        if isinstance(msg, messages.BackendsLeaving):
            one.leaving = msg.names
        elif isinstance(msg, messages.ConfigurationChanged):
            if msg.cfg.revision != one.revisions[-1]:
                one.revisions.append(msg.cfg.revision)
        elif isinstance(msg, messages.PeersChanged):
            one.peers = msg.peers
        elif isinstance(msg, messages.LogLine):
            one.logged.append(msg)

    def reach(self, one, address):
        for other in self.instances:
            if other.address != address or not other.is_up():
                continue
            if self.may_talk(one, other) and self.rng.random() >= self.loss:
                return other
        return None

    def exchange(self, one, msg):
        other = self.reach(one, msg.address)
        if other is None:
            ended = messages.DigestExchangeEnded(msg.address, None)
            self.later(TIMEOUT, lambda: one.tell(messages.MEMBERSHIP, ended))
            return
        method = gossip_codec.DIGEST
        digest = self.cross(one, other, wire.encode_call, method, msg.digest)
        self.tcp_overhead(one, other)

        def answer(reply):
            digest = self.cross(other, one, wire.encode_reply, method, reply)
            ended = messages.DigestExchangeEnded(msg.address, digest)
            self.later(LATENCY, lambda: one.tell(messages.MEMBERSHIP, ended))

        received = messages.DigestReceived(digest, answer)
        self.later(LATENCY, lambda: other.tell(messages.MEMBERSHIP, received))

    def cross(self, one, other, encode, method, digest):
        """Count the bytes of a digest and return what arrives."""
        if not self.encode:
            return digest
        fields = gossip_codec.encode_digest(digest)
        raw = encode(method, fields)
        self.count(one, other, len(raw))
        if encode is wire.encode_call:
            fields = wire.decode_call(raw, {method.name: method})[1]
        else:
            fields = wire.decode_reply(raw, method)
        return gossip_codec.decode_digest(fields)

    def count(self, one, other, size):
        one.bytes += size + FRAME
        other.bytes += size + FRAME

    def tcp_overhead(self, one, other):
        one.tcp += TCP
        other.tcp += TCP

    def fetch(self, one, msg):
        other = self.reach(one, msg.address)

        def answer(body):
            fields = gossip_codec.encode_config_update(body) if body else None
            size = len(fields.content) if fields else 0
            if other is not None:
                self.count(one, other, size + 40)
                self.tcp_overhead(one, other)
            taken = (
                gossip_codec.decode_config_update(fields) if fields else None
            )
            fetched = messages.ConfigurationFetched(taken)
            self.later(
                LATENCY, lambda: one.tell(messages.CONFIGURATION, fetched)
            )

        if other is None:
            self.later(TIMEOUT, lambda: answer(None))
            return
        asked = messages.GetBody(msg.after, answer)
        self.later(LATENCY, lambda: other.tell(messages.CONFIGURATION, asked))


def make_note(base, count=0, **extra):
    """Make a note that adds a service or `count` backend servers."""
    added = {"services": {f"s{base}": {}}}
    if count:
        added["backends"] = {
            f"executor-{index:03d}": {
                "service": f"s{base}",
                "domain": "a",
                "host": f"10.9.{index // 250}.{index % 250}",
                "port": 8000,
            }
            for index in range(count)
        }
    note = {"kind": "note", "id": f"n{base}", "base": base}
    return note | {"operator": "ana", "added": added} | extra


def fold_log(log):
    """Return the configuration after a whole log."""
    state = config_fold.FoldState()
    records = tuple(enumerate(log))
    return config_fold.read_records(state, records, 0, len(log)).state.cfg


def make_leaving_entry(name):
    """Make a line of the platform's list for a leaving backend server."""
    return types.InstanceEntry(name, "backend", "a", "10.1.1.1", 1, "leaving")
