"""Faults of a soak: drawn from a seed, injected from outside."""

from __future__ import annotations

import math
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
CRASH_DELAYS = (0.4, 1.2, 3.0)
"""Seconds until an executor that ended by itself is started again."""
SHUTDOWN_TIME = 6.5
"""Seconds from SIGTERM until an instance is expected to have exited."""
WATCH_INTERVAL = 0.05
"""Seconds between two looks for processes that have ended."""
SHRINK_TIME = 4.0
"""Seconds by which a smaller capacity lasts longer than other faults."""
CRASH_SHARE = 0.1
"""Share of the jobs whose task crashes its executor, while there are any."""
LONG_FREEZE_TIME = 4.0
"""Seconds of a freeze in which callers submit their jobs elsewhere."""
OUTAGE_TIME = 4.5
"""Seconds of an outage of the store in which entries of executors expire."""
RESTART_GAP = 0.5
"""Seconds between the ends of two instances that are restarted in turn."""
EVACUATION_TIME = 8.0
"""Seconds by which an evacuation lasts longer than other faults; it has to be
in force after 5 s."""
CREST_TIME = 2.0
"""Seconds by which a crest lasts longer than other faults."""
DURATIONS = (0.3, 0.8, 1.5, 3.0)
"""Seconds that a fault lasts."""
SERIES_SHARE = 0.3
"""Share of the faults that a series of faults follows."""
SERIES_GAP = 0.5
"""Longest time in seconds between two faults of a series."""


NESTING = 50_000
_ENTRY = (
    b'{"service":"desk","addr":"127.0.0.1:%s","zone":"d0","version":"v1",'
    b'"slots":%s,"state":"ready","cold_left_ms":0,"seq_no":1,'
    b'"capacity":{"cpu":%s,"mem_mb":32768,"gpu":0},'
    b'"labels":%s,"born":%s}'
)
_BORN = b"1700000000000"
ODD_ENTRIES = (
    _ENTRY % (b"99999", b"8", b"8000", b"[]", _BORN),
    _ENTRY % (b"0", b"8", b"8000", b"[]", _BORN),
    _ENTRY % (b"-1", b"8", b"8000", b"[]", _BORN),
    _ENTRY % (b"9" * 5000, b"8", b"8000", b"[]", _BORN),
    _ENTRY % (b"1", b"8", b"9" * 5000, b"[]", _BORN),
    _ENTRY % (b"1", b"1e999", b"1e999", b"[]", _BORN),
    _ENTRY % (b"1", b"8", b"9" * 40, b"[]", b"9" * 40),
    _ENTRY % (b"1", b"8", b"8000", b"[" * NESTING + b"]" * NESTING, _BORN),
    b"[" * NESTING,
    b'{"a":' * NESTING,
    b"\xff\xfe\x00",
)
"""Entries of another writer that name no executor."""


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
    seed: int,
    count: int,
    length: float,
    kinds: Sequence[str] = (),
    series_share: float = SERIES_SHARE,
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
        Keys of `KINDS`; when empty all, those of `DOMAIN_KINDS` drawn apart.
    series_share : float
        Share of the faults that a series follows.
    """
    rng = random.Random(f"faults/{seed}")
    faults = []
    at = 0.0
    for _ in range(count):
        # One fault in three follows soon, often while the last one lasts.
        at += (
            rng.choice((0.1, 1.0, 1.0)) * 2.0 * rng.random() * (length / count)
        )
        kind = rng.choice(sorted(kinds or MIXED_KINDS))
        duration = rng.choice(DURATIONS)
        faults.append(Fault(at, kind, rng.randrange(1000), duration))
    series = [
        each
        for number, fault in enumerate(faults)
        for each in _draw_series(
            fault,
            random.Random(f"series/{seed}/{number}"),
            kinds or MIXED_KINDS,
            series_share,
        )
    ]
    if not kinds:
        series += _draw_domain_faults(seed, length)
    return [fault for fault in sorted(faults + series) if fault.at < length]


def _draw_domain_faults(seed, length):
    """Draw one or two faults of each of `DOMAIN_KINDS`."""
    rng = random.Random(f"domains/{seed}")
    return [
        Fault(
            rng.uniform(0.0, length),
            kind,
            rng.randrange(1000),
            rng.choice(DURATIONS),
        )
        for kind in sorted(DOMAIN_KINDS)
        for _ in range(rng.randint(1, 2))
    ]


def _draw_series(first, rng, kinds, share):
    """Draw faults of the same family that follow a fault closely."""
    if rng.random() >= share:
        return []
    (family,) = (family for family in FAMILIES if first.kind in family)
    at = first.at
    series = []
    for _ in range(rng.randint(2, 4)):
        at += rng.uniform(0.0, SERIES_GAP)
        kind = rng.choice([kind for kind in family if kind in kinds])
        target = first.target + rng.choice((0, 0, 1))
        series.append(Fault(at, kind, target, first.duration))
    return series


def inject(rig: Any, faults: list[Fault], settle_time: float) -> None:
    """Inject each fault at its time, and undo it after its duration.

    Processes that end meanwhile are started again, until `settle_time`
    seconds after the last fault.
    """
    schedule = sched.scheduler(time.monotonic, time.sleep)
    for fault in faults:
        schedule.enter(fault.at, 0, _inject, (rig, schedule, fault))
    last = max((fault.at for fault in faults), default=0.0)
    rig.last_fault_at = clocks.boottime() + last
    _watch(rig, schedule, random.Random(len(faults)), settle_time)
    schedule.run()


def _inject(rig, schedule, fault):
    for delay, action in KINDS[fault.kind](rig, fault):
        schedule.enter(delay, 0, _undo, (rig, action))


def _undo(rig, action):
    action()
    rig.last_fault_at = max(rig.last_fault_at, clocks.boottime())


def _watch(rig, schedule, rng, settle_time):
    """Start the processes again that have ended, at each interval."""
    for executor in filter(rig.note_exit, rig.executors):
        delay = rng.choice(CRASH_DELAYS)
        schedule.enter(delay, 0, _undo, (rig, _restart(rig, executor)))
    for instance in filter(rig.note_exit, rig.instances):
        if not instance.is_terminating:
            status = instance.process.popen.returncode
            rig.violations.append(
                f"{instance.name} ended by itself, status {status}"
            )
            _record_disturbance(instance, RESTART_DELAY)
        action = _restart(rig, instance)
        schedule.enter(RESTART_DELAY, 0, _undo, (rig, action))
    if clocks.boottime() < rig.last_fault_at + settle_time:
        args = (rig, schedule, rng, settle_time)
        schedule.enter(WATCH_INTERVAL, 1, _watch, args)


def _restart(rig, target):
    """Return an action that starts the next incarnation, if none runs."""
    return lambda: rig.restart(target)


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


Undo = list[tuple[float, Callable[[], None]]]
"""Actions that undo a fault, each after a delay in seconds."""


def _kill_instance(rig, fault) -> Undo:
    instance = _target_instance(rig, fault)
    if not _is_alive(instance):
        return []
    _record_disturbance(instance, RESTART_DELAY + fault.duration)
    rig.kill(instance)
    return [(RESTART_DELAY, _restart(rig, instance))]


def _kill_all(rig, fault) -> Undo:
    """Kill every instance at once in one draw of three, else only one."""
    if fault.target % 3:
        return _kill_instance(rig, fault)
    undo = []
    for instance in rig.instances:
        if _is_alive(instance):
            _record_disturbance(instance, RESTART_DELAY + fault.duration)
            rig.kill(instance)
            action = _restart(rig, instance)
            undo.append((RESTART_DELAY, action))
    return undo


def _terminate_instance(rig, fault) -> Undo:
    """Send SIGTERM, and SIGKILL if the process does not end in time."""
    instance = _target_instance(rig, fault)
    if not _is_alive(instance):
        return []
    if instance.is_terminating:
        rig.signal(instance, signal.SIGTERM)
        return []
    began = _record_termination(rig, instance)
    rig.signal(instance, signal.SIGTERM)
    process = instance.process.popen

    def kill():
        if instance.process.popen is process and process.poll() is None:
            if all(until < began for _, until in instance.freezes):
                rig.violations.append(f"{instance.name} ignored SIGTERM")
            process.kill()

    return [(SHUTDOWN_TIME, kill)]


def _record_termination(rig, instance):
    """Note that an instance is about to get SIGTERM; return when."""
    undisturbed_since = max(
        [0.0, *(until for _, until in instance.disturbances)]
    )
    _record_disturbance(instance, SHUTDOWN_TIME + RESTART_DELAY)
    began = instance.disturbances[-1][0]
    rig.terminations.setdefault(instance.name, []).append(
        (began, undisturbed_since)
    )
    instance.is_terminating = True
    return began


def _freeze_instance(rig, fault) -> Undo:
    return _freeze(_target_instance(rig, fault), fault.duration)


def _freeze_for_long(rig, fault) -> Undo:
    """Freeze one to three instances until callers have gone elsewhere."""
    undo = []
    for number in range(1 + fault.target % 3):
        other = fault._replace(target=fault.target + number)
        undo += _freeze(
            _target_instance(rig, other), LONG_FREEZE_TIME - 0.4 * number
        )
    return undo


def _freeze(instance, duration) -> Undo:
    if not _is_alive(instance):
        return []
    process = instance.process.popen
    _record_disturbance(instance, duration)
    process.send_signal(signal.SIGSTOP)
    instance.freezes.append(instance.disturbances[-1])
    return [(duration, lambda: process.send_signal(signal.SIGCONT))]


def _restart_in_turn(rig, fault) -> Undo:
    """Restart the instances in turn while entries expire in an outage.

    Those of which the target is one are the last; they are stopped as the
    store is back.
    """
    count = len(rig.instances)
    undo = _take_store_down(rig, OUTAGE_TIME, {"down": True})
    for number in range(count):
        each = fault._replace(target=fault.target + 1 + number)
        delay = number * RESTART_GAP
        if number >= count - 2:
            delay = max(delay, OUTAGE_TIME + 0.1 * number)
        undo.append((delay, lambda each=each: _terminate(rig, each)))
    return undo


def _terminate(rig, fault):
    """Send SIGTERM to an instance, unless it has ended."""
    instance = _target_instance(rig, fault)
    if not _is_alive(instance) or instance.is_terminating:
        return
    _record_termination(rig, instance)
    rig.signal(instance, signal.SIGTERM)


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
    return [(fault.duration, _restart(rig, executor))]


def _drain_executor(rig, fault) -> Undo:
    executor = _target_executor(rig, fault)
    if _is_alive(executor):
        rig.signal(executor, signal.SIGTERM)
    return []


def _spoil_executor(rig, fault) -> Undo:
    """Let an executor fail tasks, stall or lose answers."""
    choices = ({"fail": True}, {"stall": True}, {"mute": 3})
    fields = choices[fault.target % 3]
    return _set_faults(rig, fault, fault.duration, **fields)


def _resize_executor(rig, fault) -> Undo:
    """Shrink the capacity of an executor, and let it grow again."""
    cpu = (0, 2000, 5000)[fault.target % 3]
    return _set_faults(rig, fault, fault.duration + SHRINK_TIME, cpu=cpu)


def _set_faults(rig, fault, duration, **fields) -> Undo:
    executor = _target_executor(rig, fault)
    if not _is_alive(executor):
        return []
    url = executor.faults_url
    rig.call_later(lambda: rig.set_faults(url, **fields))

    def clear():
        if _is_alive(executor):
            rig.call_later(lambda: rig.set_faults(url))

    return [(duration, clear)]


def _crash_executors(rig, fault) -> Undo:
    """Let some jobs crash each executor that starts their task."""
    rig.crash_share = CRASH_SHARE

    def stop():
        rig.crash_share = 0.0

    return [(fault.duration, stop)]


def _delay_orders(rig, fault) -> Undo:
    """Deliver some requests late, to one executor or to a domain's."""
    first = _target_executor(rig, fault)
    undo = []
    for executor in rig.executors:
        if executor is first or (
            fault.target % 2 and executor.domain == first.domain
        ):
            rng = random.Random(f"{executor.name}/{fault.target}")
            executor.proxy.delay_requests(rng)
            undo.append((fault.duration, executor.proxy.clear_disturbance))
    return undo


def _write_odd_entry(rig, fault) -> Undo:
    """Let another writer add an entry among those of the executors."""
    name = f"odd{fault.target % len(ODD_ENTRIES)}"
    entry = ODD_ENTRIES[fault.target % len(ODD_ENTRIES)]
    rig.call_later(lambda: rig.write_entry(name, entry))
    return []


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
    choice = fault.target % 3
    if choice == 0:
        for instance in rig.instances:
            _record_disturbance(instance, fault.duration)
        end_outage = _begin_span(rig.outages)
        process = rig.store.popen
        process.send_signal(signal.SIGSTOP)

        def resume():
            process.send_signal(signal.SIGCONT)
            end_outage()

        return [(fault.duration, resume)]
    fields = {"down": True} if choice == 1 else {"lose": 2}
    return _take_store_down(rig, fault.duration, fields)


def _take_store_down(rig, duration, fields) -> Undo:
    for instance in rig.instances:
        _record_disturbance(instance, duration)
    end_outage = _begin_span(rig.outages) if "down" in fields else None
    rig.call_later(lambda: rig.set_faults(rig.store_url, **fields))

    def clear():
        rig.call_later(lambda: rig.set_faults(rig.store_url))
        if end_outage is not None:
            rig.call_later(end_outage)

    return [(duration, clear)]


def _begin_span(spans):
    """Note a span that begins now; return a function that ends it."""
    span = [clocks.boottime(), math.inf]
    spans.append(span)

    def end():
        span[1] = clocks.boottime()

    return end


def _publish(rig, fault) -> Undo:
    routes = tuple(f"r{fault.target % 7 + index}" for index in range(2))
    rig.call_later(lambda: rig.publish(routes))
    return []


def _target_domain(rig, fault):
    domains = sorted({each.domain for each in rig.instances})
    return domains[fault.target % len(domains)]


def _evacuate_domain(rig, fault) -> Undo:
    domain = _target_domain(rig, fault)
    end_scarcity = _begin_span(rig.scarcities)
    rig.evacuate_later(domain)

    def withdraw():
        end_scarcity()
        rig.withdraw_later(domain)

    return [(fault.duration + EVACUATION_TIME, withdraw)]


def _raise_crest(rig, fault) -> Undo:
    """Let the clients of a failure domain send more jobs."""
    rig.crest_domain = _target_domain(rig, fault)
    end_scarcity = _begin_span(rig.scarcities)

    def stop():
        end_scarcity()
        rig.crest_domain = ""

    return [(fault.duration + CREST_TIME, stop)]


INSTANCE_KINDS: dict[str, Callable[[Any, Fault], Undo]] = {
    "kill all": _kill_all,
    "kill instance": _kill_instance,
    "terminate instance": _terminate_instance,
    "freeze instance": _freeze_instance,
    "freeze for long": _freeze_for_long,
    "restart in turn": _restart_in_turn,
    "reload instance": _reload_instance,
}
EXECUTOR_KINDS: dict[str, Callable[[Any, Fault], Undo]] = {
    "kill executor": _kill_executor,
    "drain executor": _drain_executor,
    "spoil executor": _spoil_executor,
    "disturb executor": _disturb_executor,
    "resize executor": _resize_executor,
    "crash executors": _crash_executors,
    "delay orders": _delay_orders,
}
STORE_KINDS: dict[str, Callable[[Any, Fault], Undo]] = {
    "disturb store": _disturb_store,
    "store down": _store_down,
    "publish": _publish,
    "odd entry": _write_odd_entry,
}
DOMAIN_KINDS: dict[str, Callable[[Any, Fault], Undo]] = {
    "crest": _raise_crest,
    "evacuate domain": _evacuate_domain,
}
"""These are drawn apart, so that seeds go on drawing the faults that they
drew before these existed, as their records name seeds."""
FAMILIES = (INSTANCE_KINDS, EXECUTOR_KINDS, STORE_KINDS, DOMAIN_KINDS)
"""Kinds of fault that occur in series."""
MIXED_KINDS = INSTANCE_KINDS | EXECUTOR_KINDS | STORE_KINDS
KINDS = MIXED_KINDS | DOMAIN_KINDS
"""Functions that inject a fault, by its kind."""
