"""Costs of the journal: writing own progress, reading everybody's."""

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
JOBS_A_RECORD = 50


class Reading(NamedTuple):
    """What it costs to read progress of so many ended jobs."""

    cpu: float
    """Processor seconds, decoding included."""
    size: float
    """Bytes of the records as JSON."""


def measure_reading(jobs: int) -> Reading:
    """Measure one instance that reads the progress of `jobs` jobs."""
    controller = controllers.journal.make_controller(
        dispatch.OWNER, lambda: "0123456789cd"
    )
    lines = [
        json.dumps({"offset": offset, "record": record})
        for offset, record in enumerate(_records(jobs))
    ]
    began = time.process_time()
    for line in lines:
        entry = json.loads(line)
        read = messages.RecordsRead(
            controllers.journal.STREAM,
            ((entry["offset"], entry["record"]),),
            0,
            entry["offset"] + 1,
        )
        controller.receive(read, 1.0)
    cpu = time.process_time() - began
    return Reading(cpu, float(sum(len(line) for line in lines)))


def _records(jobs):
    states = journal_fold.pack_states(["finished"] * JOB_TASKS)
    yield journal_fold.make_announcement(PEER, "r0")
    for first in range(0, jobs, JOBS_A_RECORD):
        some = {
            f"{PEER}.{number}": journal_fold.Progress(states, True)
            for number in range(first, min(jobs, first + JOBS_A_RECORD))
        }
        yield journal_fold.make_progress(PEER, some, f"r{first + 1}")
