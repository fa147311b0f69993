"""Documents of the operator and of executors, read into our types."""

from __future__ import annotations

import json
from typing import Any

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import routes
from cardamompathd.platform import errors
from cardamompathd.platform import settings

__all__ = [
    "read_configuration",
    "read_executor",
    "read_room",
    "read_steps",
    "unserved",
]

MOST_TASKS = 840
"""Most tasks of a batch, the size that the users plan for."""
MOST_SPEC = 4000
"""Most bytes of the text that tasks get."""

UNSERVED_STEP = {
    "gang": "tasks that work only together",
    "rack_local": "tasks that share a rack",
    "long_running": "tasks that run until they are cancelled",
    "fills": "tasks that fill unused capacity",
    "max_unavailable": "tasks with bounded interruptions",
}
"""Fields of a step that are refused, and what they ask for."""
UNSERVED_JOB = {
    "repeat_count": "scheduled runs",
    "first_run_ms": "scheduled runs",
}


def read_configuration(raw: bytes) -> routes.RouteTable:
    """Read a published configuration.

    Raises
    ------
    BadDocument
        If it does not have its form.
    """
    try:
        doc = json.loads(raw)
        found = [_read_route(one) for one in doc["routes"]]
        services = [str(one["name"]) for one in doc.get("services", [])]
        return routes.make_table(int(doc["version"]), found, services)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise errors.BadDocument(f"configuration: {exc!r}") from exc


def _read_route(one):
    terms = batches.RoutePolicy(
        one["name"],
        one["service"],
        int(one.get("priority", 0)),
        int(one.get("max_attempts", 1)),
        float(one.get("stretch", 1.0)),
        float(one.get("target_duration_ms", 0)) / 1000.0,
    )
    timeout = float(one.get("timeout_ms", 0)) / 1000.0
    return routes.Route(one["host"], one["path_prefix"], timeout, terms)


def read_executor(name: str, raw: bytes) -> executors.Executor:
    """Read what an executor registered about itself.

    Raises
    ------
    BadDocument
        If it names no executor that can be used.
    """
    try:
        doc = json.loads(raw)
        state = doc["state"]
        if state not in (executors.READY, executors.DRAINING):
            raise ValueError(f"state {state!r}")
        room = doc["capacity"]
        return executors.Executor(
            name,
            _text(doc["service"]),
            _text(doc["zone"]),
            settings.parse_address(doc["addr"]),
            _whole(doc.get("born", 0)),
            state,
            read_room(room),
            tuple(_text(one) for one in doc.get("labels", [])),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise errors.BadDocument(f"executor {name!r}: {exc!r}") from exc


def read_room(doc: dict[str, Any]) -> executors.Resources:
    """Read what a task takes, or what an executor has.

    Raises
    ------
    TypeError, ValueError
        If a number has another type or is negative.
    """
    return executors.Resources(
        _whole(doc.get("cpu", 0)),
        _whole(doc.get("mem_mb", 0)),
        _whole(doc.get("gpu", 0)),
    )


def read_steps(body: dict[str, Any]) -> tuple[str, tuple[batches.Step, ...]]:
    """Read the text and the steps of a submitted batch.

    Raises
    ------
    BadDocument
        If the body does not have its form.
    """
    try:
        spec = _text(body.get("spec", ""))
        if len(spec.encode()) > MOST_SPEC:
            raise ValueError(f"spec is longer than {MOST_SPEC} bytes")
        phases = body["phases"]
        if not isinstance(phases, list) or not phases:
            raise TypeError("phases is not a list with an entry")
        steps = tuple(_read_step(*one) for one in enumerate(phases))
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise errors.BadDocument(f"job: {exc!r}") from exc
    tasks = sum(one.count for one in steps)
    if tasks > MOST_TASKS:
        reason = f"job: {tasks} tasks; at most {MOST_TASKS} are taken"
        raise errors.BadDocument(reason)
    return spec, steps


def _read_step(number, one):
    after = tuple(_whole(before) for before in one.get("depends_on", []))
    if any(before >= number for before in after):
        raise ValueError(f"step {number} depends on {after!r}")
    count = _whole(one["count"])
    if count < 1:
        raise ValueError(f"step {number} has {count} tasks")
    estimate = one.get("est_runtime_ms", 0)
    if isinstance(estimate, bool) or not isinstance(estimate, int | float):
        raise TypeError(f"est_runtime_ms is {estimate!r}")
    return batches.Step(
        count,
        read_room(one),
        estimate / 1000.0,
        after,
        _text(one.get("required_label", "")),
        _text(one.get("affinity", "")),
        _whole(one.get("max_per_server", 0)),
    )


def unserved(body: dict[str, Any]) -> str:
    """Return what a valid job asks for that is not served, if anything."""
    if not body.get("best_effort"):
        return "jobs that are kept"
    for field, what in UNSERVED_JOB.items():
        if body.get(field):
            return what
    for step in body["phases"]:
        for field, what in UNSERVED_STEP.items():
            if step.get(field):
                return what
    return ""


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is no whole number")
    if value < 0:
        raise ValueError(f"{value!r} is negative")
    return value


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value
