"""Costs of the digests between instances."""

from __future__ import annotations

import random
import time
from typing import NamedTuple

from cardamompath_core import identity
from cardamompath_core import membership
from cardamompath_proof.slopes import dispatch
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.peers import gossip_codec
from cardamompathd.peers import wire

__all__ = [
    "Round",
    "measure_round",
]

ROUNDS = 200
FRAME = 4
"""Bytes before each message on the wire."""
ROUND = 2.0
"""Virtual seconds between rounds."""


class Round(NamedTuple):
    """What a round costs at one instance."""

    cpu: float
    """Processor seconds, codec included."""
    size: float
    """Bytes of one digest on the wire."""


def measure_round(instances: int) -> Round:
    """Measure rounds among so many instances that all answer."""
    rng = random.Random(5)
    controller = controllers.membership.make_controller(
        dispatch.OWNER, (), rng
    )
    own = messages.PeerListenerStarted(("10.0.0.1", 7400))
    controller.receive(own, 0.0)
    changed = messages.ConfigurationChanged(dispatch.make_configuration(610))
    controller.receive(changed, 0.0)
    peers = [_make_digest(index) for index in range(instances - 1)]
    for digest in peers:
        controller.receive(messages.DigestReceived(digest, None), 0.0)
    by_address = {(one.own.host, one.own.port): one for one in peers}
    sent = []
    began = time.process_time()
    for number in range(ROUNDS):
        now = ROUND * (number + 1)
        fired = messages.TimerFired("round")
        for send in controller.receive(fired, now):
            if isinstance(send.msg, messages.ExchangeDigest):
                raw = _encode(send.msg.digest)
                sent.append(len(raw) + FRAME)
                peer = _decode(_encode(by_address[send.msg.address]))
                ended = messages.DigestExchangeEnded(send.msg.address, peer)
                controller.receive(ended, now)
    cpu = (time.process_time() - began) / ROUNDS
    return Round(cpu, sum(sent) / len(sent))


def _make_digest(index):
    nonce = f"{index:012x}"
    owner = identity.Incarnation(f"domain-{index % 5}", "entry", nonce)
    host = f"10.0.{index // 250}.{index % 250 + 2}"
    entry = membership.Entry(
        identity.format_incarnation(owner), host, 7400, heartbeat=1
    )
    return membership.Digest(entry, 0, "0" * 16, b"")


def _encode(digest):
    fields = gossip_codec.encode_digest(digest)
    return wire.encode_call(gossip_codec.DIGEST, fields)


def _decode(raw):
    fields = wire.decode_call(raw, {"digest": gossip_codec.DIGEST})[1]
    return gossip_codec.decode_digest(fields)
