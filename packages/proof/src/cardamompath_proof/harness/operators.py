"""Simulated operators: published notes and observed revisions."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from cardamompath_core import types
from cardamompath_proof.harness import network
from cardamompathd import messages
from cardamompathd.recordlog import errors

__all__ = [
    "Operators",
    "SeenRevision",
]

STREAM = "configuration"
MAX_ATTEMPTS = 3


class SeenRevision(NamedTuple):
    """A configuration revision that an instance reported."""

    time: float
    instance: str
    epoch: int
    revision: int


class Operators:
    """All operators of a run.

    Parameters
    ----------
    sim : Simulation
        The log and the instances.
    """

    def __init__(self, sim):
        self.sim = sim
        self.offsets: dict[str, int] = {}
        """Offset of each published note in the log."""
        self.unpublished: set[str] = set()
        """Notes that the log did not accept."""
        self.seen_revisions: list[SeenRevision] = []
        self.base_revisions: set[int] = set()
        """Revisions that notes are based on."""
        self.watching = False

    def publish(self, label: str, note: dict[str, Any]) -> None:
        """Append a note; if its answer is lost, look for it in the log."""
        record = note | {"kind": "note", "id": label}
        self._append(label, record, MAX_ATTEMPTS)

    def _append(self, label, record, attempts):
        def handle_result(answer):
            if isinstance(answer, int):
                self._record_offset(label, answer)
            elif isinstance(answer, errors.AppendOutcomeUnknown):
                self._read_back(label, record, attempts - 1)
            else:
                self.unpublished.add(label)

        self.sim.log.append(network.PLATFORM, STREAM, [record], handle_result)

    def _record_offset(self, label, offset):
        self.offsets[label] = offset
        self.sim.add_trace(f"{label} is published at offset {offset}")
        if label in self.accepted_notes():
            self._record_leaving(label, offset)

    def _record_leaving(self, label, offset):
        note = self.sim.log.streams[STREAM][offset]
        for name in note.get("withdrawn", {}).get("backends", ()):
            self.sim.backends[name].leaving_since = self.sim.queue.now
        for name in note.get("added", {}).get("backends", ()):
            self.sim.backends[name].leaving_since = None

    def _read_back(self, label, record, attempts):
        for offset, stored in self.sim.log.read(STREAM, 0):
            if stored.get("id") == label:
                self._record_offset(label, offset)
                return
        if attempts:
            self._append(label, record, attempts)

    def accepted_notes(self) -> list[str]:
        """Return the notes that have to be in force, in log order."""
        accepted: list[str] = []
        for note in self.sim.log.streams.get(STREAM, ()):
            is_new = note.get("id") not in accepted
            if note.get("base") == len(accepted) and is_new:
                accepted.append(note["id"])
        return accepted

    def watch(self) -> None:
        """Poll the revision of every running instance from now on."""
        if self.watching:
            return
        self.watching = True
        self._poll_revisions()

    def _poll_revisions(self):
        for instance in self.sim.instances.values():
            if instance.state == "running":
                self.request_revision(instance)
        self.sim.queue.schedule(0.25, self._poll_revisions)

    def request_revision(self, instance) -> None:
        """Ask an instance for the configuration in force."""
        epoch = instance.epoch

        def handle_configuration(cfg: types.Configuration) -> None:
            now = self.sim.queue.now
            self.seen_revisions.append(
                SeenRevision(now, instance.name, epoch, cfg.revision)
            )

        instance.tell(
            messages.Send(
                messages.CONFIGURATION,
                messages.GetConfiguration(handle_configuration),
            )
        )

    def last_revision(self, instance: str) -> int:
        """Return the revision that an instance reported last, or 0."""
        for seen in reversed(self.seen_revisions):
            if seen.instance == instance:
                return seen.revision
        return 0
