"""Controllers: each owns one kind of state and changes it by messages."""

from cardamompathd.controllers import backends
from cardamompathd.controllers import configuration
from cardamompathd.controllers import fence
from cardamompathd.controllers import job_reports
from cardamompathd.controllers import jobs
from cardamompathd.controllers import journal
from cardamompathd.controllers import journal_store
from cardamompathd.controllers import membership
from cardamompathd.controllers import observations
from cardamompathd.controllers import quotas

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
