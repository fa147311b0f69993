"""The steps of the drill; each prints what it saw and returns faults."""

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
    "count_control",
    "kill_owner",
    "publish_amid_cut",
]

TASKS = 400
WORK = 0.2
"""Seconds that a task works."""

KILL_AFTER = 200
"""Starts after which the owner is killed."""

JOB_TIMEOUT = 40.0
"""Seconds until the answer of the job is due."""

ANNOUNCE_LIMIT = 5.0
"""Seconds for the owner to be named in the log."""

START_LIMIT = 10.0
"""Seconds for the job to get going."""

SETTLE_LIMIT = 25.0
"""Seconds for the survivors to settle the job."""

FORCE_LIMIT = 5.0
"""Seconds for a note to be in force everywhere."""

WATCH = 3.0
"""Seconds after the heal in which no revision may fall."""

QUIET = 12.0
"""Seconds over which the control is counted."""

PEERS_LIMIT = 2048.0
"""Bytes a second with the peers of an instance, both ways."""

PAUSE = 0.02
"""Seconds between two looks."""

CALL_TIMEOUT = 10.0

_http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT)


def kill_owner(rig: rigs.Rig) -> list[str]:
    """Kill the owner amid its job, resubmit, await the settlement."""
    owner, *others = rig.instances
    body = _job_body()
    incarnation = _get(f"{owner.operators}/v1/status")["jobs"]["owner"]
    _await(lambda: _is_announced(rig, incarnation), ANNOUNCE_LIMIT)
    job = _call("POST", f"{owner.callers}/v1/jobs")[1]["job"]
    status, _ = _submit(owner, job, body, 0)
    print(f"job {job}: {TASKS} tasks, {owner.name} answers {status}")
    _await(lambda: _started(rig, job) >= KILL_AFTER, START_LIMIT)
    owner.running.popen.send_signal(signal.SIGKILL)
    owner.running.popen.wait()
    killed = time.monotonic()
    print(f"{owner.name} killed after {_started(rig, job)} starts")
    status, _ = _submit(others[0], job, body, 0)
    print(f"resubmitted to {others[0].name}: {status}")
    faults = [] if status == 202 else [f"resubmission answered {status}"]
    answers = _await(lambda: _settled(others, job, body), SETTLE_LIMIT)
    print(f"settled everywhere {time.monotonic() - killed:.1f} s after")
    return faults + _judge(rig, job, answers)


def _judge(rig, job, answers):
    tasks = next(iter(answers.values()))[1].get("tasks", ())
    starts = checks.starts_of(job, _pages(rig))
    for name, (status, body) in answers.items():
        states = collections.Counter(one["state"] for one in body["tasks"])
        words = ", ".join(
            f"{n} {state}" for state, n in sorted(states.items())
        )
        print(f"  {name}: {status} {body['outcome']} {body['code']}: {words}")
    most = max(starts.values())
    print(f"  {len(starts)} of {TASKS} tasks started, at most {most} times")
    faults = checks.check_answers(answers, TASKS)
    faults += checks.check_states(tasks, starts)
    for one in rig.instances[1:]:
        stuck = _get(f"{one.operators}/v1/jobs?stuck=yes")["jobs"]
        faults += [f"{one.name}: {line['job']} is stuck" for line in stuck]
    return faults


def _settled(instances, job, body):
    """Resubmit to each; the answers, or None while one is pending."""
    answers = {}
    for one in instances:
        answers[one.name] = _submit(one, job, body, 1)
    if any(status == 202 for status, _ in answers.values()):
        return None
    return answers


def publish_amid_cut(rig: rigs.Rig) -> list[str]:
    """Publish a note while one failure domain lacks the platform."""
    live = rig.instances[1:]
    cut = [one for one in live if one.domain != rig.instances[0].domain]
    for one in cut:
        one.platform.cut()
    names = ", ".join(one.name for one in cut)
    print(f"platform unreachable for {names}")
    faults = _publish(rig, live, "fitting")
    for one in cut:
        one.platform.restore()
    print("platform reachable again")
    faults += _watch(live)
    return faults + _publish(rig, live, "pickup")


def _publish(rig, live, service):
    revision = _revision(live[0])
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
        lambda: all(_revision(one) > revision for one in live),
        2.0 * FORCE_LIMIT,
    )
    took = time.monotonic() - began
    print(f"revision {revision + 1} in force everywhere after {took:.2f} s")
    if took > FORCE_LIMIT:
        return [f"revision {revision + 1} took {took:.2f} s"]
    return []


def _watch(live):
    """Look for a revision that falls."""
    faults = []
    seen = {one.name: _revision(one) for one in live}
    until = time.monotonic() + WATCH
    while time.monotonic() < until:
        for one in live:
            revision = _revision(one)
            if revision < seen[one.name]:
                faults.append(f"{one.name} fell to revision {revision}")
            seen[one.name] = revision
        time.sleep(PAUSE)
    return faults


def count_control(rig: rigs.Rig) -> list[str]:
    """Count the bytes of control after a note, without jobs."""
    live = rig.instances[1:]
    before = [(one.platform.byte_count, *_peer_use(one)) for one in live]
    began = time.monotonic()
    time.sleep(QUIET)
    after = [(one.platform.byte_count, *_peer_use(one)) for one in live]
    span = time.monotonic() - began
    print(f"control over {span:.1f} s after a note, both ways:")
    print("  peers: Thrift frames, counted by the instance itself")
    print("  platform: HTTP, counted by the proxy in front of it")
    faults = []
    for one, old, new in zip(live, before, after, strict=True):
        platform, calls, peers = (
            (late - early) / span for early, late in zip(old, new, strict=True)
        )
        print(
            f"  {one.name}: {peers:.0f} bytes/s with peers in {calls:.1f} "
            f"calls/s, {platform:.0f} bytes/s with the platform"
        )
        if peers > PEERS_LIMIT:
            faults.append(f"{one.name}: {peers:.0f} bytes/s with peers")
    return faults


def _peer_use(one):
    """Return the calls with peers and their bytes so far."""
    peers = _get(f"{one.operators}/v1/status")["peers"]
    return peers["calls"], peers["sent"] + peers["received"]


def _job_body():
    tasks = [{"payload": {"work": WORK}} for _ in range(TASKS)]
    return {"service": "booking", "timeout": JOB_TIMEOUT, "tasks": tasks}


def _is_announced(rig, incarnation):
    client = log_client.make_client("127.0.0.1", rig.platform)
    records = client.read("journal", 0, 0.0).records
    client.close()
    return any(
        record["kind"] == "announce" and record["owner"] == incarnation
        for _, record in records
    )


def _started(rig, job):
    return len(checks.starts_of(job, _pages(rig)))


def _pages(rig) -> Sequence[dict[str, int]]:
    return [_get(f"{url}/v1/starts") for url in rig.backends]


def _revision(one):
    return _get(f"{one.operators}/v1/status")["revision"]


def _submit(one, job, body, wait):
    return _call("PUT", f"{one.callers}/v1/jobs/{job}?wait={wait}", body)


def _get(url):
    status, body = _call("GET", url)
    if status != 200:
        raise RuntimeError(f"{url!r} answered {status}: {body!r}")
    return body


def _call(method, url, body=None) -> tuple[int, dict[str, Any]]:
    raw = None if body is None else json.dumps(body).encode()
    response = _http.request(method, url, body=raw)
    return response.status, response.json()


def _await(look: Callable[[], Any], limit: float) -> Any:
    """Look until something is there.

    Raises
    ------
    TimeoutError
        If it is not within `limit` seconds.
    """
    until = time.monotonic() + limit
    while time.monotonic() < until:
        seen = look()
        if seen:
            return seen
        time.sleep(PAUSE)
    raise TimeoutError(f"nothing seen within {limit:g} s")
