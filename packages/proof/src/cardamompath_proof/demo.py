"""Demo of one job on one machine: ``make demo``.

One instance, four backend server stand-ins of different speeds and the
platform stand-in run in this process, on sockets of the loopback address.
"""

from __future__ import annotations

import collections
import contextlib
import json
import sys
import threading
import time

import urllib3

from cardamompath_proof import local_settings
from cardamompath_standins import backend
from cardamompath_standins import platform
from cardamompathd import app
from cardamompathd.recordlog import log_client
from cardamompathd.telemetry import logs

__all__ = [
    "main",
]

SPEEDS = (1.0, 1.5, 2.0, 4.0)
JOB_FILE = "examples/job-200.json"


def main() -> int:
    """Run the job and print its summary; return 0 if it is complete."""
    logs.configure("WARNING", "text")
    with open(JOB_FILE, encoding="utf-8") as stream:
        body = json.load(stream)
    with contextlib.ExitStack() as stack:
        platform_standin = platform.start()
        stack.callback(platform_standin.stop)
        backends = [backend.start(speed=speed) for speed in SPEEDS]
        for server in backends:
            stack.callback(server.stop)
        _publish(platform_standin, backends)
        cfg = local_settings.load(f"127.0.0.1:{platform_standin.port}")
        instance = app.start(cfg)
        stack.callback(app.stop, instance, 5.0)
        return _run_job(instance, backends, body)


def _run_job(instance, backends, body):
    callers_url = f"http://127.0.0.1:{instance.callers.port}"
    operators_url = f"http://127.0.0.1:{instance.operators.port}"
    _await_ready(operators_url)
    answer = _submit_job(callers_url, operators_url, body)
    return _summarize(answer, _read_starts(backends), len(body["tasks"]))


def _publish(platform_standin, backends):
    added = {
        f"executor-{index}": {
            "service": "booking",
            "domain": "ciudad-vieja",
            "host": server.host,
            "port": server.port,
        }
        for index, server in enumerate(backends, 1)
    }
    note = {
        "kind": "note",
        "base": 0,
        "added": {"services": {"booking": {}}, "backends": added},
    }
    client = log_client.make_client("127.0.0.1", platform_standin.port)
    client.append("configuration", [note])
    client.close()


def _await_ready(operators_url):
    for _ in range(100):
        response = urllib3.request(
            "GET", operators_url + "/ready", retries=False
        )
        if response.status == 200:
            return
        time.sleep(0.05)
    raise SystemExit("the instance did not become ready")


def _submit_job(callers_url, operators_url, body):
    job = urllib3.request("POST", callers_url + "/v1/jobs", json={}).json()[
        "job"
    ]
    print(f"job {job}: {len(body['tasks'])} tasks submitted")
    answers = []

    def submit():
        url = f"{callers_url}/v1/jobs/{job}?wait=30"
        response = urllib3.request("PUT", url, json=body, timeout=40.0)
        answers.append(response.json())

    thread = threading.Thread(target=submit)
    thread.start()
    while thread.is_alive():
        thread.join(0.25)
        status = urllib3.request("GET", operators_url + "/v1/status").json()
        in_flight = sum(status["backends"]["in_flight"].values())
        queued = status["backends"]["queued"]
        print(f"  {queued:4d} queued  {in_flight:3d} in flight")
    return answers[0]


def _read_starts(backends):
    starts = []
    for server in backends:
        url = f"http://{server.host}:{server.port}/v1/starts"
        starts.append(urllib3.request("GET", url).json())
    return starts


def _summarize(answer, starts, total):
    print(f"answer: {answer['outcome']}")
    for index, starts_by_task in enumerate(starts, 1):
        speed = SPEEDS[index - 1]
        print(
            f"  executor-{index} (speed {speed}): "
            f"{sum(starts_by_task.values())} starts"
        )
    counts = collections.Counter()
    for starts_by_task in starts:
        counts.update(starts_by_task)
    duplicates = sum(count > 1 for count in counts.values())
    print(
        f"  {len(counts)} of {total} tasks started, {duplicates} started twice"
    )
    is_complete = answer["outcome"] == "complete" and len(counts) == total
    return 0 if is_complete and duplicates == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
