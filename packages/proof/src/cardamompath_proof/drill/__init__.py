"""Failure drill with separate processes on loopback: ``make drill``."""

from cardamompath_proof import proxy
from cardamompath_proof.drill import checks
from cardamompath_proof.drill import rig
from cardamompath_proof.drill import steps

__all__ = [
    "checks",
    "proxy",
    "rig",
    "steps",
]
