"""Callers: what they submitted and what they were answered."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

from cardamompath_core import types
from cardamompath_proof.harness import network
from cardamompathd import messages

__all__ = [
    "Callers",
    "Given",
    "Submission",
    "make_spec",
]

GIVE_UP = 1.0
"""Seconds after which a peer that cannot be reached is given up."""

RELAY_WAIT = 6.0
"""Seconds after which a relayed request is answered as pending."""


class Given(NamedTuple):
    """An answer that a caller was given."""

    at: float
    instance: str
    answer: types.Answer


class Submission:
    """One job or request of one caller, with all its answers."""

    def __init__(self, label: str, spec: types.JobSpec):
        self.label = label
        self.spec = spec
        self.job = ""
        self.answers: list[Given] = []
        self.sent = 0
        """How often it was submitted."""

    @property
    def final(self) -> list[types.Answer]:
        """Return the answers that are not pending."""
        return [
            one.answer
            for one in self.answers
            if not isinstance(one.answer, types.Pending)
        ]


class Ask(NamedTuple):
    """A request in flight between a caller and an instance."""

    label: str
    instance: str
    """The instance that the caller asked."""
    message: Any
    number: int
    targets: tuple[str, ...] | None = None
    """Peers that it is relayed to, in turn."""


class Callers:
    """All callers, by the labels of their submissions.

    Parameters
    ----------
    sim : Simulation
        The instances and the clock.
    """

    def __init__(self, sim):
        self.sim = sim
        self.submissions: dict[str, Submission] = {}
        self.lost: list[tuple[float, str, str]] = []
        """Requests whose instance died: time, label, instance."""
        self.open: set[Ask] = set()
        self.tried: dict[Ask, int] = {}
        self.asked = 0

    def declare(self, label: str, spec: types.JobSpec) -> Submission:
        """Remember a submission before it is sent."""
        return self.submissions.setdefault(label, Submission(label, spec))

    def issue(self, label: str, instance: str) -> None:
        """Ask an instance for the identifier of a job."""
        self._send(label, instance, messages.IssueJobId)

    def submit(self, label: str, instance: str) -> None:
        """Submit a job, once more if it was submitted before."""
        known = self.submissions[label]
        if not known.job and not known.spec.single:
            return
        known.sent += 1

        def make(reply):
            return messages.Submit(known.job, known.spec, reply)

        self._send(label, instance, make)

    def ask(self, label: str, instance: str, message) -> None:
        """Send a message about a job: `AwaitJob` or `CancelJob`."""
        job = self.submissions[label].job
        if not job:
            return

        def make(reply):
            return message(job, reply)

        self._send(label, instance, make)

    def _send(self, label, instance, make):
        self.asked += 1
        ask = Ask(label, instance, make, self.asked)
        self.open.add(ask)
        self.sim.queue.after(
            network.NEAR_DELAY, lambda: self._arrive(ask, ask.instance)
        )

    def _arrive(self, ask, name):
        instance = self.sim.instances[name]
        if instance.state == "dead":
            self._give_up(ask)
            return
        send = messages.Send(messages.JOBS, ask.message(ask))
        instance.tell(send)

    def reply(self, instance, ask: Any, answer: Any) -> None:
        """Take what a controller answers to a request."""
        if not isinstance(ask, Ask):
            ask(answer)
            return
        if isinstance(answer, messages.NotOwner):
            self._relay(ask, instance, answer)
            return
        self.sim.queue.after(
            network.NEAR_DELAY, lambda: self._receive(ask, instance, answer)
        )

    def _relay(self, ask, instance, answer):
        if ask.targets is None:
            ask = self._relayed(ask, instance, answer)
        self._next_target(ask, self.sim.instances[ask.instance])

    def _relayed(self, ask, instance, answer):
        known = self.sim.instance_at(getattr(answer, "address", None))
        peers = [known] if known else self.sim.peers_of(instance)
        relayed = ask._replace(targets=tuple(one.name for one in peers))
        self.open.discard(ask)
        self.open.add(relayed)
        self.sim.queue.after(RELAY_WAIT, lambda: self._pend(relayed, instance))
        return relayed

    def _next_target(self, ask, instance):
        """Ask the next peer; one that cannot answer is left out."""
        tried = self.tried.get(ask, 0)
        self.tried[ask] = tried + 1
        if tried >= len(ask.targets):
            self._pend(ask, instance)
            return
        peer = self.sim.instances[ask.targets[tried]]
        if peer.state == "dead" or not self.sim.send(
            instance.domain,
            peer.domain,
            lambda: self._arrive(ask, peer.name),
        ):
            self.sim.queue.after(
                GIVE_UP, lambda: self._next_target(ask, instance)
            )

    def _pend(self, ask, instance):
        pending = types.Pending(0, 0, "the owner cannot be reached")
        self._receive(ask, instance, pending)

    def _receive(self, ask, instance, answer):
        if ask not in self.open:
            return
        self.open.discard(ask)
        known = self.submissions[ask.label]
        if isinstance(answer, str):
            known.job = answer
            return
        given = Given(self.sim.queue.now, instance.name, answer)
        known.answers.append(given)
        self.sim.answered(known, given)

    def _give_up(self, ask):
        self.open.discard(ask)
        self.lost.append((self.sim.queue.now, ask.label, ask.instance))

    def connection_lost(self, instance: str) -> None:
        """Break the connections of callers to an instance that died."""
        for ask in self.waiting_at(instance):
            self._give_up(ask)

    def waiting_at(self, instance: str) -> list[Ask]:
        """Return the requests that an instance has to answer."""
        return [ask for ask in self.open if ask.instance == instance]


def make_spec(
    label: str,
    service: str,
    works: tuple[float, ...],
    timeout: float,
    single: bool = False,
    idempotent: bool = False,
    declared: float | None = None,
) -> types.JobSpec:
    """Make a submission whose payloads occur nowhere else."""
    tasks = tuple(
        types.TaskSpec(
            service,
            "reserve",
            f"{label}/{index}/{work}".encode(),
            declared,
        )
        for index, work in enumerate(works)
    )
    digest = hashlib.sha256(repr(tasks).encode()).hexdigest()
    return types.JobSpec(
        "box-office", tasks, timeout, digest, idempotent, single
    )
