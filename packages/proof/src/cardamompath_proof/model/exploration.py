"""Explores a protocol and says what was found."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import minicheck

__all__ = [
    "Found",
    "explore",
]

MAX_STATES = 3_000_000
"""States after which a search is given up."""


class Found(NamedTuple):
    """What the search of one protocol found."""

    name: str
    states: int
    depth: int
    """Steps to the state that is farthest from the first."""
    seconds: float
    broken: dict[str, list[str]]
    """Labels of the shortest way to break a property."""
    holding: tuple[str, ...]
    reached: frozenset[str]
    """Witnesses that were met: the search was not in vain."""


def explore(
    protocol: minicheck.Protocol,
    witnesses: Mapping[str, Callable[[dict[str, Any]], bool]],
) -> Found:
    """Search all reachable states.

    Parameters
    ----------
    protocol : Protocol
        What to explore.
    witnesses : mapping
        From a name to a predicate that some state has to meet.

    Raises
    ------
    RuntimeError
        If the search did not finish.
    """
    depths = {protocol.initial: 0}
    transitions = protocol.transitions
    reached = set()

    def counting(state):
        moves = transitions(state)
        for _, after in moves:
            depths.setdefault(after, depths[state] + 1)
        fields = protocol.d(state)
        for name in witnesses.keys() - reached:
            if witnesses[name](fields):
                reached.add(name)
        return moves

    began = time.perf_counter()
    protocol.transitions = counting
    try:
        found = minicheck.check_safety(protocol, MAX_STATES)
    finally:
        protocol.transitions = transitions
    if not found["exhaustive"]:
        raise RuntimeError(f"{protocol.name}: {found['incomplete_reason']}")
    return _sum_up(
        protocol.name,
        found,
        max(depths.values()),
        time.perf_counter() - began,
        frozenset(reached),
    )


def _sum_up(name, found, depth, seconds, reached):
    broken = {}
    holding = []
    for text, one in found["properties"].items():
        if one["holds"]:
            holding.append(text)
        else:
            steps = one["counterexample"][1:]
            broken[text] = [step["label"] for step in steps]
    return Found(
        name,
        found["reachable_states"],
        depth,
        seconds,
        broken,
        tuple(holding),
        reached,
    )
