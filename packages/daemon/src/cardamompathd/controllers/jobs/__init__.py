"""Jobs that this process owns, and who may submit them."""

from cardamompath_core import submodules

__all__ = [
    "fence",
    "job_leases",
    "job_reports",
    "job_store",
    "job_waits",
    "jobs",
    "observations",
    "quotas",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
