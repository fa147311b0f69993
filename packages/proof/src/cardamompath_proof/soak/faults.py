"""Faults of a soak: drawn from a seed, carried out from outside."""

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
    "play",
]

RESTART = 0.6
"""Seconds until a process that ended is started again."""
GRACE = 6.5
"""Seconds after SIGTERM in which a process has to end."""
DRAIN = 2.5
"""Seconds until an executor that drains is gone."""
LIMIT = 30.0
"""Seconds for a process to end."""


class Fault(NamedTuple):
    """What happens to whom, and for how long."""

    at: float
    """Seconds from the start of the soak."""
    kind: str
    target: int
    """Index of an instance or executor, modulo their number."""
    lasts: float


def draw(
    seed: int, count: int, length: float, kinds: Sequence[str] = ()
) -> list[Fault]:
    """Draw the faults of a soak; some overlap, some come in series.

    Parameters
    ----------
    seed : int
        Seed of the draw.
    count : int
        About how many.
    length : float
        Seconds in which they come.
    kinds : sequence of str
        Keys of `KINDS`; all when empty.
    """
    rng = random.Random(f"faults/{seed}")
    faults = []
    at = 0.0
    for _ in range(count):
        # One in three follows at once, or during the last one.
        at += (
            rng.choice((0.1, 1.0, 1.0)) * 2.0 * rng.random() * (length / count)
        )
        kind = rng.choice(sorted(kinds or KINDS))
        lasts = rng.choice((0.3, 0.8, 1.5, 3.0))
        faults.append(Fault(at, kind, rng.randrange(1000), lasts))
    return [one for one in faults if one.at < length]


def play(rig: Any, faults: list[Fault], length: float) -> None:
    """Carry faults out in turn, and undo each one when it is over."""
    plan = sched.scheduler(time.monotonic, time.sleep)
    for fault in faults:
        plan.enter(fault.at, 0, _begin, (rig, plan, fault))
    plan.enter(length, 1, lambda: None)
    plan.run()


def _begin(rig, plan, fault):
    undo = KINDS[fault.kind](rig, fault)
    for delay, action in undo:
        plan.enter(delay, 0, action)


def _instance(rig, fault):
    return rig.instances[fault.target % len(rig.instances)]


def _executor(rig, fault):
    return rig.executors[fault.target % len(rig.executors)]


def _disturb(one, lasts):
    now = clocks.boottime()
    one.disturbed.append((now, now + lasts))


def _alive(one):
    return one.process.process.poll() is None


def _replace(start, one, process):
    """Start the next life, unless another fault has done so."""
    if one.process.process is process:
        process.wait(LIMIT)
        start(one)


Undo = list[tuple[float, Callable[[], None]]]


def _kill_instance(rig, fault) -> Undo:
    one = _instance(rig, fault)
    if not _alive(one):
        return []
    rig.end(one)
    _disturb(one, RESTART + fault.lasts)
    return [(RESTART, lambda: rig.start_instance(one))]


def _kill_all(rig, fault) -> Undo:
    """Kill every instance at once, on some of these draws."""
    if fault.target % 3:
        return _kill_instance(rig, fault)
    undo = []
    for one in rig.instances:
        if _alive(one):
            rig.end(one)
            _disturb(one, RESTART + fault.lasts)
            undo.append((RESTART, lambda one=one: rig.start_instance(one)))
    return undo


def _terminate_instance(rig, fault) -> Undo:
    one = _instance(rig, fault)
    if not _alive(one):
        return []
    clean = max([0.0, *(until for _, until in one.disturbed)])
    _disturb(one, GRACE + RESTART)
    began = one.disturbed[-1][0]
    rig.terminated.setdefault(one.name, []).append((began, clean))
    rig.signal(one, signal.SIGTERM)

    process = one.process.process
    return [(GRACE, lambda: _replace(rig.start_instance, one, process))]


def _freeze_instance(rig, fault) -> Undo:
    one = _instance(rig, fault)
    if not _alive(one):
        return []
    process = one.process.process
    process.send_signal(signal.SIGSTOP)
    _disturb(one, fault.lasts)
    one.frozen.append(one.disturbed[-1])
    return [(fault.lasts, lambda: process.send_signal(signal.SIGCONT))]


def _reload_instance(rig, fault) -> Undo:
    one = _instance(rig, fault)
    if _alive(one):
        rig.signal(one, signal.SIGHUP)
    return []


def _kill_executor(rig, fault) -> Undo:
    one = _executor(rig, fault)
    if not _alive(one):
        return []
    rig.end(one)
    return [(fault.lasts, lambda: rig.start_executor(one))]


def _drain_executor(rig, fault) -> Undo:
    one = _executor(rig, fault)
    if not _alive(one):
        return []
    rig.signal(one, signal.SIGTERM)

    process = one.process.process

    def replace():
        if one.process.process is process:
            process.wait(LIMIT)
            one.ended.append(clocks.boottime())
        _replace(rig.start_executor, one, process)

    return [(DRAIN, replace)]


def _spoil_executor(rig, fault) -> Undo:
    """Let an executor fail, stall or lose answers."""
    one = _executor(rig, fault)
    fields = ({"fail": True}, {"stall": True}, {"mute": 3})
    url = f"http://127.0.0.1:{one.port}"
    if not _alive(one):
        return []
    spoiled = fields[fault.target % 3]
    rig.later(lambda: rig.set_faults(url, **spoiled))

    def mend():
        if _alive(one):
            rig.later(lambda: rig.set_faults(url))

    return [(fault.lasts, mend)]


def _disturb_executor(rig, fault) -> Undo:
    """Disturb the path of all instances to an executor."""
    return _disturb_path(_executor(rig, fault).proxy, fault)


def _disturb_store(rig, fault) -> Undo:
    """Disturb the path of one instance to the store."""
    one = _instance(rig, fault)
    _disturb(one, fault.lasts)
    return _disturb_path(one.proxy, fault)


def _disturb_path(way, fault) -> Undo:
    how = fault.target % 5
    if how == 0:
        way.silence_open()
        return []
    if how == 1:
        way.cut()
        return [(fault.lasts, way.restore)]
    way.disturb(("silent", "one way", "slow")[how - 2])
    return [(fault.lasts, way.calm)]


def _store_down(rig, fault) -> Undo:
    """Let the store refuse, stand still or lose answers."""
    for one in rig.instances:
        _disturb(one, fault.lasts)
    how = fault.target % 3
    if how == 0:
        process = rig.store.process
        process.send_signal(signal.SIGSTOP)
        return [(fault.lasts, lambda: process.send_signal(signal.SIGCONT))]
    fields = {"down": True} if how == 1 else {"lose": 2}
    rig.later(lambda: rig.set_faults(rig.store_url, **fields))

    def mend():
        rig.later(lambda: rig.set_faults(rig.store_url))

    return [(fault.lasts, mend)]


def _publish(rig, fault) -> Undo:
    names = tuple(f"r{fault.target % 7 + one}" for one in range(2))
    rig.later(lambda: rig.publish(names))
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
