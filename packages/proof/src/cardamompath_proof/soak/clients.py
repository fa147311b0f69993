"""Clients of a soak: they submit jobs and request routes.

Each client is a thread that owns its connection and keeps it until the
server closes it, as the callers of the platform do.
"""

from __future__ import annotations

import json
import queue
import random
import threading
import time
from http import client as http
from typing import Any
from typing import NamedTuple

from cardamompath_proof.soak import rig as rigs
from cardamompath_standins import fixtures
from cardamompathd.runtime import clocks

__all__ = [
    "Cancellation",
    "RouteQuery",
    "Submission",
    "start",
]

CLIENT_TIMEOUTS_MS = (900, 1500, 3000)
"""Milliseconds that a client waits, as its request header says; the last one
if it submits a job again."""
ANSWER_MARGINS = (0.0, 0.1, 2.0)
"""Seconds beyond the timeout after which a client gives up."""
WORK_TIMES_MS = (30, 60, 150, 400, 1200, 1200)
CPU_SHARES = (1000, 2000, 3000)
"""Thousandths of a core."""
CRASH_TIMES_MS = (0, 50, 400)
"""Milliseconds after which a task crashes its executor."""
RETRY_DELAY = 1.3
"""Seconds until a job whose answer was lost is submitted again."""
MAX_SUBMISSIONS = 3
"""Maximum number of submissions of a job."""
MAX_PAUSE = 0.05
"""Seconds between two jobs of a client."""
CANCELLED_SHARE = 0.08
"""Share of the jobs that are cancelled."""
CREST_FACTOR = 4
"""How many times as many jobs the clients of a failure domain send in a crest,
at about the same answers."""
MAX_CANCEL_DELAY = 1.0
"""Longest time in seconds from the submission of a job to its cancellation."""
MAX_CANCELS = 4
"""Maximum number of requests that cancel a job."""
REPEATED_SHARE = 0.5
"""Share of the cancelled jobs whose request arrives once more."""
REPEAT_DELAYS = (0.2, 6.0)
"""Shortest and longest time in seconds until then."""
QUERY_TIMEOUT_MS = 3000
"""Milliseconds that a client waits for the answer about a route."""
QUERY_INTERVAL = 0.25
"""Seconds between two requests for a route."""

STOP_TIMEOUT = (
    CLIENT_TIMEOUTS_MS[-1] / 1000.0 + ANSWER_MARGINS[-1] + RETRY_DELAY
)
"""Seconds in which a client stops."""


class Submission(NamedTuple):
    """One request that submitted a job, and its answer."""

    job: str
    tasks: int
    instance: str
    began: float
    ended: float
    status: int
    """0 when no answer came."""
    state: str
    error: str
    timeout: float = CLIENT_TIMEOUTS_MS[-1] / 1000.0
    """Seconds that the client asked for."""
    label: str = ""
    """Label that the executors of its tasks must have."""


class Cancellation(NamedTuple):
    """One request that cancelled a job, and its answer."""

    job: str
    instance: str
    began: float
    ended: float
    status: int


class RouteQuery(NamedTuple):
    """One request that asked an instance for a route."""

    route: str
    instance: str
    began: float
    ended: float
    status: int


class _Client(threading.Thread):
    def __init__(self, rig, rng, records, stop_event, jobs):
        super().__init__(daemon=True)
        self._rig = rig
        self._rng = rng
        self._records = records
        self._stop_event = stop_event
        self._jobs = jobs
        """Jobs that are to be cancelled, with their bodies."""
        self._conn = None
        self._instance = None

    def _candidates(self):
        return self._rig.instances

    def _request(self, method, path, timeout_ms, body=None):
        """Return status, document and error; reuse the connection."""
        if self._conn is None:
            self._instance = self._rng.choice(self._candidates())
            self._conn = http.HTTPConnection(
                self._instance.address,
                fixtures.FRONTEND_PORT,
            )
        wait = None if body is None else timeout_ms
        headers = fixtures.make_headers(rigs.HOST, wait)
        limit = timeout_ms / 1000.0 + self._rng.choice(ANSWER_MARGINS)
        self._conn.timeout = limit
        try:
            if self._conn.sock is not None:
                self._conn.sock.settimeout(limit)
            self._conn.request(method, path, body, headers)
            reply = self._conn.getresponse()
            raw = reply.read()
            if reply.will_close:
                self._close()
            return reply.status, json.loads(raw), ""
        except (OSError, http.HTTPException, ValueError) as exc:
            self._close()
            return 0, {}, repr(exc)

    def _submit_once(self, job, body, timeout_ms):
        """Submit a job and record that; return the status of the answer."""
        (step,) = json.loads(body)["phases"]
        began = clocks.boottime()
        status, doc, error = self._request(
            "POST", f"{rigs.PREFIX}{job}", timeout_ms, body
        )
        self._records.put(
            Submission(
                job,
                step["count"],
                self._instance.name,
                began,
                clocks.boottime(),
                status,
                str(doc.get("state", "")),
                error,
                timeout_ms / 1000.0,
                step.get("required_label", ""),
            )
        )
        return status

    def _close(self):
        self._conn.close()
        self._conn = None

    def _close_if_open(self):
        # The next request may go to any instance.
        if self._conn is not None:
            self._close()


class _Submitter(_Client):
    def run(self):
        while not self._stop_event.is_set():
            self._submit(f"{self._rng.getrandbits(64):016x}")
            time.sleep(self._rng.uniform(0.0, MAX_PAUSE))

    def _submit(self, job):
        tasks = self._rng.choice((1, 2, 3, 6))
        work = self._rng.choice(WORK_TIMES_MS)
        cpu = self._rng.choice(CPU_SHARES)
        timeout_ms = self._rng.choice(CLIENT_TIMEOUTS_MS)
        crash_ms = None
        if self._rng.random() < self._rig.crash_share:
            tasks, crash_ms = 1, self._rng.choice(CRASH_TIMES_MS)
        label = self._rng.choice(("", "", *rigs.LABELS))
        body = fixtures.make_job(tasks, work, cpu, crash_ms, label)
        if self._rng.random() < CANCELLED_SHARE:
            self._jobs.put((job, body))
        for _ in range(MAX_SUBMISSIONS):
            status = self._submit_once(job, body, timeout_ms)
            if status not in (0, 502, 504) or self._stop_event.is_set():
                return
            timeout_ms = CLIENT_TIMEOUTS_MS[-1]
            time.sleep(RETRY_DELAY)
            self._close_if_open()


class _CrestSubmitter(_Submitter):
    """Submits jobs in the failure domain that has a crest, while it has."""

    def run(self):
        while not self._stop_event.is_set():
            if self._rig.crest_domain:
                self._submit(f"{self._rng.getrandbits(64):016x}")
                time.sleep(self._rng.uniform(0.0, MAX_PAUSE))
            else:
                self._close_if_open()
                self._stop_event.wait(QUERY_INTERVAL)

    def _candidates(self):
        domain = self._rig.crest_domain
        instances = self._rig.instances
        return [each for each in instances if each.domain == domain] or (
            instances
        )


class _Canceller(_Client):
    """Cancels jobs at any instance, and submits them once more later."""

    def run(self):
        while not self._stop_event.is_set():
            try:
                job, body = self._jobs.get(timeout=QUERY_INTERVAL)
            except queue.Empty:
                continue
            time.sleep(self._rng.uniform(0.0, MAX_CANCEL_DELAY))
            if self._cancel(job) and self._rng.random() < REPEATED_SHARE:
                self._stop_event.wait(self._rng.uniform(*REPEAT_DELAYS))
                self._submit_once(job, body, CLIENT_TIMEOUTS_MS[-1])
                self._close_if_open()

    def _cancel(self, job):
        """Cancel a job until that is answered; return whether it was."""
        for _ in range(MAX_CANCELS):
            began = clocks.boottime()
            status = self._request(
                "DELETE", f"{rigs.PREFIX}{job}", QUERY_TIMEOUT_MS
            )[0]
            self._records.put(
                Cancellation(
                    job,
                    self._instance.name,
                    began,
                    clocks.boottime(),
                    status,
                )
            )
            self._close_if_open()
            if status in (200, 410):
                return True
            if self._stop_event.wait(RETRY_DELAY):
                break
        return False


class _RouteQuerier(_Client):
    def run(self):
        while not self._stop_event.is_set():
            names = {
                name
                for publication in self._rig.published
                for name in publication.routes
            }
            route = self._rng.choice(sorted(names))
            began = clocks.boottime()
            status = self._request("GET", f"/{route}/", QUERY_TIMEOUT_MS)[0]
            self._records.put(
                RouteQuery(
                    route,
                    self._instance.name,
                    began,
                    clocks.boottime(),
                    status,
                )
            )
            self._close_at_random()
            time.sleep(QUERY_INTERVAL)

    def _close_at_random(self):
        if self._conn is not None and self._rng.random() < 0.3:
            self._close()


def start(
    rig: Any,
    seed: int,
    submitters: int,
    queriers: int = 2,
    cancellers: int = 4,
):
    """Start clients; return their records and a function to stop them.

    Parameters
    ----------
    rig : Rig
        The processes.
    seed : int
        Seed of their requests.
    submitters, queriers, cancellers : int
        Number of clients that submit jobs, that request routes, and that
        cancel jobs.

    Returns
    -------
    queue, callable
        `Submission`, `RouteQuery` and `Cancellation` records as they come;
        the function stops the clients and waits for their last answers.
    """
    records: queue.SimpleQueue = queue.SimpleQueue()
    jobs: queue.SimpleQueue = queue.SimpleQueue()
    stop_event = threading.Event()
    types = [_Submitter] * submitters + [_RouteQuerier] * queriers
    types += [_Canceller] * cancellers
    domains = {each.domain for each in rig.instances}
    # The last ones, so that the seeds of the others do not depend on them.
    types += [_CrestSubmitter] * (
        (CREST_FACTOR - 1) * submitters // len(domains)
    )
    threads = [
        type_(rig, random.Random(f"{seed}/{index}"), records, stop_event, jobs)
        for index, type_ in enumerate(types)
    ]
    for thread in threads:
        thread.start()

    def stop() -> None:
        stop_event.set()
        for thread in threads:
            thread.join(STOP_TIMEOUT)

    return records, stop
