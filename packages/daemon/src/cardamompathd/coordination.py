"""The tasks that keep instances in agreement.

They hold the configuration in force and the membership, and are wired
here: one actor for both controllers, the tasks that call peers, and
those that read the platform's list and append snapshots.
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

LISTENERS = (
    messages.BACKENDS,
    messages.QUOTAS,
    messages.JOBS,
    messages.MEMBERSHIP,
)
"""Tasks that are told of each revision; those that accept come last."""

PEER_LISTENERS = (messages.JOBS, messages.BACKENDS, messages.QUOTAS)
"""Tasks that are told of the other instances."""


class Coordination(NamedTuple):
    """The running tasks."""

    services: tuple[server.MethodHandler, ...]
    """Methods for the peers' listener."""
    listening: Callable[[tuple[str, int]], None]
    """Called once with the address of that listener."""
    leave: Callable[[], None]
    """Tells the peers that this instance drains."""
    stops: tuple[Callable[[], None], ...]
    """Functions that end the tasks, in this order."""


def start(
    cfg,
    owner: identity.Incarnation,
    table: dict[str, Any],
    deliver: actors.Deliver,
    clock: Callable[[], float],
    peer_listeners: Sequence[str] = PEER_LISTENERS,
) -> Coordination:
    """Start the tasks and enter them in the table.

    Parameters
    ----------
    cfg : mapping
        The checked settings.
    owner : Incarnation
        This instance.
    table : dict
        From the name of a task to the function that tells it.
    deliver : callable
        Hands a message to its task.
    clock : callable
        Returns the present time in seconds.
    peer_listeners : sequence of str, optional
        Tasks that are told of the other instances.
    """
    rng = random.Random()
    ref = actors.ControllerActor.start(
        [
            controllers.configuration.make_controller(
                rng, cfg["platform", "retention"], LISTENERS
            ),
            controllers.membership.make_controller(
                owner, cfg["peers", "addresses"], rng, peer_listeners
            ),
        ],
        deliver,
        clock,
    )
    for name in (messages.CONFIGURATION, messages.MEMBERSHIP):
        table[name] = actors.make_tell(ref, name)
    table[messages.LOGS] = _write_line
    stops = (
        *_start_tasks(cfg, table, deliver),
        lambda: ref.stop(block=False),
    )
    tell = table[messages.MEMBERSHIP]
    return Coordination(
        exchanges.make_method_handlers(
            asking.make_ask(tell),
            asking.make_ask(table[messages.CONFIGURATION]),
        ),
        lambda address: tell(messages.PeerListenerStarted(address)),
        lambda: tell(messages.InstanceLeaving()),
        stops,
    )


def _write_line(msg):
    loguru.logger.log(msg.level, "{}", msg.text)


def _start_tasks(cfg, table, deliver):
    address = cfg["platform", "address"]
    timeout = cfg["platform", "timeout"]
    calling = exchanges.start(
        deliver, traffic.make_counting_call(table[messages.TELEMETRY])
    )
    appending = snapshots.start(log_client.make_client(*address, timeout))
    listing = instance_list.start(address, timeout, table[messages.MEMBERSHIP])
    table[messages.PEERS] = calling.tell
    table[messages.SNAPSHOTS] = appending.tell
    table[messages.INSTANCES] = listing.tell
    return (
        lambda: listing.tell(None),
        lambda: appending.tell(None),
        calling.stop,
    )
