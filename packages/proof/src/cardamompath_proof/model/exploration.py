"""Exploration of all reachable states of a protocol."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import minicheck

__all__ = [
    "Result",
    "explore",
]

MAX_STATES = 3_000_000
"""Number of states after which a search is aborted."""


class Result(NamedTuple):
    """Result of the search of one protocol."""

    name: str
    states: int
    depth: int
    """Largest number of steps from the initial state to any state."""
    seconds: float
    broken: dict[str, list[str]]
    """Violated properties with the labels of a shortest counterexample."""
    holds: tuple[str, ...]
    """Properties that hold in every state."""
    reached: frozenset[str]
    """Witnesses that some state satisfies."""


def explore(
    protocol: minicheck.Protocol,
    witnesses: Mapping[str, Callable[[dict[str, Any]], bool]],
) -> Result:
    """Search all reachable states.

    Parameters
    ----------
    protocol : Protocol
        Protocol to explore.
    witnesses : mapping
        Predicates by name, to be satisfied by some state each.

    Raises
    ------
    RuntimeError
        If the search is not exhaustive.
    """
    depths = {protocol.initial: 0}
    transitions = protocol.transitions
    reached = set()

    def record_transitions(state):
        successors = transitions(state)
        for _, next_state in successors:
            depths.setdefault(next_state, depths[state] + 1)
        fields = protocol.d(state)
        for name in witnesses.keys() - reached:
            if witnesses[name](fields):
                reached.add(name)
        return successors

    started_at = time.perf_counter()
    protocol.transitions = record_transitions
    try:
        report = minicheck.check_safety(protocol, MAX_STATES)
    finally:
        protocol.transitions = transitions
    if not report["exhaustive"]:
        raise RuntimeError(f"{protocol.name}: {report['incomplete_reason']}")
    return _make_result(
        protocol.name,
        report,
        max(depths.values()),
        time.perf_counter() - started_at,
        frozenset(reached),
    )


def _make_result(name, report, depth, seconds, reached):
    broken = {}
    holds = []
    for prop, verdict in report["properties"].items():
        if verdict["holds"]:
            holds.append(prop)
        else:
            steps = verdict["counterexample"][1:]
            broken[prop] = [step["label"] for step in steps]
    return Result(
        name,
        report["reachable_states"],
        depth,
        seconds,
        broken,
        tuple(holds),
        reached,
    )
