"""OpenTelemetry metrics, read from the state of the controllers.

The path of a task touches no metric: instruments are observed when they
are exported, from the status that the controllers give.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Literal
from typing import NamedTuple

import prometheus_client
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

__all__ = [
    "Exporter",
    "Instrument",
    "PROCESS_INSTRUMENTS",
    "ReadStatus",
    "start",
    "start_scrape",
]

METER = "cardamompathd"

CONSOLE_INTERVAL = 60_000.0
"""Milliseconds between exports to the console."""

ReadStatus = Callable[[], Mapping[str, Any]]
"""Returns the body of ``GET /v1/status``."""


class Instrument(NamedTuple):
    """One metric and the function that reads it from the status."""

    kind: Literal["counter", "gauge"]
    name: str
    unit: str
    help: str
    observe: Callable[[dict[str, Any]], list[tuple[float, dict[str, str]]]]


class Exporter(NamedTuple):
    """Where the metrics go."""

    scrape: Callable[[], str]
    """Returns the page for a scrape; empty with another exporter."""
    stop: Callable[[], None]


def start(kind: str, read_status: ReadStatus) -> Exporter:
    """Start exporting metrics.

    Parameters
    ----------
    kind : str
        ``scrape``, ``console`` or ``none``.
    read_status : callable
        Returns the status that the instruments read; asked once for
        each export of an instrument.
    """
    if kind == "none":
        return Exporter(lambda: "", lambda: None)
    if kind == "console":
        reader = export.PeriodicExportingMetricReader(
            export.ConsoleMetricExporter(), CONSOLE_INTERVAL
        )
        provider = _make_provider(reader, read_status, _INSTRUMENTS)
        return Exporter(lambda: "", _make_stop(provider))
    return start_scrape(_INSTRUMENTS, read_status)


def start_scrape(
    instruments: Sequence[Instrument], read_status: ReadStatus = dict
) -> Exporter:
    """Start exporting instruments on a page for a scrape."""
    registry = prometheus_client.CollectorRegistry()
    reader = prometheus.PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=registry
    )
    provider = _make_provider(reader, read_status, instruments)

    def scrape() -> str:
        return prometheus_client.generate_latest(registry).decode()

    return Exporter(scrape, _make_stop(provider))


def _make_stop(provider):
    running = [provider]

    def stop() -> None:
        while running:
            running.pop().shutdown()

    return stop


def _make_provider(reader, read_status, instruments):
    provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
    meter = provider.get_meter(METER)
    creators = {
        "counter": meter.create_observable_counter,
        "gauge": meter.create_observable_gauge,
    }
    for one in instruments:
        creators[one.kind](
            one.name,
            [_make_callback(one.observe, read_status)],
            unit=one.unit,
            description=one.help,
        )
    return provider


def _make_callback(observe, read_status):
    def callback(options):
        return [
            api.Observation(value, labels)
            for value, labels in observe(read_status())
        ]

    return callback


def _submissions(status):
    return [
        (one["count"], {"outcome": one["outcome"], "code": one["code"]})
        for one in status["submissions"]["outcomes"]
    ]


def _tasks(status):
    tasks = status["submissions"]["tasks"]
    return [(count, {"verdict": verdict}) for verdict, count in tasks.items()]


def _in_flight(status):
    flying = status["backends"]["in_flight"]
    return [(count, {"backend": name}) for name, count in flying.items()]


def _peer_bytes(status):
    ways = ("sent", "received")
    return [(status["peers"][way], {"direction": way}) for way in ways]


def _resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as stream:
        pages = int(stream.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _processor_seconds():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


PROCESS_INSTRUMENTS = (
    Instrument(
        "gauge",
        "cardamompath.resident_memory",
        "By",
        "Resident memory of the process.",
        lambda _: [(_resident_bytes(), {})],
    ),
    Instrument(
        "counter",
        "cardamompath.processor",
        "s",
        "Processor time of the process.",
        lambda _: [(_processor_seconds(), {})],
    ),
)

_INSTRUMENTS = (
    Instrument(
        "counter",
        "cardamompath.submissions",
        "",
        "Submissions that ended, by outcome and code.",
        _submissions,
    ),
    Instrument(
        "counter",
        "cardamompath.tasks",
        "",
        "Tasks of ended submissions, by what is known of them.",
        _tasks,
    ),
    Instrument(
        "gauge",
        "cardamompath.unanswered",
        "",
        "Jobs without an answer.",
        lambda status: [(status["jobs"]["unanswered"], {})],
    ),
    Instrument(
        "gauge",
        "cardamompath.queued",
        "",
        "Tasks in the queue.",
        lambda status: [(status["backends"]["queued"], {})],
    ),
    Instrument(
        "gauge",
        "cardamompath.in_flight",
        "",
        "Tasks in flight, by backend server.",
        _in_flight,
    ),
    Instrument(
        "gauge",
        "cardamompath.revision",
        "",
        "Revision of the configuration in force.",
        lambda status: [(status["revision"], {})],
    ),
    Instrument(
        "counter",
        "cardamompath.peer_transfer",
        "By",
        "Bytes of calls between instances, by direction.",
        _peer_bytes,
    ),
    *PROCESS_INSTRUMENTS,
)
