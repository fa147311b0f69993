"""``make bench-daemon``: one real daemon on loopback.

Prints task starts a second and per core-second, the latency that the
daemon adds at half load, and memory and threads with 64 connections to
each of 24 executors.
"""

from __future__ import annotations

import argparse
import json
import queue
import threading
import time
from typing import NamedTuple

import urllib3
from hdrh import histogram

from cardamompath_proof import daemon_rig
from cardamompath_proof import processes

__all__ = [
    "main",
]

EXECUTORS = 24
SLOTS = 8
CONNECTIONS = 64
CALLERS = 8
JOBS = 120
JOB_TASKS = 200
REQUESTS = 3000


class Peak(NamedTuple):
    """Rates at full load."""

    per_second: float
    per_core: float
    """Task starts per second of the daemon's processor time."""


def main() -> None:
    """Run the measurements and print them."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--processor",
        type=int,
        default=-1,
        help="Processor that the daemon stays on.",
    )
    processor = parser.parse_args().processor
    with daemon_rig.running(EXECUTORS, SLOTS, processor=processor) as rig:
        warm_up(rig)
        print(f"jobs of {JOB_TASKS} tasks: {_peak(measure_jobs(rig))}")
        requests = measure_requests(rig)
        print(f"single requests: {_peak(requests)}")
        print_latency(rig, requests.per_second / 2.0)
    with daemon_rig.running(
        EXECUTORS, CONNECTIONS, processor=processor
    ) as rig:
        fill_connections(rig)


def print_latency(rig: daemon_rig.Rig, rate: float) -> None:
    """Print the latency that the daemon adds at a rate."""
    through, direct = measure_latency(rig, rate)
    print(f"at half load, {rate:.0f} requests/s:")
    for percentile in (50.0, 99.0):
        whole = through.get_value_at_percentile(percentile) / 1000.0
        alone = direct.get_value_at_percentile(percentile) / 1000.0
        print(
            f"  p{percentile:g} added {whole - alone:.2f} ms "
            f"({whole:.2f} ms through, {alone:.2f} ms direct)"
        )


def _peak(peak):
    return (
        f"{peak.per_second:.0f} starts/s, "
        f"{peak.per_core:.0f} starts per core-second"
    )


def warm_up(rig: daemon_rig.Rig) -> None:
    """Open the connections."""
    run_jobs(rig, 2, 2)


def run_jobs(rig: daemon_rig.Rig, jobs: int, callers: int) -> None:
    """Run jobs without work from several callers."""
    tasks = [{"payload": {"seat": index}} for index in range(JOB_TASKS)]
    body = json.dumps({"service": "booking", "tasks": tasks}).encode()
    pending: queue.SimpleQueue = queue.SimpleQueue()
    for _ in range(jobs):
        pending.put(body)

    def call(index):
        conn = urllib3.connection_from_url(rig.callers, maxsize=1)
        while True:
            try:
                raw = pending.get_nowait()
            except queue.Empty:
                return
            job = conn.request("POST", "/v1/jobs", json={}).json()["job"]
            url = f"/v1/jobs/{job}?wait=30"
            response = conn.request("PUT", url, body=raw, timeout=40.0)
            if response.status != 200:
                raise RuntimeError(f"job ended with {response.data[:200]!r}")

    _run_threads(call, callers)


def _run_threads(call, count):
    threads = [
        threading.Thread(target=call, args=(index,)) for index in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_jobs(rig: daemon_rig.Rig) -> Peak:
    """Measure task starts in jobs at full load."""
    return _measure(
        rig, lambda: run_jobs(rig, JOBS, CALLERS), JOBS * JOB_TASKS
    )


def measure_requests(rig: daemon_rig.Rig) -> Peak:
    """Measure single requests at full load."""
    return _measure(
        rig, lambda: _run_requests(rig, REQUESTS, CALLERS), REQUESTS
    )


def _measure(rig, run, starts):
    before = processes.use(rig.pid).cpu
    began = time.perf_counter()
    run()
    wall = time.perf_counter() - began
    cpu = processes.use(rig.pid).cpu - before
    return Peak(starts / wall, starts / cpu)


def _run_requests(rig, count, callers):
    body = json.dumps({"service": "booking", "payload": 1}).encode()

    def call(index):
        conn = urllib3.connection_from_url(rig.callers, maxsize=1)
        for _ in range(count // callers):
            response = conn.request("POST", "/v1/requests", body=body)
            if response.status != 200:
                raise RuntimeError(f"request: {response.data[:200]!r}")

    _run_threads(call, callers)


def measure_latency(rig: daemon_rig.Rig, rate: float):
    """Measure latency through the daemon and directly, at a rate.

    Returns
    -------
    tuple of HdrHistogram
        Through the daemon and directly, in microseconds.
    """
    body = json.dumps({"service": "booking", "payload": 1}).encode()
    through = _paced(rig.callers, "/v1/requests", body, rate)
    direct = _paced(
        f"http://127.0.0.1:{rig.executors[0]}",
        "/v1/services/booking/tasks",
        body,
        rate,
    )
    return through, direct


def _paced(base, path, body, rate):
    values = histogram.HdrHistogram(1, 60_000_000, 3)
    took: queue.SimpleQueue = queue.SimpleQueue()
    step = CALLERS / rate

    def call(index):
        conn = urllib3.connection_from_url(base, maxsize=1)
        # Callers that ask at the same moment would wait for each other.
        due = time.perf_counter() + step * index / CALLERS
        for _ in range(REQUESTS // CALLERS):
            due += step
            time.sleep(max(0.0, due - time.perf_counter()))
            began = time.perf_counter()
            conn.request("POST", path, body=body)
            took.put(time.perf_counter() - began)

    _run_threads(call, CALLERS)
    while not took.empty():
        values.record_value(int(took.get() * 1e6))
    return values


def fill_connections(rig: daemon_rig.Rig) -> None:
    """Hold every connection busy and print memory and threads."""
    before = processes.use(rig.pid)
    total = EXECUTORS * CONNECTIONS
    jobs = 2
    tasks = [{"payload": {"work": 4.0}}] * (total // jobs)
    body = {"service": "booking", "tasks": tasks}

    def call():
        conn = urllib3.connection_from_url(rig.callers, maxsize=1)
        job = conn.request("POST", "/v1/jobs", json={}).json()["job"]
        url = f"/v1/jobs/{job}?wait=30"
        conn.request("PUT", url, json=body, timeout=40.0)

    threads = [threading.Thread(target=call) for _ in range(jobs)]
    for thread in threads:
        thread.start()
    time.sleep(3.5)
    status = urllib3.request("GET", rig.operators + "/v1/status").json()
    flying = sum(status["backends"]["in_flight"].values())
    after = processes.use(rig.pid)
    for thread in threads:
        thread.join()
    grown = (after.resident - before.resident) / max(1, flying) / 1024.0
    print(
        f"{flying} tasks in flight: {after.threads} threads, "
        f"{after.resident / 2**20:.1f} MB resident "
        f"({before.resident / 2**20:.1f} MB idle, "
        f"{grown:.1f} KB per connection)"
    )


if __name__ == "__main__":
    main()
