"""Thrift structs and methods of the messages on links between instances.

New fields are optional, at the end, and have defaults, so that instances of
the version before can read them.
"""

from __future__ import annotations

from typing import NamedTuple

from thrift import Thrift

from cardamompath_core import evacuation
from cardamompath_core import executor_readings
from cardamompathd.peers import wire

__all__ = [
    "CANCELLATIONS",
    "CONFIGURATION",
    "CancellationsFields",
    "ConfigurationFields",
    "DROP",
    "DropFields",
    "ENDED",
    "EVACUATION",
    "EXECUTORS_ANSWER",
    "EXECUTORS_QUESTION",
    "EndedFields",
    "EvacuationFields",
    "ExecutorsAnswerFields",
    "ExecutorsQuestionFields",
    "HEARTBEAT",
    "HeartbeatFields",
    "LOST",
    "LossFields",
    "LossesFields",
    "METHODS",
    "OUTCOMES",
    "OutcomesFields",
    "PLAN",
    "PlanFields",
    "QUERY",
    "QUERY_ANSWER",
    "QueryAnswerFields",
    "QueryFields",
    "StepFields",
]


class HeartbeatFields(NamedTuple):
    """A heartbeat of a member."""

    name: str
    domain: str
    host: str
    port: int
    started: int
    leaving: int
    config_version: int
    known_addresses: list[str]
    """Each as ``host:port``."""
    thread_millicores: int = 0
    interval_ms: int = 100
    backlog_ms: int = 0
    shard_number: int = -1
    sent_ms: int = 0
    planner_until_ms: int = 0
    planner_term: int = 0
    planner_confirmed_ms: int = 0
    planner_heard_ms: int = 0
    planner_handover: int = -1
    executors_digest: int = 0
    evacuation_offset: int = evacuation.OFF.offset
    evacuation_digest: int = 0
    store_state: int = executor_readings.UNSUPPORTED
    room: bytes | None = None
    """See `room_codec`; absent if the sender reports none."""


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
    max_per_executor: int


class LossFields(NamedTuple):
    """A run that was lost with its executor."""

    step: int
    index: int
    executor: str
    incarnation: int
    host: str
    port: int
    aborted: int
    last_started: int
    alone: int
    crashed: int


class PlanFields(NamedTuple):
    """A batch for a planner."""

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
    time_left_us: int
    round: int
    shard_changed: int = 1
    permitted_us: int = 0
    term: int = 0
    ended_planner: str = ""
    losses: list[LossFields] = []
    origin_started: int = 0
    handover: int = 0
    seen_ms: int = 0
    cancelled: int = 0
    former_executors: list[int] = []


class DropFields(NamedTuple):
    """A batch whose result is no longer needed."""

    name: str
    origin: str
    origin_started: int = 0
    handover: int = 0


class EndedFields(NamedTuple):
    """The outcome of a batch."""

    name: str
    origin: str
    state: str
    reason: str
    retry_after_us: int
    planner: str
    handover: int = 0


class LossesFields(NamedTuple):
    """Runs of a batch that were lost with their executors."""

    batch: str
    losses: list[LossFields]


class QueryFields(NamedTuple):
    """A question whether an instance has a batch."""

    name: str
    cancel: int
    number: int
    origin: str
    host: str
    port: int


class QueryAnswerFields(NamedTuple):
    """The answer to it."""

    name: str
    number: int
    member: str
    member_started: int
    state: str


class CancellationsFields(NamedTuple):
    """Batches that were cancelled lately."""

    names: list[str]
    ages_ms: list[int]


class OutcomesFields(NamedTuple):
    """Batches that ended at another planner."""

    names: list[str]
    states: list[str]


class ConfigurationFields(NamedTuple):
    """A published version of the desired configuration."""

    version: int
    document: bytes


class EvacuationFields(NamedTuple):
    """The evacuated failure domains as of an offset."""

    offset: int
    domains: list[str]


class ExecutorsQuestionFields(NamedTuple):
    """A request to read the list of executors."""

    number: int
    since: int
    origin: str


class ExecutorsAnswerFields(NamedTuple):
    """One part of what was read."""

    number: int
    member: str
    readable: int
    since: int
    offset: int
    part: int
    parts: int
    keys: list[str]
    values: list[bytes]
    """The value of each key."""


_TEXT_LIST = (Thrift.TType.LIST, (Thrift.TType.STRING, "UTF8", False))
_I32_LIST = (Thrift.TType.LIST, (Thrift.TType.I32, None, False))
_I64_LIST = (Thrift.TType.LIST, (Thrift.TType.I64, None, False))
_BINARY_LIST = (Thrift.TType.LIST, (Thrift.TType.STRING, "BINARY", False))
wire.declare(
    HeartbeatFields,
    wire.TEXT,
    wire.TEXT,
    wire.TEXT,
    wire.I32,
    wire.I64,
    wire.I32,
    wire.I64,
    _TEXT_LIST,
    wire.I32,
    wire.I32,
    wire.I32,
    wire.I32,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I32,
    wire.BINARY,
)
wire.declare(
    StepFields,
    wire.I32,
    wire.I64,
    wire.I64,
    wire.I32,
    wire.I64,
    _I32_LIST,
    wire.TEXT,
    wire.TEXT,
    wire.I32,
)
wire.declare(
    LossFields,
    wire.I32,
    wire.I32,
    wire.TEXT,
    wire.I64,
    wire.TEXT,
    wire.I32,
    wire.I32,
    wire.I32,
    wire.I32,
    wire.I32,
)
_LOSS = (Thrift.TType.STRUCT, wire.nested(LossFields), False)
_LOSSES = (Thrift.TType.LIST, _LOSS)
_STEP = (Thrift.TType.STRUCT, wire.nested(StepFields), False)
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
    wire.I64,
    wire.I64,
    wire.TEXT,
    _LOSSES,
    wire.I64,
    wire.I64,
    wire.I64,
    wire.I32,
    _I64_LIST,
)
wire.declare(LossesFields, wire.TEXT, _LOSSES)
wire.declare(DropFields, wire.TEXT, wire.TEXT, wire.I64, wire.I64)
wire.declare(
    EndedFields,
    wire.TEXT,
    wire.TEXT,
    wire.TEXT,
    wire.TEXT,
    wire.I64,
    wire.TEXT,
    wire.I64,
)
wire.declare(
    QueryFields,
    wire.TEXT,
    wire.I32,
    wire.I64,
    wire.TEXT,
    wire.TEXT,
    wire.I32,
)
wire.declare(
    QueryAnswerFields, wire.TEXT, wire.I64, wire.TEXT, wire.I64, wire.TEXT
)
wire.declare(CancellationsFields, _TEXT_LIST, _I64_LIST)
wire.declare(OutcomesFields, _TEXT_LIST, _TEXT_LIST)
wire.declare(ConfigurationFields, wire.I64, wire.BINARY)
wire.declare(EvacuationFields, wire.I64, _TEXT_LIST)
wire.declare(
    ExecutorsQuestionFields,
    wire.I64,
    wire.I64,
    wire.TEXT,
)
wire.declare(
    ExecutorsAnswerFields,
    wire.I64,
    wire.TEXT,
    wire.I32,
    wire.I64,
    wire.I64,
    wire.I32,
    wire.I32,
    _TEXT_LIST,
    _BINARY_LIST,
)

HEARTBEAT = wire.Method("hello", HeartbeatFields, HeartbeatFields)
PLAN = wire.Method("plan", PlanFields, PlanFields)
DROP = wire.Method("drop", DropFields, DropFields)
ENDED = wire.Method("ended", EndedFields, EndedFields)
LOST = wire.Method("lost", LossesFields, LossesFields)
QUERY = wire.Method("query", QueryFields, QueryFields)
QUERY_ANSWER = wire.Method("found", QueryAnswerFields, QueryAnswerFields)
CANCELLATIONS = wire.Method(
    "cancelled", CancellationsFields, CancellationsFields
)
OUTCOMES = wire.Method("outcomes", OutcomesFields, OutcomesFields)
CONFIGURATION = wire.Method(
    "configuration", ConfigurationFields, ConfigurationFields
)
EVACUATION = wire.Method("evacuation", EvacuationFields, EvacuationFields)
EXECUTORS_QUESTION = wire.Method(
    "executors_asked", ExecutorsQuestionFields, ExecutorsQuestionFields
)
EXECUTORS_ANSWER = wire.Method(
    "executors_answered", ExecutorsAnswerFields, ExecutorsAnswerFields
)
METHODS = {
    method.name: method
    for method in (
        HEARTBEAT,
        PLAN,
        DROP,
        ENDED,
        LOST,
        QUERY,
        QUERY_ANSWER,
        CANCELLATIONS,
        OUTCOMES,
        CONFIGURATION,
        EVACUATION,
        EXECUTORS_QUESTION,
        EXECUTORS_ANSWER,
    )
}
