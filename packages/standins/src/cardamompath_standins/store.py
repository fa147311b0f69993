"""Stand-in of the store of the users' platform: topics of keyed records.

One controller owns the topics; the request threads send it messages and
wait for its replies.  Paths and fields are those of the documentation
of the users' platform.
"""

from __future__ import annotations

import argparse
import base64
import collections
import json
import struct
import threading
from typing import Any
from typing import NamedTuple

import pykka

from cardamompath_standins import listener
from cardamompathd import messages
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks

__all__ = [
    "ENTRY_PATH",
    "EXECUTORS_PATH",
    "READY_PATH",
    "encode_keyed_record",
    "make_controller",
    "start",
]

STORE = "store"
THREADS = 128
MAX_READ_WAIT = 30.0
"""Longest time in seconds that a read waits for a record."""
REPLY_TIMEOUT = 5.0
"""Seconds for the reply of the controller, in addition to the wait."""
SERVERS_TOPIC = "keyed.servers"
READY_PATH = "/v1/log-newest?topic=keyed.op&part=0"
"""Request path that is answered with 200 once the store serves."""
EXECUTORS_PATH = "/v1/log-newest?topic=keyed.servers&part=0"
"""Request path of the entries of the executors."""
ENTRY_PATH = "/v1/log-append?topic=keyed.servers&part=0"
"""Request path to write such an entry."""
MISSED_PINGS = 3.0
"""Ping intervals without a ping after which an executor's entry is deleted."""
READ_HEADER = struct.Struct("!QQ")
"""End offset and oldest offset, before the records of a read."""
LENGTH_PREFIX = struct.Struct("!I")


class StoreRequest(NamedTuple):
    """A request whose thread waits for a `listener.Response`."""

    path: str
    query: dict[str, str]
    body: bytes
    reply_to: Any


class SetFaults(NamedTuple):
    """Replaces the faults of the store.

    ``down`` answers every request with 503; ``lose`` drops the responses
    to that many appends, which take effect.
    """

    faults: dict[str, Any]
    reply_to: Any


class StoreState:
    """Topics, waiting reads, faults, and the last ping of each executor."""

    def __init__(self, ping_interval: float):
        self.topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self.waiting_reads: list[StoreRequest] = []
        self.faults: dict[str, Any] = {}
        self.ping_interval = ping_interval
        self.last_pings: dict[bytes, float] = {}


def make_controller(ping_interval: float) -> messages.Controller:
    """Make the controller of a store.

    Parameters
    ----------
    ping_interval : float
        Seconds between the pings of an executor.
    """
    state = StoreState(ping_interval)

    def receive(msg, now):
        if isinstance(msg, SetFaults):
            state.faults = dict(msg.faults)
            return [_reply(msg, listener.Response(200, state.faults))]
        if isinstance(msg, messages.TimerFired):
            return _handle_timer(state, msg, now)
        if state.faults.get("down"):
            return [_reply(msg, listener.Response(503, {"error": "down"}))]
        return _HANDLERS.get(msg.path, _reply_unknown_path)(state, msg, now)

    return messages.Controller(STORE, receive)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Return a keyed record with its length prefix, as for an append."""
    key_bytes = key.encode()
    record = bytes([len(key_bytes)]) + key_bytes + value
    return LENGTH_PREFIX.pack(len(record)) + record


def _reply(msg, reply):
    return messages.Send(messages.CALLERS, messages.Reply(msg.reply_to, reply))


def _reply_unknown_path(state, msg, now):
    return [_reply(msg, listener.Response(404, {"error": msg.path}))]


def _append(state, msg, now):
    topic = msg.query["topic"]
    records = state.topics[topic]
    offset = len(records)
    for record in _split_records(msg.body):
        records.append(record)
        if topic == SERVERS_TOPIC:
            state.last_pings[_key_of(record)] = now
    doc = {"offset": offset, "end_offset": len(records)}
    response = listener.Response(200, doc)
    if state.faults.get("lose", 0) > 0 and topic != SERVERS_TOPIC:
        state.faults["lose"] -= 1
        response = listener.Response(None)
    return [_reply(msg, response), *_answer_waiting(state, topic)]


def _answer_waiting(state, topic):
    ready = [
        read for read in state.waiting_reads if read.query["topic"] == topic
    ]
    state.waiting_reads = [
        read for read in state.waiting_reads if read not in ready
    ]
    return [_answer_read(state, read) for read in ready]


def _read(state, msg, now):
    wait = int(msg.query.get("wait_ms", 0)) / 1000.0
    known = len(state.topics[msg.query["topic"]])
    if int(msg.query["from"]) < known or wait <= 0.0:
        return [_answer_read(state, msg)]
    state.waiting_reads.append(msg)
    timer = messages.SetTimer(now + min(wait, MAX_READ_WAIT), STORE, msg)
    return [messages.Send(messages.TIMERS, timer)]


def _answer_read(state, msg):
    records = state.topics[msg.query["topic"]]
    found = records[int(msg.query["from"]) :]
    framed = b"".join(
        LENGTH_PREFIX.pack(len(record)) + record for record in found
    )
    raw = READ_HEADER.pack(len(records), 0) + framed
    return _reply(msg, listener.Response(200, raw))


def _read_newest(state, msg, now):
    records = state.topics[msg.query["topic"]]
    newest = {}
    for offset, record in enumerate(records):
        newest.pop(_key_of(record), None)
        value = record[1 + record[0] :]
        if value:
            newest[_key_of(record)] = (value, offset)
    items = [
        {
            "key": key.decode(),
            "value": base64.b64encode(value).decode(),
            "offset": offset,
        }
        for key, (value, offset) in newest.items()
    ]
    doc = {"items": items, "has_more": False, "end_offset": len(records)}
    return [_reply(msg, listener.Response(200, doc))]


def _handle_timer(state, msg, now):
    if msg.key is not None:
        if msg.key not in state.waiting_reads:
            return []
        state.waiting_reads.remove(msg.key)
        return [_answer_read(state, msg.key)]
    timer = messages.SetTimer(now + state.ping_interval, STORE, None)
    sends = [messages.Send(messages.TIMERS, timer)]
    for key, ping_at in list(state.last_pings.items()):
        if now - ping_at > MISSED_PINGS * state.ping_interval:
            del state.last_pings[key]
            state.topics[SERVERS_TOPIC].append(bytes([len(key)]) + key)
            sends += _answer_waiting(state, SERVERS_TOPIC)
    return sends


def _split_records(body):
    position = 0
    while position < len(body):
        size = LENGTH_PREFIX.unpack_from(body, position)[0]
        position += LENGTH_PREFIX.size
        yield body[position : position + size]
        position += size


def _key_of(record):
    return record[1 : 1 + record[0]]


_HANDLERS = {
    "/v1/log-append": _append,
    "/v1/log-read": _read,
    "/v1/log-newest": _read_newest,
}


def start(
    port: int = 0, ping_interval: float = 1.5, threads: int = THREADS
) -> listener.Listener:
    """Start a stand-in of the store.

    ``PUT /standin/faults`` takes the fields of `SetFaults`.  Each read that
    waits for a record takes a thread.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    ref = actors.ControllerActor.start(
        [make_controller(ping_interval)], _resolve_future, clocks.boottime
    )
    tell = actors.make_tell(ref, STORE)
    tell(messages.TimerFired(None))
    ask = asking.make_ask(tell)

    def handle(request: listener.Request) -> listener.Response:
        def make_message(fut):
            if request.path == "/standin/faults":
                return SetFaults(json.loads(request.body), fut)
            return StoreRequest(request.path, request.query, request.body, fut)

        response = ask(make_message, MAX_READ_WAIT + REPLY_TIMEOUT)
        return response or listener.Response(None)

    server = listener.start(handle, threads, port=port)

    def stop() -> None:
        ref.stop(block=False)
        threading.Thread(target=server.stop, daemon=True).start()

    return server._replace(stop=stop)


def _resolve_future(send):
    fut: pykka.Future = send.msg.reply_to
    fut.set(send.msg.answer)


def main() -> None:
    """Run a stand-in of the store until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=7900)
    parser.add_argument("--ping", type=float, default=1.5)
    parser.add_argument("--threads", type=int, default=THREADS)
    args = parser.parse_args()
    listener.run_until_signal(
        "store", lambda: start(args.port, args.ping, args.threads)
    )


if __name__ == "__main__":
    main()
