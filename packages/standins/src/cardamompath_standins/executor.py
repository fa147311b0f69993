"""Stand-in of the users' executors: runs tasks under leases.

One controller owns the runs.  Each start and end is written as a JSON
line on standard output, so that a check can read what happened after
the process is killed.  The text of a task says how long it works:
``{"ms": 120}``.
"""

from __future__ import annotations

import argparse
import itertools
import json
import os
import queue
import signal
import sys
import threading
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pykka
import urllib3

from cardamompath_standins import listener
from cardamompath_standins import store
from cardamompathd import messages
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks

__all__ = [
    "ExecutorState",
    "Order",
    "make_controller",
    "start",
]

EXECUTOR = "executor"
THREADS = 64
LONGEST_LEASE = 1.0
"""Seconds of the longest lease, as on the users' sites."""
STOP_TIME = 0.05
"""Seconds that a run takes to stop."""
LONGEST_HOLD = 2.0
"""Seconds that a hold may wait for an end."""
REPLY_TIME = 5.0
DRAIN_TIME = 2.0
"""Seconds for which a draining executor goes on after it said so."""
LISTED = 500
"""Ends in one listing."""


class Order(NamedTuple):
    """A call that waits for a `listener.Reply`."""

    path: str
    doc: dict[str, Any]
    reply_to: Any


class Run(NamedTuple):
    """What runs here."""

    task: str
    attempt: int
    cpu: int


class ExecutorState:
    """One life of an executor."""

    def __init__(self, cpu: int, born: int, write: Callable[[dict], None]):
        self.cpu = cpu
        self.write = write
        self.token = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list] = []
        self.numbers = itertools.count(1)
        self.highest: dict[str, int] = {}
        self.lease_until = 0.0
        self.waiting: list[Order] = []
        self.faults: dict[str, Any] = {}
        self.born = born


def make_controller(
    cpu: int, born: int, write: Callable[[dict], None]
) -> messages.Controller:
    """Make the controller of an executor.

    Parameters
    ----------
    cpu : int
        Thousandths of a core; each task takes what its text says.
    born : int
        Start of this life, in milliseconds since 1970.
    write : callable
        Takes what happened, with the time.
    """
    state = ExecutorState(cpu, born, write)

    def receive(msg, now):
        if isinstance(msg, messages.TimerFired):
            kind, key = msg.key
            return _TIMERS[kind](state, key, now)
        return _HANDLERS.get(msg.path, _unknown)(state, msg, now)

    return messages.Controller(EXECUTOR, receive)


def _reply(state, msg, status, now, **fields):
    doc = {"clock_ms": int(now * 1000.0), "born": state.born, **fields}
    answer = messages.Reply(msg.reply_to, listener.Reply(status, doc))
    return messages.Send(messages.CALLERS, answer)


def _refuse(state, msg, reason, now):
    return [_reply(state, msg, 409, now, reason=reason)]


def _unknown(state, msg, now):
    return [_reply(state, msg, 404, now)]


def _timer(at, kind, key):
    due = messages.SetTimer(at, EXECUTOR, (kind, key))
    return messages.Send(messages.TIMERS, due)


def _is_fenced(state, msg):
    token = msg.doc.get("fencing_token", 0)
    if token < state.token:
        return True
    state.token = token
    return False


def _start(state, msg, now):
    doc = msg.doc
    if _is_fenced(state, msg):
        return _refuse(state, msg, "fence", now)
    task, attempt = doc["task"], doc["attempt"]
    text = json.loads(doc["spec"])
    expires = doc["expires_ms"] / 1000.0
    if (task, attempt) in state.runs:
        return [_reply(state, msg, 200, now)]
    if expires <= now:
        return _refuse(state, msg, "late", now)
    sends = _extend(state, expires, now)
    if attempt <= state.highest.get(task, 0):
        return [*sends, *_refuse(state, msg, "old", now)]
    cpu = text.get("cpu", 1000)
    if sum(one.cpu for one in state.runs.values()) + cpu > state.cpu:
        return [*sends, *_refuse(state, msg, "room", now)]
    state.runs[task, attempt] = Run(task, attempt, cpu)
    state.write({"event": "start", "task": task, "attempt": attempt})
    if not state.faults.get("stall"):
        how = "failed" if state.faults.get("fail") else "done"
        after = now + text["ms"] / 1000.0
        sends.append(_timer(after, "end", (task, attempt, how)))
    if state.faults.get("mute", 0) > 0:
        state.faults["mute"] -= 1
        lost = messages.Reply(msg.reply_to, listener.Reply(None))
        return [*sends, messages.Send(messages.CALLERS, lost)]
    return [*sends, _reply(state, msg, 200, now)]


def _extend(state, expires, now):
    until = min(expires, now + LONGEST_LEASE)
    state.lease_until = max(state.lease_until, until)
    return [_timer(state.lease_until, "lapse", None)]


def _lapse(state, _, now):
    if now < state.lease_until:
        return []
    sends = []
    for task, attempt in list(state.runs):
        sends += _end(state, (task, attempt, "lapsed"), now)
    return sends


def _end(state, key, now):
    task, attempt, how = key
    if state.runs.pop((task, attempt), None) is None:
        return []
    state.write({"event": "end", "task": task, "attempt": attempt, "how": how})
    state.highest[task] = max(state.highest.get(task, 0), attempt)
    state.ended.append([next(state.numbers), task, attempt, how, ""])
    waiting, state.waiting = state.waiting, []
    return [_list(state, one, now) for one in waiting]


def _stop(state, msg, now):
    if _is_fenced(state, msg):
        return _refuse(state, msg, "fence", now)
    task, attempt = msg.doc["task"], msg.doc["attempt"]
    state.highest[task] = max(state.highest.get(task, 0), attempt)
    stopped = _timer(now + STOP_TIME, "end", (task, attempt, "stopped"))
    return [stopped, _reply(state, msg, 200, now)]


def _hold(state, msg, now):
    if "fencing_token" in msg.doc and _is_fenced(state, msg):
        return _refuse(state, msg, "fence", now)
    seen = msg.doc.get("ack_index", 0)
    state.ended = [one for one in state.ended if one[0] > seen]
    sends = []
    if "expires_ms" in msg.doc:
        sends += _extend(state, msg.doc["expires_ms"] / 1000.0, now)
    wait = msg.doc.get("wait_ms", 0) / 1000.0
    if state.ended or wait <= 0.0:
        return [*sends, _list(state, msg, now)]
    state.waiting.append(msg)
    return [*sends, _timer(now + min(wait, LONGEST_HOLD), "answer", msg)]


def _answer(state, msg, now):
    if msg not in state.waiting:
        return []
    state.waiting.remove(msg)
    return [_list(state, msg, now)]


def _list(state, msg, now):
    running = [[one.task, one.attempt, "", 100] for one in state.runs.values()]
    ended = state.ended[:LISTED]
    return _reply(state, msg, 200, now, running=running, ended_runs=ended)


def _set_faults(state, msg, now):
    state.faults = dict(msg.doc)
    return [_reply(state, msg, 200, now)]


_HANDLERS = {
    "/v1/run-start": _start,
    "/v1/run-stop": _stop,
    "/v1/hold": _hold,
    "/standin/faults": _set_faults,
}
_TIMERS = {"end": _end, "lapse": _lapse, "answer": _answer}


def start(
    cpu: int,
    born: int,
    write: Callable[[dict], None],
    name: str,
    port: int = 0,
) -> listener.Listener:
    """Start an executor that answers calls meant for `name`.

    ``PUT /standin/faults`` sets faults: ``fail`` and ``stall`` whatever
    starts, ``mute`` (lose the answers to that many starts).

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    ref = actors.ControllerActor.start(
        [make_controller(cpu, born, write)], _deliver, clocks.boottime
    )
    ask = asking.make_ask(actors.make_tell(ref, EXECUTOR))

    def handle(call: listener.Call) -> listener.Reply:
        wanted = call.headers.get("x-cardamompath-expect-instance", name)
        if wanted != name:
            return listener.Reply(421, {})
        doc = json.loads(call.body)
        found = ask(
            lambda fut: Order(call.path, doc, fut), LONGEST_HOLD + REPLY_TIME
        )
        return found or listener.Reply(None)

    return listener.start(handle, THREADS, port=port)


def _deliver(send):
    fut: pykka.Future = send.msg.reply_to
    fut.set(send.msg.answer)


class _Registration(threading.Thread):
    """Says in the store that the executor is there."""

    def __init__(self, url: str, name: str, entry: dict, ping: float):
        super().__init__(daemon=True)
        self._url = f"{url}/v1/log-append?topic=keyed.servers&part=0"
        self._name = name
        self._entry = entry
        self._ping = ping
        self._pool = urllib3.PoolManager(retries=False, timeout=1.0)
        self._said: queue.SimpleQueue = queue.SimpleQueue()

    def say(self, state: str) -> None:
        """Change the state that is registered."""
        self._said.put(state)

    def run(self) -> None:
        for number in itertools.count(1):
            entry = {**self._entry, "seq_no": number}
            record = store.pack_keyed(self._name, json.dumps(entry).encode())
            try:
                self._pool.request("POST", self._url, body=record)
            except urllib3.exceptions.HTTPError as exc:
                print(f"store: {exc!r}", file=sys.stderr)
            try:
                self._entry["state"] = self._said.get(timeout=self._ping)
            except queue.Empty:
                continue


def _write_line(fields):
    line = json.dumps({"at": clocks.boottime(), **fields})
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def main() -> None:
    """Run an executor; SIGTERM lets it drain."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--domain", required=True)
    parser.add_argument("--store", required=True, help="URL of the store")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--announce", required=True, help="host:port")
    parser.add_argument("--cpu", type=int, default=8000)
    parser.add_argument("--ping", type=float, default=1.5)
    args = parser.parse_args()
    signals = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    born = int(time.time() * 1000.0)
    start(args.cpu, born, _write_line, args.name, args.port)
    entry = {
        "service": args.service,
        "addr": args.announce,
        "zone": args.domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": args.cpu, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", f"r-{args.domain}"],
        "born": born,
    }
    registration = _Registration(args.store, args.name, entry, args.ping)
    registration.start()
    signal.sigwait(signals)
    registration.say("draining")
    time.sleep(DRAIN_TIME)
    # Threads that serve calls would keep the process.
    os._exit(0)


if __name__ == "__main__":
    main()
