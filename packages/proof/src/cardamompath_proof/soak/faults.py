"""Faults of a soak: drawn from a seed, injected from outside."""

from __future__ import annotations

import random
import sched
import signal
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cardamompathd.runtime import clocks

__all__ = [
    "Fault",
    "KINDS",
    "draw",
    "inject",
]

RESTART_DELAY = 0.6
"""Seconds until a killed process is started again."""
SHUTDOWN_TIME = 6.5
"""Seconds from SIGTERM until an instance is expected to have exited."""
DRAIN_TIME = 2.5
"""Seconds from SIGTERM until an executor is expected to have drained."""
EXIT_TIMEOUT = 30.0
"""Seconds to wait for the exit of a process."""


class Fault(NamedTuple):
    """A fault, its target and its duration."""

    at: float
    """Seconds from the start of the soak."""
    kind: str
    target: int
    """Index of an instance or executor, modulo their number."""
    duration: float
    """Seconds until the fault is undone."""


def draw(
    seed: int, count: int, length: float, kinds: Sequence[str] = ()
) -> list[Fault]:
    """Draw the faults of a soak; some of them overlap.

    Parameters
    ----------
    seed : int
        Seed of the draw.
    count : int
        Number of faults to draw; those after `length` are left out.
    length : float
        Seconds over which they are injected.
    kinds : sequence of str
        Keys of `KINDS`; all when empty.
    """
    rng = random.Random(f"faults/{seed}")
    faults = []
    at = 0.0
    for _ in range(count):
        # One fault in three follows soon, often while the last one lasts.
        at += (
            rng.choice((0.1, 1.0, 1.0)) * 2.0 * rng.random() * (length / count)
        )
        kind = rng.choice(sorted(kinds or KINDS))
        duration = rng.choice((0.3, 0.8, 1.5, 3.0))
        faults.append(Fault(at, kind, rng.randrange(1000), duration))
    return [fault for fault in faults if fault.at < length]


def inject(rig: Any, faults: list[Fault], length: float) -> None:
    """Inject each fault at its time, and undo it after its duration."""
    schedule = sched.scheduler(time.monotonic, time.sleep)
    for fault in faults:
        schedule.enter(fault.at, 0, _inject, (rig, schedule, fault))
    schedule.enter(length, 1, lambda: None)
    schedule.run()


def _inject(rig, schedule, fault):
    undo = KINDS[fault.kind](rig, fault)
    for delay, action in undo:
        schedule.enter(delay, 0, action)


def _target_instance(rig, fault):
    return rig.instances[fault.target % len(rig.instances)]


def _target_executor(rig, fault):
    return rig.executors[fault.target % len(rig.executors)]


def _record_disturbance(instance, duration):
    """Note a fault; before it is injected, as clients see it at once."""
    now = clocks.boottime()
    instance.disturbances.append((now, now + duration))


def _is_alive(target):
    return target.process.popen.poll() is None


def _restart_process(start, target, process):
    """Start the next incarnation, unless another fault has done so."""
    if target.process.popen is process:
        process.wait(EXIT_TIMEOUT)
        start(target)


Undo = list[tuple[float, Callable[[], None]]]
"""Actions that undo a fault, each after a delay in seconds."""


def _kill_instance(rig, fault) -> Undo:
    instance = _target_instance(rig, fault)
    if not _is_alive(instance):
        return []
    _record_disturbance(instance, RESTART_DELAY + fault.duration)
    rig.kill(instance)
    return [(RESTART_DELAY, lambda: rig.start_instance(instance))]


def _kill_all(rig, fault) -> Undo:
    """Kill every instance at once in one draw of three, else only one."""
    if fault.target % 3:
        return _kill_instance(rig, fault)
    undo = []
    for instance in rig.instances:
        if _is_alive(instance):
            _record_disturbance(instance, RESTART_DELAY + fault.duration)
            rig.kill(instance)
            undo.append(
                (
                    RESTART_DELAY,
                    lambda instance=instance: rig.start_instance(instance),
                )
            )
    return undo


def _terminate_instance(rig, fault) -> Undo:
    instance = _target_instance(rig, fault)
    if not _is_alive(instance):
        return []
    undisturbed_since = max(
        [0.0, *(until for _, until in instance.disturbances)]
    )
    _record_disturbance(instance, SHUTDOWN_TIME + RESTART_DELAY)
    began = instance.disturbances[-1][0]
    rig.terminations.setdefault(instance.name, []).append(
        (began, undisturbed_since)
    )
    rig.signal(instance, signal.SIGTERM)

    process = instance.process.popen
    return [
        (
            SHUTDOWN_TIME,
            lambda: _restart_process(rig.start_instance, instance, process),
        )
    ]


def _freeze_instance(rig, fault) -> Undo:
    instance = _target_instance(rig, fault)
    if not _is_alive(instance):
        return []
    process = instance.process.popen
    _record_disturbance(instance, fault.duration)
    process.send_signal(signal.SIGSTOP)
    instance.freezes.append(instance.disturbances[-1])
    return [(fault.duration, lambda: process.send_signal(signal.SIGCONT))]


def _reload_instance(rig, fault) -> Undo:
    instance = _target_instance(rig, fault)
    if _is_alive(instance):
        rig.signal(instance, signal.SIGHUP)
    return []


def _kill_executor(rig, fault) -> Undo:
    executor = _target_executor(rig, fault)
    if not _is_alive(executor):
        return []
    rig.kill(executor)
    return [(fault.duration, lambda: rig.start_executor(executor))]


def _drain_executor(rig, fault) -> Undo:
    executor = _target_executor(rig, fault)
    if not _is_alive(executor):
        return []
    rig.signal(executor, signal.SIGTERM)

    process = executor.process.popen

    def replace():
        if executor.process.popen is process:
            process.wait(EXIT_TIMEOUT)
            executor.end_times.append(clocks.boottime())
        _restart_process(rig.start_executor, executor, process)

    return [(DRAIN_TIME, replace)]


def _spoil_executor(rig, fault) -> Undo:
    """Let an executor fail tasks, stall or lose answers."""
    executor = _target_executor(rig, fault)
    choices = ({"fail": True}, {"stall": True}, {"mute": 3})
    url = f"http://127.0.0.1:{executor.port}"
    if not _is_alive(executor):
        return []
    fields = choices[fault.target % 3]
    rig.call_later(lambda: rig.set_faults(url, **fields))

    def clear():
        if _is_alive(executor):
            rig.call_later(lambda: rig.set_faults(url))

    return [(fault.duration, clear)]


def _disturb_executor(rig, fault) -> Undo:
    """Disturb the connections of all instances to an executor."""
    return _disturb_connections(_target_executor(rig, fault).proxy, fault)


def _disturb_store(rig, fault) -> Undo:
    """Disturb the connections of one instance to the store."""
    instance = _target_instance(rig, fault)
    _record_disturbance(instance, fault.duration)
    return _disturb_connections(instance.proxy, fault)


def _disturb_connections(proxy, fault) -> Undo:
    choice = fault.target % 5
    if choice == 0:
        proxy.stall_open_connections()
        return []
    if choice == 1:
        proxy.cut()
        return [(fault.duration, proxy.restore)]
    proxy.disturb(("silent", "one way", "slow")[choice - 2])
    return [(fault.duration, proxy.clear_disturbance)]


def _store_down(rig, fault) -> Undo:
    """Pause the store, or let it refuse requests or lose answers."""
    for instance in rig.instances:
        _record_disturbance(instance, fault.duration)
    choice = fault.target % 3
    if choice == 0:
        process = rig.store.popen
        process.send_signal(signal.SIGSTOP)
        return [(fault.duration, lambda: process.send_signal(signal.SIGCONT))]
    fields = {"down": True} if choice == 1 else {"lose": 2}
    rig.call_later(lambda: rig.set_faults(rig.store_url, **fields))

    def clear():
        rig.call_later(lambda: rig.set_faults(rig.store_url))

    return [(fault.duration, clear)]


def _publish(rig, fault) -> Undo:
    routes = tuple(f"r{fault.target % 7 + index}" for index in range(2))
    rig.call_later(lambda: rig.publish(routes))
    return []


KINDS: dict[str, Callable[[Any, Fault], Undo]] = {
    "kill all": _kill_all,
    "kill instance": _kill_instance,
    "terminate instance": _terminate_instance,
    "freeze instance": _freeze_instance,
    "reload instance": _reload_instance,
    "kill executor": _kill_executor,
    "drain executor": _drain_executor,
    "spoil executor": _spoil_executor,
    "disturb executor": _disturb_executor,
    "disturb store": _disturb_store,
    "store down": _store_down,
    "publish": _publish,
}
"""Functions that inject a fault, by its kind."""
