"""Messages about callers and their batches at one instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import cancellation_log

__all__ = [
    "AppendCancellation",
    "BatchQuery",
    "BatchQueryAnswered",
    "BatchesConfirmed",
    "CallersChecked",
    "CancelBatch",
    "CancellationsLogged",
    "CancellationsRead",
    "CancellationsReported",
    "CountWaiting",
    "FindBatch",
    "GetReadiness",
    "SubmitBatch",
    "UnwatchCaller",
    "WatchCaller",
    "WithdrawBatch",
]


class SubmitBatch(NamedTuple):
    """Run a batch for a caller; the reply is a `batches.Outcome`."""

    host: str
    path: str
    """Prefix of a route, followed by the name of the batch."""
    spec: str
    """Specification of the tasks, which the executors interpret."""
    steps: tuple[batches.Step, ...]
    timeout: float
    """Seconds for which the caller waits for the outcome."""
    reply_to: Any
    arrived_at: float
    """Earliest time at which the request can have arrived."""
    seen_at: float
    """When the caller was still there."""


class WatchCaller(NamedTuple):
    """Have a batch withdrawn once its caller has disconnected."""

    reply_to: Any
    is_disconnected: Callable[[], bool]


class UnwatchCaller(NamedTuple):
    """The caller that waits on `reply_to` got its answer."""

    reply_to: Any


class CallersChecked(NamedTuple):
    """Callers that were still there."""

    as_of: float
    waiting: tuple[Any, ...]
    """The `reply_to` of each of them."""


class BatchesConfirmed(NamedTuple):
    """The callers of the batches of this instance were seen."""

    seen_at: float
    """When each of them was still there."""
    handover: int
    """Number of the last hand-over that this is true of."""


class WithdrawBatch(NamedTuple):
    """The caller that waits on `reply_to` has disconnected."""

    reply_to: Any


class CancelBatch(NamedTuple):
    """Cancel a batch, at whichever instance it is.

    The reply is a `batches.Outcome`: ``cancelled``, ``unknown``, or why that
    cannot be told.
    """

    host: str
    path: str
    """Prefix of a route, also of one that was removed, followed by the name
    of the batch."""
    reply_to: Any


class FindBatch(NamedTuple):
    """Ask for the state of a batch, at whichever instance it is.

    The reply is a `batches.Outcome`.
    """

    host: str
    path: str
    reply_to: Any


class BatchQuery(NamedTuple):
    """Ask an instance whether it has a batch, or cancel it there.

    An instance that is to cancel a batch remembers that also if it does not
    have it.
    """

    name: str
    cancel: bool
    number: int
    """Number of the question at the instance that asks."""
    origin: str
    """Name of that instance."""
    address: tuple[str, int]
    """Its address."""
    state: str = ""
    """What the gateway of an instance tells its planner: the state of the
    batch there; empty if it has none."""


class BatchQueryAnswered(NamedTuple):
    """The answer to a `BatchQuery`."""

    name: str
    number: int
    member: str
    """Name of the instance that answers."""
    member_started: int
    """Start time of its process, in milliseconds since 1970."""
    state: str
    """``active``, ``cancelled``, how the batch has ended, or empty if the
    member does not know it."""


class CancellationsReported(NamedTuple):
    """Batches that were cancelled lately, for an instance that is new."""

    names: tuple[str, ...]
    ages: tuple[float, ...]
    """Seconds since each was cancelled."""


class AppendCancellation(NamedTuple):
    """Append a cancellation to the log that outlasts all instances."""

    name: str
    cancelled_at: float
    """In seconds of the clock of this instance."""


class CancellationsLogged(NamedTuple):
    """Cancellations were appended to the log, or given up."""

    appended: tuple[str, ...]
    dropped: tuple[str, ...]
    """Those that nobody would remember any more; the store did not answer
    for that long."""


class CancellationsRead(NamedTuple):
    """The log of cancellations was read at the start of this instance."""

    reading: cancellation_log.LogReading
    duration: float
    """Seconds from the start of the task until the log was read."""


class CountWaiting(NamedTuple):
    """Ask how many batches of a route have not started.

    The reply is the number, None if there is no such route, or a
    `batches.Outcome` if no routes are known yet.
    """

    host: str
    path: str
    reply_to: Any


class GetReadiness(NamedTuple):
    """Ask whether the instance is ready for requests of callers.

    The reply is the reason why it is not; an empty string if it is.
    """

    reply_to: Any
