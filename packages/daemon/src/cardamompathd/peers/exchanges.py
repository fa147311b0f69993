"""The tasks that call peers, and the methods that answer them.

Each exchange is owned by one task of a small pool from its connection
to its end, so that a silent peer keeps no other exchange waiting for
longer than its own timeout.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any

import loguru

from cardamompathd import messages
from cardamompathd.peers import client
from cardamompathd.peers import errors
from cardamompathd.peers import gossip_codec
from cardamompathd.peers import server

__all__ = [
    "ExchangePool",
    "make_method_handlers",
    "start",
]

TASKS = 4
MAX_WAITING = 16
"""Exchanges that wait for a task; others are left out."""

DIGEST_TIMEOUT = 1.0
"""Seconds for the answer to a digest."""

BODY_TIMEOUT = 3.0
"""Seconds for a configuration."""

Ask = Callable[[Callable[[Any], Any], float], Any]


class ExchangePool:
    """Runs exchanges on a bounded number of tasks.

    Parameters
    ----------
    deliver : callable
        Called with a `Send` for each exchange that ended.
    call : callable
        Calls a method of a peer.
    """

    def __init__(
        self,
        deliver: Callable[[messages.Send], None],
        call: client.Call = client.call,
    ):
        self._deliver = deliver
        self._call = call
        self._waiting: queue.Queue = queue.Queue(MAX_WAITING)
        self._run = {
            messages.ExchangeDigest: self._exchange,
            messages.FetchConfiguration: self._fetch,
        }

    def tell(self, msg: Any) -> None:
        """Begin an exchange; it is left out when too many wait."""
        try:
            self._waiting.put_nowait(msg)
        except queue.Full:
            loguru.logger.debug("peers: left out a {}", type(msg).__name__)

    def stop(self) -> None:
        """End the tasks after the exchanges that wait."""
        self._waiting.put(None)

    def run(self) -> None:
        """Run exchanges until the end; the body of each task."""
        while (msg := self._waiting.get()) is not None:
            try:
                self._deliver(self._run[type(msg)](msg))
            except Exception:
                loguru.logger.exception("peers: an exchange failed")
        self._waiting.put(None)

    def _exchange(self, msg):
        request = gossip_codec.encode_digest(msg.digest)
        digest = None
        try:
            reply = self._call(
                msg.address, gossip_codec.DIGEST, request, DIGEST_TIMEOUT
            )
            digest = gossip_codec.decode_digest(reply)
        except errors.PeerError as exc:
            loguru.logger.debug("peers: no digest: {}", exc)
        ended = messages.DigestExchangeEnded(msg.address, digest)
        return messages.Send(messages.MEMBERSHIP, ended)

    def _fetch(self, msg):
        request = gossip_codec.BodyAsked(msg.after)
        body = None
        try:
            reply = self._call(
                msg.address, gossip_codec.BODY, request, BODY_TIMEOUT
            )
            body = gossip_codec.decode_body(reply)
        except errors.PeerError as exc:
            loguru.logger.info("peers: no configuration: {}", exc)
        fetched = messages.ConfigurationFetched(body)
        return messages.Send(messages.CONFIGURATION, fetched)


def start(
    deliver: Callable[[messages.Send], None],
    call: client.Call = client.call,
) -> ExchangePool:
    """Start the tasks that call peers."""
    pool = ExchangePool(deliver, call)
    for index in range(TASKS):
        name = f"exchange-{index}"
        threading.Thread(target=pool.run, name=name, daemon=True).start()
    return pool


def make_method_handlers(
    ask_membership: Ask, ask_configuration: Ask
) -> tuple[server.MethodHandler, ...]:
    """Make the methods that answer digests and hand over notes."""

    def answer_digest(request):
        digest = gossip_codec.decode_digest(request)
        answer = ask_membership(
            lambda fut: messages.DigestReceived(digest, fut), DIGEST_TIMEOUT
        )
        if answer is None:
            raise errors.PeerNoReply("the membership did not answer")
        return gossip_codec.encode_digest(answer)

    def hand_over(request):
        body = ask_configuration(
            lambda fut: messages.GetBody(request.after, fut), BODY_TIMEOUT
        )
        if body is None:
            raise errors.PeerNoReply("the configuration did not answer")
        return gossip_codec.encode_body(body)

    return (
        server.MethodHandler(gossip_codec.DIGEST, answer_digest),
        server.MethodHandler(gossip_codec.BODY, hand_over),
    )
