"""What a job needs before it is queued: its team, room for its answer.

Stands between the controllers of the jobs and of the backend servers:
what is accepted goes through it, and so does what is withdrawn.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import quotas
from cardamompath_core import reservations
from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "make_controller",
]


class _QuotasState:
    """Teams, the instances that share their quotas, and reservations."""

    def __init__(self, owner: identity.Incarnation, share: int):
        self.own = (owner.domain, owner.instance)
        self.teams: tuple[types.TeamSpec, ...] = ()
        self.instances = {self.own}
        """Instances that a team's share is divided by."""
        self.cut_off = False
        self.sizes = reservations.AnswerSizes()
        self.reserved = reservations.Reservations(share)
        self.waiting: dict[str, messages.Enqueue] = {}
        """Jobs that wait for memory."""


def make_controller(
    owner: identity.Incarnation, share: int
) -> messages.Controller:
    """Make the controller of the teams' quotas and the answers' memory.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    share : int
        Bytes that unanswered jobs may reserve for their answers.
    """
    state = _QuotasState(owner, share)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.QUOTAS, receive)


def _enqueue(state, msg, now):
    refusal = quotas.refuse_team(state.teams, msg.spec.team)
    if refusal is not None:
        declined = messages.JobRefused(msg.job, refusal)
        return [messages.Send(messages.JOBS, declined)]
    if not msg.spec.single:
        size = state.sizes.expected(msg.spec.tasks)
        place = reservations.place(now, len(msg.spec.tasks))
        if not state.reserved.ask(msg.job, size, place):
            state.waiting[msg.job] = msg._replace(waited_for_memory=True)
            return []
    return [messages.Send(messages.BACKENDS, msg)]


def _withdraw(state, msg, now):
    waited = state.waiting.pop(msg.job, None)
    if waited is None:
        return [messages.Send(messages.BACKENDS, msg)]
    indexes = tuple(range(len(waited.spec.tasks)))
    withdrawn = messages.TasksWithdrawn(msg.job, indexes)
    return [messages.Send(messages.JOBS, withdrawn)]


def _ended(state, msg, now):
    for task, result in zip(msg.tasks, msg.results, strict=True):
        if result is not None and result.state == "finished":
            state.sizes.observe(task, len(result.payload))
    withdraw = messages.Withdraw(msg.job)
    return [
        messages.Send(messages.BACKENDS, withdraw),
        *_release(state, msg),
    ]


def _release(state, msg):
    return [
        messages.Send(messages.BACKENDS, state.waiting.pop(job))
        for job in state.reserved.release(msg.job)
    ]


def _configure(state, msg, now):
    state.teams = msg.cfg.teams
    return [_tell_parts(state)]


def _take_peers(state, msg, now):
    """Count the instances; those not heard count until forgotten."""
    listed = set()
    alive = False
    suspect = False
    for peer in msg.peers:
        owner = identity.parse_incarnation(peer.incarnation)
        place = (owner.domain, owner.instance)
        counted = peer.status in ("alive", "suspect")
        if peer.status == "dead":
            counted = place in state.instances
        if counted:
            listed.add(place)
        alive = alive or peer.status == "alive"
        suspect = suspect or peer.status == "suspect"
    state.cut_off = suspect or (bool(listed) and not alive)
    state.instances = listed | {state.own}
    return [_tell_parts(state)]


def _tell_parts(state):
    parts = quotas.make_parts(state.teams, len(state.instances), state.cut_off)
    return messages.Send(messages.BACKENDS, messages.PartsChanged(parts))


def _status(state, msg, now):
    status = {
        "waiting_for_memory": len(state.waiting),
        "reserved_bytes": state.reserved.used,
        "instances": len(state.instances),
        "cut_off": state.cut_off,
    }
    reply = messages.Reply(msg.reply_to, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.GetStatus: _status,
    messages.JobEnded: _ended,
    messages.PeersChanged: _take_peers,
    messages.Withdraw: _withdraw,
}
