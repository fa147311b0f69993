"""Orders to executors, and what they say to them."""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "Call",
    "Endpoint",
    "conclude",
    "encode",
    "write",
]

START_TIME = 0.25
"""Seconds for an executor to answer an order; usual are 2 to 4 ms, and a
task whose start is in doubt has to move on while it can still be in time."""
HOLD_TIME = 0.25
"""Seconds for the answer of a hold beside the time that it waits."""
EXPECTED = "X-Cardamompath-Expect-Instance"
OCCURRENCE = 0
"""Number in a task's name that counts occurrences of a scheduled job."""

REASONS: dict[str, pool_messages.StartResult] = {
    "fence": "fenced",
    "old": "old",
    "late": "late",
    "room": "room",
}


class Endpoint(NamedTuple):
    """Where an executor listens."""

    name: str
    host: str
    port: int


class Call(NamedTuple):
    """An order as it goes over a connection."""

    backend: Endpoint
    order: Any
    path: str
    body: bytes
    timeout: float
    """Seconds until the answer is given up."""
    start_by: float


def encode(order: Any, now: float) -> Call:
    """Return the call that carries an order."""
    spec = order.executor
    backend = Endpoint(spec.name, *spec.address)
    path, fields, timeout = _FIELDS[type(order)](order)
    body = json.dumps(fields, separators=(",", ":")).encode()
    return Call(backend, order, path, body, timeout, now + timeout)


def _start_fields(order):
    fields = {
        "task": _task_name(order.run),
        "attempt": order.run.attempt,
        "spec": order.spec,
        "expires_ms": int(order.expires * 1000.0),
        "fencing_token": order.token,
    }
    return "/v1/run-start", fields, START_TIME


def _stop_fields(order):
    fields = {
        "task": _task_name(order.run),
        "attempt": order.run.attempt,
        "fencing_token": order.token,
    }
    return "/v1/run-stop", fields, START_TIME


def _hold_fields(order):
    fields = {"fencing_token": order.token, "ack_index": order.acknowledged}
    if order.expires is not None:
        fields["expires_ms"] = int(order.expires * 1000.0)
    if order.wait > 0.0:
        fields["wait_ms"] = round(order.wait * 1000.0)
    return "/v1/hold", fields, HOLD_TIME + order.wait


def _probe_fields(_):
    # Without a token the executor does nothing but answer.
    return "/v1/hold", {"ack_index": 0}, HOLD_TIME


_FIELDS = {
    pool_messages.StartRun: _start_fields,
    pool_messages.StopRun: _stop_fields,
    pool_messages.HoldExecutor: _hold_fields,
    pool_messages.ProbeExecutor: _probe_fields,
}


def _task_name(run):
    return f"{run.batch}.{OCCURRENCE}.{run.step}.{run.index}"


def write(conn: Any, call: Call) -> None:
    """Write a call on a connection."""
    conn.putrequest("POST", call.path, skip_accept_encoding=True)
    conn.putheader("Content-Type", "application/json")
    conn.putheader("Content-Length", len(call.body))
    conn.putheader(EXPECTED, call.order.executor.name)
    conn.endheaders(call.body)


def conclude(call: Call, answer: types.BackendAnswer) -> messages.Send:
    """Return what an answer, or its absence, says about an order."""
    doc = _read_body(answer)
    msg = _CONCLUSIONS[type(call.order)](call.order, answer, doc)
    return messages.Send(pool_messages.PLANNER, msg)


def _read_body(answer):
    """Return the fields of an answer; nothing when they can't be read."""
    if answer.phase != "done":
        return {}
    try:
        doc = json.loads(answer.payload)
    except ValueError:
        return {}
    return doc if isinstance(doc, dict) else {}


def _clock(doc):
    clock = doc.get("clock_ms")
    return clock / 1000.0 if isinstance(clock, int | float) else None


def _detail(answer):
    if answer.phase == "done":
        return f"status {answer.status}"
    return f"{answer.phase}: {answer.error}"


def _conclude_start(order, answer, doc):
    result: pool_messages.StartResult = "unknown"
    if answer.phase == "connect":
        result = "unsent"
    elif answer.status == 200:
        result = "started"
    elif answer.status == 409:
        result = REASONS.get(doc.get("reason"), "invalid")
    elif answer.status == 421:
        result = "reborn"
    elif answer.status in (429, 503):
        result = "unhealthy"
    elif answer.status == 400:
        result = "invalid"
    return pool_messages.StartAnswered(
        order.executor.name, order.run, result, _detail(answer), _clock(doc)
    )


def _conclude_stop(order, answer, _):
    return pool_messages.StopAnswered(
        order.executor.name, order.run, answer.status == 200, _detail(answer)
    )


def _conclude_hold(order, answer, doc):
    name = order.executor.name
    if answer.status == 200:
        try:
            return _read_lists(order, doc)
        except (LookupError, TypeError, ValueError) as exc:
            answer = answer._replace(phase="answer", error=repr(exc))
    return pool_messages.HoldFailed(
        name,
        order.token,
        answer.status == 409 and doc.get("reason") == "fence",
        answer.status == 421,
        _detail(answer),
    )


def _read_lists(order, doc):
    running = tuple(
        _read_run(one[0], one[1]) for one in doc.get("running") or ()
    )
    ended = tuple(
        pool_messages.EndedRun(one[0], _read_run(one[1], one[2]), one[3])
        for one in doc.get("ended_runs") or ()
    )
    return pool_messages.HoldAnswered(
        order.executor.name,
        order.token,
        int(doc.get("born") or 0),
        doc["clock_ms"] / 1000.0,
        running,
        ended,
    )


def _read_run(task, attempt):
    batch, _, step, index = task.rsplit(".", 3)
    return pool_messages.Run(batch, int(step), int(index), attempt)


def _conclude_probe(order, answer, _):
    return pool_messages.ProbeAnswered(
        order.executor.name, answer.phase == "done"
    )


_CONCLUSIONS = {
    pool_messages.StartRun: _conclude_start,
    pool_messages.StopRun: _conclude_stop,
    pool_messages.HoldExecutor: _conclude_hold,
    pool_messages.ProbeExecutor: _conclude_probe,
}
