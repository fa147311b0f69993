"""Steps that act on a run."""

from __future__ import annotations

from cardamompath_proof.harness import callers
from cardamompath_proof.scenarios import errors
from cardamompath_proof.scenarios import steps
from cardamompathd import messages

__all__ = [
    "ACTIONS",
]

FIRST_NOTE = "n1"
"""The note that configures the declared services and backend servers;
revision 1."""

STARTUP_TIME = 0.5
"""Seconds from the start of instances until the next step."""

ROUND_TRIP = 0.01
"""Seconds that suffice for an instance to answer a job identifier."""

BURST_SIZE = 50
"""Number of tasks from which on a submission counts as a burst."""

BACKEND_FIELDS = ("service", "domain", "host", "port", "slots")
"""Fields of a backend server in a note."""

STRAGGLER_FACTOR = 30
"""Ratio of the longest to the shortest task from which on the longest
counts as a straggler."""


def _declare_instances(sim, names, domain):
    for name in names:
        sim.add_instance(name, domain)


def _declare_backends(sim, names, domain, *options):
    merged = steps.BackendOptions(names, domain, **_merge(options))
    for name in names:
        sim.add_backend(
            name, domain, merged.service, merged.slots, merged.speed
        )


def _merge(options):
    return {key: value for option in options for key, value in option.items()}


def _start_instances(sim, names=None):
    if FIRST_NOTE not in sim.operators.offsets:
        sim.operators.publish(FIRST_NOTE, _make_first_note(sim))
    for name in names or sim.instances:
        sim.instances[name].boot()
    sim.net.update_reachability(sim.queue.now)
    sim.operators.watch()
    sim.advance(STARTUP_TIME)


def _make_first_note(sim):
    specs = [backend.spec for backend in sim.backends.values()]
    return {
        "base": 0,
        "operator": "ana",
        "added": {
            "services": {spec.service: {} for spec in specs},
            "backends": {spec.name: _declared_fields(spec) for spec in specs},
        },
    }


def _declared_fields(spec):
    return {key: getattr(spec, key) for key in BACKEND_FIELDS}


def _advance(sim, seconds):
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
    task_options = steps.TaskOptions(count, **_merge(options))
    submission = sim.callers.declare(
        label, _make_spec(sim, label, task_options)
    )
    if not submission.job:
        _issue_job_id(sim, label, names[0])
    if submission.job:
        _send_to_all(sim, label, names)


def _make_spec(sim, label, task_options, single=False):
    spread = task_options.longest - task_options.shortest
    work_times = [
        round(
            task_options.shortest
            + spread * index / max(1, task_options.count - 1),
            3,
        )
        for index in range(task_options.count)
    ]
    if task_options.straggler is not None:
        work_times[-1] = task_options.straggler
    _observe_work(sim, task_options, work_times)
    return callers.make_spec(
        label,
        task_options.service,
        tuple(work_times),
        task_options.timeout,
        single,
        task_options.idempotent,
        task_options.declared,
    )


def _observe_work(sim, task_options, work_times):
    if task_options.count >= BURST_SIZE:
        sim.observed.add("burst")
    if max(work_times) >= STRAGGLER_FACTOR * min(work_times):
        sim.observed.add("straggler")
    if (
        task_options.declared is not None
        and task_options.declared != task_options.shortest
    ):
        sim.observed.add("wrong-sizes")
    services = {backend.spec.service for backend in sim.backends.values()}
    if (
        task_options.service not in services
        or min(work_times) > task_options.timeout
    ):
        sim.observed.add("never-runs")
    if max(work_times) > task_options.timeout:
        sim.observed.add("late-answers")


def _issue_job_id(sim, label, name):
    if label not in sim.callers.submissions:
        spec = _make_spec(sim, label, steps.TaskOptions())
        sim.callers.declare(label, spec)
    sim.callers.issue_job_id(label, name)
    sim.advance(ROUND_TRIP)


def _send_to_all(sim, label, names):
    for name in names:
        sim.callers.submit(label, name)
    if len(names) > 1:
        sim.observed.add("resubmission")


def _submit_request(sim, label, name, *options):
    task_options = steps.TaskOptions(1, **_merge(options))
    if label in sim.callers.submissions:
        raise errors.ExpectationError(f"request {label!r} was already sent")
    spec = _make_spec(sim, label, task_options, single=True)
    sim.callers.declare(label, spec)
    sim.callers.submit(label, name)
    if not task_options.idempotent:
        sim.observed.add("non-idempotent")


def _resubmit(sim, label, names):
    _send_to_all(sim, label, names)
    sim.observed.add("resubmission")


def _wait_for(sim, label, names):
    for name in names:
        sim.callers.send_job_message(label, name, messages.AwaitJob)


def _cancel(sim, labels, name):
    for label in labels:
        sim.callers.send_job_message(label, name, messages.CancelJob)
    sim.observed.add("cancellation")


def _change_log(sim, step):
    getattr(_LogActions, step.kind)(sim, *step.args)
    sim.net.platform_up = sim.log.up
    sim.net.update_reachability(sim.queue.now)


class _LogActions:
    """Actions on the log, by the name of their grammar rule."""

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
        for instance in sim.instances.values():
            for follower in instance.followers:
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


def _cut(sim, location, others):
    for other in others:
        sim.net.cut(location, other, sim.queue.now)
    sim.observed.add("partition")


def _heal(sim, location=None, others=()):
    for other in others:
        sim.net.heal(location, other, sim.queue.now)
    if location is None:
        for link in list(sim.net.cut_links):
            sim.net.heal(*link, sim.queue.now)


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


def _silence_connections(sim, names):
    for name in names:
        backend = sim.backends[name]
        backend.silent_connections = set(sim.instances)
    sim.observed.add("silent-connection")


def _start_leaving(sim, names):
    for name in names:
        sim.start_leaving(name)


def _publish_note(sim, label, base, *changes):
    note = {"base": base, "operator": label, "added": {}, "changed": {}}
    note["withdrawn"] = {}
    for change in changes:
        _CHANGES[change.kind](sim, note, *change.args)
    if base in sim.operators.base_revisions:
        sim.observed.add("racing-notes")
    sim.operators.base_revisions.add(base)
    sim.operators.publish(label, note)
    sim.observed.add("configuration")


def _make_adder(section):
    def add(sim, note, name, **fields):
        note["added"].setdefault(section, {})[name] = fields

    return add


def _add_backend(sim, note, name):
    fields = _declared_fields(sim.backends[name].spec)
    _make_adder("backends")(sim, note, name, **fields)


def _add_team(sim, note, name, share):
    _make_adder("teams")(sim, note, name, share=share)


def _change_timeout(sim, note, service, seconds):
    section = note["changed"].setdefault("services", {})
    section[service] = {"timeout": seconds}


def _withdraw(sim, note, kind, name):
    note["withdrawn"].setdefault(f"{kind}s", []).append(name)


_CHANGES = {
    "add_backend": _add_backend,
    "add_service": _make_adder("services"),
    "add_team": _add_team,
    "change_timeout": _change_timeout,
    "withdraw": _withdraw,
}

ACTIONS = {
    "after": _advance,
    "backend_mode": _backend_mode,
    "backends": _declare_backends,
    "cancel": _cancel,
    "cut": _cut,
    "drain": _drain,
    "heal": _heal,
    "identify": _issue_job_id,
    "instances": _declare_instances,
    "kill": _kill,
    "leave": _start_leaving,
    "log": _change_log,
    "network_adds": _network_adds,
    "network_loses": _network_loses,
    "note": _publish_note,
    "pause": _pause,
    "request": _submit_request,
    "restart": _restart,
    "resubmit": _resubmit,
    "resume": _resume,
    "silence": _silence_connections,
    "start_instances": _start_instances,
    "submit": _submit,
    "wait_for": _wait_for,
}
"""From the name of a grammar rule to the function that carries it out."""
