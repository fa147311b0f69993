"""Steps that do something to a run."""

from __future__ import annotations

from cardamompath_proof.harness import callers
from cardamompath_proof.scenarios import errors
from cardamompath_proof.scenarios import steps
from cardamompathd import messages

__all__ = [
    "ACTIONS",
]

FIRST_NOTE = "n1"
"""The note that declares what the scenario declares; revision 1."""

SETTLE = 0.5
"""Seconds from the start of instances until the first step."""

ROUND_TRIP = 0.01
"""Seconds in which an identifier is certainly answered."""

MANY = 50
"""Tasks of a submission from which on it is a burst."""

BACKEND_FIELDS = ("service", "domain", "host", "port", "slots")
"""Fields of a backend server that a note gives."""

STRAGGLING = 30
"""How many times longer a straggler runs."""


def _instances(world, names, domain):
    for name in names:
        world.add_instance(name, domain)


def _backends(world, names, domain, *options):
    declared = steps.DeclareBackends(names, domain, **_merged(options))
    for name in names:
        world.add_backend(
            name, domain, declared.service, declared.slots, declared.speed
        )


def _merged(options):
    return {key: one for each in options for key, one in each.items()}


def _start(world, names=None):
    if FIRST_NOTE not in world.operators.offsets:
        world.operators.publish(FIRST_NOTE, _first_note(world))
    for name in names or world.instances:
        world.instances[name].boot()
    world.net.refresh(world.queue.now)
    world.operators.watch()
    world.advance(SETTLE)


def _first_note(world):
    specs = [one.spec for one in world.backends.values()]
    return {
        "base": 0,
        "operator": "ana",
        "added": {
            "services": {one.service: {} for one in specs},
            "backends": {one.name: _fields(one) for one in specs},
        },
    }


def _fields(spec):
    return {key: getattr(spec, key) for key in BACKEND_FIELDS}


def _after(world, seconds):
    world.advance(seconds)


def _kill(world, names):
    for name in names:
        world.instances[name].kill()
    world.used.add("process-death")


def _restart(world, names):
    for name in names:
        world.instances[name].kill()
        world.instances[name].boot()
    world.used.add("process-death")


def _pause(world, names):
    for name in names:
        world.instances[name].pause()
    world.used.add("pause")


def _resume(world, names):
    for name in names:
        world.instances[name].resume()


def _drain(world, names):
    for name in names:
        world.instances[name].stop()
    world.used.add("graceful")


def _submit(world, label, names, count, *options):
    work = steps.Work(count, **_merged(options))
    known = world.callers.declare(label, _spec(world, label, work))
    if not known.job:
        _identify(world, label, names[0])
    if known.job:
        _send(world, label, names)


def _spec(world, label, work, single=False):
    span = work.longest - work.shortest
    works = [
        round(work.shortest + span * index / max(1, work.count - 1), 3)
        for index in range(work.count)
    ]
    if work.straggler is not None:
        works[-1] = work.straggler
    _note_work(world, work, works)
    return callers.make_spec(
        label,
        work.service,
        tuple(works),
        work.timeout,
        single,
        work.idempotent,
        work.declared,
    )


def _note_work(world, work, works):
    if work.count >= MANY:
        world.used.add("burst")
    if max(works) >= STRAGGLING * min(works):
        world.used.add("straggler")
    if work.declared is not None and work.declared != work.shortest:
        world.used.add("wrong-sizes")
    served = {one.spec.service for one in world.backends.values()}
    if work.service not in served or min(works) > work.timeout:
        world.used.add("never-runs")
    if max(works) > work.timeout:
        world.used.add("late-answers")


def _identify(world, label, name):
    if label not in world.callers.submissions:
        spec = _spec(world, label, steps.Work())
        world.callers.declare(label, spec)
    world.callers.issue(label, name)
    world.advance(ROUND_TRIP)


def _send(world, label, names):
    for name in names:
        world.callers.submit(label, name)
    if len(names) > 1:
        world.used.add("resubmission")


def _request(world, label, name, *options):
    work = steps.Work(1, **_merged(options))
    if label in world.callers.submissions:
        raise errors.ExpectationError(f"request {label!r} is sent again")
    spec = _spec(world, label, work, single=True)
    world.callers.declare(label, spec)
    world.callers.submit(label, name)
    if not work.idempotent:
        world.used.add("non-idempotent")


def _resubmit(world, label, names):
    _send(world, label, names)
    world.used.add("resubmission")


def _wait_for(world, label, names):
    for name in names:
        world.callers.ask(label, name, messages.AwaitJob)


def _cancel(world, labels, name):
    for label in labels:
        world.callers.ask(label, name, messages.CancelJob)
    world.used.add("cancellation")


def _log(world, step):
    getattr(_LogStates, step.kind)(world, *step.args)
    world.net.platform_up = world.log.up
    world.net.refresh(world.queue.now)


class _LogStates:
    """What a log can be told to do."""

    @staticmethod
    def log_down(world):
        world.log.up = False
        world.used.add("log-down")

    @staticmethod
    def log_up(world):
        world.log.up = True

    @staticmethod
    def log_slow(world, seconds):
        world.log.slowness = seconds
        world.used.add("log-slow")

    @staticmethod
    def log_silent(world):
        for one in world.instances.values():
            for follower in one.followers:
                follower.hang()
        world.used.add("silent-connection")

    @staticmethod
    def log_keeps(world, count, stream):
        world.log.keep[stream] = count
        world.used.add("retention")

    @staticmethod
    def log_loses(world, count):
        world.log.lose_answers = count
        world.used.add("lost-answer")

    @staticmethod
    def log_takes(world, rate):
        world.log.rate = rate
        world.used.add("log-slow")


def _cut(world, one, others):
    for other in others:
        world.net.cut(one, other, world.queue.now)
    world.used.add("partition")


def _heal(world, one=None, others=()):
    for other in others:
        world.net.heal(one, other, world.queue.now)
    if one is None:
        for cut in list(world.net.cuts):
            world.net.heal(*cut, world.queue.now)


def _network_loses(world, percent):
    world.net.loss = percent / 100
    world.used.add("late-answers")


def _network_adds(world, seconds):
    world.net.extra = seconds
    world.used.add("late-answers")


def _backend_mode(world, names, mode):
    for name in names:
        world.backends[name].mode = mode
    failure = _MODE_FAILURES.get(mode)
    if failure is not None:
        world.used.add(failure)


_MODE_FAILURES = {
    "crashing": "backend-death",
    "down": "backend-death",
    "failing": "failing-backend",
    "silent": "silent-connection",
}


def _silence(world, names):
    for name in names:
        one = world.backends[name]
        one.silent_connections = set(world.instances)
    world.used.add("silent-connection")


def _leave(world, names):
    for name in names:
        world.leave(name)


def _note(world, label, base, *changes):
    note = {"base": base, "operator": label, "added": {}, "changed": {}}
    note["withdrawn"] = {}
    for change in changes:
        _CHANGES[change.kind](world, note, *change.args)
    if base in world.operators.bases:
        world.used.add("racing-notes")
    world.operators.bases.add(base)
    world.operators.publish(label, note)
    world.used.add("configuration")


def _add(section):
    def add(world, note, name, **fields):
        note["added"].setdefault(section, {})[name] = fields

    return add


def _add_backend(world, note, name):
    fields = _fields(world.backends[name].spec)
    _add("backends")(world, note, name, **fields)


def _add_team(world, note, name, share):
    _add("teams")(world, note, name, share=share)


def _change_timeout(world, note, service, seconds):
    section = note["changed"].setdefault("services", {})
    section[service] = {"timeout": seconds}


def _withdraw(world, note, kind, name):
    note["withdrawn"].setdefault(f"{kind}s", []).append(name)


_CHANGES = {
    "add_backend": _add_backend,
    "add_service": _add("services"),
    "add_team": _add_team,
    "change_timeout": _change_timeout,
    "withdraw": _withdraw,
}

ACTIONS = {
    "after": _after,
    "backend_mode": _backend_mode,
    "backends": _backends,
    "cancel": _cancel,
    "cut": _cut,
    "drain": _drain,
    "heal": _heal,
    "identify": _identify,
    "instances": _instances,
    "kill": _kill,
    "leave": _leave,
    "log": _log,
    "network_adds": _network_adds,
    "network_loses": _network_loses,
    "note": _note,
    "pause": _pause,
    "request": _request,
    "restart": _restart,
    "resubmit": _resubmit,
    "resume": _resume,
    "silence": _silence,
    "start_instances": _start,
    "submit": _submit,
    "wait_for": _wait_for,
}
"""From the name of a rule of the grammar to what it does."""
