"""Operators: the notes they publish and what they see of them."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from cardamompath_core import types
from cardamompath_proof.harness import network
from cardamompathd import messages
from cardamompathd.recordlog import errors

__all__ = [
    "Operators",
    "Seen",
]

STREAM = "configuration"
ATTEMPTS = 3


class Seen(NamedTuple):
    """A revision that an instance was seen to have in force."""

    at: float
    instance: str
    life: int
    revision: int


class Operators:
    """All operators of a run.

    Parameters
    ----------
    world : World
        The log and the instances.
    """

    def __init__(self, world):
        self.world = world
        self.offsets: dict[str, int] = {}
        """Where each published note stands in the log."""
        self.refused: set[str] = set()
        """Notes that could not be published."""
        self.seen: list[Seen] = []
        self.bases: set[int] = set()
        """Revisions that notes were made against."""
        self.watching = False

    def publish(self, label: str, note: dict[str, Any]) -> None:
        """Append a note; read back when the answer is lost."""
        record = note | {"kind": "note", "id": label}
        self._append(label, record, ATTEMPTS)

    def _append(self, label, record, attempts):
        def done(answer):
            if isinstance(answer, int):
                self._published(label, answer)
            elif isinstance(answer, errors.AppendOutcomeUnknown):
                self._read_back(label, record, attempts - 1)
            else:
                self.refused.add(label)

        self.world.log.append(network.PLATFORM, STREAM, [record], done)

    def _published(self, label, offset):
        self.offsets[label] = offset
        self.world.note(f"{label} is published at offset {offset}")
        if label in self.accepted():
            self._see_leaving(label, offset)

    def _see_leaving(self, label, offset):
        note = self.world.log.streams[STREAM][offset]
        for name in note.get("withdrawn", {}).get("backends", ()):
            self.world.backends[name].left_at = self.world.queue.now
        for name in note.get("added", {}).get("backends", ()):
            self.world.backends[name].left_at = None

    def _read_back(self, label, record, attempts):
        for offset, found in self.world.log.records(STREAM, 0):
            if found.get("id") == label:
                self._published(label, offset)
                return
        if attempts:
            self._append(label, record, attempts)

    def accepted(self) -> list[str]:
        """Return the notes that have to be in force, in their order."""
        accepted: list[str] = []
        for note in self.world.log.streams.get(STREAM, ()):
            fresh = note.get("id") not in accepted
            if note.get("base") == len(accepted) and fresh:
                accepted.append(note["id"])
        return accepted

    def watch(self) -> None:
        """Look at the revision on every instance from now on."""
        if self.watching:
            return
        self.watching = True
        self._look()

    def _look(self):
        for one in self.world.instances.values():
            if one.state == "running":
                self.ask_revision(one)
        self.world.queue.after(0.25, self._look)

    def ask_revision(self, instance) -> None:
        """Ask an instance for the configuration in force."""
        life = instance.life

        def take(cfg: types.Configuration) -> None:
            now = self.world.queue.now
            self.seen.append(Seen(now, instance.name, life, cfg.revision))

        instance.tell(
            messages.Send(
                messages.CONFIGURATION, messages.GetConfiguration(take)
            )
        )

    def revision(self, instance: str) -> int:
        """Return the revision last seen on an instance."""
        for one in reversed(self.seen):
            if one.instance == instance:
                return one.revision
        return 0
