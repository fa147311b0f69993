"""Wire forms of the messages on the links between instances."""

from __future__ import annotations

import functools
from typing import Any
from typing import NamedTuple

from thrift import Thrift

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import fleet
from cardamompathd.peers import errors
from cardamompathd.peers import wire

__all__ = [
    "decode",
    "encode",
]

HELLOS_KEPT = 2048
"""Signs of life that are kept encoded and decoded; most are the same as
the one before, and reading one anew costs as much as handling ten."""


class HelloFields(NamedTuple):
    """A sign of life."""

    name: str
    domain: str
    host: str
    port: int
    started: int
    leaving: int
    config_version: int
    known: list[str]
    """Addresses as ``host:port``."""
    power: int = 0
    interval_ms: int = 100
    backlog_ms: int = 0
    slot: int = -1


class StepFields(NamedTuple):
    """One step of a batch."""

    count: int
    cpu: int
    memory: int
    accelerators: int
    estimate_us: int
    after: list[int]
    label: str
    rack: str
    most_per_executor: int


class PlanFields(NamedTuple):
    """A batch for a planner; times in microseconds."""

    name: str
    spec: str
    steps: list[StepFields]
    route: str
    service: str
    priority: int
    max_attempts: int
    stretch_millis: int
    slack_us: int
    origin: str
    age_us: int
    left_us: int
    round: int
    moved: int = 1


class DropFields(NamedTuple):
    """A batch that is no longer needed."""

    name: str
    origin: str


class EndedFields(NamedTuple):
    """How a batch ended."""

    name: str
    origin: str
    state: str
    reason: str
    retry_after_us: int
    planner: str


class ConfigurationFields(NamedTuple):
    """A version of the desired configuration, as it was published."""

    version: int
    document: bytes


_TEXTS = (Thrift.TType.LIST, (Thrift.TType.STRING, "UTF8", False))
_NUMBERS = (Thrift.TType.LIST, (Thrift.TType.I32, None, False))
wire.declare(
    HelloFields,
    wire.TEXT,
    wire.TEXT,
    wire.TEXT,
    wire.I32,
    wire.I64,
    wire.I32,
    wire.I64,
    _TEXTS,
    wire.I32,
    wire.I32,
    wire.I32,
    wire.I32,
)
wire.declare(
    StepFields,
    wire.I32,
    wire.I64,
    wire.I64,
    wire.I32,
    wire.I64,
    _NUMBERS,
    wire.TEXT,
    wire.TEXT,
    wire.I32,
)
_STEP = (Thrift.TType.STRUCT, (StepFields, StepFields.thrift_spec), False)
wire.declare(
    PlanFields,
    wire.TEXT,
    wire.TEXT,
    (Thrift.TType.LIST, _STEP),
    wire.TEXT,
    wire.TEXT,
    wire.I32,
    wire.I32,
    wire.I64,
    wire.I64,
    wire.TEXT,
    wire.I64,
    wire.I64,
    wire.I32,
    wire.I32,
)
wire.declare(DropFields, wire.TEXT, wire.TEXT)
wire.declare(
    EndedFields,
    wire.TEXT,
    wire.TEXT,
    wire.TEXT,
    wire.TEXT,
    wire.I64,
    wire.TEXT,
)
wire.declare(ConfigurationFields, wire.I64, wire.BINARY)

_HELLO = wire.Method("hello", HelloFields, HelloFields)
_PLAN = wire.Method("plan", PlanFields, PlanFields)
_DROP = wire.Method("drop", DropFields, DropFields)
_ENDED = wire.Method("ended", EndedFields, EndedFields)
_CONFIGURATION = wire.Method(
    "configuration", ConfigurationFields, ConfigurationFields
)
_METHODS = {
    one.name: one for one in (_HELLO, _PLAN, _DROP, _ENDED, _CONFIGURATION)
}
_HELLO_START = wire.encode_start(_HELLO)


def encode(msg: Any) -> bytes:
    """Return the bytes of a message for another instance."""
    if isinstance(msg, fleet.Heartbeat):
        return _encode_hello(msg)
    return _encode(msg)


@functools.lru_cache(HELLOS_KEPT)
def _encode_hello(msg):
    return _encode(msg)


def _encode(msg):
    method, convert = _ENCODERS[type(msg)]
    return wire.encode_call(method, convert(msg))


def decode(raw: bytes) -> messages.Send:
    """Read a message of another instance and whom it is for.

    Raises
    ------
    BadMessage
        If it cannot be read.
    """
    if raw.startswith(_HELLO_START):
        return _decode_hello(raw)
    return _decode(raw)


@functools.lru_cache(HELLOS_KEPT)
def _decode_hello(raw):
    return _decode(raw)


def _decode(raw):
    method, fields = wire.decode_call(raw, _METHODS)
    to, convert = _DECODERS[method.name]
    try:
        return messages.Send(to, convert(fields))
    except (AttributeError, TypeError, ValueError) as exc:
        raise errors.BadMessage(f"{method.name}: {exc!r}") from exc


def _micros(seconds):
    return round(seconds * 1e6)


def _hello_fields(msg):
    member = msg.member
    return HelloFields(
        member.name,
        member.domain,
        *member.address,
        member.started,
        int(member.leaving),
        msg.config_version,
        [f"{host}:{port}" for host, port in msg.known_addresses],
        member.power,
        round(msg.interval * 1000.0),
        round(msg.backlog * 1000.0),
        member.slot,
    )


def _read_hello(fields):
    known = [one.rpartition(":") for one in fields.known]
    return pool_messages.HeartbeatReceived(
        planner_election.Member(
            fields.name,
            fields.domain,
            (fields.host, fields.port),
            fields.started,
            bool(fields.leaving),
            fields.power,
            fields.slot,
        ),
        fields.config_version,
        tuple((host, int(port)) for host, _, port in known),
        fields.interval_ms / 1000.0,
        fields.backlog_ms / 1000.0,
    )


def _plan_fields(msg):
    batch = msg.batch
    terms = batch.terms
    return PlanFields(
        batch.name,
        batch.spec,
        [_step_fields(one) for one in batch.steps],
        terms.route,
        terms.service,
        terms.priority,
        terms.max_attempts,
        round(terms.stretch * 1000.0),
        _micros(terms.slack),
        msg.origin,
        _micros(msg.age),
        _micros(msg.time_left),
        msg.round,
        int(msg.moved),
    )


def _step_fields(step):
    return StepFields(
        step.count,
        *step.room,
        _micros(step.estimate),
        list(step.after),
        step.label,
        step.rack,
        step.most_per_executor,
    )


def _read_plan(fields):
    steps = tuple(
        batches.Step(
            one.count,
            executors.Room(one.cpu, one.memory, one.accelerators),
            one.estimate_us / 1e6,
            tuple(one.after),
            one.label,
            one.rack,
            one.most_per_executor,
        )
        for one in fields.steps
    )
    terms = batches.Terms(
        fields.route,
        fields.service,
        fields.priority,
        fields.max_attempts,
        fields.stretch_millis / 1000.0,
        fields.slack_us / 1e6,
    )
    return pool_messages.PlanBatch(
        batches.Batch(fields.name, fields.spec, steps, terms),
        fields.origin,
        fields.age_us / 1e6,
        fields.left_us / 1e6,
        fields.round,
        bool(fields.moved),
    )


def _read_drop(fields):
    return pool_messages.DropBatch(fields.name, fields.origin)


def _ended_fields(msg):
    outcome = msg.outcome
    return EndedFields(
        msg.name,
        msg.origin,
        outcome.state,
        outcome.reason,
        _micros(outcome.retry_after),
        msg.planner,
    )


def _read_ended(fields):
    outcome = batches.Outcome(
        fields.state, fields.reason, fields.retry_after_us / 1e6
    )
    return pool_messages.BatchEnded(
        fields.name, fields.origin, outcome, fields.planner
    )


def _read_configuration(fields):
    return pool_messages.ConfigurationOffered(fields.version, fields.document)


_ENCODERS = {
    fleet.Heartbeat: (_HELLO, _hello_fields),
    pool_messages.PlanBatch: (_PLAN, _plan_fields),
    pool_messages.DropBatch: (_DROP, lambda msg: DropFields(*msg)),
    pool_messages.BatchEnded: (_ENDED, _ended_fields),
    pool_messages.ConfigurationOffered: (
        _CONFIGURATION,
        lambda msg: ConfigurationFields(*msg),
    ),
}
_DECODERS = {
    "hello": (pool_messages.FLEET, _read_hello),
    "plan": (pool_messages.PLANNER, _read_plan),
    "drop": (pool_messages.PLANNER, _read_drop),
    "ended": (pool_messages.GATEWAY, _read_ended),
    "configuration": (pool_messages.CONFIGURATIONS, _read_configuration),
}
