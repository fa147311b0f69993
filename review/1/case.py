"""Daemons are restarted in turn while the entries of executors expire."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import rig as rigs  # noqa: E402

CLIENTS = 10
DOWN_TIME = 4.5
"""Seconds for which the store is away, as in the site file."""
ROUNDS = 3
GAP = 1.0
"""Seconds between the stops of two daemons (gap_s of `roll_term`)."""
RESTART_DELAY = 0.3
"""Seconds until the platform starts a process that has ended."""


async def client(rig, stop):
    """Submit jobs of two tasks at daemons in rotation; send them again."""
    while not stop.is_set():
        job = rigs.new_job()
        body = rigs.make_job(2, random.choice((300, 700, 1500)), 2000)
        for _ in range(3):
            daemon = random.choice(
                [each for each in rig.daemons if each.ready] or rig.daemons
            )
            status, _ = await rig.submit(daemon, job, body, wait=8.0)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(1.3)


async def probe(rig, stop):
    """Take daemons out of rotation after two misses, as the platform does."""
    misses = {}
    while not stop.is_set():
        for daemon in rig.daemons:
            is_ready = await rig.is_ready(daemon)
            misses[daemon.name] = (
                0 if is_ready else misses.get(daemon.name, 0) + 1
            )
            daemon.ready = misses[daemon.name] < 2
        await asyncio.sleep(1.0)


async def restart(rig, daemon):
    """Stop a daemon by SIGTERM, and start it once it has ended."""
    daemon.signal(signal.SIGTERM)
    while daemon.popen.poll() is None:
        await asyncio.sleep(0.05)
    rig.record("daemon ended", name=daemon.name)
    await asyncio.sleep(RESTART_DELAY)
    rig.start_daemon(daemon)


async def play_round(rig, trouble):
    """Restart all daemons in turn, the planner last, beside an outage."""
    planner = rig.planner()
    others = [each for each in rig.daemons if each is not planner]
    tasks = []
    for daemon in others:
        tasks.append(asyncio.create_task(restart(rig, daemon)))
        await asyncio.sleep(GAP)
    if trouble:
        rig.store.set_down(True)
    await asyncio.sleep(DOWN_TIME)
    if trouble:
        rig.store.set_down(False)
    await asyncio.sleep(0.2)
    tasks.append(asyncio.create_task(restart(rig, planner)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(5.0)


async def play(rig, trouble):
    for number in range(8):
        rig.add_executor(f"x{number}", f"z{number % 2}", "a")
    for number in range(3):
        rig.add_daemon(f"edge-z{number % 2}-{number}", f"z{number % 2}")
    await rig.start(target_duration_ms=6000)
    stop = asyncio.Event()
    tasks = [asyncio.create_task(probe(rig, stop))]
    tasks += [
        asyncio.create_task(client(rig, stop)) for _ in range(CLIENTS)
    ]
    await asyncio.sleep(3.0)
    for _ in range(ROUNDS):
        await play_round(rig, trouble)
    stop.set()
    await asyncio.gather(*tasks)
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
