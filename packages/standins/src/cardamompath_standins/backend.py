"""Stand-in of a backend server with slots, a speed and faults.

It counts how often each task was started.  A payload may state its run
time: ``{"work": 0.2}`` takes 0.2 seconds on a backend server of speed 1.
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
    """Slots, speed, faults and the number of starts of each task."""

    def __init__(self, slots: int, speed: float):
        self.slots = threading.Semaphore(slots)
        self.speed = speed
        self.starts: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()
        self.faults: dict = {}


def start(
    port: int = 0, slots: int = 8, connections: int = 64, speed: float = 1.0
) -> listener.Listener:
    """Start a stand-in of a backend server.

    ``GET /v1/starts`` returns how often each task started.
    ``PUT /v1/faults`` sets faults: ``fail`` (answer 500 at once),
    ``refuse`` (answer 503 with ``Task-Run: no``), ``silent`` (start the
    task and drop the connection after that many seconds), ``crash`` (run
    the task, then drop the connection), ``refuse_full`` (refuse a task
    for which no slot is free).
    """
    state = BackendState(slots, speed)

    def handle(request: listener.Request) -> listener.Response:
        if request.path == "/v1/starts":
            with state.lock:
                return listener.Response(200, dict(state.starts))
        if request.path == "/v1/faults" and request.method == "PUT":
            state.faults = json.loads(request.body)
            return listener.Response(200, state.faults)
        return _handle_task(state, request)

    return listener.start(handle, connections, port=port)


def _handle_task(state, request):
    if state.faults.get("refuse"):
        return _refuse()
    if not state.slots.acquire(blocking=not state.faults.get("refuse_full")):
        return _refuse()
    try:
        return _run_task(state, request)
    finally:
        state.slots.release()


def _refuse():
    headers = (("Task-Run", "no"),)
    return listener.Response(503, {"error": "not run"}, headers)


def _run_task(state, request):
    with state.lock:
        state.starts[request.headers.get("task-id", "")] += 1
    if state.faults.get("fail"):
        return listener.Response(500, {"error": "failed on purpose"})
    if state.faults.get("silent"):
        time.sleep(state.faults["silent"])
        return listener.Response(None)
    payload = json.loads(request.body or b"null")
    work = payload.get("work", 0.0) if isinstance(payload, dict) else 0.0
    time.sleep(work / state.speed)
    if state.faults.get("crash"):
        return listener.Response(None)
    return listener.Response(200, {"echo": payload})


def main() -> None:
    """Run a stand-in of a backend server until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=7100)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--speed", type=float, default=1.0)
    args = parser.parse_args()
    listener.run_until_signal(
        "backend",
        lambda: start(args.port, args.slots, args.connections, args.speed),
    )


if __name__ == "__main__":
    main()
