"""Starts the tasks that coordinate an instance with the others.

They own the configuration in force and the membership: one actor for both
controllers, the tasks that call peers, the one that reads the platform's
list of instances and the one that appends snapshots.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import loguru

from cardamompath_core import identity
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.peers import exchanges
from cardamompathd.peers import server
from cardamompathd.peers import traffic
from cardamompathd.recordlog import instance_list
from cardamompathd.recordlog import log_client
from cardamompathd.recordlog import snapshots
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking

__all__ = [
    "Coordination",
    "start",
]

CONFIGURATION_SUBSCRIBERS = (
    messages.BACKENDS,
    messages.QUOTAS,
    messages.JOBS,
    messages.MEMBERSHIP,
)
"""Tasks that receive each revision; those that accept work come last."""

MEMBERSHIP_SUBSCRIBERS = (messages.JOBS, messages.BACKENDS, messages.QUOTAS)
"""Tasks that receive the changes of the other instances."""


class Coordination(NamedTuple):
    """The running coordination tasks."""

    method_handlers: tuple[server.MethodHandler, ...]
    """Handlers of the methods that the listener for peers serves."""
    report_listening: Callable[[tuple[str, int]], None]
    """Called once, with the address of that listener."""
    leave: Callable[[], None]
    """Announces to the peers that this instance is leaving."""
    stop_functions: tuple[Callable[[], None], ...]
    """Functions that stop the tasks, to be called in this order."""


def start(
    cfg,
    owner: identity.Incarnation,
    receivers: dict[str, Any],
    deliver: actors.Deliver,
    clock: Callable[[], float],
    membership_subscribers: Sequence[str] = MEMBERSHIP_SUBSCRIBERS,
) -> Coordination:
    """Start the tasks and add their receivers.

    Parameters
    ----------
    cfg : mapping
        The checked settings.
    owner : Incarnation
        This instance.
    receivers : dict
        Functions that receive the messages of a task, by its address.
    deliver : callable
        Delivers a message to its task.
    clock : callable
        Returns the current time in seconds.
    membership_subscribers : sequence of str, optional
        Tasks that receive the changes of the other instances.
    """
    rng = random.Random()
    actor_ref = actors.ControllerActor.start(
        [
            controllers.configuration.configuration.make_controller(
                rng, cfg["platform", "retention"], CONFIGURATION_SUBSCRIBERS
            ),
            controllers.fleet.membership.make_controller(
                owner, cfg["peers", "addresses"], rng, membership_subscribers
            ),
        ],
        deliver,
        clock,
    )
    for name in (messages.CONFIGURATION, messages.MEMBERSHIP):
        receivers[name] = actors.make_tell(actor_ref, name)
    receivers[messages.LOGS] = _log_line
    stop_functions = (
        *_start_tasks(cfg, receivers, deliver),
        lambda: actor_ref.stop(block=False),
    )
    tell = receivers[messages.MEMBERSHIP]
    return Coordination(
        exchanges.make_method_handlers(
            asking.make_ask(tell),
            asking.make_ask(receivers[messages.CONFIGURATION]),
        ),
        lambda address: tell(messages.PeerListenerStarted(address)),
        lambda: tell(messages.InstanceLeaving()),
        stop_functions,
    )


def _log_line(msg):
    loguru.logger.log(msg.level, "{}", msg.text)


def _start_tasks(cfg, receivers, deliver):
    address = cfg["platform", "address"]
    timeout = cfg["platform", "timeout"]
    call_pool = exchanges.start(
        deliver, traffic.make_counting_call(receivers[messages.TELEMETRY])
    )
    snapshot_task = snapshots.start(log_client.make_client(*address, timeout))
    instances_task = instance_list.start(
        address, timeout, receivers[messages.MEMBERSHIP]
    )
    receivers[messages.PEERS] = call_pool.tell
    receivers[messages.SNAPSHOTS] = snapshot_task.tell
    receivers[messages.INSTANCES] = instances_task.tell
    return (
        lambda: instances_task.tell(None),
        lambda: snapshot_task.tell(None),
        call_pool.stop,
    )
