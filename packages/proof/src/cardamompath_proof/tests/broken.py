"""Faulty controllers, each breaking a promise that the checks detect."""

from cardamompath_core import types
from cardamompath_proof.harness import instances
from cardamompathd import controllers
from cardamompathd import messages


def wrap_factory(make, change):
    """Make a factory whose controllers handle messages with `change`.

    `change` gets the function of the real controller, a message, the time
    and a dictionary that is kept for the life of the controller.
    """

    def make_faulty(*args, **kwargs):
        real = make(*args, **kwargs)
        memory = {}

        def receive(msg, now):
            return change(real.receive, msg, now, memory)

        return messages.Controller(real.name, receive)

    return make_faulty


def alter_answers(alter):
    """Make a change that applies `alter` to each answer to a caller."""

    def change(receive, msg, now, memory):
        sends = []
        for send in receive(msg, now):
            if isinstance(send.msg, messages.Reply):
                answer = alter(send.msg.answer)
                send = send._replace(msg=send.msg._replace(answer=answer))
            sends.append(send)
        return sends

    return change


def enqueue_again(receive, msg, now, memory):
    """Enqueue the tasks of a job again when it is submitted again."""
    sends = list(receive(msg, now))
    for send in sends:
        if isinstance(send.msg, messages.Enqueue):
            memory[send.msg.job] = send
    if isinstance(msg, messages.Submit) and msg.job in memory:
        sends.append(memory[msg.job])
    return sends


def answer_failed_as_refused(answer):
    """Refuse a failed job, although its tasks may have started."""
    if isinstance(answer, types.Failed):
        return types.Refused(answer.code, answer.reason)
    return answer


def drop_last_result(answer):
    if isinstance(answer, types.Complete):
        return types.Complete(answer.results[:-1])
    return answer


def reverse_results(answer):
    if isinstance(answer, types.Complete):
        return types.Complete(answer.results[::-1])
    return answer


def report_not_started(answer):
    """Report every task of a failed job as not started."""
    if isinstance(answer, types.Failed):
        results = tuple(
            result._replace(state="not_started") for result in answer.results
        )
        return answer._replace(results=results)
    return answer


def treat_unknown_as_not_sent(receive, msg, now, memory):
    """Turn a lost answer into a failed connection, so it is retried."""
    if isinstance(msg, messages.AttemptEnded) and msg.answer.phase != "done":
        answer = msg.answer._replace(phase="connect")
        msg = msg._replace(answer=answer)
    return receive(msg, now)


def keep_first_backends(receive, msg, now, memory):
    """Ignore later changes to the backend servers."""
    if isinstance(msg, messages.ConfigurationChanged):
        first = memory.setdefault("cfg", msg.cfg)
        kept = msg.cfg._replace(backends=first.backends)
        msg = messages.ConfigurationChanged(kept)
    return receive(msg, now)


def report_old_revision(receive, msg, now, memory):
    """Report the previous revision at each third request."""
    sends = list(receive(msg, now))
    if isinstance(msg, messages.GetConfiguration):
        memory["asked"] = memory.get("asked", 0) + 1
        cfg = sends[0].msg.answer
        if cfg.revision > 1 and memory["asked"] % 3 == 0:
            old = cfg._replace(revision=cfg.revision - 1)
            reply = messages.Reply(msg.reply_to, old)
            sends = [messages.Send(messages.CALLERS, reply)]
    return sends


def report_drained_at_once(receive, msg, now, memory):
    """Report the end of a drain before the jobs have ended."""
    sends = list(receive(msg, now))
    if isinstance(msg, messages.Drain):
        reply = messages.Reply(msg.reply_to, messages.Drained())
        sends.append(messages.Send(messages.CALLERS, reply))
    return sends


def with_jobs(change):
    make = controllers.jobs.jobs.make_controller
    return instances.ControllerFactories(jobs=wrap_factory(make, change))


def with_backends(change):
    make = controllers.backends.backends.make_controller
    return instances.ControllerFactories(backends=wrap_factory(make, change))


def with_configuration(change):
    make = controllers.configuration.configuration.make_controller
    return instances.ControllerFactories(
        configuration=wrap_factory(make, change)
    )


VARIANTS = (
    ("resubmitted-to-three", "once", with_jobs(enqueue_again)),
    (
        "straggler-late",
        "not-run",
        with_jobs(alter_answers(answer_failed_as_refused)),
    ),
    (
        "straggler-late",
        "not-run",
        with_jobs(alter_answers(report_not_started)),
    ),
    ("resubmission", "whole", with_jobs(alter_answers(drop_last_result))),
    ("late-answers", "own", with_jobs(alter_answers(reverse_results))),
    ("backend-death", "once", with_backends(treat_unknown_as_not_sent)),
    ("burst", "leaving", with_backends(keep_first_backends)),
    (
        "racing-restart",
        "configuration",
        with_configuration(report_old_revision),
    ),
    ("straggler", "graceful", with_jobs(report_drained_at_once)),
)
"""Scenario, the promise whose violation it has to detect, and factories."""
