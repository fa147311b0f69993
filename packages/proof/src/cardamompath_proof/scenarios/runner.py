"""Runs a scenario and returns its result."""

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
    "ScenarioResult",
    "run",
]

SETTLE_TIME = 30.0
"""Seconds that a run continues after its last step."""


class ScenarioResult(NamedTuple):
    """The result of a scenario run."""

    scenario: steps.Scenario
    error: str
    """The failed check with its file and line; empty if all passed."""
    broken_promise: str
    """Name of the broken promise; empty if none was broken."""
    trace: tuple[str, ...]


def run(
    scenario: steps.Scenario,
    factories: instances.ControllerFactories | None = None,
) -> ScenarioResult:
    """Run a scenario on the controllers that `factories` makes."""
    sim = simulation.Simulation(scenario.seed, factories)
    line = 0
    error = broken_promise = ""
    try:
        for step in scenario.steps:
            line = step.line
            _run_step(sim, step)
        sim.advance(SETTLE_TIME)
        checks.check_end(sim)
        evidence.check(sim, scenario)
    except (checks.Violation, errors.ExpectationError) as exc:
        error = f"{scenario.file}:{line}: {exc}"
        broken_promise = getattr(exc, "promise", "")
    return ScenarioResult(scenario, error, broken_promise, tuple(sim.trace))


def _run_step(sim, step):
    action = actions.ACTIONS.get(step.kind)
    if action is not None:
        sim.add_trace(f"line {step.line}: {step.kind}")
        action(sim, *step.args)
        return
    try:
        expectations.EXPECTATIONS[step.kind](sim, *step.args)
    except errors.ExpectationError:
        # Report a broken promise rather than an expectation that failed
        # because of it.
        checks.check_always(sim)
        raise
