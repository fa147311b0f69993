"""Planner: runs batches on the executors that this instance claims."""

from cardamompath_core import submodules

__all__ = [
    "planner",
    "planner_admission",
    "planner_cancellations",
    "planner_crashes",
    "planner_dispatch",
    "planner_estimates",
    "planner_executors",
    "planner_health",
    "planner_leases",
    "planner_listings",
    "planner_log",
    "planner_order",
    "planner_outcomes",
    "planner_permissions",
    "planner_placement",
    "planner_plans",
    "planner_readings",
    "planner_restarts",
    "planner_roles",
    "planner_room",
    "planner_runs",
    "planner_shares",
    "planner_state",
    "run_losses",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
