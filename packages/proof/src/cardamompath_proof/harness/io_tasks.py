"""Stand-ins for the tasks that own a socket, over the fakes."""

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
    "make_io_receivers",
]

PEER_TIMEOUT = 1.0
"""Seconds until an exchange with a peer times out."""


def make_io_receivers(instance) -> dict[str, Callable[[Any], None]]:
    """Make the receivers of the messages that leave the controllers.

    Returns
    -------
    dict
        From the address of a task to the function that takes its
        messages.
    """
    return {
        messages.APPENDER: functools.partial(_append, instance),
        messages.CALLERS: functools.partial(_reply, instance),
        messages.CONNECTIONS: functools.partial(_send_task, instance),
        messages.INSTANCES: functools.partial(_read_list, instance),
        messages.LOGS: functools.partial(_write_log, instance),
        messages.PEERS: functools.partial(_call_peer, instance),
        messages.SNAPSHOTS: functools.partial(_append_snapshot, instance),
        messages.TELEMETRY: lambda msg: None,
        messages.TIMERS: functools.partial(_set_timer, instance),
    }


def _reply(instance, msg):
    instance.sim.callers.reply(instance, msg.reply_to, msg.answer)


def _write_log(instance, msg):
    if msg.level != "INFO":
        instance.sim.add_trace(f"{instance.name}: {msg.text}")


def _set_timer(instance, msg):
    tell = instance.make_tell(msg.to)
    delay = max(0.0, msg.at - instance.now())
    fired = messages.TimerFired(msg.key)
    instance.sim.queue.schedule(delay, lambda: tell(fired))


def _send_task(instance, msg):
    backend = instance.sim.backends[msg.backend.name]
    tell = instance.make_tell(messages.BACKENDS)

    def on_result(answer):
        tell(messages.AttemptEnded(msg.backend.name, msg.task, answer))

    backends.send_task(backend, instance, msg, on_result)


def _append(instance, msg):
    tell = instance.make_tell(messages.JOURNAL)
    if isinstance(msg, messages.ReadBack):
        records = instance.sim.log.read_back(
            instance.domain, msg.stream, msg.offset
        )
        result = messages.ReadBackEnded(records)
        instance.sim.queue.schedule(
            network.INTER_DOMAIN_DELAY, lambda: tell(result)
        )
        return

    def on_result(answer):
        outcome = "done"
        if isinstance(answer, errors.AppendOutcomeUnknown):
            outcome = "unknown"
        elif isinstance(answer, errors.PlatformError):
            outcome = "refused"
        tell(messages.AppendEnded(outcome))

    instance.sim.log.append(
        instance.domain, msg.stream, list(msg.records), on_result
    )


def _append_snapshot(instance, msg):
    instance.sim.log.append(
        instance.domain, snapshots.STREAM, [msg.record], lambda answer: None
    )


def _read_list(instance, msg):
    sim = instance.sim
    if not sim.log.up:
        return
    tell = instance.make_tell(messages.MEMBERSHIP)
    sim.send(
        instance.domain,
        network.PLATFORM,
        lambda: tell(messages.InstancesListed(sim.list_instances())),
    )


def _call_peer(instance, msg):
    if isinstance(msg, messages.FetchConfigUpdate):
        tell = instance.make_tell(messages.CONFIGURATION)
        _exchange(
            instance,
            msg.address,
            messages.CONFIGURATION,
            functools.partial(messages.GetConfigUpdate, msg.after),
            lambda update: tell(messages.ConfigUpdateFetched(update)),
        )
        return
    tell = instance.make_tell(messages.MEMBERSHIP)
    _exchange(
        instance,
        msg.address,
        messages.MEMBERSHIP,
        functools.partial(messages.DigestReceived, msg.digest),
        lambda digest: tell(messages.DigestExchangeEnded(msg.address, digest)),
    )


def _exchange(instance, address, to, make_message, on_result):
    """Call a peer; `on_result` gets its answer, or None on a timeout."""
    sim = instance.sim
    peer = sim.instance_at(address)
    ended = []

    def finish(answer):
        if not ended:
            ended.append(True)
            on_result(answer)

    def send_answer(answer):
        sim.send(peer.domain, instance.domain, lambda: finish(answer))

    def deliver():
        peer.tell(messages.Send(to, make_message(send_answer)))

    sim.queue.schedule(PEER_TIMEOUT, lambda: finish(None))
    if peer is not None:
        sim.send(instance.domain, peer.domain, deliver)
