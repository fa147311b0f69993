"""Hands a caller's request to the owner of its job, and takes one in.

The owner is looked for at the address that the membership knows; while
it knows none, each configured peer is asked.  A peer that is not the
owner says so and does nothing, and never hands the request on.
"""

from __future__ import annotations

import json
import queue
from collections.abc import Callable
from collections.abc import Sequence

import loguru

from cardamompathd.filters import chain
from cardamompathd.peers import client
from cardamompathd.peers import errors
from cardamompathd.peers import server
from cardamompathd.peers import wire

__all__ = [
    "Relay",
    "make_relay",
    "make_method_handler",
]

MARGIN = 1.0
"""Seconds that an answer may take beside the time it may wait."""

LONG_WAIT = 5.0
"""Default wait of a cancellation or a named job, in seconds."""

CONCURRENT = 32
"""Relayed requests served at a time; other methods have the rest."""

Relay = Callable[[chain.Request, chain.Owner], chain.Response | None]
"""Returns None when the owner could not be asked."""


def make_relay(
    configured: Sequence[client.Address],
    clock: Callable[[], float],
    call: client.Call = client.call,
) -> Relay:
    """Make the function that relays a request to its owner."""

    def relay(req: chain.Request, owner: chain.Owner) -> chain.Response | None:
        request = wire.RelayRequest(
            req.method,
            req.path,
            dict(req.query),
            _encode(req.body),
        )
        deadline = clock() + _wait_of(req) + MARGIN
        for address in (owner.address,) if owner.address else configured:
            left = deadline - clock()
            if left <= 0.0:
                break
            reply = _try(call, address, request, left)
            if reply is not None and reply.status:
                return _response(reply)
        return None

    return relay


def _wait_of(req):
    long = req.method == "DELETE" or req.path.startswith("/v1/named-jobs/")
    return chain.wait_of(req, LONG_WAIT if long else 0.0)


def _try(call, address, request, timeout):
    try:
        return call(address, wire.RELAY, request, timeout)
    except errors.PeerError as exc:
        loguru.logger.debug("peers: relay to {} failed: {}", address, exc)
        return None


def _response(reply):
    headers = tuple(sorted(reply.headers.items()))
    return chain.Response(reply.status, json.loads(reply.body), headers)


def make_method_handler(handler: chain.Handler) -> server.MethodHandler:
    """Make the method that answers relayed requests.

    Parameters
    ----------
    handler : callable
        The callers' handler without the relay, so that a request is
        relayed once at most.
    """
    # A place is a token: a relayed request that finds none is refused.
    tokens: queue.SimpleQueue = queue.SimpleQueue()
    for _ in range(CONCURRENT):
        tokens.put(None)

    def handle(request: wire.RelayRequest) -> wire.RelayReply:
        try:
            tokens.get_nowait()
        except queue.Empty:
            return wire.RelayReply(0, b"")
        try:
            return _reply(handler(_request(request)))
        finally:
            tokens.put(None)

    return server.MethodHandler(wire.RELAY, handle)


def _encode(body):
    return json.dumps(body, ensure_ascii=False).encode()


def _request(request):
    def read():
        return request.body

    return chain.Request(
        request.method,
        request.path,
        request.query,
        {},
        read,
        len(request.body),
        json.loads(request.body),
    )


def _reply(response):
    if response.owner is not None:
        return wire.RelayReply(0, b"")
    body = _encode(response.body)
    return wire.RelayReply(response.status, body, dict(response.headers))
