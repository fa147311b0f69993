"""Costs of the gossip digests between instances."""

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
FRAME_HEADER_SIZE = 4
"""Bytes before each message on the wire."""
ROUND_INTERVAL = 2.0
"""Virtual seconds between rounds."""


class Round(NamedTuple):
    """Cost of a gossip round for one instance."""

    cpu_time: float
    """Processor seconds, including the codec."""
    digest_size: float
    """Bytes of one digest on the wire."""


def measure_round(instances: int) -> Round:
    """Measure rounds among `instances` instances that all answer."""
    rng = random.Random(5)
    controller = controllers.fleet.membership.make_controller(
        dispatch.OWNER, (), rng
    )
    listener = messages.PeerListenerStarted(("10.0.0.1", 7400))
    controller.receive(listener, 0.0)
    changed = messages.ConfigurationChanged(dispatch.make_configuration(610))
    controller.receive(changed, 0.0)
    digests = [_make_digest(index) for index in range(instances - 1)]
    for digest in digests:
        controller.receive(messages.DigestReceived(digest, None), 0.0)
    by_address = {(peer.own.host, peer.own.port): peer for peer in digests}
    sent_sizes = []
    started_at = time.process_time()
    for number in range(ROUNDS):
        now = ROUND_INTERVAL * (number + 1)
        timer = messages.TimerFired("round")
        for send in controller.receive(timer, now):
            if isinstance(send.msg, messages.ExchangeDigest):
                raw = _encode(send.msg.digest)
                sent_sizes.append(len(raw) + FRAME_HEADER_SIZE)
                reply = _decode(_encode(by_address[send.msg.address]))
                ended = messages.DigestExchangeEnded(send.msg.address, reply)
                controller.receive(ended, now)
    cpu_time = (time.process_time() - started_at) / ROUNDS
    return Round(cpu_time, sum(sent_sizes) / len(sent_sizes))


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
