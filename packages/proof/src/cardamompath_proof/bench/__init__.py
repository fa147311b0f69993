"""Bench of the decisions in virtual time.

The real controllers of several instances run against fakes of backend
servers and callers on one queue of events: no network, no processes and
no clock.  ``python -m cardamompath_proof.bench`` prints the table.
"""

from cardamompath_proof.bench import baselines
from cardamompath_proof.bench import cluster
from cardamompath_proof.bench import measures
from cardamompath_proof.bench import oracle
from cardamompath_proof.bench import workloads

__all__ = [
    "baselines",
    "cluster",
    "measures",
    "oracle",
    "workloads",
]
