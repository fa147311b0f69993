"""The tasks that call peers, and the handlers of their calls.

One task of a small pool runs an exchange from its connection to its end,
so that an unresponsive peer delays no other exchange by more than its own
timeout.
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

POOL_SIZE = 4
"""Exchanges that may run at the same time, each on its own task."""
MAX_QUEUED = 16
"""Exchanges that may wait for a task; further ones are dropped."""

DIGEST_TIMEOUT = 1.0
"""Seconds for the reply to a digest."""

CONFIG_UPDATE_TIMEOUT = 3.0
"""Seconds for the reply to a request for a configuration update."""

Ask = Callable[[Callable[[Any], Any], float], Any]


class ExchangePool:
    """Runs exchanges on a bounded number of tasks.

    Parameters
    ----------
    deliver : callable
        Called with the `Send` that results from each exchange.
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
        self._queue: queue.Queue = queue.Queue(MAX_QUEUED)
        self._runners = {
            messages.ExchangeDigest: self._exchange_digests,
            messages.FetchConfigUpdate: self._fetch_configuration,
        }

    def tell(self, msg: Any) -> None:
        """Queue an exchange, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(msg)
        except queue.Full:
            loguru.logger.debug(
                "peers: queue is full; dropped a {}", type(msg).__name__
            )

    def stop(self) -> None:
        """Stop the tasks after the queued exchanges."""
        self._queue.put(None)

    def run(self) -> None:
        """Run queued exchanges until stopped; the main loop of each task."""
        while (msg := self._queue.get()) is not None:
            try:
                self._deliver(self._runners[type(msg)](msg))
            except Exception:
                loguru.logger.exception(
                    "peers: unexpected error in an exchange"
                )
        self._queue.put(None)

    def _exchange_digests(self, msg):
        request = gossip_codec.encode_digest(msg.digest)
        digest = None
        try:
            reply = self._call(
                msg.address, gossip_codec.DIGEST, request, DIGEST_TIMEOUT
            )
            digest = gossip_codec.decode_digest(reply)
        except errors.PeerError as exc:
            loguru.logger.debug("peers: digest exchange failed: {}", exc)
        ended = messages.DigestExchangeEnded(msg.address, digest)
        return messages.Send(messages.MEMBERSHIP, ended)

    def _fetch_configuration(self, msg):
        request = gossip_codec.ConfigUpdateRequest(msg.after)
        update = None
        try:
            reply = self._call(
                msg.address,
                gossip_codec.CONFIG_UPDATE,
                request,
                CONFIG_UPDATE_TIMEOUT,
            )
            update = gossip_codec.decode_config_update(reply)
        except errors.PeerError as exc:
            loguru.logger.info(
                "peers: fetching a configuration failed: {}", exc
            )
        fetched = messages.ConfigUpdateFetched(update)
        return messages.Send(messages.CONFIGURATION, fetched)


def start(
    deliver: Callable[[messages.Send], None],
    call: client.Call = client.call,
) -> ExchangePool:
    """Start the pool of tasks that call peers."""
    pool = ExchangePool(deliver, call)
    for index in range(POOL_SIZE):
        name = f"exchange-{index}"
        threading.Thread(target=pool.run, name=name, daemon=True).start()
    return pool


def make_method_handlers(
    ask_membership: Ask, ask_configuration: Ask
) -> tuple[server.MethodHandler, ...]:
    """Make the handlers for digests and for configuration updates."""

    def handle_digest(request):
        digest = gossip_codec.decode_digest(request)
        own_digest = ask_membership(
            lambda fut: messages.DigestReceived(digest, fut), DIGEST_TIMEOUT
        )
        if own_digest is None:
            raise errors.PeerNoReply("the membership controller did not reply")
        return gossip_codec.encode_digest(own_digest)

    def handle_update_request(request):
        update = ask_configuration(
            lambda fut: messages.GetConfigUpdate(request.after, fut),
            CONFIG_UPDATE_TIMEOUT,
        )
        if update is None:
            raise errors.PeerNoReply(
                "the configuration controller did not reply"
            )
        return gossip_codec.encode_config_update(update)

    return (
        server.MethodHandler(gossip_codec.DIGEST, handle_digest),
        server.MethodHandler(
            gossip_codec.CONFIG_UPDATE, handle_update_request
        ),
    )
