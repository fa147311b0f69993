"""Outcomes of batches, as known to the planners that may get them again.

A request may arrive again some seconds after its answer.  A planner therefore
tells the others that serve the same members, and their next two successors,
which batches have ended.
"""

from __future__ import annotations

from cardamompath_core import batches
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "note_report",
    "report",
]

MAX_NAMES = 2000
"""Maximum number of batches in a message."""
SUCCESSOR_COUNT = 2
"""Members next in line that are told as well."""


def report(state):
    """Tell other planners which batches have ended here since the last time.

    Returns
    -------
    list of Send
    """
    ended, state.unreported_outcomes = state.unreported_outcomes, {}
    addresses = _recipients(state)
    if not ended or not addresses:
        return []
    rows = [
        (name, outcome.state)
        for name, outcome in ended.items()
        if outcome.state in (batches.COMPLETE, batches.FAILED)
    ]
    return [
        messages.Send(
            pool_messages.LINKS,
            pool_messages.SendToMembers(
                addresses,
                pool_messages.OutcomesReported(
                    *zip(*rows[start : start + MAX_NAMES], strict=True)
                ),
            ),
        )
        for start in range(0, len(rows), MAX_NAMES)
    ]


def _recipients(state):
    """Return the addresses of those that may get the batches again."""
    domain = state.fleet.own_member.domain
    alive, planners = (
        planner_election.members_for_domain(members, domain, state.assignment)
        for members in (state.fleet.alive, state.assignment.planners)
    )
    ranked = planner_election.rank_candidates(alive)
    count = len(planners) + SUCCESSOR_COUNT
    return tuple(
        member.address
        for member in ranked[:count]
        if member.name != state.name
    )


def note_report(state, msg, _):
    """Keep outcomes that another planner has reported.

    A batch that was rejected here may have been offered to that one since.
    """
    for name, outcome_state in zip(msg.names, msg.states, strict=True):
        known = state.ended_outcomes.get(name)
        if known is None or known.state == batches.REFUSED:
            outcome = batches.Outcome(outcome_state, "it ended before")
            state.remember_outcome(name, outcome)
    return []
