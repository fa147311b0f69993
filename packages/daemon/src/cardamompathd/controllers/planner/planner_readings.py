"""Readings of the list of executors that planners get from other instances."""

from __future__ import annotations

import math

from cardamompath_core import executor_readings
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_log

__all__ = [
    "TIMER_KEY",
    "ask",
    "begin",
    "forward_answer",
    "forward_question",
    "handle_answer",
    "is_listed",
    "is_too_old",
    "make_timer",
    "note_own_reading",
    "note_reading",
    "note_store_state",
]

FIRST_QUESTION_TIME = executor_readings.READ_TIME + 0.001
"""Seconds after which a new planner without a reading asks; questions are due
later than `READ_TIME`."""
MIN_QUESTION_INTERVAL = 0.2
"""Minimum number of seconds between two questions of one instance that are
answered; half the interval at which it asks."""
QUESTIONS_PER_MS = 1000
"""Numbers of questions for each millisecond of the start time of a process;
far more than are asked in it."""
INVALID_LOG_INTERVAL = 10.0
"""Minimum number of seconds between two log lines about answers that were
dropped; an instance with a fault repeats them with each question."""
TIMER_KEY = "first question"
"""Key of the timer of the first question of a new planner."""
MAX_REASON_LENGTH = 200
"""Characters of an error that are logged; it may quote a whole answer."""

OWN = "own"
"""The list is as of a reading of this instance."""
PEERS = "peers"
"""The list is as of a reading of another instance."""
AWAITED = "awaited"
"""No task starts, as a newer reading is awaited from another instance."""
OLD = "old"
"""The list is old; no instance that answers can read the store."""


def begin(state):
    """Forget what was asked in an earlier term of this planner.

    Questions of a former process of this instance had lower numbers, so that
    no answer to one of them counts.
    """
    known = state.readings
    known.asking_since = None
    first = state.fleet.own_member.started * QUESTIONS_PER_MS
    known.last_number = max(known.last_number, first)
    state.list_source = OWN


def make_timer(now):
    """Return the message that sets the timer of the first question.

    The next tick of an instance that begins to plan may be half a second
    away, later than it takes an old list for the present one.
    """
    due = messages.SetTimer(
        now + FIRST_QUESTION_TIME, pool_messages.PLANNER, TIMER_KEY
    )
    return messages.Send(messages.TIMERS, due)


def is_listed(state, now):
    """Return whether a planner that has just begun may start tasks."""
    return executor_readings.is_listed(
        state.readings, _members(state), state.began_at, now
    )


def is_too_old(state, now):
    """Return whether no task may be started by the newest reading."""
    return executor_readings.is_too_old(
        state.readings, _members(state), state.began_at, now
    )


def _members(state):
    return () if state.fleet is None else state.fleet.alive


def ask(state, now):
    """Ask other instances while the own reading is too old."""
    known = state.readings
    if not executor_readings.is_due(known, state.began_at, now):
        known.asking_since = None
        return _log_source(state, now)
    if now < state.asked_at + executor_readings.ASK_INTERVAL:
        return _log_source(state, now)
    own = state.fleet.own_member
    chosen = executor_readings.choose_peers(known, _members(state), own.domain)
    if not chosen:
        return _log_source(state, now)
    state.asked_at = now
    question = executor_readings.make_question(known, chosen, now)
    msg = pool_messages.ExecutorsAsked(
        question.number, question.since, state.name
    )
    addresses = tuple(member.address for member in chosen)
    to_members = pool_messages.SendToMembers(addresses, msg)
    return [
        messages.Send(pool_messages.LINKS, to_members),
        *_log_source(state, now),
    ]


def _log_source(state, now):
    """Log by which reading tasks are started, if that has changed."""
    source = _find_source(state, now)
    if source == state.list_source:
        return []
    before, state.list_source = state.list_source, source
    known = state.readings
    return [
        planner_log.decision(
            "executor list",
            source=source,
            before=before,
            age_ms=_age_ms(known.read_at, now),
            own_age_ms=_age_ms(known.own_read_at, now),
            offset=known.offset,
            readable_ms=_age_ms(known.readable_at, now),
            failing_ms=_age_ms(known.failing_at, now),
            asked=sorted(known.asked_at),
        )
    ]


def _find_source(state, now):
    known = state.readings
    if known.asking_since is None:
        return OWN
    if not is_listed(state, now) or is_too_old(state, now):
        return AWAITED
    if known.read_at < state.began_at or (
        now > known.read_at + executor_readings.MAX_AGE
    ):
        return OLD
    return PEERS if known.read_at > known.own_read_at else OWN


def _age_ms(since, now):
    return round((now - since) * 1000.0) if since > -math.inf else None


def note_own_reading(state, msg, _):
    """Record a reading of this instance, and tell others if it can read."""
    before = state.readings.own_state
    executor_readings.note_own_reading(state.readings, *msg)
    if msg.state == before:
        return []
    changed = pool_messages.StoreStateChanged(state.name, 0, msg.state)
    return [messages.Send(pool_messages.FLEET, changed)]


def note_reading(state, msg, _):
    """Record a reading of another instance that is part of the list."""
    executor_readings.note_reading(state.readings, msg.read_at, msg.offset)
    return []


def note_store_state(state, msg, _):
    """Record whether another instance can read the store."""
    known = state.readings
    known.peer_states[msg.name, msg.started] = msg.state
    if state.fleet is not None:
        members = {
            (member.name, member.started)
            for member in (*state.fleet.alive, *state.fleet.missing)
        }
        members.add((msg.name, msg.started))
        known.peer_states = {
            key: value
            for key, value in known.peer_states.items()
            if key in members
        }
    return []


def forward_question(state, msg, now):
    """Have the store read for another instance that is alive."""
    addresses = {member.name: member.address for member in _members(state)}
    last = state.question_times.get(msg.origin, -math.inf)
    if msg.origin not in addresses or now < last + MIN_QUESTION_INTERVAL:
        return []
    state.question_times = {
        name: asked_at
        for name, asked_at in state.question_times.items()
        if now < asked_at + MIN_QUESTION_INTERVAL
    }
    state.question_times[msg.origin] = now
    question = msg._replace(address=addresses[msg.origin])
    return [messages.Send(pool_messages.LISTINGS, question)]


def forward_answer(state, msg, _):
    """Send an answer to the instance that asked."""
    return [messages.Send(pool_messages.LINKS, msg)]


def handle_answer(state, msg, now):
    """Have the reading of another instance added to the list."""
    answer = msg.answer
    try:
        result = executor_readings.add_answer(state.readings, answer, now)
    except ValueError as exc:
        return _drop_invalid(state, answer, exc, now)
    if result is None:
        return []
    read = pool_messages.PeerListRead(*result, answer.member)
    return [messages.Send(pool_messages.LISTINGS, read)]


def _drop_invalid(state, answer, exc, now):
    state.invalid_answers += 1
    if now < state.invalid_answer_logged_at + INVALID_LOG_INTERVAL:
        return []
    state.invalid_answer_logged_at = now
    decision = planner_log.decision(
        "invalid executor list",
        reason=str(exc)[:MAX_REASON_LENGTH],
        source=answer.member[:MAX_REASON_LENGTH],
        count=state.invalid_answers,
    )
    return [decision]
