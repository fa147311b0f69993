"""Costs of reading the journal of all instances."""

from __future__ import annotations

import json
import time
from typing import NamedTuple

from cardamompath_core import journal_fold
from cardamompath_proof.slopes import dispatch
from cardamompathd import controllers
from cardamompathd import messages

__all__ = [
    "Reading",
    "measure_reading",
]

PEER = "domain-1.entry-2.0123456789ab"
JOB_TASKS = 200
JOBS_PER_RECORD = 50


class Reading(NamedTuple):
    """Cost of reading the progress of ended jobs."""

    cpu_time: float
    """Processor seconds, including the decoding."""
    record_size: float
    """Bytes of all records as JSON."""


def measure_reading(jobs: int) -> Reading:
    """Measure one instance that reads the progress of `jobs` jobs."""
    controller = controllers.journal.journal.make_controller(
        dispatch.OWNER, lambda: "0123456789cd"
    )
    lines = [
        json.dumps({"offset": offset, "record": record})
        for offset, record in enumerate(_make_records(jobs))
    ]
    started_at = time.process_time()
    for line in lines:
        entry = json.loads(line)
        msg = messages.RecordsRead(
            controllers.journal.journal.STREAM,
            ((entry["offset"], entry["record"]),),
            0,
            entry["offset"] + 1,
        )
        controller.receive(msg, 1.0)
    cpu_time = time.process_time() - started_at
    return Reading(cpu_time, float(sum(len(line) for line in lines)))


def _make_records(jobs):
    states = journal_fold.pack_states(["finished"] * JOB_TASKS)
    yield journal_fold.make_announcement(PEER, "r0")
    for first in range(0, jobs, JOBS_PER_RECORD):
        progress = {
            f"{PEER}.{number}": journal_fold.Progress(states, True)
            for number in range(first, min(jobs, first + JOBS_PER_RECORD))
        }
        yield journal_fold.make_progress(PEER, progress, f"r{first + 1}")
