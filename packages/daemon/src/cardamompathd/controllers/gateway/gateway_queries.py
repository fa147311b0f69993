"""Questions to all instances whether one has a batch, to cancel or show it.

A caller may ask at any instance.  That no instance has a batch is said only
if each of them has told so; if one could not be asked, the caller is told that
it is not known.
"""

from __future__ import annotations

from typing import Any

from cardamompath_core import batches
from cardamompath_core import cancellation_log
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "APPEND_TIMER_KEY",
    "TIMER_KEY",
    "Query",
    "ask",
    "finish_answered",
    "handle_answer",
    "note_appended",
    "resend",
    "update_members",
]

QUERY_TIMEOUT = 1.5
"""Seconds until a caller is told that not every instance has answered."""
RESEND_INTERVAL = 0.2
"""Seconds after which an instance that has not answered is asked again; a
broken link is open again by then."""
COMPLETE_VIEW_TIME = 2.0
"""Seconds after its first view of the fleet for which an instance may not know
all others."""
RETRY_AFTER = 1.0
"""Seconds after which a caller may ask again if it is not known whether a
batch exists."""
TIMER_KEY = ("queries",)
"""Key of the timer of `resend`; names of batches are strings."""
APPEND_TIMER_KEY = ("appends",)
"""Key of the timers of `finish_answered`."""

_NOT_KNOWN = batches.Outcome(
    batches.REFUSED, "not every instance could be asked", RETRY_AFTER
)
_NO_ROUTE = batches.Outcome(batches.UNKNOWN_ROUTE, "no such route")
_ENDED = batches.Outcome(batches.UNKNOWN, "the job has ended")
_NO_BATCH = batches.Outcome(batches.UNKNOWN, "no such job")

_STATES = (
    "",
    batches.FAILED,
    batches.COMPLETE,
    batches.CANCELLED,
    batches.ACTIVE,
)
"""States of a batch at a member; a later one counts before an earlier one."""


class Query:
    """A question that not every instance has answered."""

    __slots__ = (
        "append_by",
        "asked",
        "awaited",
        "give_up_at",
        "has_route",
        "is_complete",
        "msg",
        "reply_to",
        "state",
    )

    def __init__(
        self,
        msg: pool_messages.BatchQuery,
        reply_to: Any,
        has_route: bool,
        now: float,
    ):
        self.msg = msg
        self.reply_to = reply_to
        self.has_route = has_route
        """Whether the path belongs to a route that is in force."""
        self.give_up_at = now + QUERY_TIMEOUT
        self.append_by: float | None = None
        """Until when the answer waits for the append of the cancellation;
        None if it does not wait."""
        self.asked: set[tuple[str, int]] = set()
        """Names and start times of the members that were asked."""
        self.awaited: dict[tuple[str, int], planner_election.Member] = {}
        """Those that have not answered."""
        self.is_complete = True
        """Whether all could be asked so far."""
        self.state = ""
        """The state of the batch, by the answers so far; empty if no member
        knows it."""


def ask(state, name, cancel, reply_to, has_route, now):
    """Ask every instance for a batch, this one included."""
    state.last_query += 1
    msg = pool_messages.BatchQuery(
        name, cancel, state.last_query, state.name, state.address
    )
    query = state.queries[state.last_query] = Query(
        msg, reply_to, has_route, now
    )
    query.is_complete = _knows_members(state, now)
    sends = [messages.Send(pool_messages.GATEWAY, msg)]
    query.awaited[state.name, state.started] = None
    sends += _ask_new_members(state, query)
    if cancel and state.logs_cancellations:
        sends += _append(query, now)
    return sends + _set_timer(state, now)


def _append(query, now):
    """Have a cancellation appended to the log, and limit the wait for it."""
    query.append_by = now + cancellation_log.ANSWER_TIMEOUT
    append = pool_messages.AppendCancellation(query.msg.name, now)
    due = messages.SetTimer(
        query.append_by, pool_messages.GATEWAY, APPEND_TIMER_KEY
    )
    return [
        messages.Send(pool_messages.CANCELLATION_LOG, append),
        messages.Send(messages.TIMERS, due),
    ]


def _knows_members(state, now):
    """Return whether no other instance can have a batch."""
    return (
        state.viewed_since is not None
        and now >= state.viewed_since + COMPLETE_VIEW_TIME
        and not state.missing
    )


def _ask_new_members(state, query):
    sends = []
    for member in state.alive:
        key = (member.name, member.started)
        if member.name != state.name and key not in query.asked:
            query.asked.add(key)
            query.awaited[key] = member
            sends.append(_send(state, member, query))
    return sends


def _send(state, member, query):
    # The question may be older than the first view, which tells the address.
    msg = query.msg._replace(address=state.address)
    to_member = pool_messages.SendToMember(member.address, msg)
    return messages.Send(pool_messages.LINKS, to_member)


def handle_answer(state, msg, now):
    """Process the answer of an instance."""
    query = state.queries.get(msg.number)
    if query is None:
        return []
    query.awaited.pop((msg.member, msg.member_started), None)
    query.state = max(query.state, msg.state, key=_STATES.index)
    return _finish_if_answered(state, query, now)


def note_appended(state, names, now):
    """Answer the callers whose cancellations the log has now."""
    sends = []
    for query in list(state.queries.values()):
        if query.append_by is not None and query.msg.name in names:
            query.append_by = None
            sends += _finish_if_answered(state, query, now)
    return sends


def finish_answered(state, now):
    """Answer the callers that have waited long enough for an append."""
    sends = []
    for query in list(state.queries.values()):
        sends += _finish_if_answered(state, query, now)
    return sends


def _finish_if_answered(state, query, now):
    """Answer the caller if all members and the log have answered."""
    awaits_append = query.append_by is not None and now < query.append_by
    if query.awaited or awaits_append:
        return []
    return _finish(state, query, now)


def update_members(state, now):
    """Follow a change of the fleet with the questions that are open."""
    alive = {(member.name, member.started) for member in state.alive}
    missing = {(member.name, member.started) for member in state.missing}
    sends = []
    for query in list(state.queries.values()):
        if missing & query.awaited.keys():
            query.is_complete = False
        for key in query.awaited.keys() - alive:
            del query.awaited[key]
        sends += _ask_new_members(state, query)
        sends += _finish_if_answered(state, query, now)
    return sends


def resend(state, now):
    """Ask those again that have not answered; give up after a time."""
    state.query_timer_set = False
    sends = []
    for query in list(state.queries.values()):
        if now >= query.give_up_at:
            query.is_complete = False
            sends += _finish(state, query, now)
            continue
        sends += _finish_if_answered(state, query, now)
        sends += [
            _send(state, member, query)
            for member in query.awaited.values()
            if member is not None
        ]
    return sends + _set_timer(state, now)


def _finish(state, query, now):
    del state.queries[query.msg.number]
    outcome = _outcome_of(query)
    fields = {
        "cancel": query.msg.cancel,
        "found": query.state,
        "asked": len(query.asked),
        "complete": query.is_complete,
        "took_ms": round((now - query.give_up_at + QUERY_TIMEOUT) * 1000.0),
        "answer": outcome.state,
        "remembered": len(state.cancellations),
    }
    if query.msg.cancel and state.logs_cancellations:
        fields["logged"] = query.append_by is None
    decision = pool_messages.Decision(
        "gateway", "batch looked up", query.msg.name, fields
    )
    return [
        messages.Send(
            messages.CALLERS, messages.Reply(query.reply_to, outcome)
        ),
        messages.Send(pool_messages.DECISION_LOG, decision),
    ]


def _outcome_of(query):
    has_ended = query.state in (batches.COMPLETE, batches.FAILED)
    if query.msg.cancel and has_ended:
        return _ENDED
    if query.msg.cancel and query.state:
        return batches.Outcome(batches.CANCELLED, "cancelled")
    if query.state:
        return batches.Outcome(query.state, "")
    if not query.is_complete:
        return _NOT_KNOWN
    return _NO_BATCH if query.has_route else _NO_ROUTE


def _set_timer(state, now):
    if state.query_timer_set or not state.queries:
        return []
    state.query_timer_set = True
    due = messages.SetTimer(
        now + RESEND_INTERVAL, pool_messages.GATEWAY, TIMER_KEY
    )
    return [messages.Send(messages.TIMERS, due)]
