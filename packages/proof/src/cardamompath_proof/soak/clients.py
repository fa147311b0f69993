"""Clients of a soak: they submit work, and ask which routes there are.

Each client owns its connection and keeps it until the other side ends
it, as the callers of the users do.
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
    "Look",
    "Send",
    "start",
]

WAIT_MS = 3000
"""Milliseconds that a client says that it waits."""
PATIENCE = 2.0
"""Seconds beyond that after which an answer counts as missing."""
RESEND = 1.3
"""Seconds until work is sent again whose answer was lost."""
MOST_SENDS = 3
PAUSE = 0.05
LOOK_PAUSE = 0.25


class Send(NamedTuple):
    """One try to hand a job in."""

    job: str
    tasks: int
    instance: str
    began: float
    ended: float
    status: int
    """0 when no answer came."""
    state: str
    error: str


class Look(NamedTuple):
    """Whether an instance knows a route."""

    route: str
    instance: str
    began: float
    ended: float
    status: int


class _Client(threading.Thread):
    def __init__(self, rig, rng, records, stop):
        super().__init__(daemon=True)
        self._rig = rig
        self._rng = rng
        self._records = records
        self._over = stop
        self._conn = None
        self._instance = None

    def _request(self, method, path, body=None):
        """Return the status and the document, on a kept connection."""
        if self._conn is None:
            self._instance = self._rng.choice(self._rig.instances)
            self._conn = http.HTTPConnection(
                self._instance.address,
                fixtures.FRONTEND_PORT,
                timeout=WAIT_MS / 1000.0 + PATIENCE,
            )
        wait = None if body is None else WAIT_MS
        headers = fixtures.make_headers(rigs.HOST, wait)
        try:
            self._conn.request(method, path, body, headers)
            reply = self._conn.getresponse()
            raw = reply.read()
            if reply.will_close:
                self._drop()
            return reply.status, json.loads(raw), ""
        except (OSError, http.HTTPException, ValueError) as exc:
            self._drop()
            return 0, {}, repr(exc)

    def _drop(self):
        self._conn.close()
        self._conn = None


class _Submitter(_Client):
    def run(self):
        while not self._over.is_set():
            self._submit(f"{self._rng.getrandbits(64):016x}")
            time.sleep(self._rng.uniform(0.0, PAUSE))

    def _submit(self, job):
        tasks = self._rng.choice((1, 2, 3, 6))
        work = self._rng.choice((30, 60, 150, 400, 1200))
        body = fixtures.make_job(tasks, work, 2000)
        for _ in range(MOST_SENDS):
            began = clocks.boottime()
            status, doc, error = self._request(
                "POST", f"{rigs.PREFIX}{job}", body
            )
            self._records.put(
                Send(
                    job,
                    tasks,
                    self._instance.name,
                    began,
                    clocks.boottime(),
                    status,
                    str(doc.get("state", "")),
                    error,
                )
            )
            if status not in (0, 502, 504) or self._over.is_set():
                return
            time.sleep(RESEND)


class _Looker(_Client):
    def run(self):
        while not self._over.is_set():
            names = {one for _, _, some in self._rig.published for one in some}
            route = self._rng.choice(sorted(names))
            began = clocks.boottime()
            status = self._request("GET", f"/{route}/")[0]
            self._records.put(
                Look(
                    route,
                    self._instance.name,
                    began,
                    clocks.boottime(),
                    status,
                )
            )
            self._drop_now_and_then()
            time.sleep(LOOK_PAUSE)

    def _drop_now_and_then(self):
        if self._conn is not None and self._rng.random() < 0.3:
            self._drop()


def start(rig: Any, seed: int, submitters: int, lookers: int = 2):
    """Start clients; return their records, and what ends them.

    Parameters
    ----------
    rig : Rig
        The processes.
    seed : int
        Seed of what they submit.
    submitters, lookers : int
        Clients that submit jobs, and that ask for routes.

    Returns
    -------
    queue, callable
        `Send` and `Look` records as they come; the function ends the
        clients and waits for their last answers.
    """
    records: queue.SimpleQueue = queue.SimpleQueue()
    stop = threading.Event()
    kinds = [_Submitter] * submitters + [_Looker] * lookers
    threads = [
        kind(rig, random.Random(f"{seed}/{index}"), records, stop)
        for index, kind in enumerate(kinds)
    ]
    for thread in threads:
        thread.start()

    def end() -> None:
        stop.set()
        for thread in threads:
            thread.join(WAIT_MS / 1000.0 + PATIENCE + RESEND)

    return records, end
