"""Settings, read from INI files and declared in one table."""

from cardamompathd.settings import loading
from cardamompathd.settings import table

__all__ = [
    "loading",
    "table",
]
