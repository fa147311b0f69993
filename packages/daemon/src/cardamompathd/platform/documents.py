"""Parsers for the platform's configuration, executor and job documents."""

from __future__ import annotations

import json
import re
from typing import Any

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import routes
from cardamompathd.platform import errors
from cardamompathd.platform import settings

__all__ = [
    "EVACUATION_PREFIX",
    "MAX_ENTRY_BYTES",
    "is_executor_name",
    "is_job_name",
    "parse_configuration",
    "parse_evacuation",
    "parse_executor",
    "parse_job",
    "parse_member",
    "parse_resources",
    "unsupported_feature",
]

MAX_TASKS = 840
"""Largest number of tasks in a job; the size that the users plan for."""
MAX_SPEC_BYTES = 4000
"""Largest size of the text that is passed to each task."""
MAX_COUNT = (1 << 31) - 1
"""Largest number of tasks, thousandths of a core, megabytes, accelerators or
milliseconds; the largest that messages between instances carry for each."""
MAX_TIMESTAMP = (1 << 63) - 1
"""Largest time in milliseconds since 1970."""
MAX_ENTRY_BYTES = 1 << 16
"""Largest size of the entry of an executor; usual are some hundred bytes."""
MAX_LABELS = 64
"""Largest number of labels of an executor; usual are two."""
MAX_NAME_BYTES = 255
"""Largest size of a service, a failure domain or a label, as of a key."""
MAX_REASON_LENGTH = 200
"""Characters of an error that are kept; it may quote a whole document."""
MAX_VERSION = (1 << 63) - 1
"""Largest version of a configuration, as it is sent between instances."""
EVACUATION_PREFIX = "evacuate/"
"""Begin of the keys that request the evacuation of a failure domain."""
EXECUTOR_NAME = re.compile(r"[!-~]+")
"""Names that can be sent in a header: visible ASCII characters."""

JOB_NAME = re.compile(r"[0-9a-fA-F]{16}")

UNSUPPORTED_STEP_FIELDS = {
    "gang": "gang-scheduled tasks",
    "rack_local": "tasks that must share a rack",
    "long_running": "tasks that run until they are cancelled",
    "fills": "tasks that fill unused capacity",
    "max_unavailable": "tasks with a bound on interruptions",
}
"""Step fields that are not supported, and the feature that each requests."""
UNSUPPORTED_JOB_FIELDS = {
    "repeat_count": "scheduled runs",
    "first_run_ms": "scheduled runs",
}
"""The same for the fields of a job."""


def is_job_name(text: str) -> bool:
    """Return whether a text is an identifier of a job."""
    return JOB_NAME.fullmatch(text) is not None


def parse_configuration(raw: bytes) -> routes.RouteTable:
    """Parse a published configuration.

    Raises
    ------
    BadDocument
        If a field is missing or has the wrong type.
    """
    try:
        doc = json.loads(raw)
        parsed = [_parse_route(route) for route in doc["routes"]]
        services = [
            str(service["name"]) for service in doc.get("services", [])
        ]
        version = _check_range(int(doc["version"]), MAX_VERSION)
        return routes.make_table(version, parsed, services)
    except errors.MALFORMED as exc:
        raise errors.BadDocument(_describe("configuration", exc)) from exc


def parse_evacuation(key: str) -> str:
    """Return the failure domain that a key requests to evacuate.

    The value only tells whether the request is in force: it is while there
    is any.  A value with a fault must not end an evacuation.

    Raises
    ------
    BadDocument
        If the key does not name a domain.
    """
    try:
        name = _parse_name(key.removeprefix(EVACUATION_PREFIX))
        if not name:
            raise ValueError("the name of the domain is empty")
    except errors.MALFORMED as exc:
        raise errors.BadDocument(_describe("evacuation", exc)) from exc
    return name


def _parse_route(doc):
    policy = batches.RoutePolicy(
        _parse_text(doc["name"]),
        _parse_text(doc["service"]),
        _check_range(int(doc.get("priority", 0))),
        _check_range(int(doc.get("max_attempts", 1))),
        _check_range(float(doc.get("stretch", 1.0))),
        _check_range(float(doc.get("target_duration_ms", 0))) / 1000.0,
    )
    timeout = _check_range(float(doc.get("timeout_ms", 0))) / 1000.0
    return routes.Route(
        _parse_text(doc["host"]),
        _parse_text(doc["path_prefix"]),
        timeout,
        policy,
    )


def is_executor_name(key: str) -> bool:
    """Return whether the key of a record can be the name of an executor."""
    return (
        EXECUTOR_NAME.fullmatch(key) is not None and len(key) <= MAX_NAME_BYTES
    )


def parse_executor(name: str, raw: bytes) -> executors.Executor:
    """Parse the entry under which an executor registered itself.

    Raises
    ------
    BadDocument
        If a field is missing or has a wrong type or value.
    """
    try:
        if not EXECUTOR_NAME.fullmatch(name):
            raise ValueError("the name cannot be sent in a header")
        if len(raw) > MAX_ENTRY_BYTES:
            raise ValueError(f"the entry has {len(raw)} bytes")
        doc = json.loads(raw)
        state = doc["state"]
        if state not in (executors.READY, executors.DRAINING):
            raise ValueError(f"state {state!r}")
        capacity = doc["capacity"]
        return executors.Executor(
            name,
            _parse_name(doc["service"]),
            _parse_name(doc["zone"]),
            settings.parse_address(doc["addr"]),
            _parse_count(doc.get("born", 0), MAX_TIMESTAMP),
            state,
            parse_resources(capacity),
            _parse_labels(doc.get("labels", [])),
        )
    except errors.MALFORMED as exc:
        raise errors.BadDocument(_describe(f"executor {name!r}", exc)) from exc


def parse_member(name: str, raw: bytes) -> tuple[str, int]:
    """Parse the address under which an instance registered itself.

    Raises
    ------
    BadDocument
        If it is not an address.
    """
    try:
        return settings.parse_address(raw.decode())
    except ValueError as exc:
        raise errors.BadDocument(_describe(f"member {name!r}", exc)) from exc


def _parse_labels(labels):
    if not isinstance(labels, list) or len(labels) > MAX_LABELS:
        raise ValueError(f"labels is no list of at most {MAX_LABELS}")
    return tuple(_parse_name(label) for label in labels)


def parse_resources(doc: dict[str, Any]) -> executors.Resources:
    """Parse the resources that a task needs or an executor offers.

    Raises
    ------
    TypeError, ValueError
        If a number has another type, is negative or too large.
    """
    return executors.Resources(
        _parse_count(doc.get("cpu", 0)),
        _parse_count(doc.get("mem_mb", 0)),
        _parse_count(doc.get("gpu", 0)),
    )


def parse_job(body: dict[str, Any]) -> tuple[str, tuple[batches.Step, ...]]:
    """Parse the specification text and the steps of a submitted job.

    Raises
    ------
    BadDocument
        If a field is missing, has a wrong type or exceeds its limit.
    """
    try:
        spec = _parse_text(body.get("spec", ""))
        if len(spec.encode()) > MAX_SPEC_BYTES:
            raise ValueError(f"spec is longer than {MAX_SPEC_BYTES} bytes")
        phases = body["phases"]
        if not isinstance(phases, list) or not phases:
            raise TypeError("phases is not a non-empty list")
        steps = tuple(_parse_step(*phase) for phase in enumerate(phases))
    except errors.MALFORMED as exc:
        raise errors.BadDocument(_describe("job", exc)) from exc
    tasks = sum(step.count for step in steps)
    if tasks > MAX_TASKS:
        reason = f"job: {tasks} tasks; at most {MAX_TASKS} are allowed"
        raise errors.BadDocument(reason)
    return spec, steps


def _parse_step(number, doc):
    after = tuple(_parse_count(step) for step in doc.get("depends_on", []))
    if any(step >= number for step in after):
        raise ValueError(f"step {number} depends on {after!r}")
    count = _parse_count(doc["count"])
    if count < 1:
        raise ValueError(f"step {number} has {count} tasks")
    estimate = doc.get("est_runtime_ms", 0)
    if isinstance(estimate, bool) or not isinstance(estimate, int | float):
        raise TypeError(f"est_runtime_ms is not a number: {estimate!r}")
    estimate = _check_range(estimate)
    return batches.Step(
        count,
        parse_resources(doc),
        estimate / 1000.0,
        after,
        _parse_text(doc.get("required_label", "")),
        _parse_text(doc.get("affinity", "")),
        _parse_count(doc.get("max_per_server", 0)),
    )


def unsupported_feature(body: dict[str, Any]) -> str:
    """Return the first unsupported feature that a valid job requests.

    The result is an empty string if every feature is supported.
    """
    if not body.get("best_effort"):
        return "durable jobs"
    for field, feature in UNSUPPORTED_JOB_FIELDS.items():
        if body.get(field):
            return feature
    for step in body["phases"]:
        for field, feature in UNSUPPORTED_STEP_FIELDS.items():
            if step.get(field):
                return feature
    return ""


def _parse_count(value, limit=MAX_COUNT):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    return _check_range(value, limit)


def _check_range(value, limit=MAX_COUNT):
    if not 0 <= value <= limit:
        raise ValueError(f"{value!r} is not in the range 0 to {limit}")
    return value


def _parse_text(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    # A lone surrogate cannot be sent on to other tasks.
    value.encode()
    return value


def _parse_name(value):
    name = _parse_text(value)
    if len(name.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"a name is longer than {MAX_NAME_BYTES} bytes")
    return name


def _describe(what, exc):
    reason = repr(exc)
    if len(reason) > MAX_REASON_LENGTH:
        reason = f"{reason[:MAX_REASON_LENGTH]}..."
    return f"{what}: {reason}"
