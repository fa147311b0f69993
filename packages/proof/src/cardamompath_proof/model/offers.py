"""Model of offers: a gateway and two planners, of which one runs a batch.

docs/MODEL.md gives the specification.  The gateway and the planners decide
with the project's own functions; the model adds state and network.  Every
message stays in the network: it may arrive late, twice or never.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from cardamompath_core import batch_order
from cardamompath_core import offers

__all__ = [
    "RULES",
    "Bounds",
    "OfferState",
    "PlannerView",
    "Rules",
    "WITNESSES",
    "make_protocol",
]

PLANNERS = (0, 1)


def _may_reject(is_started: bool) -> bool:
    """Return whether a planner may reject a batch that would be late."""
    urgency = batch_order.Urgency(0, 0.0, 1.0, 1.0, 10.0, is_started)
    return batch_order.is_too_late(urgency, 9.0, True)


class Rules(NamedTuple):
    """Decision functions of the protocol."""

    is_revoked: Callable[[int, int], bool] = offers.is_revoked
    is_rejected: Callable[[int, int], bool] = offers.is_rejected
    concerns_offer: Callable[[int, int], bool] = offers.concerns_offer
    may_offer: Callable[[int], bool] = offers.may_offer
    may_reject: Callable[[bool], bool] = _may_reject


RULES = Rules()


class Bounds(NamedTuple):
    """Bounds of the search, as numbers of events."""

    offers: int = 4
    reports: int = 2
    """Reports of capacity of each planner."""
    silences: int = 1
    """Planners that the gateway gives up without their word."""


class PlannerView(NamedTuple):
    """State of a planner."""

    held: int = 0
    """Number of the offer that it accepted; 0 if none."""
    round: int = 0
    """Number of earlier planners that may have started, by that offer."""
    revoked: int = 0
    rejected: int = 0
    """Numbers of the last offers that were revoked and rejected."""
    run: str = ""
    """``running``, ``ended`` or empty."""
    lapsed: bool = False
    """Whether its permission has ended, and its run with it."""


class OfferState(NamedTuple):
    """One state of the model."""

    sent: tuple
    """Planner and round of each offer, by its number."""
    present: int | None
    """Planner of the present offer."""
    round: int
    """Number of planners that were given up without their word."""
    answer: str
    """What the caller got: ``complete``, ``rejected`` or nothing yet."""
    planners: tuple
    reports: tuple
    """Number of the last report of each planner."""
    rejected_on: tuple
    """Number of the report on which each planner rejected the batch."""
    rejections: frozenset
    """Planner and number of each rejection that was sent."""
    drops: frozenset
    """Planner and number of each drop that was sent."""
    completed: frozenset
    """Planners that have sent that the batch is complete."""
    started: bool
    """Whether any planner has started the task."""


def make_protocol(
    rules: Rules = RULES, bounds: Bounds | None = None, name: str = "offers"
) -> minicheck.Protocol:
    """Make the protocol that minicheck explores."""
    bounds = bounds or Bounds()
    idle = tuple(PlannerView() for _ in PLANNERS)
    nothing: frozenset = frozenset()
    initial = OfferState(
        (), None, 0, "", idle, (1, 1), (0, 0), nothing, nothing, nothing, False
    )

    def transitions(raw):
        state = OfferState(*raw)
        successors = []
        for generate in _STEP_GENERATORS:
            successors += generate(state, rules, bounds)
        return [(label, tuple(next_state)) for label, next_state in successors]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=OfferState._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=INVARIANTS,
    )


def _set_item(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _set_planner(state, index, **fields):
    view = state.planners[index]._replace(**fields)
    return state._replace(planners=_set_item(state.planners, index, view))


def _offer(state, index):
    """Return the state once the gateway has sent an offer to a planner."""
    return state._replace(
        sent=(*state.sent, (index, state.round)), present=index
    )


def _gateway_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    if state.answer or len(state.sent) >= bounds.offers:
        return
    for index in PLANNERS:
        if state.present is None:
            yield f"gateway offers to {index}", _offer(state, index)
        elif index != state.present and state.round < bounds.silences:
            silent = state._replace(round=state.round + 1)
            label = f"gateway gives {state.present} up, hands over to {index}"
            yield label, _offer(silent, index)


def _rejection_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    present = len(state.sent)
    if state.answer:
        return
    for index, number in sorted(state.rejections):
        if index != state.present or not rules.concerns_offer(number, present):
            continue
        label = f"gateway reads that {index} rejects offer {number}"
        noted = state._replace(
            rejected_on=_set_item(
                state.rejected_on, index, state.reports[index]
            )
        )
        if not rules.may_offer(state.round):
            yield label, noted._replace(answer="given up")
            continue
        yield f"{label}, answers", noted._replace(answer="rejected")
        if present >= bounds.offers:
            continue
        dropped = noted._replace(drops=state.drops | {(index, present)})
        for other in PLANNERS:
            if dropped.reports[other] > dropped.rejected_on[other]:
                offered = _offer(dropped, other)
                yield f"{label}, offers to {other}", offered


def _outcome_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    if not state.answer:
        for index in sorted(state.completed):
            label = f"gateway reads that {index} has completed the batch"
            yield label, state._replace(answer="complete")


def _report_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    for index in PLANNERS:
        if state.reports[index] < bounds.reports:
            count = state.reports[index] + 1
            reported = _set_item(state.reports, index, count)
            label = f"planner {index} reports capacity"
            yield label, state._replace(reports=reported)


def _arrival_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    for number, (index, earlier) in enumerate(state.sent, 1):
        view = state.planners[index]
        label = f"offer {number} arrives at planner {index}"
        if view.lapsed or rules.is_revoked(number, view.revoked):
            continue
        rejection = frozenset({(index, number)})
        rejected = state._replace(rejections=state.rejections | rejection)
        if rules.is_rejected(number, view.rejected):
            yield f"{label} again, it repeats the rejection", rejected
        elif not view.held and not view.run:
            accepted = _set_planner(state, index, held=number, round=earlier)
            yield f"{label}, it accepts", accepted
            if rules.may_offer(earlier):
                yield (
                    f"{label}, it rejects",
                    _set_planner(rejected, index, rejected=number),
                )


def _planner_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    for index in PLANNERS:
        view = state.planners[index]
        if not view.held or view.lapsed:
            continue
        other = state.planners[1 - index]
        is_started = bool(view.run) or view.round > 0
        if not view.run and (view.round == 0 or other.lapsed):
            started = _set_planner(state, index, run="running")
            label = f"planner {index} starts the task"
            yield label, started._replace(started=True)
        if view.run == "running":
            ended = _set_planner(state, index, run="ended", held=0)
            label = f"planner {index} completes the task"
            yield (
                label,
                ended._replace(completed=state.completed | {index}),
            )
        if view.run != "ended" and rules.may_reject(is_started):
            rejected = _set_planner(state, index, held=0, rejected=view.held)
            yield (
                f"planner {index} rejects offer {view.held} as late",
                rejected._replace(
                    rejections=state.rejections | {(index, view.held)}
                ),
            )


def _loss_steps(state, rules, bounds) -> Iterator[tuple[str, OfferState]]:
    for index, number in sorted(state.drops):
        view = state.planners[index]
        if number <= view.revoked:
            continue
        fields = {"revoked": number}
        if view.held and view.held <= number:
            fields |= {"held": 0, "run": ""}
        label = f"drop of offer {number} arrives at planner {index}"
        yield label, _set_planner(state, index, **fields)
    for index in PLANNERS:
        is_left = state.round > 0 and index != state.present
        if is_left and not state.planners[index].lapsed:
            lapsed = _set_planner(state, index, lapsed=True, held=0, run="")
            yield f"permission of planner {index} ends", lapsed


_STEP_GENERATORS = (
    _gateway_steps,
    _rejection_steps,
    _outcome_steps,
    _report_steps,
    _arrival_steps,
    _planner_steps,
    _loss_steps,
)


def _runs_once(state):
    runs = [view.run for view in state["planners"]]
    offered = state["round"] == 0 and all(runs)
    return not offered and runs.count("running") <= 1


def _rejection_is_true(state):
    return state["answer"] != "rejected" or not state["started"]


INVARIANTS = {
    "a task runs at one planner": _runs_once,
    "a rejected batch has not run": _rejection_is_true,
}
"""Properties that hold in every reachable state."""

WITNESSES = {
    "complete after a rejection": lambda state: (
        state["answer"] == "complete" and state["rejections"]
    ),
    "complete at a planner that rejected it": lambda state: any(
        index in state["completed"] for index, _ in state["rejections"]
    ),
    "rejected by both": lambda state: (
        state["answer"] == "rejected"
        and {index for index, _ in state["rejections"]} == set(PLANNERS)
    ),
    "started after a silence": lambda state: (
        state["round"] > 0
        and any(view.run and view.round for view in state["planners"])
    ),
}
"""States that have to be reachable, so that no property holds vacuously."""
