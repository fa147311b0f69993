"""Simulated instances that exchange digests in virtual time."""

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
"""One-way delay between instances in seconds."""
CALL_TIMEOUT = 1.0
"""Seconds after which a call to an unreachable instance fails."""
FRAME_HEADER_BYTES = 4
TCP_BYTES = 9 * 52
"""Bytes of the packets that open and close a connection."""


class Instance:
    """A simulated instance: the controllers that gossip, and counters."""

    def __init__(self, network, index, domain, seeds):
        self.network = network
        self.address = (f"10.0.{index // 250}.{index % 250 + 1}", 7400)
        rng = random.Random(network.rng.random())
        owner = identity.Incarnation(
            domain, f"entry-{index}", f"{rng.getrandbits(48):012x}"
        )
        self.domain = domain
        self.read_through = -1
        self.alive = True
        self.listening = False
        self.frame_bytes = 0
        self.tcp_bytes = 0
        self.leaving_backends = frozenset()
        self.revisions = [0]
        self.log_lines = []
        self.snapshots = []
        self.peers = ()
        self.controllers = {
            controller.name: controller.receive
            for controller in (
                controllers.configuration.configuration.make_controller(rng),
                controllers.fleet.membership.make_controller(
                    owner, seeds, rng
                ),
            )
        }

    def receive(self, name, msg):
        if not self.alive:
            return
        pending = collections.deque([messages.Send(name, msg)])
        while pending:
            send = pending.popleft()
            handle = self.controllers.get(send.to)
            if handle is not None:
                pending.extend(handle(send.msg, self.network.now))
            else:
                self.network.deliver(self, send)

    def ask(self, name, make_message):
        answers = []
        self.receive(name, make_message(answers.append))
        return answers[0]

    def is_up(self):
        return self.alive and self.listening

    def listen(self):
        self.listening = True
        msg = messages.PeerListenerStarted(self.address)
        self.receive(messages.MEMBERSHIP, msg)

    def cfg(self):
        return self.ask(messages.CONFIGURATION, messages.GetConfiguration)


class Network:
    """Simulated instances, their log and the partitions between them.

    Parameters
    ----------
    count : int
        Number of instances.
    seed : int
        Seed of all random draws.
    loss : float
        Share of calls that fail.
    domains : sequence of str
        Failure domains, over which the instances are spread evenly.
    """

    def __init__(self, count, seed, loss=0.0, domains=("a", "b", "c", "d")):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.events = []
        self.sequence = itertools.count()
        self.log = []
        self.oldest = 0
        self.listed_backends = []
        self.encodes_digests = False
        self.is_connected = lambda instance, peer: True
        self.can_read_log = lambda instance: True
        self.instances = []
        for index in range(count):
            self.add(domains[index * len(domains) // count])

    def add(self, domain):
        index = len(self.instances)
        addresses = [instance.address for instance in self.instances]
        seeds = addresses[:2] + addresses[-2:]
        instance = Instance(self, index, domain, seeds)
        self.instances.append(instance)
        self.schedule(self.rng.uniform(0.0, 2.0), instance.listen)
        self.read_log(instance)
        return instance

    def schedule(self, delay, action):
        event = (self.now + delay, next(self.sequence), action)
        heapq.heappush(self.events, event)

    def run(self, seconds, until=lambda: False):
        """Run until a condition or for some seconds; return the time taken."""
        started_at = self.now
        while self.events and self.events[0][0] <= started_at + seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()
            if until():
                return self.now - started_at
        self.now = started_at + seconds
        return seconds

    def append(self, record):
        self.log.append(record)
        for instance in self.instances:
            delay = self.rng.uniform(0.002, 0.05)
            self.schedule(
                delay, lambda instance=instance: self.read_log(instance)
            )

    def read_log(self, instance):
        if not self.can_read_log(instance):
            return
        first = max(self.oldest, instance.read_through + 1)
        records = tuple(enumerate(self.log))[first:]
        read = messages.RecordsRead(
            "configuration", records, self.oldest, len(self.log)
        )
        instance.read_through = max(instance.read_through, len(self.log) - 1)
        instance.receive(messages.CONFIGURATION, read)

    def deliver(self, instance, send):
        msg = send.msg
        if isinstance(msg, messages.SetTimer):
            fired = messages.TimerFired(msg.key)
            self.schedule(
                msg.at - self.now, lambda: instance.receive(msg.to, fired)
            )
        elif isinstance(msg, messages.Reply):
            msg.reply_to(msg.answer)
        elif isinstance(msg, messages.ExchangeDigest):
            self.exchange_digests(instance, msg)
        elif isinstance(msg, messages.FetchConfigUpdate):
            self.fetch_configuration(instance, msg)
        elif isinstance(msg, messages.ReadInstances):
            if self.can_read_log(instance):
                instance.receive(messages.MEMBERSHIP, self.list_instances())
        elif isinstance(msg, messages.AppendSnapshot):
            instance.snapshots.append(msg.record)
            self.append(msg.record)
        else:
            self.record_message(instance, msg)

    def list_instances(self):
        live = [
            types.InstanceEntry(
                f"entry-{index}",
                "entry",
                instance.domain,
                *instance.address,
                "live",
            )
            for index, instance in enumerate(self.instances)
        ]
        return messages.InstancesListed((*live, *self.listed_backends))

    def record_message(self, instance, msg):
        if isinstance(msg, messages.BackendsLeaving):
            instance.leaving_backends = msg.names
        elif isinstance(msg, messages.ConfigurationChanged):
            if msg.cfg.revision != instance.revisions[-1]:
                instance.revisions.append(msg.cfg.revision)
        elif isinstance(msg, messages.PeersChanged):
            instance.peers = msg.peers
        elif isinstance(msg, messages.LogLine):
            instance.log_lines.append(msg)

    def find_reachable(self, instance, address):
        for peer in self.instances:
            if peer.address != address or not peer.is_up():
                continue
            if (
                self.is_connected(instance, peer)
                and self.rng.random() >= self.loss
            ):
                return peer
        return None

    def exchange_digests(self, instance, msg):
        peer = self.find_reachable(instance, msg.address)
        if peer is None:
            ended = messages.DigestExchangeEnded(msg.address, None)
            self.schedule(
                CALL_TIMEOUT,
                lambda: instance.receive(messages.MEMBERSHIP, ended),
            )
            return
        method = gossip_codec.DIGEST
        digest = self.transfer(
            instance, peer, wire.encode_call, method, msg.digest
        )
        self.count_connection(instance, peer)

        def answer(reply):
            digest = self.transfer(
                peer, instance, wire.encode_reply, method, reply
            )
            ended = messages.DigestExchangeEnded(msg.address, digest)
            self.schedule(
                LATENCY, lambda: instance.receive(messages.MEMBERSHIP, ended)
            )

        received = messages.DigestReceived(digest, answer)
        self.schedule(
            LATENCY, lambda: peer.receive(messages.MEMBERSHIP, received)
        )

    def transfer(self, sender, receiver, encode, method, digest):
        """Count the bytes of a digest; return what the receiver decodes."""
        if not self.encodes_digests:
            return digest
        fields = gossip_codec.encode_digest(digest)
        raw = encode(method, fields)
        self.count_bytes(sender, receiver, len(raw))
        if encode is wire.encode_call:
            fields = wire.decode_call(raw, {method.name: method})[1]
        else:
            fields = wire.decode_reply(raw, method)
        return gossip_codec.decode_digest(fields)

    def count_bytes(self, instance, peer, size):
        instance.frame_bytes += size + FRAME_HEADER_BYTES
        peer.frame_bytes += size + FRAME_HEADER_BYTES

    def count_connection(self, instance, peer):
        instance.tcp_bytes += TCP_BYTES
        peer.tcp_bytes += TCP_BYTES

    def fetch_configuration(self, instance, msg):
        peer = self.find_reachable(instance, msg.address)

        def answer(update):
            fields = (
                gossip_codec.encode_config_update(update) if update else None
            )
            size = len(fields.content) if fields else 0
            if peer is not None:
                self.count_bytes(instance, peer, size + 40)
                self.count_connection(instance, peer)
            decoded = (
                gossip_codec.decode_config_update(fields) if fields else None
            )
            fetched = messages.ConfigUpdateFetched(decoded)
            self.schedule(
                LATENCY,
                lambda: instance.receive(messages.CONFIGURATION, fetched),
            )

        if peer is None:
            self.schedule(CALL_TIMEOUT, lambda: answer(None))
            return
        request = messages.GetConfigUpdate(msg.after, answer)
        self.schedule(
            LATENCY, lambda: peer.receive(messages.CONFIGURATION, request)
        )


def make_note(base, count=0, **extra):
    """Make a release note that adds a service with `count` backend servers."""
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
    """Return the configuration that a whole log folds to."""
    state = config_fold.FoldState()
    records = tuple(enumerate(log))
    return config_fold.read_records(state, records, 0, len(log)).state.cfg


def make_leaving_entry(name):
    """Make the entry of a leaving backend server in the platform's list."""
    return types.InstanceEntry(name, "backend", "a", "10.1.1.1", 1, "leaving")
