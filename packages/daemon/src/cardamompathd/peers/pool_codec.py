"""Codec of the messages on the links between instances."""

from __future__ import annotations

import functools
import ipaddress
from typing import Any

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import executor_readings
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.peers import errors
from cardamompathd.peers import pool_fields
from cardamompathd.peers import room_codec
from cardamompathd.peers import wire

__all__ = [
    "decode",
    "encode",
]


PORTS = range(1, 1 << 16)
"""Valid TCP port numbers."""
MAX_TASKS = 10_000
"""Largest number of tasks of a batch; several times that of a job."""
MAX_BACKLOG_MS = (1 << 31) - 1
"""Largest backlog in milliseconds that a heartbeat carries."""
MAX_CHECKED_ADDRESSES = 4096
"""Addresses that are not checked again; more than the members of a fleet."""


def encode(msg: Any) -> bytes:
    """Encode a message for another instance."""
    method, encode_fields = _ENCODERS[type(msg)]
    return wire.encode_call(method, encode_fields(msg))


def decode(raw: bytes) -> messages.Send:
    """Decode a message of another instance and address it to its task.

    Raises
    ------
    BadMessage
        If the bytes are not a valid message.
    """
    method, fields = wire.decode_call(raw, pool_fields.METHODS)
    to, decode_fields = _DECODERS[method.name]
    try:
        return messages.Send(to, decode_fields(fields))
    except (AttributeError, TypeError, ValueError) as exc:
        raise errors.BadMessage(f"{method.name}: {exc!r}") from exc


def _to_micros(seconds):
    return round(seconds * 1e6)


def _encode_heartbeat(msg):
    member = msg.member
    return pool_fields.HeartbeatFields(
        member.name,
        member.domain,
        *member.address,
        member.started,
        int(member.leaving),
        msg.config_version,
        [f"{host}:{port}" for host, port in msg.known_addresses],
        member.thread_millicores,
        round(msg.interval * 1000.0),
        min(round(msg.backlog * 1000.0), MAX_BACKLOG_MS),
        member.shard_number,
        # Rounded down: a permission must not end later than it was given.
        int(msg.sent_at * 1000.0),
        int(msg.planner_until * 1000.0),
        msg.planner_term,
        int(msg.planner_confirmed_at * 1000.0),
        int(msg.planner_heard_at * 1000.0),
        msg.planner_handover,
        msg.executors_digest,
        msg.evacuation_offset,
        msg.evacuation_digest,
        msg.store_state,
        room_codec.encode(msg.room, msg.sent_at),
    )


def _decode_heartbeat(fields):
    addresses = [text.rpartition(":") for text in fields.known_addresses]
    return pool_messages.HeartbeatReceived(
        planner_election.Member(
            fields.name,
            fields.domain,
            _check_address(fields.host, fields.port),
            fields.started,
            bool(fields.leaving),
            fields.thread_millicores,
            fields.shard_number,
        ),
        fields.config_version,
        tuple(_check_address(host, int(port)) for host, _, port in addresses),
        fields.interval_ms / 1000.0,
        fields.backlog_ms / 1000.0,
        fields.sent_ms / 1000.0,
        fields.planner_until_ms / 1000.0,
        fields.planner_term,
        _confirmed_ms(fields) / 1000.0,
        fields.planner_heard_ms / 1000.0,
        fields.planner_handover,
        fields.executors_digest,
        fields.evacuation_offset,
        fields.evacuation_digest,
        fields.store_state,
        *room_codec.decode(fields.room, fields.sent_ms / 1000.0),
    )


@functools.lru_cache(MAX_CHECKED_ADDRESSES)
def _check_address(host, port):
    ipaddress.IPv4Address(host)
    if port not in PORTS:
        raise ValueError(f"port {port}")
    return host, port


def _confirmed_ms(fields):
    """Return what a permission rests on; earlier versions do not tell it."""
    is_told = fields.planner_confirmed_ms or fields.planner_heard_ms
    if is_told or not fields.planner_until_ms:
        return fields.planner_confirmed_ms
    return fields.planner_until_ms - int(fleet_state.HEARTBEAT_TIMEOUT * 1e3)


def _encode_plan(msg):
    batch = msg.batch
    policy = batch.policy
    return pool_fields.PlanFields(
        batch.name,
        batch.spec,
        [_encode_step(step) for step in batch.steps],
        policy.route,
        policy.service,
        policy.priority,
        policy.max_attempts,
        round(policy.stretch * 1000.0),
        _to_micros(policy.slack),
        msg.origin,
        _to_micros(msg.age),
        _to_micros(msg.time_left),
        msg.round,
        int(msg.shard_changed),
        _to_micros(msg.permitted_time),
        msg.term,
        msg.ended_planner,
        [_encode_loss(loss) for loss in msg.losses],
        msg.origin_started,
        msg.handover,
        int(msg.seen_at * 1000.0),
        int(msg.cancelled),
        list(msg.former_executors),
    )


def _encode_step(step):
    return pool_fields.StepFields(
        step.count,
        *step.resources,
        _to_micros(step.estimate),
        list(step.after),
        step.label,
        step.rack,
        step.max_per_executor,
    )


def _decode_plan(fields):
    steps = tuple(
        batches.Step(
            step.count,
            executors.Resources(step.cpu, step.memory, step.accelerators),
            step.estimate_us / 1e6,
            tuple(step.after),
            step.label,
            step.rack,
            step.max_per_executor,
        )
        for step in fields.steps
    )
    _check_size([step.count for step in steps])
    policy = batches.RoutePolicy(
        fields.route,
        fields.service,
        fields.priority,
        fields.max_attempts,
        fields.stretch_millis / 1000.0,
        fields.slack_us / 1e6,
    )
    return pool_messages.PlanBatch(
        batches.Batch(fields.name, fields.spec, steps, policy),
        fields.origin,
        fields.age_us / 1e6,
        fields.time_left_us / 1e6,
        fields.round,
        bool(fields.shard_changed),
        fields.permitted_us / 1e6,
        fields.term,
        fields.ended_planner,
        _decode_losses(fields.losses),
        fields.origin_started,
        fields.handover,
        fields.seen_ms / 1000.0,
        bool(fields.cancelled),
        tuple(fields.former_executors),
    )


def _encode_loss(loss):
    return pool_fields.LossFields(
        loss.step,
        loss.index,
        loss.executor,
        loss.incarnation,
        *loss.address,
        int(loss.aborted),
        int(loss.last_started),
        int(loss.alone),
        int(loss.crashed),
    )


def _decode_losses(rows):
    return tuple(
        pool_messages.RunLoss(
            row.step,
            row.index,
            row.executor,
            row.incarnation,
            (row.host, row.port),
            bool(row.aborted),
            bool(row.last_started),
            bool(row.alone),
            bool(row.crashed),
        )
        for row in rows
    )


def _encode_reported_losses(msg):
    rows = [_encode_loss(loss) for loss in msg.losses]
    return pool_fields.LossesFields(msg.batch, rows)


def _decode_reported_losses(fields):
    return pool_messages.LossesReported(
        fields.batch, _decode_losses(fields.losses)
    )


def _check_size(counts):
    if min(counts, default=0) < 1 or sum(counts) > MAX_TASKS:
        raise ValueError(f"steps of {counts} tasks")


def _decode_drop(fields):
    return pool_messages.DropBatch(*fields)


def _encode_ended(msg):
    outcome = msg.outcome
    return pool_fields.EndedFields(
        msg.name,
        msg.origin,
        outcome.state,
        outcome.reason,
        _to_micros(outcome.retry_after),
        msg.planner,
        msg.handover,
    )


def _decode_ended(fields):
    outcome = batches.Outcome(
        fields.state, fields.reason, fields.retry_after_us / 1e6
    )
    return pool_messages.BatchEnded(
        fields.name,
        fields.origin,
        outcome,
        fields.planner,
        fields.handover,
    )


def _encode_query(msg):
    return pool_fields.QueryFields(
        msg.name, int(msg.cancel), msg.number, msg.origin, *msg.address
    )


def _decode_query(fields):
    return pool_messages.BatchQuery(
        fields.name,
        bool(fields.cancel),
        fields.number,
        fields.origin,
        _check_address(fields.host, fields.port),
    )


def _decode_query_answer(fields):
    return pool_messages.BatchQueryAnswered(*fields)


def _encode_cancellations(msg):
    ages = [round(age * 1000.0) for age in msg.ages]
    return pool_fields.CancellationsFields(list(msg.names), ages)


def _decode_cancellations(fields):
    if len(fields.names) != len(fields.ages_ms):
        raise ValueError(f"{len(fields.ages_ms)} ages")
    ages = tuple(age / 1000.0 for age in fields.ages_ms)
    return pool_messages.CancellationsReported(tuple(fields.names), ages)


def _encode_outcomes(msg):
    return pool_fields.OutcomesFields(list(msg.names), list(msg.states))


def _decode_outcomes(fields):
    if len(fields.names) != len(fields.states):
        raise ValueError(f"{len(fields.states)} states")
    if not set(fields.states) <= {batches.COMPLETE, batches.FAILED}:
        raise ValueError(f"states {set(fields.states)!r}")
    return pool_messages.OutcomesReported(
        tuple(fields.names), tuple(fields.states)
    )


def _decode_configuration(fields):
    return pool_messages.ConfigurationOffered(fields.version, fields.document)


def _encode_evacuation(msg):
    known = msg.evacuation
    return pool_fields.EvacuationFields(known.offset, list(known.domains))


def _decode_evacuation(fields):
    # The gateway checks it; closing the link would lose heartbeats.
    known = evacuation.Evacuation(fields.offset, tuple(fields.domains))
    return pool_messages.EvacuationRead(known)


def _encode_executors_question(msg):
    return pool_fields.ExecutorsQuestionFields(
        msg.number, msg.since, msg.origin
    )


def _decode_executors_question(fields):
    return pool_messages.ExecutorsAsked(*fields)


def _encode_executors_answer(msg):
    answer = msg.answer
    return pool_fields.ExecutorsAnswerFields(
        answer.number,
        answer.member,
        int(answer.is_readable),
        answer.since,
        answer.offset,
        answer.part,
        answer.parts,
        [entry.key for entry in answer.entries],
        [entry.value for entry in answer.entries],
    )


def _decode_executors_answer(fields):
    if len(fields.keys) != len(fields.values):
        raise ValueError(f"{len(fields.values)} values")
    # The planner checks it; closing the link would lose heartbeats.
    pairs = zip(fields.keys, fields.values, strict=True)
    answer = executor_readings.Answer(
        fields.number,
        fields.member,
        bool(fields.readable),
        fields.since,
        fields.offset,
        fields.part,
        fields.parts,
        tuple(executor_readings.Entry(*pair) for pair in pairs),
    )
    return pool_messages.ExecutorsAnswered(answer)


_ENCODERS = {
    fleet_state.Heartbeat: (pool_fields.HEARTBEAT, _encode_heartbeat),
    pool_messages.PlanBatch: (pool_fields.PLAN, _encode_plan),
    pool_messages.DropBatch: (
        pool_fields.DROP,
        lambda msg: pool_fields.DropFields(*msg),
    ),
    pool_messages.BatchEnded: (pool_fields.ENDED, _encode_ended),
    pool_messages.LossesReported: (pool_fields.LOST, _encode_reported_losses),
    pool_messages.BatchQuery: (pool_fields.QUERY, _encode_query),
    pool_messages.BatchQueryAnswered: (
        pool_fields.QUERY_ANSWER,
        lambda msg: pool_fields.QueryAnswerFields(*msg),
    ),
    pool_messages.CancellationsReported: (
        pool_fields.CANCELLATIONS,
        _encode_cancellations,
    ),
    pool_messages.OutcomesReported: (pool_fields.OUTCOMES, _encode_outcomes),
    pool_messages.ConfigurationOffered: (
        pool_fields.CONFIGURATION,
        lambda msg: pool_fields.ConfigurationFields(*msg),
    ),
    pool_messages.EvacuationRead: (pool_fields.EVACUATION, _encode_evacuation),
    pool_messages.ExecutorsAsked: (
        pool_fields.EXECUTORS_QUESTION,
        _encode_executors_question,
    ),
    pool_messages.ExecutorsAnswered: (
        pool_fields.EXECUTORS_ANSWER,
        _encode_executors_answer,
    ),
}
_DECODERS = {
    "hello": (pool_messages.FLEET, _decode_heartbeat),
    "plan": (pool_messages.PLANNER, _decode_plan),
    "drop": (pool_messages.PLANNER, _decode_drop),
    "ended": (pool_messages.GATEWAY, _decode_ended),
    "lost": (pool_messages.GATEWAY, _decode_reported_losses),
    "query": (pool_messages.GATEWAY, _decode_query),
    "found": (pool_messages.GATEWAY, _decode_query_answer),
    "cancelled": (pool_messages.GATEWAY, _decode_cancellations),
    "outcomes": (pool_messages.PLANNER, _decode_outcomes),
    "configuration": (pool_messages.CONFIGURATIONS, _decode_configuration),
    "evacuation": (pool_messages.GATEWAY, _decode_evacuation),
    "executors_asked": (pool_messages.PLANNER, _decode_executors_question),
    "executors_answered": (pool_messages.PLANNER, _decode_executors_answer),
}
