"""Random faults on separate processes, checked from outside.

`rig` starts the processes, `faults` disturbs them, `clients` submit
work and ask for routes, and `checks` judges what these and the
executors saw.
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
