"""Forwards callers' requests to the owners of their jobs.

The owner's address is taken from the membership; if it is unknown there,
each configured peer is called.  A peer that is not the owner replies so,
does nothing else, and never forwards the request again.
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
    "make_method_handler",
    "make_relay",
]

REPLY_MARGIN = 1.0
"""Seconds for a reply, in addition to the time that the request waits."""

LONG_WAIT = 5.0
"""Seconds that a cancellation or a named job waits by default."""

MAX_CONCURRENT = 32
"""Relayed requests that are served at a time; the other threads of the
listener are left for other methods."""

Relay = Callable[[chain.Request, chain.JobOwner], chain.Response | None]
"""Returns None if the owner could not be reached."""


def make_relay(
    configured_peers: Sequence[client.Address],
    clock: Callable[[], float],
    call: client.Call = client.call,
) -> Relay:
    """Make the function that relays a request to the owner of its job.

    Parameters
    ----------
    configured_peers : sequence of tuple
        Addresses of the configured peers.
    clock : callable
        Returns the present time in seconds.
    call : callable, optional
        Calls a method of a peer.
    """

    def relay(
        req: chain.Request, owner: chain.JobOwner
    ) -> chain.Response | None:
        request = wire.RelayRequest(
            req.method,
            req.path,
            dict(req.query),
            _encode_body(req.body),
        )
        deadline = clock() + _request_wait(req) + REPLY_MARGIN
        for address in (owner.address,) if owner.address else configured_peers:
            timeout = deadline - clock()
            if timeout <= 0.0:
                break
            reply = _call_peer(call, address, request, timeout)
            if reply is not None and reply.status:
                return _decode_response(reply)
        return None

    return relay


def _request_wait(req):
    long = req.method == "DELETE" or req.path.startswith("/v1/named-jobs/")
    return chain.wait_time(req, LONG_WAIT if long else 0.0)


def _call_peer(call, address, request, timeout):
    try:
        return call(address, wire.RELAY, request, timeout)
    except errors.PeerError as exc:
        loguru.logger.debug("peers: relay to {} failed: {}", address, exc)
        return None


def _decode_response(reply):
    headers = tuple(sorted(reply.headers.items()))
    return chain.Response(reply.status, json.loads(reply.body), headers)


def make_method_handler(handler: chain.Handler) -> server.MethodHandler:
    """Make the method handler for relayed requests.

    Parameters
    ----------
    handler : callable
        The callers' handler without the relay filter, so that a request
        is relayed at most once.
    """
    # Each request in progress takes a token; without one it is rejected.
    tokens: queue.SimpleQueue = queue.SimpleQueue()
    for _ in range(MAX_CONCURRENT):
        tokens.put(None)

    def handle(request: wire.RelayRequest) -> wire.RelayReply:
        try:
            tokens.get_nowait()
        except queue.Empty:
            return wire.RelayReply(0, b"")
        try:
            return _make_reply(handler(_make_request(request)))
        finally:
            tokens.put(None)

    return server.MethodHandler(wire.RELAY, handle)


def _encode_body(body):
    return json.dumps(body, ensure_ascii=False).encode()


def _make_request(request):
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


def _make_reply(response):
    if response.owner is not None:
        return wire.RelayReply(0, b"")
    body = _encode_body(response.body)
    return wire.RelayReply(response.status, body, dict(response.headers))
