"""Steps of the drill; each prints its results and returns faults."""

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
    "measure_control_traffic",
    "kill_owner",
    "publish_during_partition",
]

TASKS = 400
TASK_TIME = 0.2
"""Seconds that a task takes."""

STARTS_BEFORE_KILL = 200
"""Task starts after which the owner is killed."""

JOB_TIMEOUT = 40.0
"""Seconds of the job's timeout."""

ANNOUNCE_TIMEOUT = 5.0
"""Seconds until the log has the owner's announcement."""

START_TIMEOUT = 10.0
"""Seconds until `STARTS_BEFORE_KILL` tasks have started."""

SETTLE_TIMEOUT = 25.0
"""Seconds until all other instances have a final answer for the job."""

PUBLICATION_TIME = 5.0
"""Seconds until a note has to be in force at every instance."""

WATCH_TIME = 3.0
"""Seconds after the partition during which revisions are watched."""

MEASURED_TIME = 12.0
"""Seconds over which control traffic is measured."""

MAX_PEER_TRAFFIC = 2048.0
"""Bytes per second between an instance and its peers, in both directions."""

POLL_INTERVAL = 0.02
"""Seconds between two polls of a condition."""

CALL_TIMEOUT = 10.0

_http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT)


def kill_owner(rig: rigs.Rig) -> list[str]:
    """Kill the owner of a running job; check the answers of the others."""
    owner, *others = rig.instances
    body = _job_body()
    incarnation = _get(f"{owner.operators}/v1/status")["jobs"]["owner"]
    _await(lambda: _is_announced(rig, incarnation), ANNOUNCE_TIMEOUT)
    job = _call("POST", f"{owner.callers}/v1/jobs")[1]["job"]
    status, _ = _submit(owner, job, body, 0)
    print(f"job {job}: {TASKS} tasks, {owner.name} returned {status}")
    _await(
        lambda: _count_started(rig, job) >= STARTS_BEFORE_KILL, START_TIMEOUT
    )
    owner.process.popen.send_signal(signal.SIGKILL)
    owner.process.popen.wait()
    killed_at = time.monotonic()
    print(f"{owner.name} killed after {_count_started(rig, job)} starts")
    status, _ = _submit(others[0], job, body, 0)
    print(f"resubmitted to {others[0].name}: {status}")
    faults = [] if status == 202 else [f"resubmission returned {status}"]
    answers = _await(
        lambda: _resubmit_to_all(others, job, body), SETTLE_TIMEOUT
    )
    print(
        f"final everywhere {time.monotonic() - killed_at:.1f} s after the kill"
    )
    return faults + _check_job(rig, job, answers)


def _check_job(rig, job, answers):
    tasks = next(iter(answers.values()))[1].get("tasks", ())
    starts = checks.count_starts(job, _read_starts(rig))
    for name, (status, body) in answers.items():
        states = collections.Counter(task["state"] for task in body["tasks"])
        counts = ", ".join(
            f"{n} {state}" for state, n in sorted(states.items())
        )
        print(f"  {name}: {status} {body['outcome']} {body['code']}: {counts}")
    max_starts = max(starts.values())
    print(
        f"  {len(starts)} of {TASKS} tasks started, at most {max_starts} times"
    )
    faults = checks.check_answers(answers, TASKS)
    faults += checks.check_states(tasks, starts)
    for instance in rig.instances[1:]:
        stuck = _get(f"{instance.operators}/v1/jobs?stuck=yes")["jobs"]
        faults += [
            f"{instance.name}: job {row['job']} is stuck" for row in stuck
        ]
    return faults


def _resubmit_to_all(instances, job, body):
    """Return the answer of each instance, or None while one is pending."""
    answers = {}
    for instance in instances:
        answers[instance.name] = _submit(instance, job, body, 1)
    if any(status == 202 for status, _ in answers.values()):
        return None
    return answers


def publish_during_partition(rig: rigs.Rig) -> list[str]:
    """Publish a note while one failure domain cannot reach the platform."""
    survivors = rig.instances[1:]
    cut_off = [
        instance
        for instance in survivors
        if instance.domain != rig.instances[0].domain
    ]
    for instance in cut_off:
        instance.platform_proxy.cut()
    names = ", ".join(instance.name for instance in cut_off)
    print(f"platform unreachable for {names}")
    faults = _publish(rig, survivors, "fitting")
    for instance in cut_off:
        instance.platform_proxy.restore()
    print("platform reachable again")
    faults += _check_revisions(survivors)
    return faults + _publish(rig, survivors, "pickup")


def _publish(rig, survivors, service):
    revision = _revision(survivors[0])
    note = {
        "kind": "note",
        "id": f"drill-{service}",
        "base": revision,
        "added": {"services": {service: {}}},
    }
    client = log_client.make_client("127.0.0.1", rig.platform)
    began = time.monotonic()
    client.append("configuration", [note])
    client.close()
    _await(
        lambda: all(_revision(instance) > revision for instance in survivors),
        2.0 * PUBLICATION_TIME,
    )
    elapsed = time.monotonic() - began
    print(f"revision {revision + 1} in force everywhere after {elapsed:.2f} s")
    if elapsed > PUBLICATION_TIME:
        return [f"revision {revision + 1} took {elapsed:.2f} s"]
    return []


def _check_revisions(survivors):
    """Check that no instance returns to an older revision."""
    faults = []
    latest = {instance.name: _revision(instance) for instance in survivors}
    deadline = time.monotonic() + WATCH_TIME
    while time.monotonic() < deadline:
        for instance in survivors:
            revision = _revision(instance)
            if revision < latest[instance.name]:
                faults.append(
                    f"{instance.name} returned to revision {revision}"
                )
            latest[instance.name] = revision
        time.sleep(POLL_INTERVAL)
    return faults


def measure_control_traffic(rig: rigs.Rig) -> list[str]:
    """Measure control traffic after a note while no job runs."""
    survivors = rig.instances[1:]
    before = [
        (instance.platform_proxy.byte_count, *_read_peer_usage(instance))
        for instance in survivors
    ]
    began = time.monotonic()
    time.sleep(MEASURED_TIME)
    after = [
        (instance.platform_proxy.byte_count, *_read_peer_usage(instance))
        for instance in survivors
    ]
    span = time.monotonic() - began
    print(f"control traffic over {span:.1f} s after a note, both directions:")
    print("  peers: Thrift frames, as counted by the instance")
    print("  platform: HTTP, as counted by the proxy in front of it")
    faults = []
    for instance, old, new in zip(survivors, before, after, strict=True):
        platform, calls, peers = (
            (end - start) / span for start, end in zip(old, new, strict=True)
        )
        print(
            f"  {instance.name}: {peers:.0f} bytes/s with peers in "
            f"{calls:.1f} calls/s, {platform:.0f} bytes/s with the platform"
        )
        if peers > MAX_PEER_TRAFFIC:
            faults.append(f"{instance.name}: {peers:.0f} bytes/s with peers")
    return faults


def _read_peer_usage(instance):
    """Return the number of calls with peers and their bytes so far."""
    peers = _get(f"{instance.operators}/v1/status")["peers"]
    return peers["calls"], peers["sent"] + peers["received"]


def _job_body():
    tasks = [{"payload": {"work": TASK_TIME}} for _ in range(TASKS)]
    return {"service": "booking", "timeout": JOB_TIMEOUT, "tasks": tasks}


def _is_announced(rig, incarnation):
    client = log_client.make_client("127.0.0.1", rig.platform)
    records = client.read("journal", 0, 0.0).records
    client.close()
    return any(
        record["kind"] == "announce" and record["owner"] == incarnation
        for _, record in records
    )


def _count_started(rig, job):
    return len(checks.count_starts(job, _read_starts(rig)))


def _read_starts(rig) -> Sequence[dict[str, int]]:
    return [_get(f"{url}/v1/starts") for url in rig.backends]


def _revision(instance):
    return _get(f"{instance.operators}/v1/status")["revision"]


def _submit(instance, job, body, wait):
    return _call("PUT", f"{instance.callers}/v1/jobs/{job}?wait={wait}", body)


def _get(url):
    status, body = _call("GET", url)
    if status != 200:
        raise RuntimeError(f"{url!r} returned {status}: {body!r}")
    return body


def _call(method, url, body=None) -> tuple[int, dict[str, Any]]:
    raw = None if body is None else json.dumps(body).encode()
    response = _http.request(method, url, body=raw)
    return response.status, response.json()


def _await(condition: Callable[[], Any], timeout: float) -> Any:
    """Call `condition` until it returns a true value, and return that.

    Raises
    ------
    TimeoutError
        If there is none within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL)
    raise TimeoutError(f"condition not met within {timeout:g} s")
