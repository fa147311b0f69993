"""OpenTelemetry metrics, read from the status of the controllers.

Dispatching a task updates no metric: instruments are observed when they
are exported, from the status that the controllers report.
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

METER_NAME = "cardamompathd"

CONSOLE_INTERVAL_MS = 60_000.0
"""Time between exports to the console."""

ReadStatus = Callable[[], Mapping[str, Any]]
"""Returns the body of ``GET /v1/status``."""


class Instrument(NamedTuple):
    """A metric and the function that reads it from the status."""

    kind: Literal["counter", "gauge"]
    name: str
    unit: str
    help: str
    observe: Callable[[dict[str, Any]], list[tuple[float, dict[str, str]]]]
    """Returns the values, each with its labels."""


class Exporter(NamedTuple):
    """A running exporter of metrics."""

    scrape: Callable[[], str]
    """Returns the metrics page; empty unless the exporter is ``scrape``."""
    stop: Callable[[], None]


def start(kind: str, read_status: ReadStatus) -> Exporter:
    """Start to export metrics.

    Parameters
    ----------
    kind : str
        ``scrape``, ``console`` or ``none``.
    read_status : callable
        Returns the status that the instruments read; called once for
        each export of an instrument.
    """
    if kind == "none":
        return Exporter(lambda: "", lambda: None)
    if kind == "console":
        reader = export.PeriodicExportingMetricReader(
            export.ConsoleMetricExporter(), CONSOLE_INTERVAL_MS
        )
        provider = _make_provider(reader, read_status, _INSTRUMENTS)
        return Exporter(lambda: "", _make_stop(provider))
    return start_scrape(_INSTRUMENTS, read_status)


def start_scrape(
    instruments: Sequence[Instrument], read_status: ReadStatus = dict
) -> Exporter:
    """Start to export instruments on a metrics page."""
    registry = prometheus_client.CollectorRegistry()
    reader = prometheus.PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=registry
    )
    provider = _make_provider(reader, read_status, instruments)

    def scrape() -> str:
        return prometheus_client.generate_latest(registry).decode()

    return Exporter(scrape, _make_stop(provider))


def _make_stop(provider):
    # Only the first call of `stop` shuts the provider down.
    running_providers = [provider]

    def stop() -> None:
        while running_providers:
            running_providers.pop().shutdown()

    return stop


def _make_provider(reader, read_status, instruments):
    provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
    meter = provider.get_meter(METER_NAME)
    creators = {
        "counter": meter.create_observable_counter,
        "gauge": meter.create_observable_gauge,
    }
    for instrument in instruments:
        creators[instrument.kind](
            instrument.name,
            [_make_callback(instrument.observe, read_status)],
            unit=instrument.unit,
            description=instrument.help,
        )
    return provider


def _make_callback(observe, read_status):
    def callback(options):
        return [
            api.Observation(value, labels)
            for value, labels in observe(read_status())
        ]

    return callback


def _observe_submissions(status):
    return [
        (row["count"], {"outcome": row["outcome"], "code": row["code"]})
        for row in status["submissions"]["outcomes"]
    ]


def _observe_tasks(status):
    tasks = status["submissions"]["tasks"]
    return [(count, {"verdict": verdict}) for verdict, count in tasks.items()]


def _observe_in_flight(status):
    counts = status["backends"]["in_flight"]
    return [(count, {"backend": name}) for name, count in counts.items()]


def _observe_peer_bytes(status):
    directions = ("sent", "received")
    return [
        (status["peers"][direction], {"direction": direction})
        for direction in directions
    ]


def _read_resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as stream:
        pages = int(stream.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _read_processor_seconds():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


PROCESS_INSTRUMENTS = (
    Instrument(
        "gauge",
        "cardamompath.resident_memory",
        "By",
        "Resident memory of the process.",
        lambda _: [(_read_resident_bytes(), {})],
    ),
    Instrument(
        "counter",
        "cardamompath.processor",
        "s",
        "Processor time of the process.",
        lambda _: [(_read_processor_seconds(), {})],
    ),
)

_INSTRUMENTS = (
    Instrument(
        "counter",
        "cardamompath.submissions",
        "",
        "Submissions that ended, by outcome and code.",
        _observe_submissions,
    ),
    Instrument(
        "counter",
        "cardamompath.tasks",
        "",
        "Tasks of ended submissions, by what is known of them.",
        _observe_tasks,
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
        _observe_in_flight,
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
        _observe_peer_bytes,
    ),
    *PROCESS_INSTRUMENTS,
)
