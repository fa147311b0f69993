"""The ask pattern: a thread sends a message and waits for the reply.

Only threads that serve a request wait; actors never ask one another.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka

__all__ = [
    "Ask",
    "make_ask",
]

FINAL_REPLY_TIMEOUT = 2.0
"""Seconds to wait for the reply to the message of `make_final`."""

MakeMessage = Callable[[Any], Any]
"""Takes the future for the reply and returns the message to send."""

Ask = Callable[..., Any]
"""``ask(make_message, wait, make_final=None)``: sends a message and waits
up to `wait` seconds for the reply.  After that it sends the message of
`make_final`, if given, which requests an immediate reply.  Returns the
reply, or None if there was none."""


def make_ask(tell: Callable[[Any], None]) -> Ask:
    """Make the function that asks a controller.

    Parameters
    ----------
    tell : callable
        Sends a message to the controller.
    """

    def ask(
        make_message: MakeMessage,
        wait: float,
        make_final: MakeMessage | None = None,
    ) -> Any:
        fut = pykka.ThreadingFuture()
        tell(make_message(fut))
        try:
            if wait > 0.0:
                return fut.get(timeout=wait)
        except pykka.Timeout:
            pass
        if make_final is None:
            return None
        tell(make_final(fut))
        try:
            return fut.get(timeout=FINAL_REPLY_TIMEOUT)
        except pykka.Timeout:
            return None

    return ask
