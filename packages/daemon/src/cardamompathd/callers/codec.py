"""Decodes submissions from JSON and encodes answers."""

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
    "InvalidBody",
    "JobFields",
    "TaskFields",
    "decode_job",
    "decode_request",
    "encode_answer",
]

MAX_TIMEOUT = 600.0
"""Longest timeout that a caller may set for a submission, in seconds."""

REFUSAL_STATUS = {
    "cancelled": 409,
    "conflict": 409,
    "unknown_job": 404,
    "unknown_service": 404,
    "unknown_team": 404,
}
"""HTTP status by the code of a refusal; 503 for other codes."""


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
    """The body of a job; `service` is the default for its tasks."""

    team: str
    service: str
    timeout: float
    tasks: list[TaskFields]


class RequestFields(TaskFields, total=False):
    """The body of a single request."""

    team: str
    timeout: float
    idempotent: bool


class InvalidBody(NamedTuple):
    """Why a body is rejected."""

    status: int
    code: str
    reason: str


class FieldError(ValueError):
    """A field of a body is invalid."""

    def __init__(self, reason: str, status: int = 400, code="bad_request"):
        super().__init__(reason)
        self.error = InvalidBody(status, code, reason)


def decode_job(
    body: dict[str, Any], payload_limit: int
) -> result.Result[types.JobSpec, InvalidBody]:
    """Decode the body of a job; a failure says what is invalid."""
    return _decode(body, JobFields, body.get("tasks"), payload_limit)


def decode_request(
    body: dict[str, Any], payload_limit: int
) -> result.Result[types.JobSpec, InvalidBody]:
    """Decode the body of a single request; a failure says what is invalid."""
    fields = {
        key: value
        for key, value in body.items()
        if key in TaskFields.__annotations__
    }
    return _decode(body, RequestFields, [fields], payload_limit)


def _decode(body, fields, tasks, payload_limit):
    try:
        _check_keys("the body", body, fields)
        spec = _decode_job(body, tasks, fields is RequestFields, payload_limit)
    except FieldError as exc:
        return result.Failure(exc.error)
    return result.Success(spec)


def _check_keys(owner, value, fields):
    known = fields.__annotations__
    for key in value:
        if key not in known:
            raise FieldError(
                f"unknown field {key[:64]!r} in {owner}; "
                f"known fields: {', '.join(known)}"
            )


def _decode_job(body, tasks, single, payload_limit):
    if not isinstance(tasks, list) or not tasks:
        raise FieldError("'tasks' must be a list of at least one task")
    if len(tasks) > types.MAX_TASKS:
        reason = (
            f"'tasks' has {len(tasks)} tasks; the limit is {types.MAX_TASKS}"
        )
        raise FieldError(reason, 413, "too_many_tasks")
    canonical = json.dumps(body, sort_keys=True).encode()
    return types.JobSpec(
        team=_read_name(body, "team", "default"),
        tasks=tuple(_decode_task(task, body, payload_limit) for task in tasks),
        timeout=_read_timeout(body),
        digest=hashlib.sha256(canonical).hexdigest(),
        idempotent=_read_flag(body, "idempotent"),
        single=single,
    )


def _decode_task(fields, body, payload_limit):
    if not isinstance(fields, dict):
        type_name = type(fields).__name__
        raise FieldError(f"a task is a {type_name}; it must be an object")
    _check_keys("a task", fields, TaskFields)
    service = _read_name(fields, "service", body.get("service"))
    payload = json.dumps(fields.get("payload")).encode()
    if len(payload) > payload_limit:
        reason = (
            f"a payload has {len(payload)} bytes; the limit is {payload_limit}"
        )
        raise FieldError(reason, 413, "payload_too_large")
    declared = fields.get("declared")
    if declared is not None and not _is_positive(declared):
        raise FieldError(
            f"'declared' is {_quote(declared)}; it must be seconds above 0"
        )
    kind = _read_name(fields, "kind", "default")
    return types.TaskSpec(service, kind, payload, declared)


def _quote(value):
    text = repr(value)
    return text if len(text) <= 64 else text[:61] + "..."


def _read_flag(body, key):
    value = body.get(key, False)
    if not isinstance(value, bool):
        raise FieldError(
            f"{key!r} is {_quote(value)}; it must be true or false"
        )
    return value


def _is_positive(value):
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 < value < float("inf")
    )


def _read_name(fields, key, default):
    value = fields.get(key, default)
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise FieldError(
            f"{key!r} is {_quote(value)}; {NAME_ALLOWED} are allowed"
        )
    return value


def _read_timeout(body):
    value = body.get("timeout", 30.0)
    if not _is_positive(value) or value > MAX_TIMEOUT:
        raise FieldError(
            f"'timeout' is {_quote(value)}; "
            f"it must be above 0 and at most {MAX_TIMEOUT:g} seconds"
        )
    return float(value)


def encode_answer(job: str, answer: types.Answer) -> chain.Response:
    """Encode an answer as a response."""
    if isinstance(answer, types.Refused):
        status = REFUSAL_STATUS.get(answer.code, 503)
        return chain.error_response(
            status, answer.code, answer.reason, answer.retry_after
        )
    if isinstance(answer, types.Pending):
        body = {"outcome": "pending", "job": job} | answer._asdict()
        return chain.Response(202, body)
    tasks = [_encode_result(task) for task in answer.results]
    body = {"outcome": "complete", "job": job, "tasks": tasks}
    if isinstance(answer, types.Complete):
        return chain.Response(200, body)
    body |= {
        "outcome": "failed",
        "code": answer.code,
        "reason": answer.reason,
    }
    return chain.Response(502, body)


def _encode_result(task):
    fields = {"state": task.state, "status": task.status}
    fields["backend"] = task.backend
    if task.payload:
        fields["payload"] = _decode_payload(task.payload)
    return fields


def _decode_payload(raw):
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode("latin-1")
