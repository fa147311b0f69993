"""Controllers: state of one kind each, changed only by messages."""

from cardamompathd.controllers import backends
from cardamompathd.controllers import configuration
from cardamompathd.controllers import fence
from cardamompathd.controllers import jobs
from cardamompathd.controllers import journal
from cardamompathd.controllers import journal_store
from cardamompathd.controllers import membership

__all__ = [
    "backends",
    "configuration",
    "fence",
    "jobs",
    "journal",
    "journal_store",
    "membership",
]
