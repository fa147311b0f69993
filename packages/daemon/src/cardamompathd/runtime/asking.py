"""How a thread that serves a caller asks a controller.

Only such a thread waits; actors never ask one another.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka

__all__ = [
    "Ask",
    "make_ask",
]

LAST_REPLY = 2.0
"""Seconds for the reply after a wait was taken back."""

MakeMessage = Callable[[Any], Any]
"""From the reply to the message that carries it."""

Ask = Callable[..., Any]
"""``ask(make_message, wait, make_last=None)``: tells a message and waits
that many seconds; then tells the message of `make_last`, if any, which
asks for a reply at once.  Returns the reply, or None without one."""


def make_ask(tell: Callable[[Any], None]) -> Ask:
    """Make the function with which a thread asks a controller.

    Parameters
    ----------
    tell : callable
        Tells the controller a message.
    """

    def ask(
        make_message: MakeMessage,
        wait: float,
        make_last: MakeMessage | None = None,
    ) -> Any:
        fut = pykka.ThreadingFuture()
        tell(make_message(fut))
        try:
            if wait > 0.0:
                return fut.get(timeout=wait)
        except pykka.Timeout:
            pass
        if make_last is None:
            return None
        tell(make_last(fut))
        try:
            return fut.get(timeout=LAST_REPLY)
        except pykka.Timeout:
            return None

    return ask
