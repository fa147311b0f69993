"""Benchmark of one daemon process on loopback: ``make bench-daemon``.

Prints task starts per second and per core-second, the latency that the
daemon adds at half load, and memory and threads with 64 connections to
each of 24 backend servers.
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

BACKENDS = 24
SLOTS = 8
CONNECTIONS = 64
CALLERS = 8
JOBS = 120
JOB_TASKS = 200
REQUESTS = 3000


class StartRate(NamedTuple):
    """Rates of task starts at full load."""

    per_second: float
    per_core: float
    """Starts per second of the daemon's processor time."""


def main() -> None:
    """Run the measurements and print them."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--processor",
        type=int,
        default=-1,
        help="processor to pin the daemon to",
    )
    processor = parser.parse_args().processor
    with daemon_rig.run_rig(BACKENDS, SLOTS, processor=processor) as rig:
        warm_up(rig)
        print(f"jobs of {JOB_TASKS} tasks: {_format_rate(measure_jobs(rig))}")
        requests = measure_requests(rig)
        print(f"single requests: {_format_rate(requests)}")
        print_latency(rig, requests.per_second / 2.0)
    with daemon_rig.run_rig(BACKENDS, CONNECTIONS, processor=processor) as rig:
        fill_connections(rig)


def print_latency(rig: daemon_rig.Rig, rate: float) -> None:
    """Print the latency that the daemon adds at `rate` requests per second."""
    through, direct = measure_latency(rig, rate)
    print(f"at half load, {rate:.0f} requests/s:")
    for percentile in (50.0, 99.0):
        total = through.get_value_at_percentile(percentile) / 1000.0
        backend = direct.get_value_at_percentile(percentile) / 1000.0
        print(
            f"  p{percentile:g} added {total - backend:.2f} ms "
            f"({total:.2f} ms through, {backend:.2f} ms direct)"
        )


def _format_rate(rate):
    return (
        f"{rate.per_second:.0f} starts/s, "
        f"{rate.per_core:.0f} starts per core-second"
    )


def warm_up(rig: daemon_rig.Rig) -> None:
    """Open the connections before the measurements."""
    run_jobs(rig, 2, 2)


def run_jobs(rig: daemon_rig.Rig, jobs: int, callers: int) -> None:
    """Run jobs of tasks that do no work, from several callers."""
    tasks = [{"payload": {"seat": index}} for index in range(JOB_TASKS)]
    body = json.dumps({"service": "booking", "tasks": tasks}).encode()
    pending: queue.SimpleQueue = queue.SimpleQueue()
    for _ in range(jobs):
        pending.put(body)

    def call(index):
        conn = urllib3.connection_from_url(rig.callers_url, maxsize=1)
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


def measure_jobs(rig: daemon_rig.Rig) -> StartRate:
    """Measure the rate of task starts in jobs."""
    return _measure(
        rig, lambda: run_jobs(rig, JOBS, CALLERS), JOBS * JOB_TASKS
    )


def measure_requests(rig: daemon_rig.Rig) -> StartRate:
    """Measure the rate of single requests."""
    return _measure(
        rig, lambda: _run_requests(rig, REQUESTS, CALLERS), REQUESTS
    )


def _measure(rig, run, starts):
    before = processes.read_usage(rig.pid).cpu
    began = time.perf_counter()
    run()
    wall = time.perf_counter() - began
    cpu = processes.read_usage(rig.pid).cpu - before
    return StartRate(starts / wall, starts / cpu)


def _run_requests(rig, count, callers):
    body = json.dumps({"service": "booking", "payload": 1}).encode()

    def call(index):
        conn = urllib3.connection_from_url(rig.callers_url, maxsize=1)
        for _ in range(count // callers):
            response = conn.request("POST", "/v1/requests", body=body)
            if response.status != 200:
                raise RuntimeError(
                    f"request ended with {response.data[:200]!r}"
                )

    _run_threads(call, callers)


def measure_latency(rig: daemon_rig.Rig, rate: float):
    """Measure the latency through the daemon and without it.

    Returns
    -------
    tuple of HdrHistogram
        Latencies through the daemon, and directly to a backend server,
        in microseconds.
    """
    body = json.dumps({"service": "booking", "payload": 1}).encode()
    through = _measure_at_rate(rig.callers_url, "/v1/requests", body, rate)
    direct = _measure_at_rate(
        f"http://127.0.0.1:{rig.backend_ports[0]}",
        "/v1/services/booking/tasks",
        body,
        rate,
    )
    return through, direct


def _measure_at_rate(base_url, path, body, rate):
    values = histogram.HdrHistogram(1, 60_000_000, 3)
    latencies: queue.SimpleQueue = queue.SimpleQueue()
    interval = CALLERS / rate

    def call(index):
        conn = urllib3.connection_from_url(base_url, maxsize=1)
        # Spread the callers out, so that they do not delay each other.
        due = time.perf_counter() + interval * index / CALLERS
        for _ in range(REQUESTS // CALLERS):
            due += interval
            time.sleep(max(0.0, due - time.perf_counter()))
            began = time.perf_counter()
            conn.request("POST", path, body=body)
            latencies.put(time.perf_counter() - began)

    _run_threads(call, CALLERS)
    while not latencies.empty():
        values.record_value(int(latencies.get() * 1e6))
    return values


def fill_connections(rig: daemon_rig.Rig) -> None:
    """Keep every connection busy and print memory and threads."""
    before = processes.read_usage(rig.pid)
    total = BACKENDS * CONNECTIONS
    jobs = 2
    tasks = [{"payload": {"work": 4.0}}] * (total // jobs)
    body = {"service": "booking", "tasks": tasks}

    def call():
        conn = urllib3.connection_from_url(rig.callers_url, maxsize=1)
        job = conn.request("POST", "/v1/jobs", json={}).json()["job"]
        url = f"/v1/jobs/{job}?wait=30"
        conn.request("PUT", url, json=body, timeout=40.0)

    threads = [threading.Thread(target=call) for _ in range(jobs)]
    for thread in threads:
        thread.start()
    time.sleep(3.5)
    status = urllib3.request("GET", rig.operators_url + "/v1/status").json()
    in_flight = sum(status["backends"]["in_flight"].values())
    after = processes.read_usage(rig.pid)
    for thread in threads:
        thread.join()
    growth = (after.resident - before.resident) / max(1, in_flight) / 1024.0
    print(
        f"{in_flight} tasks in flight: {after.threads} threads, "
        f"{after.resident / 2**20:.1f} MB resident "
        f"({before.resident / 2**20:.1f} MB idle, "
        f"{growth:.1f} KB per connection)"
    )


if __name__ == "__main__":
    main()
