"""Executors that do not guard their capacity are filled beyond it."""

import sys
import threading
import time

import deployment as dep

TURNED_AWAY_TIME = 9.0
"""Seconds for which the store turns the planner away."""
COUNTED_TIME = 3.0 + 1.5
"""`contact_ms` and one beat, for which a larger capacity counts."""
FULL = 8000
SHRUNK = 2000
EXECUTORS = 4
CLIENTS = 8


def load(client, daemons, stopped):
    """Submit jobs in turn until stopped."""
    number = 0
    while not stopped.is_set():
        number += 1
        client.request(
            "POST",
            daemons[number % len(daemons)],
            dep.new_job(),
            dep.make_job(4, 300),
        )


def case(deployment, record, is_disrupted):
    """Run the case; return the violations."""
    deployment.start_store()
    deployment.publish(enforces_capacity=False)
    for number in range(EXECUTORS):
        zone = "za" if number % 2 == 0 else "zb"
        deployment.start_executor(f"x{number}", zone, guards=False)
    deployment.start_daemons(6)
    time.sleep(5.0)
    planner = deployment.planner()
    record(f"{dep.now():.3f} {planner.name} reads the executors most often")
    others = [each for each in deployment.daemons if each is not planner]
    client = dep.Client(record)
    stopped = threading.Event()
    threads = [
        threading.Thread(target=load, args=(client, others, stopped))
        for _ in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    if is_disrupted:
        planner.proxy.is_turned_away = True
        record(f"{dep.now():.3f} the store turns {planner.name} away")
    turned_away_at = dep.now()
    time.sleep(0.3)
    shrunk = deployment.executors[0]
    deployment.resize_executor(shrunk, SHRUNK)
    shrunk_at = dep.now()
    record(
        f"{shrunk_at:.3f} the store has {shrunk.name} with a capacity of "
        f"{SHRUNK} instead of {FULL}"
    )
    time.sleep(turned_away_at + TURNED_AWAY_TIME - dep.now())
    planner.proxy.is_turned_away = False
    record(f"{dep.now():.3f} the store serves all daemons")
    time.sleep(1.0)
    stopped.set()
    for thread in threads:
        thread.join()
    violations = []
    running = set()
    for event in deployment.runs():
        if event["executor"] != shrunk.name:
            continue
        run = (event["task"], event["attempt"])
        if event["event"] == "end":
            running.discard(run)
            continue
        running.add(run)
        used = 1000 * len(running)
        late = event["at"] - shrunk_at
        if late > COUNTED_TIME and used > SHRUNK:
            violations.append(
                f"LIMIT: task {event['task']} started on {shrunk.name}, "
                f"{late:.2f} s after it shrank to {SHRUNK}, and brought it to "
                f"{used}"
            )
    return violations


sys.exit(dep.run(case))
