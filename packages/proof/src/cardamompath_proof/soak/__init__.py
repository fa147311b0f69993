"""Soak test: random faults on separate processes, checked from outside.

`rig` starts the processes, `faults` injects faults into them, `clients`
submit jobs and request routes, and `checks` verifies the promises of the
system on the records of clients and executors.
"""

from cardamompath_proof.soak import checks
from cardamompath_proof.soak import clients
from cardamompath_proof.soak import faults
from cardamompath_proof.soak import rig

__all__ = [
    "checks",
    "clients",
    "faults",
    "rig",
]
