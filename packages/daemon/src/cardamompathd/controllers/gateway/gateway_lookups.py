"""Cancellations of batches and questions for them.

A caller may ask at any instance, and a batch may be submitted again at any;
see `gateway_queries` for how the others are asked.
"""

from __future__ import annotations

from cardamompath_core import batches
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway_answers
from cardamompathd.controllers.gateway import gateway_queries

__all__ = [
    "cancel",
    "cancel_here",
    "find",
    "handle_query",
    "note_cancellations",
]


def cancel(state, msg, now):
    """Cancel a batch at whichever instance it is."""
    return _look_up(state, msg, True, now)


def find(state, msg, now):
    """Ask for the state of a batch at whichever instance it is."""
    return _look_up(state, msg, False, now)


def _look_up(state, msg, cancel, now):
    """Ask all instances for a batch by its name.

    Its route may have been removed since it was submitted.
    """
    if state.route_table is None:
        return gateway_answers.refuse(msg, gateway_answers.UNCONFIGURED)
    route = state.route_table.find(msg.host, msg.path)
    if route is None:
        name = msg.path.rpartition("/")[2]
    else:
        name = msg.path[len(route.prefix) :]
    if not state.is_batch_name(name):
        outcome = (
            gateway_answers.INVALID_NAME if route else gateway_answers.NO_ROUTE
        )
        return gateway_answers.refuse(msg, outcome)
    return gateway_queries.ask(
        state, name, cancel, msg.reply_to, route is not None, now
    )


def handle_query(state, msg, now):
    """Look for a batch here; the planner of this instance does so next."""
    found = ""
    known = state.cancellations.find(msg.name, now)
    if msg.name in state.pending:
        found = batches.ACTIVE
    elif known is not None and known.existed:
        found = batches.CANCELLED
    sends = cancel_here(state, msg.name, now, now) if msg.cancel else []
    query = msg._replace(state=found)
    return [*sends, messages.Send(pool_messages.PLANNER, query)]


def cancel_here(state, name, cancelled_at, now):
    """Cancel a batch at this instance, and remember that."""
    pending = state.pending.get(name)
    state.cancellations.add(name, cancelled_at, pending is not None)
    if pending is None:
        return []
    return [
        *gateway_answers.drop_batch(state, pending, "cancelled", now),
        *gateway_answers.answer(
            state, pending, gateway_answers.CANCELLED, now
        ),
    ]


def note_cancellations(state, msg, now):
    """Process cancellations of which this instance did not know."""
    sends = []
    for name, age in zip(msg.names, msg.ages, strict=True):
        sends += cancel_here(state, name, now - age, now)
    return [*sends, messages.Send(pool_messages.PLANNER, msg)]
