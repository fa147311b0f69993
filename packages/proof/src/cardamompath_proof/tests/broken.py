"""Controllers that are broken on purpose, for the checks to catch."""

from cardamompath_core import types
from cardamompath_proof.harness import instances
from cardamompathd import controllers
from cardamompathd import messages


def wrap(make, change):
    """Make a factory whose controllers pass through `change`.

    `change` gets the receiving function, a message, the time and a
    dictionary that lives as long as the controller.
    """

    def make_broken(*args, **kwargs):
        real = make(*args, **kwargs)
        memory = {}

        def receive(msg, now):
            return change(real.receive, msg, now, memory)

        return messages.Controller(real.name, receive)

    return make_broken


def alter_answers(alter):
    """Change each answer that goes to a caller."""

    def change(receive, msg, now, memory):
        sends = []
        for send in receive(msg, now):
            if isinstance(send.msg, messages.Reply):
                answer = alter(send.msg.answer)
                send = send._replace(msg=send.msg._replace(answer=answer))
            sends.append(send)
        return sends

    return change


def start_again(receive, msg, now, memory):
    sends = list(receive(msg, now))
    for send in sends:
        if isinstance(send.msg, messages.Enqueue):
            memory[send.msg.job] = send
    if isinstance(msg, messages.Submit) and msg.job in memory:
        sends.append(memory[msg.job])
    return sends


def refuse_failed(answer):
    if isinstance(answer, types.Failed):
        return types.Refused(answer.code, answer.reason)
    return answer


def cut_results(answer):
    if isinstance(answer, types.Complete):
        return types.Complete(answer.results[:-1])
    return answer


def cross_results(answer):
    if isinstance(answer, types.Complete):
        return types.Complete(answer.results[::-1])
    return answer


def deny_starts(answer):
    if isinstance(answer, types.Failed):
        denied = tuple(
            one._replace(state="not_started") for one in answer.results
        )
        return answer._replace(results=denied)
    return answer


def retry_unknown(receive, msg, now, memory):
    if isinstance(msg, messages.AttemptEnded) and msg.answer.phase != "done":
        answer = msg.answer._replace(phase="connect")
        msg = msg._replace(answer=answer)
    return receive(msg, now)


def keep_backends(receive, msg, now, memory):
    if isinstance(msg, messages.ConfigurationChanged):
        first = memory.setdefault("cfg", msg.cfg)
        kept = msg.cfg._replace(backends=first.backends)
        msg = messages.ConfigurationChanged(kept)
    return receive(msg, now)


def go_back(receive, msg, now, memory):
    sends = list(receive(msg, now))
    if isinstance(msg, messages.GetConfiguration):
        memory["asked"] = memory.get("asked", 0) + 1
        cfg = sends[0].msg.answer
        if cfg.revision > 1 and memory["asked"] % 3 == 0:
            old = cfg._replace(revision=cfg.revision - 1)
            reply = messages.Reply(msg.reply_to, old)
            sends = [messages.Send(messages.CALLERS, reply)]
    return sends


def drain_at_once(receive, msg, now, memory):
    sends = list(receive(msg, now))
    if isinstance(msg, messages.Drain):
        reply = messages.Reply(msg.reply_to, messages.Drained())
        sends.append(messages.Send(messages.CALLERS, reply))
    return sends


def jobs(change):
    make = controllers.jobs.make_controller
    return instances.ControllerFactories(jobs=wrap(make, change))


def backends(change):
    make = controllers.backends.make_controller
    return instances.ControllerFactories(backends=wrap(make, change))


def configuration(change):
    make = controllers.configuration.make_controller
    return instances.ControllerFactories(configuration=wrap(make, change))


BROKEN = (
    ("resubmitted-to-three", "once", jobs(start_again)),
    ("straggler-late", "not-run", jobs(alter_answers(refuse_failed))),
    ("straggler-late", "not-run", jobs(alter_answers(deny_starts))),
    ("resubmission", "whole", jobs(alter_answers(cut_results))),
    ("late-answers", "own", jobs(alter_answers(cross_results))),
    ("backend-death", "once", backends(retry_unknown)),
    ("burst", "leaving", backends(keep_backends)),
    ("racing-restart", "configuration", configuration(go_back)),
    ("straggler", "graceful", jobs(drain_at_once)),
)
"""Scenario, the promise that has to be seen broken, and the parts."""
