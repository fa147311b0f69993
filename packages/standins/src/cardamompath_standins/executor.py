"""Stand-in of an executor of the users' platform: runs tasks under leases.

One controller owns the runs.  Each start and end of a run is written to
standard output as a JSON line, so that a check can read them after the
process was killed.  The ``spec`` of a task gives its run time in
milliseconds and its CPU share, as in ``{"ms": 120, "cpu": 2000}``; with
``crash_ms`` the executor crashes that long after the start.
"""

from __future__ import annotations

import argparse
import itertools
import json
import math
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
    "Command",
    "ExecutorState",
    "Incarnation",
    "make_controller",
    "start",
]

EXECUTOR = "executor"
THREADS = 64
MAX_LEASE = 1.0
"""Longest lease in seconds, as at the users' sites."""
STOP_TIME = 0.05
"""Seconds from a stop command to the end of the run."""
MAX_HOLD_WAIT = 2.0
"""Longest time in seconds that a hold waits for the end of a run."""
REPLY_TIMEOUT = 5.0
"""Seconds for the reply of the controller, in addition to the wait."""
DRAIN_TIME = 2.0
"""Seconds for which an executor runs on after it registered as draining."""
CRASH = "crash"
"""End state of a run that crashes its executor."""
MAX_ENDED_LISTED = 500
"""Largest number of ended runs in one response."""


class Command(NamedTuple):
    """A command whose request thread waits for a `listener.Response`."""

    path: str
    doc: dict[str, Any]
    reply_to: Any


class TaskRun(NamedTuple):
    """A run of a task, with its CPU share in thousandths of a core."""

    task: str
    attempt: int
    cpu: int
    end_at: float
    end_state: str
    """How it ends then, unless its lease lapses before."""


class Incarnation(NamedTuple):
    """Properties of one process of an executor."""

    cpu: int
    """Thousandths of a core; each task uses the share in its ``spec``."""
    born: int
    """Start of the process, in milliseconds since 1970."""
    write: Callable[[dict], None]
    """Records the fields of an event."""
    enforces_capacity: bool = True
    """Whether a start beyond the capacity is refused."""
    clock_start: float = 0.0
    """Time at which the clock of the executor shows 0."""
    announce: Callable[[int], None] = lambda cpu: None
    """Registers another capacity."""
    crash: Callable[[], None] = lambda: None
    """Ends the process at once."""


class ExecutorState:
    """State of one incarnation of an executor."""

    def __init__(self, incarnation: Incarnation):
        self.incarnation = incarnation
        self.cpu = incarnation.cpu
        self.write = incarnation.write
        self.highest_token = 0
        self.is_held = False
        """Whether it has answered a hold."""
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.ended_runs: list[list] = []
        self.end_indexes = itertools.count(1)
        self.highest_attempts: dict[str, int] = {}
        self.lease_end = 0.0
        self.waiting_holds: list[Command] = []
        self.faults: dict[str, Any] = {}


def make_controller(incarnation: Incarnation) -> messages.Controller:
    """Make the controller of an executor."""
    state = ExecutorState(incarnation)

    def receive(msg, now):
        sends = _end_due_runs(state, now)
        if isinstance(msg, messages.TimerFired):
            return sends + _answer_hold(state, msg.key, now)
        handler = _HANDLERS.get(msg.path, _reply_unknown_path)
        return sends + handler(state, msg, now)

    return messages.Controller(EXECUTOR, receive)


def _reply(state, msg, status, now, **fields):
    clock = int((now - state.incarnation.clock_start) * 1000.0)
    doc = {"clock_ms": clock, "born": state.incarnation.born, **fields}
    answer = messages.Reply(msg.reply_to, listener.Response(status, doc))
    return messages.Send(messages.CALLERS, answer)


def _refuse(state, msg, reason, now):
    return [_reply(state, msg, 409, now, reason=reason)]


def _reply_unknown_path(state, msg, now):
    return [_reply(state, msg, 404, now)]


def _set_timer(at, hold=None):
    timer = messages.SetTimer(at, EXECUTOR, hold)
    return messages.Send(messages.TIMERS, timer)


def _is_fenced(state, msg):
    """Return whether a higher token was seen; remember the token if not."""
    token = msg.doc.get("fencing_token", 0)
    if token < state.highest_token:
        return True
    state.highest_token = token
    return False


def _start_run(state, msg, now):
    doc = msg.doc
    if _is_fenced(state, msg):
        return _refuse(state, msg, "fence", now)
    task, attempt = doc["task"], doc["attempt"]
    spec = json.loads(doc["spec"])
    expires_at = _expiry(state, doc)
    if (task, attempt) in state.runs:
        return [_reply(state, msg, 200, now)]
    if expires_at <= now:
        return _refuse(state, msg, "late", now)
    sends = _extend_lease(state, expires_at, now)
    if attempt <= state.highest_attempts.get(task, 0):
        return [*sends, *_refuse(state, msg, "old", now)]
    cpu = spec.get("cpu", 1000)
    used = sum(run.cpu for run in state.runs.values())
    if state.incarnation.enforces_capacity and used + cpu > state.cpu:
        return [*sends, *_refuse(state, msg, "room", now)]
    end_at, end_state = _expected_end(state, spec, now)
    state.runs[task, attempt] = TaskRun(task, attempt, cpu, end_at, end_state)
    lease = round(expires_at - now, 3)
    run = state.runs[task, attempt]
    _write_event(state, "start", run, at=now, cpu=cpu, lease=lease)
    if end_at < math.inf:
        sends.append(_set_timer(end_at))
    if state.faults.get("mute", 0) > 0:
        state.faults["mute"] -= 1
        no_response = messages.Reply(msg.reply_to, listener.Response(None))
        return [*sends, messages.Send(messages.CALLERS, no_response)]
    return [*sends, _reply(state, msg, 200, now)]


def _expiry(state, doc):
    return state.incarnation.clock_start + doc["expires_ms"] / 1000.0


def _expected_end(state, spec, now):
    if "crash_ms" in spec:
        return now + spec["crash_ms"] / 1000.0, CRASH
    if state.faults.get("stall"):
        return math.inf, ""
    end_state = "failed" if state.faults.get("fail") else "done"
    return now + spec["ms"] / 1000.0, end_state


def _extend_lease(state, expires_at, now):
    until = min(expires_at, now + MAX_LEASE)
    state.lease_end = max(state.lease_end, until)
    return [_set_timer(state.lease_end)]


def _end_due_runs(state, now):
    """End the runs that were due by now, at their times.

    A process that was not scheduled in time ends them late; neither a lease
    nor a run lasts longer for that.
    """
    ended = False
    for run in sorted(state.runs.values(), key=lambda run: run.end_at):
        at = min(run.end_at, state.lease_end)
        if at > now:
            break
        ended = True
        if run.end_at > state.lease_end:
            _end_run(state, run, at, "lapsed", now)
        elif run.end_state != CRASH:
            _end_run(state, run, at, run.end_state, now)
        else:
            _write_event(state, "crash", run, at=at)
            state.runs.clear()
            state.incarnation.crash()
            return []
    if not ended:
        return []
    holds, state.waiting_holds = state.waiting_holds, []
    return [_list_runs(state, hold, now) for hold in holds]


def _write_event(state, event, run, **fields):
    doc = {"event": event, "task": run.task, "attempt": run.attempt}
    state.write({**doc, **fields})


def _end_run(state, run, at, end_state, now):
    del state.runs[run.task, run.attempt]
    _write_event(state, "end", run, at=at, how=end_state, noted_at=now)
    state.highest_attempts[run.task] = max(
        state.highest_attempts.get(run.task, 0), run.attempt
    )
    state.ended_runs.append(
        [next(state.end_indexes), run.task, run.attempt, end_state, ""]
    )


def _stop_run(state, msg, now):
    if _is_fenced(state, msg):
        return _refuse(state, msg, "fence", now)
    task, attempt = msg.doc["task"], msg.doc["attempt"]
    state.highest_attempts[task] = max(
        state.highest_attempts.get(task, 0), attempt
    )
    stop_at = now + STOP_TIME
    run = state.runs.get((task, attempt))
    if run is not None and run.end_at > stop_at:
        state.runs[task, attempt] = run._replace(
            end_at=stop_at, end_state="stopped"
        )
    return [_set_timer(stop_at), _reply(state, msg, 200, now)]


def _hold(state, msg, now):
    if "fencing_token" in msg.doc and _is_fenced(state, msg):
        return _refuse(state, msg, "fence", now)
    if not state.is_held:
        state.is_held = True
        state.write({"event": "held"})
    acknowledged = msg.doc.get("ack_index", 0)
    state.ended_runs = [
        run for run in state.ended_runs if run[0] > acknowledged
    ]
    sends = []
    if "expires_ms" in msg.doc:
        sends += _extend_lease(state, _expiry(state, msg.doc), now)
    wait = msg.doc.get("wait_ms", 0) / 1000.0
    if state.ended_runs or wait <= 0.0:
        return [*sends, _list_runs(state, msg, now)]
    state.waiting_holds.append(msg)
    return [*sends, _set_timer(now + min(wait, MAX_HOLD_WAIT), msg)]


def _answer_hold(state, msg, now):
    if msg not in state.waiting_holds:
        return []
    state.waiting_holds.remove(msg)
    return [_list_runs(state, msg, now)]


def _list_runs(state, msg, now):
    running = [[run.task, run.attempt, "", 100] for run in state.runs.values()]
    ended = state.ended_runs[:MAX_ENDED_LISTED]
    return _reply(state, msg, 200, now, running=running, ended_runs=ended)


def _set_faults(state, msg, now):
    state.faults = dict(msg.doc)
    cpu = state.faults.get("cpu", state.incarnation.cpu)
    if cpu != state.cpu:
        state.cpu = cpu
        state.write({"event": "capacity", "cpu": cpu})
        state.incarnation.announce(cpu)
    return [_reply(state, msg, 200, now)]


_HANDLERS = {
    "/v1/run-start": _start_run,
    "/v1/run-stop": _stop_run,
    "/v1/hold": _hold,
    "/standin/faults": _set_faults,
}


def start(
    incarnation: Incarnation, name: str, port: int = 0
) -> listener.Listener:
    """Start an executor that accepts only commands addressed to `name`.

    ``PUT /standin/faults`` sets faults: ``fail`` (runs that start end as
    failed), ``stall`` (runs that start do not end by themselves),
    ``mute`` (drop the responses to that many starts), ``cpu`` (another
    capacity).

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    ref = actors.ControllerActor.start(
        [make_controller(incarnation)], _resolve_future, clocks.boottime
    )
    ask = asking.make_ask(actors.make_tell(ref, EXECUTOR))

    def handle(request: listener.Request) -> listener.Response:
        expected = request.headers.get("x-cardamompath-expect-instance", name)
        if expected != name:
            return listener.Response(421, {})
        doc = json.loads(request.body)
        response = ask(
            lambda fut: Command(request.path, doc, fut),
            MAX_HOLD_WAIT + REPLY_TIMEOUT,
        )
        return response or listener.Response(None)

    return listener.start(handle, THREADS, port=port)


def _resolve_future(send):
    fut: pykka.Future = send.msg.reply_to
    fut.set(send.msg.answer)


class _Registration(threading.Thread):
    """Thread that registers the executor in the store at each ping."""

    def __init__(self, url: str, name: str, entry: dict, ping_interval: float):
        super().__init__(daemon=True)
        self._url = f"{url}/v1/log-append?topic=keyed.servers&part=0"
        self._name = name
        self._entry = entry
        self._ping_interval = ping_interval
        self._pool = urllib3.PoolManager(retries=False, timeout=1.0)
        self._changes: queue.SimpleQueue = queue.SimpleQueue()

    def change(self, **fields: Any) -> None:
        """Register other values of fields at once."""
        self._changes.put(fields)

    def run(self) -> None:
        for number in itertools.count(1):
            entry = {**self._entry, "seq_no": number}
            record = store.encode_keyed_record(
                self._name, json.dumps(entry).encode()
            )
            try:
                self._pool.request("POST", self._url, body=record)
            except urllib3.exceptions.HTTPError as exc:
                print(f"store: registration failed: {exc!r}", file=sys.stderr)
            try:
                self._entry |= self._changes.get(timeout=self._ping_interval)
            except queue.Empty:
                continue


def _capacity(cpu):
    return {"cpu": cpu, "mem_mb": 32768, "gpu": 0}


def _write_line(fields):
    line = json.dumps({"at": clocks.boottime(), **fields})
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def main() -> None:
    """Run an executor; it drains on SIGTERM or SIGINT, then exits."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--domain", required=True)
    parser.add_argument("--store", required=True, help="URL of the store")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--announce", required=True, help="host:port")
    parser.add_argument("--cpu", type=int, default=8000)
    parser.add_argument("--label", default="a", help="hardware model")
    parser.add_argument("--ping", type=float, default=1.5)
    parser.add_argument(
        "--unguarded", action="store_true", help="do not enforce the capacity"
    )
    args = parser.parse_args()
    signals = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    born = int(time.time() * 1000.0)
    entry = {
        "service": args.service,
        "addr": args.announce,
        "zone": args.domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": _capacity(args.cpu),
        "labels": [args.label, f"r-{args.domain}"],
        "born": born,
    }
    registration = _Registration(args.store, args.name, entry, args.ping)
    incarnation = Incarnation(
        args.cpu,
        born,
        _write_line,
        not args.unguarded,
        clocks.boottime(),
        lambda cpu: registration.change(capacity=_capacity(cpu)),
        lambda: os.kill(os.getpid(), signal.SIGKILL),
    )
    _write_line({"event": "boot", "label": args.label})
    start(incarnation, args.name, args.port)
    registration.start()
    signal.sigwait(signals)
    registration.change(state="draining")
    time.sleep(DRAIN_TIME)
    _write_line({"event": "exit"})
    # Threads that still handle a request would keep the process alive.
    os._exit(0)


if __name__ == "__main__":
    main()
