"""Routes in force, and batches whose callers wait at this instance.

Each batch is handed to a planner.  When the planner changes, the batch
is handed to the next one, which takes over what still runs.
"""

from __future__ import annotations

import math
from typing import Any

from cardamompath_core import batches
from cardamompath_core import planner_election
from cardamompath_core import routes
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import gateway_planners

__all__ = [
    "GatewayState",
    "make_controller",
]

NO_PLANNER_WAIT = 1.5
"""Seconds for which a batch waits for a planner to be known; a successor
is, within `fleet.SILENCE` and its first signs of life."""
NO_PLANNER_RETRY = 1.0
"""Seconds after which a caller may try again while no planner is
known; a successor takes over in about that time."""
NO_ROUTES_RETRY = 1.0
"""Seconds after which a caller may try again while the configuration
was not read yet."""
OFFER_INTERVAL = 0.5
"""Seconds between offers of the configuration to the same member."""


_UNCONFIGURED = batches.Outcome(
    batches.REFUSED, "no configuration yet", NO_ROUTES_RETRY
)


class _Waiting:
    __slots__ = (
        "batch",
        "handed",
        "moved",
        "place",
        "planner",
        "refresh_at",
        "replies",
        "round",
        "submitted",
        "tried",
        "until",
    )  # fmt: skip

    def __init__(self, batch, reply, wait, now):
        self.batch: batches.Batch = batch
        self.replies: list[Any] = [reply]
        self.submitted = now
        self.until = now + wait
        self.planner: planner_election.Member | None = None
        self.place: planner_election.Place | None = None
        self.moved = False
        """Whether its planners had different places."""
        self.tried: set[str] = set()
        """Planners that refused it."""
        self.round = 0
        self.handed = False
        self.refresh_at = now + gateway_planners.REFRESH


class GatewayState:
    """The routes, the batches that wait, and the planners known."""

    def __init__(self, own: str, domain: str):
        self.own = own
        self.domain = domain
        self.table: routes.RouteTable | None = None
        self.document = b""
        self.offered: dict[tuple[str, int], float] = {}
        self.waiting: dict[str, _Waiting] = {}
        self.by_reply: dict[Any, str] = {}
        self.alive: tuple[planner_election.Member, ...] = ()
        self.planning = planner_election.Planning()
        self.backlogs: dict[str, float] = {}
        """Seconds that the work which waits takes each planner."""
        self.leaving = False
        self.ticking = False


def make_controller(own: str, domain: str = "") -> messages.Controller:
    """Make the controller of the batches that wait at instance `own`.

    Parameters
    ----------
    own, domain : str
        Name of the instance and of its failure domain.
    """
    state = GatewayState(own, domain)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.GATEWAY, receive)


def _submit(state, msg, now):
    if state.table is None:
        return _refuse(msg, _UNCONFIGURED)
    route = state.table.find(msg.host, msg.path)
    if route is None or len(route.prefix) == len(msg.path):
        return _refuse(msg, batches.Outcome(batches.UNKNOWN, "no such route"))
    name = msg.path[len(route.prefix) :]
    state.by_reply[msg.reply_to] = name
    known = state.waiting.get(name)
    if known is not None:
        known.replies.append(msg.reply_to)
        return ()
    batch = batches.Batch(name, msg.spec, msg.steps, route.terms)
    wait = msg.timeout
    one = state.waiting[name] = _Waiting(batch, msg.reply_to, wait, now)
    sends = gateway_planners.hand_over(state, one, now)
    sends.append(_note_accepted(state, one))
    sends.append(_timer(one.until, name))
    if not state.ticking:
        state.ticking = True
        sends.append(_timer(now + gateway_planners.REFRESH, None))
    return sends


def _refuse(msg, outcome):
    reply = messages.Reply(msg.reply_to, outcome)
    fields = {"path": msg.path, "reason": outcome.reason}
    return [
        messages.Send(messages.CALLERS, reply),
        _note(outcome.state, "", fields),
    ]


def _note_accepted(state, one):
    backlog = gateway_planners.backlog_of(state, one.planner)
    fields = {
        "route": one.batch.terms.route,
        "version": state.table.version,
        "wait_ms": round((one.until - one.submitted) * 1000.0),
        "planner": _name(one.planner),
        "backlog_ms": round(backlog * 1000.0),
    }
    return _note("submitted", one.batch.name, fields)


def _count(state, msg, _):
    if state.table is None:
        return _refuse(msg, _UNCONFIGURED)
    route = state.table.find(msg.host, msg.path)
    reply = messages.Reply(msg.reply_to, None if route is None else 0)
    return [messages.Send(messages.CALLERS, reply)]


def _cancel(state, msg, now):
    if state.table is None:
        return _refuse(msg, _UNCONFIGURED)
    route = state.table.find(msg.host, msg.path)
    name = msg.path[len(route.prefix) :] if route else ""
    one = state.waiting.get(name)
    reply = messages.Reply(msg.reply_to, one is not None)
    sends = [messages.Send(messages.CALLERS, reply)]
    if one is not None:
        outcome = batches.Outcome(batches.CANCELLED, "cancelled")
        sends += _drop(state, one, "cancelled", now)
        sends += _answer(state, one, outcome, now)
    return sends


def _configure(state, msg, _):
    table = msg.table
    if state.table is not None and table.version <= state.table.version:
        return ()
    fields = {
        "version": table.version,
        "before": state.table.version if state.table else None,
        "routes": sum(len(some) for some in table.by_host.values()),
        "source": msg.source,
    }
    state.table = table
    state.document = msg.document
    in_force = pool_messages.ConfigurationInForce(table.version)
    return [
        messages.Send(pool_messages.FLEET, in_force),
        _note("configuration in force", "", fields),
    ]


def _offer(state, msg, now):
    if state.table is None or (
        now - state.offered.get(msg.address, -math.inf) < OFFER_INTERVAL
    ):
        return ()
    state.offered[msg.address] = now
    offer = pool_messages.ConfigurationOffered(
        state.table.version, state.document
    )
    to_member = pool_messages.SendToMember(msg.address, offer)
    return [messages.Send(pool_messages.LINKS, to_member)]


def _readiness(state, msg, _):
    reason = ""
    if state.leaving:
        reason = "shutting down"
    elif state.table is None:
        reason = "no configuration yet"
    elif not state.planning.planners:
        reason = "no planner is known"
    reply = messages.Reply(msg.reply_to, reason)
    return [messages.Send(messages.CALLERS, reply)]


def _leave(state, _, now):
    state.leaving = True
    return ()


def _name(planner):
    return planner.name if planner else ""


def _withdraw(state, msg, now):
    one = state.waiting.get(state.by_reply.pop(msg.reply_to, ""))
    if one is None or msg.reply_to not in one.replies:
        return ()
    one.replies.remove(msg.reply_to)
    if one.replies:
        return ()
    return _drop(state, one, "caller left", now)


def _drop(state, one, reason, now):
    del state.waiting[one.batch.name]
    fields = {"reason": reason, "planner": _name(one.planner)}
    fields["age_ms"] = round((now - one.submitted) * 1000.0)
    sends = [_note("withdrawn", one.batch.name, fields)]
    planners = state.planning.planners
    if any(
        gateway_planners.is_same(planner, one.planner) for planner in planners
    ):
        drop = pool_messages.DropBatch(one.batch.name, state.own)
        sends.append(gateway_planners.send_to(state, one.planner, drop))
    return sends


def _has_planner(state, one):
    """Return whether the planner of a batch still plans."""
    return any(
        gateway_planners.is_same(planner, one.planner)
        for planner in state.planning.planners
    )


def _ended(state, msg, now):
    one = state.waiting.get(msg.name)
    if one is None:
        return ()
    outcome = msg.outcome
    refused = outcome.state == batches.REFUSED
    if refused and msg.planner != _name(one.planner):
        # It is said again when a batch is handed over again; the planner
        # asked since may have started some of it.
        return ()
    if refused and gateway_planners.has_room_elsewhere(state, one):
        return _ask_another(state, one, now)
    if refused and one.round > 0:
        # An earlier planner may have started some of it.
        outcome = outcome._replace(state=batches.GIVEN_UP)
    del state.waiting[msg.name]
    return _answer(state, one, outcome, now)


def _ask_another(state, one, now):
    fields = {"planner": _name(one.planner)}
    fields["age_ms"] = round((now - one.submitted) * 1000.0)
    # The same batch may be on the way there once more.
    drop = pool_messages.DropBatch(one.batch.name, state.own)
    dropped = gateway_planners.send_to(state, one.planner, drop)
    one.tried.add(one.planner.name)
    one.planner = None
    one.place = None
    one.handed = False
    note = _note("asks another planner", one.batch.name, fields)
    handed = gateway_planners.hand_over(state, one, now)
    return [note, dropped, *handed]


def _answer(state, one, outcome, now):
    for reply in one.replies:
        state.by_reply.pop(reply, None)
    fields = {
        "state": outcome.state,
        "reason": outcome.reason,
        "planner": _name(one.planner),
        "route": one.batch.terms.route,
        "age_ms": round((now - one.submitted) * 1000.0),
    }
    sends = [
        messages.Send(messages.CALLERS, messages.Reply(reply, outcome))
        for reply in one.replies
    ]
    return [*sends, _note("answered", one.batch.name, fields)]


def _fleet(state, msg, now):
    state.alive = msg.alive
    state.planning = planner_election.arrange(
        msg.alive, msg.missing, dict(msg.domain_sizes)
    )
    planners = state.planning.planners
    sends = []
    for one in state.waiting.values():
        if not any(
            gateway_planners.is_same(it, one.planner) for it in planners
        ):
            sends += gateway_planners.hand_over(state, one, now)
    return sends


def _backlog(state, msg, _):
    state.backlogs[msg.name] = msg.backlog
    return ()


def _fired(state, msg, now):
    if msg.key is not None:
        return _reach_limit(state, state.waiting.get(msg.key), now)
    sends = []
    for one in list(state.waiting.values()):
        if not one.handed and now >= one.submitted + NO_PLANNER_WAIT:
            sends += _refuse_unhanded(state, one, now)
        elif now >= one.refresh_at:
            one.refresh_at = (
                now + gateway_planners.REFRESH + (now - one.submitted)
            )
            sends += gateway_planners.hand_over(state, one, now)
    state.ticking = bool(state.waiting)
    if state.ticking:
        sends.append(_timer(now + gateway_planners.REFRESH, None))
    return sends


def _reach_limit(state, one, now):
    if one is None or now < one.until:
        return ()
    if not one.handed:
        return _refuse_unhanded(state, one, now)
    sends = _drop(state, one, "time limit", now)
    outcome = batches.Outcome(batches.GIVEN_UP, "time limit reached")
    return sends + _answer(state, one, outcome, now)


def _refuse_unhanded(state, one, now):
    sends = _drop(state, one, "no planner", now)
    outcome = batches.Outcome(
        batches.REFUSED, "no planner is known", NO_PLANNER_RETRY
    )
    return sends + _answer(state, one, outcome, now)


def _timer(at, name):
    due = messages.SetTimer(at, pool_messages.GATEWAY, name)
    return messages.Send(messages.TIMERS, due)


def _note(event, name, fields):
    note = pool_messages.Decision("gateway", event, name, fields)
    return messages.Send(pool_messages.DECISION_LOG, note)


_HANDLERS = {
    pool_messages.SubmitBatch: _submit,
    pool_messages.CancelBatch: _cancel,
    pool_messages.CountWaiting: _count,
    pool_messages.GetReadiness: _readiness,
    pool_messages.RoutesConfigured: _configure,
    pool_messages.OfferConfiguration: _offer,
    pool_messages.Leave: _leave,
    pool_messages.WithdrawBatch: _withdraw,
    pool_messages.BatchEnded: _ended,
    pool_messages.FleetChanged: _fleet,
    pool_messages.BacklogChanged: _backlog,
    messages.TimerFired: _fired,
}
