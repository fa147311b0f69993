"""Simulates several instances: real controllers over fakes."""

from cardamompath_proof.harness import checks
from cardamompath_proof.harness import instances
from cardamompath_proof.harness import simulation

__all__ = [
    "checks",
    "instances",
    "simulation",
]
