"""Controllers: each owns one kind of state and changes it by messages."""

from cardamompath_core import submodules

__all__ = [
    "backends",
    "configuration",
    "fence",
    "job_reports",
    "jobs",
    "journal",
    "journal_store",
    "membership",
    "observations",
    "quotas",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
