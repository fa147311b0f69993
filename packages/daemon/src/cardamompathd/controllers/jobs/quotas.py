"""Checks a job's team and reserves memory for its answer.

This controller stands between those of the jobs and of the backend
servers: a job passes through it to be queued and to be withdrawn.
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
    """Teams, the instances that share their quotas, and reservations.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    memory_limit : int
        Bytes that unanswered jobs may reserve for their answers.
    """

    def __init__(self, owner: identity.Incarnation, memory_limit: int):
        self.own = (owner.domain, owner.instance)
        self.teams: tuple[types.TeamSpec, ...] = ()
        self.instances = {self.own}
        """Domains and names of the instances that divide a team's share."""
        self.cut_off = False
        self.answer_sizes = reservations.AnswerSizes()
        self.reservations = reservations.Reservations(memory_limit)
        self.waiting_jobs: dict[str, messages.Enqueue] = {}
        """Jobs that wait for a reservation, by identifier."""


def make_controller(
    owner: identity.Incarnation, memory_limit: int
) -> messages.Controller:
    """Make the controller of the team quotas and answer memory.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    memory_limit : int
        Bytes that unanswered jobs may reserve for their answers.
    """
    state = _QuotasState(owner, memory_limit)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.QUOTAS, receive)


def _enqueue(state, msg, now):
    refusal = quotas.check_team(state.teams, msg.spec.team)
    if refusal is not None:
        job_refused = messages.JobRefused(msg.job, refusal)
        return [messages.Send(messages.JOBS, job_refused)]
    if not msg.spec.single:
        size = state.answer_sizes.expected(msg.spec.tasks)
        priority = reservations.priority(now, len(msg.spec.tasks))
        if not state.reservations.reserve(msg.job, size, priority):
            state.waiting_jobs[msg.job] = msg._replace(waited_for_memory=True)
            return []
    return [messages.Send(messages.BACKENDS, msg)]


def _withdraw(state, msg, now):
    enqueue = state.waiting_jobs.pop(msg.job, None)
    if enqueue is None:
        return [messages.Send(messages.BACKENDS, msg)]
    indexes = tuple(range(len(enqueue.spec.tasks)))
    tasks_withdrawn = messages.TasksWithdrawn(msg.job, indexes)
    return [messages.Send(messages.JOBS, tasks_withdrawn)]


def _end_job(state, msg, now):
    for task, result in zip(msg.tasks, msg.results, strict=True):
        if result is not None and result.state == "finished":
            state.answer_sizes.observe(task, len(result.payload))
    withdraw = messages.Withdraw(msg.job)
    return [
        messages.Send(messages.BACKENDS, withdraw),
        *_release_memory(state, msg),
    ]


def _release_memory(state, msg):
    return [
        messages.Send(messages.BACKENDS, state.waiting_jobs.pop(job))
        for job in state.reservations.release(msg.job)
    ]


def _configure(state, msg, now):
    state.teams = msg.cfg.teams
    return [_send_team_shares(state)]


def _update_peers(state, msg, now):
    """Count the instances that divide the teams' shares.

    Instances that are not heard from, dead ones included, keep their
    share until they are forgotten.
    """
    instances = set()
    alive = False
    suspect = False
    for peer in msg.peers:
        owner = identity.parse_incarnation(peer.incarnation)
        instance = (owner.domain, owner.instance)
        is_counted = peer.status in ("alive", "suspect")
        if peer.status == "dead":
            is_counted = instance in state.instances
        if is_counted:
            instances.add(instance)
        alive = alive or peer.status == "alive"
        suspect = suspect or peer.status == "suspect"
    state.cut_off = suspect or (bool(instances) and not alive)
    state.instances = instances | {state.own}
    return [_send_team_shares(state)]


def _send_team_shares(state):
    shares = quotas.divide_shares(
        state.teams, len(state.instances), state.cut_off
    )
    return messages.Send(messages.BACKENDS, messages.TeamSharesChanged(shares))


def _report_status(state, msg, now):
    status = {
        "waiting_for_memory": len(state.waiting_jobs),
        "reserved_bytes": state.reservations.used_bytes,
        "instances": len(state.instances),
        "cut_off": state.cut_off,
    }
    reply = messages.Reply(msg.reply_to, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.GetStatus: _report_status,
    messages.JobEnded: _end_job,
    messages.PeersChanged: _update_peers,
    messages.Withdraw: _withdraw,
}
