"""Steps of the drill; each prints its measurements and returns failures."""

from __future__ import annotations

import collections
import json
import signal
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import urllib3

from cardamompath_proof.drill import checks
from cardamompath_proof.drill import rig as rigs
from cardamompathd.recordlog import log_client

__all__ = [
    "kill_owner",
    "measure_control_traffic",
    "publish_during_outage",
]

TASKS = 400
TASK_TIME = 0.2
"""Seconds that a backend server works on a task."""

KILL_AFTER_STARTS = 200
"""Number of started tasks at which the owner is killed."""

JOB_TIMEOUT = 40.0
"""Timeout of the job, in seconds."""

ANNOUNCE_TIMEOUT = 5.0
"""Seconds until the journal has to hold the owner's announcement."""

START_TIMEOUT = 10.0
"""Seconds until `KILL_AFTER_STARTS` tasks have to be started."""

SETTLE_TIMEOUT = 25.0
"""Seconds until the other instances have to settle the job."""

PROPAGATION_LIMIT = 5.0
"""Seconds until a release note has to be in force on all instances."""

WATCH_TIME = 3.0
"""Seconds after the outage in which no instance's revision may decrease."""

MEASURE_TIME = 12.0
"""Seconds over which the control traffic is measured."""

MAX_PEER_RATE = 2048.0
"""Most bytes per second between an instance and its peers, both ways."""

POLL_INTERVAL = 0.02
"""Seconds between two polls."""

REQUEST_TIMEOUT = 10.0

_http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT)


def kill_owner(rig: rigs.Rig) -> list[str]:
    """Kill the owner of a running job, resubmit it and check the answers."""
    owner, *others = rig.instances
    body = _make_job()
    incarnation = _get(f"{owner.operators_url}/v1/status")["jobs"]["owner"]
    _wait_for(lambda: _is_announced(rig, incarnation), ANNOUNCE_TIMEOUT)
    job = _request("POST", f"{owner.callers_url}/v1/jobs")[1]["job"]
    status, _ = _submit(owner, job, body, 0)
    print(f"job {job}: {TASKS} tasks, {owner.name} answers {status}")
    _wait_for(
        lambda: _count_started(rig, job) >= KILL_AFTER_STARTS, START_TIMEOUT
    )
    owner.daemon.popen.send_signal(signal.SIGKILL)
    owner.daemon.popen.wait()
    killed_at = time.monotonic()
    print(f"{owner.name} got SIGKILL after {_count_started(rig, job)} starts")
    status, _ = _submit(others[0], job, body, 0)
    print(f"resubmitted to {others[0].name}: {status}")
    failures = (
        [] if status == 202 else [f"resubmission was answered with {status}"]
    )
    answers = _wait_for(
        lambda: _read_settled_answers(others, job, body), SETTLE_TIMEOUT
    )
    print(f"settled {time.monotonic() - killed_at:.1f} s after the kill")
    return failures + _check_settlement(rig, job, answers)


def _check_settlement(rig, job, answers):
    tasks = next(iter(answers.values()))[1].get("tasks", ())
    starts = checks.count_starts(job, _read_start_pages(rig))
    for name, (status, body) in answers.items():
        states = collections.Counter(task["state"] for task in body["tasks"])
        summary = ", ".join(
            f"{n} {state}" for state, n in sorted(states.items())
        )
        print(
            f"  {name}: {status} {body['outcome']} {body['code']}: {summary}"
        )
    max_starts = max(starts.values())
    print(
        f"  {len(starts)} of {TASKS} tasks started, at most {max_starts} times"
    )
    failures = checks.check_answers(answers, TASKS)
    failures += checks.check_task_states(tasks, starts)
    for instance in rig.instances[1:]:
        stuck = _get(f"{instance.operators_url}/v1/jobs?stuck=yes")["jobs"]
        failures += [
            f"{instance.name}: job {stuck_job['job']} is stuck"
            for stuck_job in stuck
        ]
    return failures


def _read_settled_answers(instances, job, body):
    """Resubmit to all; return the answers, or None if one is pending."""
    answers = {}
    for instance in instances:
        answers[instance.name] = _submit(instance, job, body, 1)
    if any(status == 202 for status, _ in answers.values()):
        return None
    return answers


def publish_during_outage(rig: rigs.Rig) -> list[str]:
    """Publish a note while one failure domain cannot reach the platform."""
    survivors = rig.instances[1:]
    isolated = [
        instance
        for instance in survivors
        if instance.domain != rig.instances[0].domain
    ]
    for instance in isolated:
        instance.platform_proxy.cut()
    names = ", ".join(instance.name for instance in isolated)
    print(f"platform unreachable for {names}")
    failures = _publish_service(rig, survivors, "fitting")
    for instance in isolated:
        instance.platform_proxy.restore()
    print("platform reachable again")
    failures += _watch_revisions(survivors)
    return failures + _publish_service(rig, survivors, "pickup")


def _publish_service(rig, survivors, service):
    revision = _read_revision(survivors[0])
    note = {
        "kind": "note",
        "id": f"drill-{service}",
        "base": revision,
        "added": {"services": {service: {}}},
    }
    client = log_client.make_client("127.0.0.1", rig.platform_port)
    started_at = time.monotonic()
    client.append("configuration", [note])
    client.close()
    _wait_for(
        lambda: all(
            _read_revision(instance) > revision for instance in survivors
        ),
        2.0 * PROPAGATION_LIMIT,
    )
    elapsed = time.monotonic() - started_at
    print(f"revision {revision + 1} in force everywhere after {elapsed:.2f} s")
    if elapsed > PROPAGATION_LIMIT:
        return [f"revision {revision + 1} took {elapsed:.2f} s"]
    return []


def _watch_revisions(survivors):
    """Check that no instance's revision decreases."""
    failures = []
    revisions = {
        instance.name: _read_revision(instance) for instance in survivors
    }
    deadline = time.monotonic() + WATCH_TIME
    while time.monotonic() < deadline:
        for instance in survivors:
            revision = _read_revision(instance)
            if revision < revisions[instance.name]:
                failures.append(
                    f"{instance.name} went back to revision {revision}"
                )
            revisions[instance.name] = revision
        time.sleep(POLL_INTERVAL)
    return failures


def measure_control_traffic(rig: rigs.Rig) -> list[str]:
    """Measure the control traffic after a note, without jobs."""
    survivors = rig.instances[1:]
    before = [
        (instance.platform_proxy.byte_count, *_read_peer_traffic(instance))
        for instance in survivors
    ]
    started_at = time.monotonic()
    time.sleep(MEASURE_TIME)
    after = [
        (instance.platform_proxy.byte_count, *_read_peer_traffic(instance))
        for instance in survivors
    ]
    elapsed = time.monotonic() - started_at
    print(f"control traffic over {elapsed:.1f} s after a note, both ways:")
    print("  peers: Thrift frames, counted by the instance itself")
    print("  platform: HTTP, counted by the proxy in front of it")
    failures = []
    for instance, old, new in zip(survivors, before, after, strict=True):
        platform, calls, peers = (
            (late - early) / elapsed
            for early, late in zip(old, new, strict=True)
        )
        print(
            f"  {instance.name}: {peers:.0f} bytes/s with peers in "
            f"{calls:.1f} calls/s, {platform:.0f} bytes/s with the platform"
        )
        if peers > MAX_PEER_RATE:
            failures.append(f"{instance.name}: {peers:.0f} bytes/s with peers")
    return failures


def _read_peer_traffic(instance):
    """Return the number of calls with peers and their bytes so far."""
    peers = _get(f"{instance.operators_url}/v1/status")["peers"]
    return peers["calls"], peers["sent"] + peers["received"]


def _make_job():
    tasks = [{"payload": {"work": TASK_TIME}} for _ in range(TASKS)]
    return {"service": "booking", "timeout": JOB_TIMEOUT, "tasks": tasks}


def _is_announced(rig, incarnation):
    client = log_client.make_client("127.0.0.1", rig.platform_port)
    records = client.read("journal", 0, 0.0).records
    client.close()
    return any(
        record["kind"] == "announce" and record["owner"] == incarnation
        for _, record in records
    )


def _count_started(rig, job):
    return len(checks.count_starts(job, _read_start_pages(rig)))


def _read_start_pages(rig) -> Sequence[dict[str, int]]:
    return [_get(f"{url}/v1/starts") for url in rig.backend_urls]


def _read_revision(instance):
    return _get(f"{instance.operators_url}/v1/status")["revision"]


def _submit(instance, job, body, wait):
    return _request(
        "PUT", f"{instance.callers_url}/v1/jobs/{job}?wait={wait}", body
    )


def _get(url):
    status, body = _request("GET", url)
    if status != 200:
        raise RuntimeError(f"{url!r} answered {status}: {body!r}")
    return body


def _request(method, url, body=None) -> tuple[int, dict[str, Any]]:
    raw = None if body is None else json.dumps(body).encode()
    response = _http.request(method, url, body=raw)
    return response.status, response.json()


def _wait_for(read: Callable[[], Any], timeout: float) -> Any:
    """Poll `read` until it returns a true value, and return that.

    Raises
    ------
    TimeoutError
        If it does not within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = read()
        if value:
            return value
        time.sleep(POLL_INTERVAL)
    raise TimeoutError(f"condition not met within {timeout:g} s")
