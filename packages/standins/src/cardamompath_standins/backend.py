"""Stand-in of a backend server: slots, speed, faults, start records.

A payload may name its work: ``{"work": 0.2}`` takes 0.2 seconds on a
backend server of speed 1.
"""

from __future__ import annotations

import argparse
import collections
import json
import threading
import time

from cardamompath_standins import listener

__all__ = [
    "start",
]


class BackendState:
    """Slots, speed and the record of starts."""

    def __init__(self, slots: int, speed: float):
        self.slots = threading.Semaphore(slots)
        self.speed = speed
        self.starts: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()
        self.faults: dict = {}


def start(
    port: int = 0, slots: int = 8, connections: int = 64, speed: float = 1.0
) -> listener.Listener:
    """Start a backend server stand-in.

    ``GET /v1/starts`` answers how often each task started.
    ``PUT /v1/faults`` sets faults: ``fail`` (answer 500 at once),
    ``refuse`` (answer 503 with ``Task-Run: no``), ``silent`` (take the
    task and never answer), ``crash`` (run it, then drop the connection),
    ``refuse_full`` (refuse a task for which no slot is free).
    """
    state = BackendState(slots, speed)

    def handle(call: listener.Call) -> listener.Reply:
        if call.path == "/v1/starts":
            with state.lock:
                return listener.Reply(200, dict(state.starts))
        if call.path == "/v1/faults" and call.method == "PUT":
            state.faults = json.loads(call.body)
            return listener.Reply(200, state.faults)
        return _run(state, call)

    return listener.start(handle, connections, port=port)


def _run(state, call):
    if state.faults.get("refuse"):
        return _refusal()
    if not state.slots.acquire(blocking=not state.faults.get("refuse_full")):
        return _refusal()
    try:
        return _work(state, call)
    finally:
        state.slots.release()


def _refusal():
    headers = (("Task-Run", "no"),)
    return listener.Reply(503, {"error": "not run"}, headers)


def _work(state, call):
    with state.lock:
        state.starts[call.headers.get("task-id", "")] += 1
    if state.faults.get("fail"):
        return listener.Reply(500, {"error": "failed on purpose"})
    if state.faults.get("silent"):
        time.sleep(state.faults["silent"])
        return listener.Reply(None)
    payload = json.loads(call.body or b"null")
    work = payload.get("work", 0.0) if isinstance(payload, dict) else 0.0
    time.sleep(work / state.speed)
    if state.faults.get("crash"):
        return listener.Reply(None)
    return listener.Reply(200, {"echo": payload})


def main() -> None:
    """Run a backend server stand-in until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=7100)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--speed", type=float, default=1.0)
    args = parser.parse_args()
    listener.run_until_ended(
        "backend",
        lambda: start(args.port, args.slots, args.connections, args.speed),
    )


if __name__ == "__main__":
    main()
