"""Simulated callers: their submissions and the answers to them."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

from cardamompath_core import types
from cardamompath_proof.harness import network
from cardamompathd import messages

__all__ = [
    "Callers",
    "ReceivedAnswer",
    "Submission",
    "make_spec",
]

RELAY_CONNECT_TIMEOUT = 1.0
"""Seconds until a relay to an unreachable peer fails."""

RELAY_TIMEOUT = 6.0
"""Seconds until a relayed request is answered as pending."""


class ReceivedAnswer(NamedTuple):
    """An answer that a caller received."""

    time: float
    instance: str
    answer: types.Answer


class Submission:
    """A job or a single-task request of a caller, and all its answers."""

    def __init__(self, label: str, spec: types.JobSpec):
        self.label = label
        self.spec = spec
        self.job = ""
        """Identifier of the job; empty until it is issued."""
        self.answers: list[ReceivedAnswer] = []
        self.submit_count = 0
        """Number of times that it was submitted."""

    @property
    def final_answers(self) -> list[types.Answer]:
        """Return the answers that are not pending."""
        return [
            received.answer
            for received in self.answers
            if not isinstance(received.answer, types.Pending)
        ]


class CallerRequest(NamedTuple):
    """A request in flight between a caller and an instance."""

    label: str
    instance: str
    """Instance that the caller is connected to."""
    make_message: Any
    """Makes the message from the address of its reply."""
    sequence: int
    """Tells apart requests that are otherwise equal."""
    targets: tuple[str, ...] | None = None
    """Peers to relay it to, in order; None before it is relayed."""


class Callers:
    """All callers of a run; submissions are named by labels.

    Parameters
    ----------
    sim : Simulation
        The instances and the clock.
    """

    def __init__(self, sim):
        self.sim = sim
        self.submissions: dict[str, Submission] = {}
        self.lost_requests: list[tuple[float, str, str]] = []
        """Requests whose instance died: time, label and instance."""
        self.open_requests: set[CallerRequest] = set()
        self.target_index: dict[CallerRequest, int] = {}
        """Index of the next target of a relayed request."""
        self.request_count = 0

    def declare(self, label: str, spec: types.JobSpec) -> Submission:
        """Register a submission before it is sent."""
        return self.submissions.setdefault(label, Submission(label, spec))

    def issue_job_id(self, label: str, instance: str) -> None:
        """Ask an instance for a job identifier."""
        self._send_request(label, instance, messages.IssueJobId)

    def submit(self, label: str, instance: str) -> None:
        """Submit a job, or submit it again."""
        submission = self.submissions[label]
        if not submission.job and not submission.spec.single:
            return
        submission.submit_count += 1

        def make(reply_to):
            return messages.Submit(submission.job, submission.spec, reply_to)

        self._send_request(label, instance, make)

    def send_job_message(self, label: str, instance: str, message) -> None:
        """Send a message about a job: `AwaitJob` or `CancelJob`."""
        job = self.submissions[label].job
        if not job:
            return

        def make(reply_to):
            return message(job, reply_to)

        self._send_request(label, instance, make)

    def _send_request(self, label, instance, make):
        self.request_count += 1
        request = CallerRequest(label, instance, make, self.request_count)
        self.open_requests.add(request)
        self.sim.queue.schedule(
            network.INTRA_DOMAIN_DELAY,
            lambda: self._deliver(request, request.instance),
        )

    def _deliver(self, request, name):
        instance = self.sim.instances[name]
        if instance.state == "dead":
            self._lose(request)
            return
        send = messages.Send(messages.JOBS, request.make_message(request))
        instance.tell(send)

    def reply(self, instance, reply_to: Any, answer: Any) -> None:
        """Handle the answer of a controller.

        Parameters
        ----------
        instance : Instance
            Instance whose controller answers.
        reply_to : CallerRequest or callable
            The request of a caller, or a function that takes the answer.
        answer : Any
            An answer, a job identifier, or `NotOwner` to relay.
        """
        if not isinstance(reply_to, CallerRequest):
            reply_to(answer)
            return
        if isinstance(answer, messages.NotOwner):
            self._relay(reply_to, instance, answer)
            return
        self.sim.queue.schedule(
            network.INTRA_DOMAIN_DELAY,
            lambda: self._receive_answer(reply_to, instance, answer),
        )

    def _relay(self, request, instance, answer):
        if request.targets is None:
            request = self._make_relayed(request, instance, answer)
        self._try_next_target(request, self.sim.instances[request.instance])

    def _make_relayed(self, request, instance, answer):
        owner = self.sim.instance_at(getattr(answer, "address", None))
        peers = [owner] if owner else self.sim.peers_of(instance)
        relayed = request._replace(targets=tuple(peer.name for peer in peers))
        self.open_requests.discard(request)
        self.open_requests.add(relayed)
        self.sim.queue.schedule(
            RELAY_TIMEOUT, lambda: self._answer_pending(relayed, instance)
        )
        return relayed

    def _try_next_target(self, request, instance):
        """Relay to the next peer; skip a peer that cannot be reached."""
        index = self.target_index.get(request, 0)
        self.target_index[request] = index + 1
        if index >= len(request.targets):
            self._answer_pending(request, instance)
            return
        peer = self.sim.instances[request.targets[index]]
        if peer.state == "dead" or not self.sim.send(
            instance.domain,
            peer.domain,
            lambda: self._deliver(request, peer.name),
        ):
            self.sim.queue.schedule(
                RELAY_CONNECT_TIMEOUT,
                lambda: self._try_next_target(request, instance),
            )

    def _answer_pending(self, request, instance):
        pending = types.Pending(0, 0, "the owner cannot be reached")
        self._receive_answer(request, instance, pending)

    def _receive_answer(self, request, instance, answer):
        if request not in self.open_requests:
            return
        self.open_requests.discard(request)
        submission = self.submissions[request.label]
        if isinstance(answer, str):
            submission.job = answer
            return
        received = ReceivedAnswer(self.sim.queue.now, instance.name, answer)
        submission.answers.append(received)
        self.sim.record_answer(submission, received)

    def _lose(self, request):
        self.open_requests.discard(request)
        self.lost_requests.append(
            (self.sim.queue.now, request.label, request.instance)
        )

    def break_connections(self, instance: str) -> None:
        """Fail the open requests to an instance that died."""
        for request in self.open_requests_at(instance):
            self._lose(request)

    def open_requests_at(self, instance: str) -> list[CallerRequest]:
        """Return the requests that an instance has not answered yet."""
        return [
            request
            for request in self.open_requests
            if request.instance == instance
        ]


def make_spec(
    label: str,
    service: str,
    work_times: tuple[float, ...],
    timeout: float,
    single: bool = False,
    idempotent: bool = False,
    declared: float | None = None,
) -> types.JobSpec:
    """Make a job whose payloads are unique within the run.

    `work_times` are the seconds of work of its tasks.
    """
    tasks = tuple(
        types.TaskSpec(
            service,
            "reserve",
            f"{label}/{index}/{work_time}".encode(),
            declared,
        )
        for index, work_time in enumerate(work_times)
    )
    digest = hashlib.sha256(repr(tasks).encode()).hexdigest()
    return types.JobSpec(
        "box-office", tasks, timeout, digest, idempotent, single
    )
