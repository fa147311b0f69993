"""JSON forms of submissions and answers."""

from __future__ import annotations

import hashlib
import json
from typing import Any
from typing import TypedDict

from returns import result

from cardamompath_core import types
from cardamompathd.filters import chain

__all__ = [
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
}
"""Statuses of refusals; 503 for the others."""


class TaskFields(TypedDict, total=False):
    """A task in the body of a submission."""

    service: str
    kind: str
    payload: Any
    declared: float


class BadField(ValueError):
    """A field of a body is wrong."""


def decode_job(body: dict[str, Any]) -> result.Result[types.JobSpec, str]:
    """Read the body of a job; a failure says what is wrong."""
    return _decode(body, body.get("tasks"), False)


def decode_request(body: dict[str, Any]) -> result.Result[types.JobSpec, str]:
    """Read the body of a single request; a failure says what is wrong."""
    return _decode(body, [body], True)


def _decode(body, tasks, single):
    try:
        return result.Success(_job(body, tasks, single))
    except BadField as exc:
        return result.Failure(str(exc))


def _job(body, tasks, single):
    if not isinstance(tasks, list) or not tasks:
        raise BadField("'tasks' has to be a list of at least one task")
    if len(tasks) > types.MAX_TASKS:
        raise BadField(
            f"'tasks' has {len(tasks)} tasks; at most {types.MAX_TASKS}"
        )
    canonical = json.dumps(body, sort_keys=True).encode()
    return types.JobSpec(
        team=_text(body, "team", "default"),
        tasks=tuple(_task(one, body) for one in tasks),
        timeout=_timeout(body),
        digest=hashlib.sha256(canonical).hexdigest(),
        idempotent=body.get("idempotent") is True,
        single=single,
    )


def _task(fields, body):
    if not isinstance(fields, dict):
        raise BadField(f"task {fields!r} is not an object")
    service = _text(fields, "service", body.get("service"))
    payload = json.dumps(fields.get("payload")).encode()
    declared = fields.get("declared")
    if declared is not None and not _is_positive(declared):
        raise BadField(f"'declared' is {declared!r}; seconds above 0 go")
    return types.TaskSpec(
        service, _text(fields, "kind", "default"), payload, declared
    )


def _is_positive(value):
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 < value < float("inf")
    )


def _text(fields, key, default):
    value = fields.get(key, default)
    if not isinstance(value, str) or not value or len(value) > 128:
        raise BadField(f"{key!r} is {value!r}; 1 to 128 characters go")
    return value


def _timeout(body):
    value = body.get("timeout", 30.0)
    if not _is_positive(value) or value > MAX_TIMEOUT:
        raise BadField(
            f"'timeout' is {value!r}; above 0 to {MAX_TIMEOUT:g} seconds go"
        )
    return float(value)


def encode_answer(job: str, answer: types.Answer) -> chain.Response:
    """Make the response for an answer."""
    if isinstance(answer, types.Refused):
        status = REFUSAL_STATUS.get(answer.code, 503)
        return chain.fault(
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
