"""Actors, clocks and message delivery."""

from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks
from cardamompathd.runtime import inboxes

__all__ = [
    "actors",
    "asking",
    "clocks",
    "inboxes",
]
