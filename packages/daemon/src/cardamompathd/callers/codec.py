"""JSON forms of submissions and answers."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from returns import result

from cardamompath_core import types
from cardamompathd.filters import chain

__all__ = [
    "BadBody",
    "JobFields",
    "TaskFields",
    "decode_job",
    "decode_request",
    "encode_answer",
]

MAX_TIMEOUT = 600.0
"""Longest time that a caller may give a submission, in seconds."""

REFUSAL_STATUS = {
    "cancelled": 409,
    "conflict": 409,
    "unknown_job": 404,
    "unknown_service": 404,
    "unknown_team": 404,
}
"""Statuses of refusals; 503 for the others."""


NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
NAME_ALLOWED = (
    "1 to 128 letters, digits, '.', '_', ':' or '-', "
    "beginning with a letter or digit"
)


class TaskFields(TypedDict, total=False):
    """A task in the body of a submission."""

    service: str
    kind: str
    payload: Any
    declared: float


class JobFields(TypedDict, total=False):
    """The body of a job; `service` goes for tasks without one."""

    team: str
    service: str
    timeout: float
    tasks: list[TaskFields]


class RequestFields(TaskFields, total=False):
    """The body of a single request."""

    team: str
    timeout: float
    idempotent: bool


class BadBody(NamedTuple):
    """Why a body is refused."""

    status: int
    code: str
    reason: str


class BadField(ValueError):
    """A field of a body is wrong."""

    def __init__(self, reason: str, status: int = 400, code="bad_request"):
        super().__init__(reason)
        self.bad = BadBody(status, code, reason)


def decode_job(
    body: dict[str, Any], payload_limit: int
) -> result.Result[types.JobSpec, BadBody]:
    """Read the body of a job; a failure says what is wrong."""
    return _decode(body, JobFields, body.get("tasks"), payload_limit)


def decode_request(
    body: dict[str, Any], payload_limit: int
) -> result.Result[types.JobSpec, BadBody]:
    """Read the body of a single request; a failure says what is wrong."""
    fields = {
        key: value
        for key, value in body.items()
        if key in TaskFields.__annotations__
    }
    return _decode(body, RequestFields, [fields], payload_limit)


def _decode(body, fields, tasks, payload_limit):
    try:
        _check_keys("the body", body, fields)
        spec = _job(body, tasks, fields is RequestFields, payload_limit)
    except BadField as exc:
        return result.Failure(exc.bad)
    return result.Success(spec)


def _check_keys(place, given, fields):
    known = fields.__annotations__
    for key in given:
        if key not in known:
            raise BadField(
                f"unknown field {key[:64]!r} in {place}; "
                f"there are: {', '.join(known)}"
            )


def _job(body, tasks, single, payload_limit):
    if not isinstance(tasks, list) or not tasks:
        raise BadField("'tasks' has to be a list of at least one task")
    if len(tasks) > types.MAX_TASKS:
        reason = f"'tasks' has {len(tasks)} tasks; at most {types.MAX_TASKS}"
        raise BadField(reason, 413, "too_many_tasks")
    canonical = json.dumps(body, sort_keys=True).encode()
    return types.JobSpec(
        team=_name(body, "team", "default"),
        tasks=tuple(_task(one, body, payload_limit) for one in tasks),
        timeout=_timeout(body),
        digest=hashlib.sha256(canonical).hexdigest(),
        idempotent=_flag(body, "idempotent"),
        single=single,
    )


def _task(fields, body, payload_limit):
    if not isinstance(fields, dict):
        kind = type(fields).__name__
        raise BadField(f"a task is a {kind}; it has to be an object")
    _check_keys("a task", fields, TaskFields)
    service = _name(fields, "service", body.get("service"))
    payload = json.dumps(fields.get("payload")).encode()
    if len(payload) > payload_limit:
        reason = f"a payload has {len(payload)} bytes; at most {payload_limit}"
        raise BadField(reason, 413, "payload_too_large")
    declared = fields.get("declared")
    if declared is not None and not _is_positive(declared):
        raise BadField(f"'declared' is {_quote(declared)}; seconds above 0 go")
    kind = _name(fields, "kind", "default")
    return types.TaskSpec(service, kind, payload, declared)


def _quote(value):
    text = repr(value)
    return text if len(text) <= 64 else text[:61] + "..."


def _flag(body, key):
    value = body.get(key, False)
    if not isinstance(value, bool):
        raise BadField(f"{key!r} is {_quote(value)}; true or false go")
    return value


def _is_positive(value):
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 < value < float("inf")
    )


def _name(fields, key, default):
    value = fields.get(key, default)
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise BadField(f"{key!r} is {_quote(value)}; {NAME_ALLOWED} go")
    return value


def _timeout(body):
    value = body.get("timeout", 30.0)
    if not _is_positive(value) or value > MAX_TIMEOUT:
        raise BadField(
            f"'timeout' is {_quote(value)}; "
            f"above 0 to {MAX_TIMEOUT:g} seconds go"
        )
    return float(value)


def encode_answer(job: str, answer: types.Answer) -> chain.Response:
    """Make the response for an answer."""
    if isinstance(answer, types.Refused):
        status = REFUSAL_STATUS.get(answer.code, 503)
        return chain.error_response(
            status, answer.code, answer.reason, answer.retry_after
        )
    if isinstance(answer, types.Pending):
        body = {"outcome": "pending", "job": job} | answer._asdict()
        return chain.Response(202, body)
    tasks = [_result(one) for one in answer.results]
    body = {"outcome": "complete", "job": job, "tasks": tasks}
    if isinstance(answer, types.Complete):
        return chain.Response(200, body)
    body |= {
        "outcome": "failed",
        "code": answer.code,
        "reason": answer.reason,
    }
    return chain.Response(502, body)


def _result(one):
    fields = {"state": one.state, "status": one.status}
    fields["backend"] = one.backend
    if one.payload:
        fields["payload"] = _payload(one.payload)
    return fields


def _payload(raw):
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode("latin-1")
