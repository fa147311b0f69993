"""Benchmark of scheduling decisions by discrete-event simulation.

The real controllers of several instances run in virtual time against
simulated backend servers and callers, without network, processes or
clocks.  ``python -m cardamompath_proof.bench`` prints the table.
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
