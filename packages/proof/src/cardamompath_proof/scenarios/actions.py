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


def _instances(sim, names, domain):
    for name in names:
        sim.add_instance(name, domain)


def _backends(sim, names, domain, *options):
    declared = steps.DeclareBackends(names, domain, **_merged(options))
    for name in names:
        sim.add_backend(
            name, domain, declared.service, declared.slots, declared.speed
        )


def _merged(options):
    return {key: one for each in options for key, one in each.items()}


def _start(sim, names=None):
    if FIRST_NOTE not in sim.operators.offsets:
        sim.operators.publish(FIRST_NOTE, _first_note(sim))
    for name in names or sim.instances:
        sim.instances[name].boot()
    sim.net.update_reachability(sim.queue.now)
    sim.operators.watch()
    sim.advance(SETTLE)


def _first_note(sim):
    specs = [one.spec for one in sim.backends.values()]
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


def _after(sim, seconds):
    sim.advance(seconds)


def _kill(sim, names):
    for name in names:
        sim.instances[name].kill()
    sim.observed.add("process-death")


def _restart(sim, names):
    for name in names:
        sim.instances[name].kill()
        sim.instances[name].boot()
    sim.observed.add("process-death")


def _pause(sim, names):
    for name in names:
        sim.instances[name].pause()
    sim.observed.add("pause")


def _resume(sim, names):
    for name in names:
        sim.instances[name].resume()


def _drain(sim, names):
    for name in names:
        sim.instances[name].stop()
    sim.observed.add("graceful")


def _submit(sim, label, names, count, *options):
    work = steps.Work(count, **_merged(options))
    known = sim.callers.declare(label, _spec(sim, label, work))
    if not known.job:
        _identify(sim, label, names[0])
    if known.job:
        _send(sim, label, names)


def _spec(sim, label, work, single=False):
    span = work.longest - work.shortest
    works = [
        round(work.shortest + span * index / max(1, work.count - 1), 3)
        for index in range(work.count)
    ]
    if work.straggler is not None:
        works[-1] = work.straggler
    _note_work(sim, work, works)
    return callers.make_spec(
        label,
        work.service,
        tuple(works),
        work.timeout,
        single,
        work.idempotent,
        work.declared,
    )


def _note_work(sim, work, works):
    if work.count >= MANY:
        sim.observed.add("burst")
    if max(works) >= STRAGGLING * min(works):
        sim.observed.add("straggler")
    if work.declared is not None and work.declared != work.shortest:
        sim.observed.add("wrong-sizes")
    served = {one.spec.service for one in sim.backends.values()}
    if work.service not in served or min(works) > work.timeout:
        sim.observed.add("never-runs")
    if max(works) > work.timeout:
        sim.observed.add("late-answers")


def _identify(sim, label, name):
    if label not in sim.callers.submissions:
        spec = _spec(sim, label, steps.Work())
        sim.callers.declare(label, spec)
    sim.callers.issue_job_id(label, name)
    sim.advance(ROUND_TRIP)


def _send(sim, label, names):
    for name in names:
        sim.callers.submit(label, name)
    if len(names) > 1:
        sim.observed.add("resubmission")


def _request(sim, label, name, *options):
    work = steps.Work(1, **_merged(options))
    if label in sim.callers.submissions:
        raise errors.ExpectationError(f"request {label!r} is sent again")
    spec = _spec(sim, label, work, single=True)
    sim.callers.declare(label, spec)
    sim.callers.submit(label, name)
    if not work.idempotent:
        sim.observed.add("non-idempotent")


def _resubmit(sim, label, names):
    _send(sim, label, names)
    sim.observed.add("resubmission")


def _wait_for(sim, label, names):
    for name in names:
        sim.callers.send_job_message(label, name, messages.AwaitJob)


def _cancel(sim, labels, name):
    for label in labels:
        sim.callers.send_job_message(label, name, messages.CancelJob)
    sim.observed.add("cancellation")


def _log(sim, step):
    getattr(_LogStates, step.kind)(sim, *step.args)
    sim.net.platform_up = sim.log.up
    sim.net.update_reachability(sim.queue.now)


class _LogStates:
    """What a log can be told to do."""

    @staticmethod
    def log_down(sim):
        sim.log.up = False
        sim.observed.add("log-down")

    @staticmethod
    def log_up(sim):
        sim.log.up = True

    @staticmethod
    def log_slow(sim, seconds):
        sim.log.extra_latency = seconds
        sim.observed.add("log-slow")

    @staticmethod
    def log_silent(sim):
        for one in sim.instances.values():
            for follower in one.followers:
                follower.hang_poll()
        sim.observed.add("silent-connection")

    @staticmethod
    def log_keeps(sim, count, stream):
        sim.log.max_records[stream] = count
        sim.observed.add("retention")

    @staticmethod
    def log_loses(sim, count):
        sim.log.answers_to_lose = count
        sim.observed.add("lost-answer")

    @staticmethod
    def log_takes(sim, rate):
        sim.log.append_rate = rate
        sim.observed.add("log-slow")


def _cut(sim, one, others):
    for other in others:
        sim.net.cut(one, other, sim.queue.now)
    sim.observed.add("partition")


def _heal(sim, one=None, others=()):
    for other in others:
        sim.net.heal(one, other, sim.queue.now)
    if one is None:
        for cut in list(sim.net.cut_links):
            sim.net.heal(*cut, sim.queue.now)


def _network_loses(sim, percent):
    sim.net.loss_rate = percent / 100
    sim.observed.add("late-answers")


def _network_adds(sim, seconds):
    sim.net.extra_delay = seconds
    sim.observed.add("late-answers")


def _backend_mode(sim, names, mode):
    for name in names:
        sim.backends[name].mode = mode
    failure = _MODE_FAILURES.get(mode)
    if failure is not None:
        sim.observed.add(failure)


_MODE_FAILURES = {
    "crashing": "backend-death",
    "down": "backend-death",
    "failing": "failing-backend",
    "silent": "silent-connection",
}


def _silence(sim, names):
    for name in names:
        one = sim.backends[name]
        one.silent_connections = set(sim.instances)
    sim.observed.add("silent-connection")


def _leave(sim, names):
    for name in names:
        sim.start_leaving(name)


def _note(sim, label, base, *changes):
    note = {"base": base, "operator": label, "added": {}, "changed": {}}
    note["withdrawn"] = {}
    for change in changes:
        _CHANGES[change.kind](sim, note, *change.args)
    if base in sim.operators.base_revisions:
        sim.observed.add("racing-notes")
    sim.operators.base_revisions.add(base)
    sim.operators.publish(label, note)
    sim.observed.add("configuration")


def _add(section):
    def add(sim, note, name, **fields):
        note["added"].setdefault(section, {})[name] = fields

    return add


def _add_backend(sim, note, name):
    fields = _fields(sim.backends[name].spec)
    _add("backends")(sim, note, name, **fields)


def _add_team(sim, note, name, share):
    _add("teams")(sim, note, name, share=share)


def _change_timeout(sim, note, service, seconds):
    section = note["changed"].setdefault("services", {})
    section[service] = {"timeout": seconds}


def _withdraw(sim, note, kind, name):
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
