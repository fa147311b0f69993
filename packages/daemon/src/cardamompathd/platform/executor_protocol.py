"""The HTTP calls to executors: commands and their responses."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import orjson

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "Call",
    "Endpoint",
    "decode",
    "encode",
]

COMMAND_TIMEOUT = 0.25
"""Seconds for the response to a start or stop; usually 2 to 4 ms.  A start
in doubt has to be resolved while the task can still be in time."""
HOLD_TIMEOUT = 0.25
"""Seconds for the response to a hold, in addition to the time that the
executor may wait."""
EXPECTED_INSTANCE_HEADER = "X-Cardamompath-Expect-Instance"
MAX_NUMBER = (1 << 63) - 1
"""Largest number in a response, which a later request may carry."""
MAX_CLOCK = 1 << 53
"""Largest time in milliseconds that a float holds exactly."""
OCCURRENCE = 0
"""The part of a task's name that numbers the occurrences of a scheduled
job; always 0, as scheduled jobs are not supported."""

START_RESULTS: dict[str, pool_messages.StartResult] = {
    "fence": "fenced",
    "old": "old",
    "late": "late",
    "room": "room",
}
"""Result of a start for each reason with which an executor rejects it."""


class Endpoint(NamedTuple):
    """The name and the address of an executor."""

    name: str
    host: str
    port: int


class Call(NamedTuple):
    """A command as it is sent over a connection."""

    backend: Endpoint
    command: Any
    request: bytes
    """The HTTP request, head and body."""
    timeout: float
    """Seconds to wait for the response."""
    start_by: float
    """Time after which the command is not sent any more."""


def encode(command: Any, now: float) -> Call:
    """Return the call for a command."""
    spec = command.executor
    backend = Endpoint(spec.name, *spec.address)
    path, fields, timeout = _ENCODERS[type(command)](command)
    body = orjson.dumps(fields)
    host, port = spec.address
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {host}:{port}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{EXPECTED_INSTANCE_HEADER}: {spec.name}\r\n\r\n"
    )
    request = head.encode("latin-1") + body
    return Call(backend, command, request, timeout, now + timeout)


def _encode_start(command):
    fields = {
        "task": _task_name(command.run),
        "attempt": command.run.attempt,
        "spec": command.spec,
        "expires_ms": int(command.expires * 1000.0),
        "fencing_token": command.token,
    }
    return "/v1/run-start", fields, COMMAND_TIMEOUT


def _encode_stop(command):
    fields = {
        "task": _task_name(command.run),
        "attempt": command.run.attempt,
        "fencing_token": command.token,
    }
    return "/v1/run-stop", fields, COMMAND_TIMEOUT


def _encode_hold(command):
    fields = {
        "fencing_token": command.token,
        "ack_index": command.acknowledged,
    }
    if command.expires is not None:
        fields["expires_ms"] = int(command.expires * 1000.0)
    if command.wait > 0.0:
        fields["wait_ms"] = round(command.wait * 1000.0)
    return "/v1/hold", fields, HOLD_TIMEOUT + command.wait


def _encode_probe(_):
    # Without a fencing token the executor only responds.
    return "/v1/hold", {"ack_index": 0}, HOLD_TIMEOUT


_ENCODERS = {
    pool_messages.StartRun: _encode_start,
    pool_messages.StopRun: _encode_stop,
    pool_messages.HoldExecutor: _encode_hold,
    pool_messages.ProbeExecutor: _encode_probe,
}


def _task_name(run):
    return f"{run.batch}.{OCCURRENCE}.{run.step}.{run.index}"


def decode(call: Call, answer: types.BackendAnswer) -> messages.Send:
    """Return the message for the planner about the result of a call.

    Parameters
    ----------
    call : Call
        The call.
    answer : BackendAnswer
        Its response, or the phase in which the exchange failed.
    """
    doc = _read_body(answer)
    msg = _DECODERS[type(call.command)](call.command, answer, doc)
    return messages.Send(pool_messages.PLANNER, msg)


def _read_body(answer):
    """Return the fields of a response, or none if it has no JSON object."""
    if answer.phase != "done":
        return {}
    try:
        doc = orjson.loads(answer.payload)
    except orjson.JSONDecodeError:
        return {}
    return doc if isinstance(doc, dict) else {}


def _read_clock(doc):
    clock = doc.get("clock_ms")
    if not isinstance(clock, int | float) or not 0 <= clock <= MAX_CLOCK:
        return None
    return clock / 1000.0


def _describe(answer):
    if answer.phase == "done":
        return f"status {answer.status}"
    return f"{answer.phase}: {answer.error}"


def _decode_start(command, answer, doc):
    result: pool_messages.StartResult = "unknown"
    if answer.phase == "connect":
        result = "unsent"
    elif answer.status == 200:
        result = "started"
    elif answer.status == 409:
        reason = doc.get("reason")
        if isinstance(reason, str):
            result = START_RESULTS.get(reason, "invalid")
    elif answer.status == 421:
        result = "reborn"
    elif answer.status in (429, 503):
        result = "unhealthy"
    elif answer.status == 400:
        result = "invalid"
    return pool_messages.StartAnswered(
        command.executor.name,
        command.run,
        result,
        _describe(answer),
        _read_clock(doc),
    )


def _decode_stop(command, answer, _):
    return pool_messages.StopAnswered(
        command.executor.name,
        command.run,
        answer.status == 200,
        _describe(answer),
    )


def _decode_hold(command, answer, doc):
    name = command.executor.name
    if answer.status == 200:
        try:
            return _read_listing(command, doc)
        except (LookupError, TypeError, ValueError) as exc:
            answer = answer._replace(phase="answer", error=repr(exc))
    return pool_messages.HoldFailed(
        name,
        command.token,
        answer.status == 409 and doc.get("reason") == "fence",
        answer.status == 421,
        _describe(answer),
        answer.aborted,
    )


def _read_listing(command, doc):
    clock = _read_clock(doc)
    if clock is None:
        raise ValueError(f"clock_ms is {doc.get('clock_ms')!r}")
    running = tuple(
        _read_run(row[0], row[1]) for row in doc.get("running") or ()
    )
    ended = tuple(
        pool_messages.EndedRun(
            _check_number(row[0]),
            _read_run(row[1], row[2]),
            _check_type(row[3], str),
        )
        for row in doc.get("ended_runs") or ()
    )
    return pool_messages.HoldAnswered(
        command.executor.name,
        command.token,
        _check_number(int(doc.get("born") or 0)),
        clock,
        running,
        ended,
    )


def _read_run(task, attempt):
    batch, _, step, index = _check_type(task, str).rsplit(".", 3)
    return pool_messages.Run(
        batch, int(step), int(index), _check_number(attempt)
    )


def _check_number(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{value!r} is not in the range 0 to {MAX_NUMBER}")
    return value


def _check_type(value, expected):
    if not isinstance(value, expected):
        raise TypeError(f"{value!r} is not of type {expected.__name__}")
    return value


def _decode_probe(command, answer, _):
    return pool_messages.ProbeAnswered(
        command.executor.name, answer.phase == "done"
    )


_DECODERS = {
    pool_messages.StartRun: _decode_start,
    pool_messages.StopRun: _decode_stop,
    pool_messages.HoldExecutor: _decode_hold,
    pool_messages.ProbeExecutor: _decode_probe,
}
