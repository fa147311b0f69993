"""A daemon freezes with requests that it has not read, and wakes again."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import rig as rigs  # noqa: E402

FREEZE_TIME = 4.0
"""Seconds of a freeze, as in the site file."""
TIME_LIMIT = 1.5
"""Seconds that a client waits for the answer, as in the site file."""
RESEND_DELAY = 1.3
"""Seconds until a job without an answer is sent again (resend_ms)."""
WORK_MS = 1200
CLIENTS = 8
ROUNDS = 5


async def probe(rig, stop):
    """Take daemons out of rotation after two misses, as the platform does."""
    misses = dict.fromkeys(rig.daemons, 0)
    while not stop.is_set():
        results = await asyncio.gather(*map(rig.is_ready, rig.daemons))
        for daemon, is_ready in zip(rig.daemons, results):
            misses[daemon] = 0 if is_ready else misses[daemon] + 1
            if daemon.ready != (misses[daemon] < 2):
                daemon.ready = not daemon.ready
                rig.record("rotation", name=daemon.name, ready=daemon.ready)
        await asyncio.sleep(1.0)


def choose_daemon(rig, first):
    """Return the first daemon of a client, or any other for a retry."""
    if first is not None and first.ready:
        return first
    others = [each for each in rig.daemons if each.ready]
    return random.choice(others or rig.daemons)


async def client(rig, first, delay):
    """Submit a job; send it again, to any other daemon, after no response."""
    await asyncio.sleep(delay)
    job = rigs.new_job()
    body = rigs.make_job(2, WORK_MS, 1000)
    for _ in range(3):
        daemon = choose_daemon(rig, first)
        first = None
        status, _ = await rig.submit(
            daemon, job, body, wait=TIME_LIMIT, margin=0.0
        )
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(RESEND_DELAY)


async def play_round(rig, trouble):
    planners = rig.planners()
    frozen = next(
        each
        for each in rig.daemons
        if each.zone == "z0" and each not in planners
    )
    if trouble:
        frozen.signal(signal.SIGSTOP)
    clients = [
        asyncio.create_task(client(rig, frozen, random.uniform(0.1, 0.7)))
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(FREEZE_TIME)
    if trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.gather(*clients)
    # The next freeze comes when the daemon is in rotation again.
    await asyncio.sleep(6.0)


async def play(rig, trouble):
    for number in range(6):
        rig.add_executor(f"x{number}", f"z{number % 2}", "a", cpu=16000)
    for number in range(9):
        rig.add_daemon(f"edge-z{number % 2}-{number}", f"z{number % 2}")
    for daemon in rig.daemons:
        daemon.ready = True
    await rig.start(target_duration_ms=1500)
    stop = asyncio.Event()
    probing = asyncio.create_task(probe(rig, stop))
    # A few jobs in advance, so that run times are known.
    await asyncio.gather(*(client(rig, None, 0.1 * n) for n in range(6)))
    for _ in range(ROUNDS):
        await play_round(rig, trouble)
    stop.set()
    await probing
    return find_violations(rig)


def find_violations(rig):
    """Return the starts of tasks that had a run at that time."""
    events = [
        (event.get("due", event["at"]), event)
        for event in rig.record.events
        if event["what"] in ("start", "end")
    ]
    running = {}
    violations = []
    for at, event in sorted(events, key=lambda item: item[0]):
        task, attempt = event["run"]
        runs = running.setdefault(task, {})
        if event["what"] == "end":
            runs.pop((attempt, event["executor"]), None)
            continue
        if runs:
            violations.append(
                f"TWICE: {task} run {attempt} started on {event['executor']}"
                f" while it ran as {sorted(runs)}"
            )
        runs[attempt, event["executor"]] = at
    return violations


if __name__ == "__main__":
    sys.exit(rigs.run_case(FOLDER, play))
