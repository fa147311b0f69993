"""Runs a scenario and says what came of it."""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_proof.harness import checks
from cardamompath_proof.harness import instances
from cardamompath_proof.harness import simulation
from cardamompath_proof.scenarios import actions
from cardamompath_proof.scenarios import errors
from cardamompath_proof.scenarios import evidence
from cardamompath_proof.scenarios import expectations
from cardamompath_proof.scenarios import steps

__all__ = [
    "Outcome",
    "run",
]

SETTLE = 30.0
"""Seconds that a run goes on after its last step."""


class Outcome(NamedTuple):
    """What came of a scenario."""

    scenario: steps.Scenario
    error: str
    """What failed, with the line; empty when all held."""
    broken: str
    """The promise that was broken, if one was."""
    trace: tuple[str, ...]


def run(
    scenario: steps.Scenario,
    parts: instances.ControllerFactories | None = None,
) -> Outcome:
    """Run a scenario on controllers made by `parts`."""
    sim = simulation.Simulation(scenario.seed, parts)
    line = 0
    error = broken = ""
    try:
        for step in scenario.steps:
            line = step.line
            _run_step(sim, step)
        sim.advance(SETTLE)
        checks.check_end(sim)
        evidence.check(sim, scenario)
    except (checks.Violation, errors.ExpectationError) as exc:
        error = f"{scenario.file}:{line}: {exc}"
        broken = getattr(exc, "promise", "")
    return Outcome(scenario, error, broken, tuple(sim.trace))


def _run_step(sim, step):
    action = actions.ACTIONS.get(step.kind)
    if action is not None:
        sim.add_trace(f"line {step.line}: {step.kind}")
        action(sim, *step.args)
        return
    try:
        expectations.EXPECTATIONS[step.kind](sim, *step.args)
    except errors.ExpectationError:
        # A broken promise tells more than what it led to.
        checks.check_always(sim)
        raise
