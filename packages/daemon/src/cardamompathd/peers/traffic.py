"""Counts the bytes that an instance exchanges with its peers."""

from __future__ import annotations

import functools
from collections.abc import Callable

from cardamompathd import messages
from cardamompathd.peers import client

__all__ = [
    "make_byte_counter",
    "make_counting_call",
]

Tell = Callable[[messages.PeerCallEnded], None]


def make_byte_counter(tell: Tell) -> client.CountBytes:
    """Make the function that reports bytes to a controller."""

    def count(sent: int, received: int) -> None:
        tell(messages.PeerCallEnded(sent, received))

    return count


def make_counting_call(tell: Tell) -> client.Call:
    """Make a `client.call` that reports its bytes to a controller."""
    return functools.partial(client.call, count=make_byte_counter(tell))
