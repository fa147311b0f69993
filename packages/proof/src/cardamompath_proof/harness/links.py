"""What the tasks that own a socket do, over the fakes."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

from cardamompath_proof.harness import backends
from cardamompath_proof.harness import network
from cardamompathd import messages
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import snapshots

__all__ = [
    "make_links",
]

PEER_TIMEOUT = 1.0
"""Seconds until an exchange with a peer is given up."""


def make_links(instance) -> dict[str, Callable[[Any], None]]:
    """Make what an instance tells its messages outside the controllers."""
    return {
        messages.APPENDER: functools.partial(_append, instance),
        messages.CALLERS: functools.partial(_reply, instance),
        messages.CONNECTIONS: functools.partial(_start, instance),
        messages.INSTANCES: functools.partial(_read_list, instance),
        messages.LOGS: functools.partial(_log, instance),
        messages.PEERS: functools.partial(_call_peer, instance),
        messages.SNAPSHOTS: functools.partial(_append_snapshot, instance),
        messages.TELEMETRY: lambda msg: None,
        messages.TIMERS: functools.partial(_set_timer, instance),
    }


def _reply(instance, msg):
    instance.world.callers.reply(instance, msg.reply_to, msg.answer)


def _log(instance, msg):
    if msg.level != "INFO":
        instance.world.note(f"{instance.name}: {msg.text}")


def _set_timer(instance, msg):
    tell = instance.teller(msg.to)
    delay = max(0.0, msg.at - instance.now())
    fired = messages.TimerFired(msg.key)
    instance.world.queue.after(delay, lambda: tell(fired))


def _start(instance, msg):
    backend = instance.world.backends[msg.backend.name]
    tell = instance.teller(messages.BACKENDS)

    def done(answer):
        tell(messages.AttemptEnded(msg.backend.name, msg.task, answer))

    backends.begin(backend, instance, msg, done)


def _append(instance, msg):
    tell = instance.teller(messages.JOURNAL)
    if isinstance(msg, messages.ReadBack):
        records = instance.world.log.read_back(
            instance.domain, msg.stream, msg.offset
        )
        ended = messages.ReadBackEnded(records)
        instance.world.queue.after(network.FAR_DELAY, lambda: tell(ended))
        return

    def done(answer):
        outcome = "done"
        if isinstance(answer, errors.AppendOutcomeUnknown):
            outcome = "unknown"
        elif isinstance(answer, errors.PlatformError):
            outcome = "refused"
        tell(messages.AppendEnded(outcome))

    instance.world.log.append(
        instance.domain, msg.stream, list(msg.records), done
    )


def _append_snapshot(instance, msg):
    instance.world.log.append(
        instance.domain, snapshots.STREAM, [msg.record], lambda answer: None
    )


def _read_list(instance, msg):
    world = instance.world
    if not world.log.up:
        return
    tell = instance.teller(messages.MEMBERSHIP)
    world.send(
        instance.domain,
        network.PLATFORM,
        lambda: tell(messages.InstancesListed(world.listed())),
    )


def _call_peer(instance, msg):
    if isinstance(msg, messages.FetchConfigUpdate):
        tell = instance.teller(messages.CONFIGURATION)
        _exchange(
            instance,
            msg.address,
            messages.CONFIGURATION,
            functools.partial(messages.GetConfigUpdate, msg.after),
            lambda body: tell(messages.ConfigUpdateFetched(body)),
        )
        return
    tell = instance.teller(messages.MEMBERSHIP)
    _exchange(
        instance,
        msg.address,
        messages.MEMBERSHIP,
        functools.partial(messages.DigestReceived, msg.digest),
        lambda digest: tell(messages.DigestExchangeEnded(msg.address, digest)),
    )


def _exchange(instance, address, to, make, done):
    """Ask a peer; `done` gets its answer, or None after a time."""
    world = instance.world
    peer = world.instance_at(address)
    over = []

    def end(answer):
        if not over:
            over.append(True)
            done(answer)

    def answered(answer):
        world.send(peer.domain, instance.domain, lambda: end(answer))

    def arrive():
        peer.tell(messages.Send(to, make(answered)))

    world.queue.after(PEER_TIMEOUT, lambda: end(None))
    if peer is not None:
        world.send(instance.domain, peer.domain, arrive)
