"""Reports of planners on their capacity, as a gateway knows them.

A gateway keeps the last report of each planner, by its name and start time,
and deducts what it has sent there since.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from cardamompath_core import batch_order
from cardamompath_core import planner_election
from cardamompath_core import room_reports
from cardamompath_core import run_times
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "Fault",
    "find_fresh",
    "forget_former",
    "make_candidates",
    "note_rejection",
    "note_report",
    "note_sent",
    "urgency_of",
]

TRAVEL_TIME = 0.02
"""Seconds within which a batch that was sent is at its planner; a report that
was made earlier does not count it yet."""
FAULT_PERIOD = 10.0
"""Minimum number of seconds between two lines on dropped reports of one
planner."""
REPLAYED = "older than the last one"
STALE = "stale on arrival"
"""Why a report was dropped."""


class Fault(NamedTuple):
    """Dropped reports of a planner."""

    logged_at: float
    count: int
    """Number of those since then."""


def note_report(state, msg, now):
    """Keep a report of a planner, or count that it was dropped."""
    if not state.policy.room.reports:
        return ()
    key = (msg.name, msg.started)
    if msg.report is None:
        return _drop_report(state, key, msg.fault, now)
    offset = state.clock_offsets[key] = room_reports.estimate_offset(
        state.clock_offsets.get(key), msg.sent_at, now
    )
    known = state.rooms.get(key)
    if known is not None and msg.report.made_at <= known.report.made_at:
        if msg.report == known.report:
            return ()
        return _drop_report(state, key, REPLAYED, now)
    made_at = msg.report.made_at + offset[0]
    if now > made_at + room_reports.STALE_TIME:
        return _drop_report(state, key, STALE, now)
    state.rooms[key] = room_reports.HeardReport(msg.report, made_at)
    return ()


def _drop_report(state, key, reason, now):
    fault = state.room_faults.get(key)
    if fault is not None and now < fault.logged_at + FAULT_PERIOD:
        state.room_faults[key] = fault._replace(count=fault.count + 1)
        return ()
    count = 1 if fault is None else fault.count + 1
    state.room_faults[key] = Fault(now, 0)
    fields = {"planner": key[0], "reason": reason, "count": count}
    decision = pool_messages.Decision(
        "gateway", "room report dropped", "", fields
    )
    return [messages.Send(pool_messages.DECISION_LOG, decision)]


def find_fresh(state, planner, now):
    """Return the report of a planner, None if there is no fresh one.

    A report of a planner whose failure domain is evacuated counts as none, as
    it may have been made before the planner learned of the evacuation.
    """
    if state.is_evacuated(planner):
        return None
    heard = state.rooms.get((planner.name, planner.started))
    if heard is None or now > heard.made_at + room_reports.STALE_TIME:
        return None
    return heard


def make_candidates(state, pending, planners, waits, now):
    """Return the planners that a batch may be sent to, with their capacity.

    A planner is left out that rejected the batch and has made no report since,
    and one of another failure domain without a fresh report, as it may be
    cut off.

    Parameters
    ----------
    planners : sequence of Member
        In the order in which they are asked if all are equal.
    waits : mapping
        For each planner by its name, the seconds until a batch is there and
        the backlog that it announced.
    now : float
        Present time in seconds.

    Returns
    -------
    list of Candidate
    """
    need = _need_of(pending)
    urgency = urgency_of(pending)
    booked = _sum_booked(state, need.service)
    # A rejected batch is offered wherever capacity is reported; what others
    # may have sent there is not known, and the alternative is a rejection.
    peers = 0 if pending.rejected_reports else _count_peers(state)
    candidates = []
    for planner in planners:
        heard = find_fresh(state, planner, now)
        is_local = (
            not state.assignment.by_domain or planner.domain == state.domain
        )
        if _is_excluded(pending, planner, heard) or (
            heard is None and not is_local
        ):
            continue
        distance, backlog = waits[planner.name]
        candidate = room_reports.Candidate(
            planner.name, is_local, distance + backlog
        )
        if heard is not None:
            key = (planner.name, planner.started, need.service)
            sent = room_reports.Sent(
                booked.get(key, 0), peers * state.send_rates.rate(key, now)
            )
            candidate = room_reports.assess(
                candidate, heard, need, urgency, sent, distance, now
            )
        candidates.append(candidate)
    return candidates


def _is_excluded(pending, planner, heard):
    """Return whether a planner rejected a batch, with no report since."""
    made_at = pending.rejected_reports.get((planner.name, planner.started))
    return made_at is not None and (
        heard is None or heard.report.made_at <= made_at
    )


def _sum_booked(state, service):
    """Return the CPU of the tasks that planners were sent since they reported.

    Returns
    -------
    dict
        Thousandths of a core by planner, for batches of one service that have
        not ended.
    """
    sums = {}
    for pending in state.pending.values():
        planner = pending.planner
        if planner is None or pending.batch.policy.service != service:
            continue
        heard = state.rooms.get((planner.name, planner.started))
        if heard is not None and (
            pending.handed_at + TRAVEL_TIME > heard.made_at
        ):
            need = _need_of(pending)
            key = (planner.name, planner.started, service)
            sums[key] = sums.get(key, 0) + need.tasks * need.cpu
    return sums


def _count_peers(state):
    """Return the number of other gateways that prefer the same planners.

    Each is taken to send as much to a planner as this one.
    """
    members = planner_election.members_for_domain(
        state.alive, state.domain, state.assignment
    )
    return max(0, len(members) - 1)


def note_sent(state, pending, now):
    """Count a batch that is sent to a planner."""
    if state.policy.room.reports:
        need = _need_of(pending)
        planner = pending.planner
        key = (planner.name, planner.started, need.service)
        state.send_rates.add(key, need.tasks * need.cpu, now)


def note_rejection(state, pending, msg):
    """Note on which report a planner rejected a batch.

    It is offered the batch again on a later report only, and only if its
    rejections name the hand-over: one that was sent twice could otherwise be
    taken for that of the second offer, which may have started by then.
    """
    planner = pending.planner
    key = (planner.name, planner.started)
    heard = state.rooms.get(key)
    made_at = heard.report.made_at if heard else -math.inf
    pending.rejected_reports[key] = made_at if msg.handover else math.inf


def forget_former(state, members, now):
    """Forget what is known of processes that are no longer members."""
    state.send_rates.forget_before(now - FAULT_PERIOD)
    for facts in (state.rooms, state.clock_offsets, state.room_faults):
        for key in facts.keys() - members:
            del facts[key]


def _need_of(pending):
    if pending.need is None:
        policy = pending.batch.policy
        first = _first_steps(pending)
        pending.need = room_reports.Need(
            policy.service,
            policy.priority,
            max(step.resources.cpu for step in first),
            sum(step.count for step in first),
        )
    return pending.need


def _first_steps(pending):
    steps = pending.batch.steps
    return [step for step in steps if not step.after] or steps


def urgency_of(pending):
    """Return what decides whether a batch can be in time.

    The run time is the one that its caller expects; only planners know more.
    """
    policy = pending.batch.policy
    run_time = max(
        step.estimate or run_times.DEFAULT_TIME
        for step in _first_steps(pending)
    )
    return batch_order.Urgency(
        policy.priority,
        pending.submitted_at,
        policy.stretch * run_time + policy.slack,
        run_time,
        pending.deadline,
        pending.round > 0,
    )
