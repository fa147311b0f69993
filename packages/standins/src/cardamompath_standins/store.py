"""Stand-in of the users' store: topics of records, newest by key.

One controller owns the topics; the threads that serve calls ask it and
wait.  Paths and fields are those of the users' pages.
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
    "READY_PATH",
    "make_controller",
    "pack_keyed",
    "start",
]

STORE = "store"
THREADS = 128
LONGEST_WAIT = 30.0
"""Seconds that a read may wait for a record."""
REPLY_TIME = 5.0
"""Seconds for the controller to answer beyond that."""
SERVERS = "keyed.servers"
READY_PATH = "/v1/log-newest?topic=keyed.op&part=0"
"""Answers 200 when the store is up."""
EXPIRY = 3.0
"""Pings of silence after which an entry of an executor is dropped."""
POSITIONS = struct.Struct("!QQ")
LENGTH = struct.Struct("!I")


class StoreCall(NamedTuple):
    """A call that waits for a `listener.Reply`."""

    path: str
    query: dict[str, str]
    body: bytes
    reply_to: Any


class SetFaults(NamedTuple):
    """Faults from now on.

    ``down`` answers 503; ``lose`` loses the answers to that many appends.
    """

    faults: dict[str, Any]
    reply_to: Any


class StoreState:
    """Topics, reads that wait, and the faults set."""

    def __init__(self, ping: float):
        self.topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self.waiting: list[StoreCall] = []
        self.faults: dict[str, Any] = {}
        self.ping = ping
        self.pinged: dict[bytes, float] = {}


def make_controller(ping: float) -> messages.Controller:
    """Make the controller of a store.

    Parameters
    ----------
    ping : float
        Seconds between signs of life of executors.
    """
    state = StoreState(ping)

    def receive(msg, now):
        if isinstance(msg, SetFaults):
            state.faults = dict(msg.faults)
            return [_reply(msg, listener.Reply(200, state.faults))]
        if isinstance(msg, messages.TimerFired):
            return _fired(state, msg, now)
        if state.faults.get("down"):
            return [_reply(msg, listener.Reply(503, {"error": "down"}))]
        return _HANDLERS.get(msg.path, _unknown)(state, msg, now)

    return messages.Controller(STORE, receive)


def pack_keyed(key: str, value: bytes) -> bytes:
    """Return a record with a key as it is appended."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return LENGTH.pack(len(record)) + record


def _reply(msg, reply):
    return messages.Send(messages.CALLERS, messages.Reply(msg.reply_to, reply))


def _unknown(state, msg, now):
    return [_reply(msg, listener.Reply(404, {"error": msg.path}))]


def _append(state, msg, now):
    topic = msg.query["topic"]
    records = state.topics[topic]
    offset = len(records)
    for record in _split(msg.body):
        records.append(record)
        if topic == SERVERS:
            state.pinged[_key(record)] = now
    doc = {"offset": offset, "end_offset": len(records)}
    reply = listener.Reply(200, doc)
    if state.faults.get("lose", 0) > 0 and topic != SERVERS:
        state.faults["lose"] -= 1
        reply = listener.Reply(None)
    return [_reply(msg, reply), *_wake(state, topic)]


def _wake(state, topic):
    ready = [one for one in state.waiting if one.query["topic"] == topic]
    state.waiting = [one for one in state.waiting if one not in ready]
    return [_answer_read(state, one) for one in ready]


def _read(state, msg, now):
    wait = int(msg.query.get("wait_ms", 0)) / 1000.0
    known = len(state.topics[msg.query["topic"]])
    if int(msg.query["from"]) < known or wait <= 0.0:
        return [_answer_read(state, msg)]
    state.waiting.append(msg)
    due = messages.SetTimer(now + min(wait, LONGEST_WAIT), STORE, msg)
    return [messages.Send(messages.TIMERS, due)]


def _answer_read(state, msg):
    records = state.topics[msg.query["topic"]]
    found = records[int(msg.query["from"]) :]
    framed = b"".join(LENGTH.pack(len(one)) + one for one in found)
    raw = POSITIONS.pack(len(records), 0) + framed
    return _reply(msg, listener.Reply(200, raw))


def _newest(state, msg, now):
    records = state.topics[msg.query["topic"]]
    newest = {}
    for offset, record in enumerate(records):
        newest.pop(_key(record), None)
        value = record[1 + record[0] :]
        if value:
            newest[_key(record)] = (value, offset)
    items = [
        {
            "key": key.decode(),
            "value": base64.b64encode(value).decode(),
            "offset": offset,
        }
        for key, (value, offset) in newest.items()
    ]
    doc = {"items": items, "has_more": False, "end_offset": len(records)}
    return [_reply(msg, listener.Reply(200, doc))]


def _fired(state, msg, now):
    if msg.key is not None:
        if msg.key not in state.waiting:
            return []
        state.waiting.remove(msg.key)
        return [_answer_read(state, msg.key)]
    due = messages.SetTimer(now + state.ping, STORE, None)
    sends = [messages.Send(messages.TIMERS, due)]
    for key, at in list(state.pinged.items()):
        if now - at > EXPIRY * state.ping:
            del state.pinged[key]
            state.topics[SERVERS].append(bytes([len(key)]) + key)
            sends += _wake(state, SERVERS)
    return sends


def _split(body):
    at = 0
    while at < len(body):
        size = LENGTH.unpack_from(body, at)[0]
        at += LENGTH.size
        yield body[at : at + size]
        at += size


def _key(record):
    return record[1 : 1 + record[0]]


_HANDLERS = {
    "/v1/log-append": _append,
    "/v1/log-read": _read,
    "/v1/log-newest": _newest,
}


def start(port: int = 0, ping: float = 1.5) -> listener.Listener:
    """Start a store.

    ``PUT /standin/faults`` takes the fields of `SetFaults`.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    ref = actors.ControllerActor.start(
        [make_controller(ping)], _deliver, clocks.boottime
    )
    tell = actors.make_tell(ref, STORE)
    tell(messages.TimerFired(None))
    ask = asking.make_ask(tell)

    def handle(call: listener.Call) -> listener.Reply:
        def make(fut):
            if call.path == "/standin/faults":
                return SetFaults(json.loads(call.body), fut)
            return StoreCall(call.path, call.query, call.body, fut)

        found = ask(make, LONGEST_WAIT + REPLY_TIME)
        return found or listener.Reply(None)

    running = listener.start(handle, THREADS, port=port)

    def stop() -> None:
        ref.stop(block=False)
        threading.Thread(target=running.stop, daemon=True).start()

    return running._replace(stop=stop)


def _deliver(send):
    fut: pykka.Future = send.msg.reply_to
    fut.set(send.msg.answer)


def main() -> None:
    """Run a store until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=7900)
    parser.add_argument("--ping", type=float, default=1.5)
    args = parser.parse_args()
    listener.run_until_ended("store", lambda: start(args.port, args.ping))


if __name__ == "__main__":
    main()
