"""Controllers: state of one kind each, changed only by messages."""

from cardamompathd.controllers import backends
from cardamompathd.controllers import configuration
from cardamompathd.controllers import jobs
from cardamompathd.controllers import membership

__all__ = [
    "backends",
    "configuration",
    "jobs",
    "membership",
]
