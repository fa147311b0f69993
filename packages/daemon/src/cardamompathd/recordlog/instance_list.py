"""The task that reads the platform's list of instances.

``GET /v1/instances`` answers the list.  A list that did not change is
answered without a body when the platform sends entity tags.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any

import loguru
import urllib3

from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "InstancesTask",
    "decode_entry",
    "start",
]

PATH = "/v1/instances"


def decode_entry(fields: Any) -> types.InstanceEntry | None:
    """Read one line of the list; None when it is broken."""
    try:
        entry = types.InstanceEntry(
            str(fields["name"]),
            fields["role"],
            str(fields.get("domain", "")),
            str(fields["host"]),
            int(fields["port"]),
            fields["state"],
        )
    except (AttributeError, LookupError, TypeError, ValueError):
        return None
    known = entry.role in ("entry", "backend")
    if known and entry.state in ("live", "leaving"):
        return entry
    return None


class InstancesTask(threading.Thread):
    """Reads the list when it is told to, and tells what it read.

    Parameters
    ----------
    address : (str, int)
        Address of the platform.
    timeout : float
        Seconds for one read.
    tell : callable
        Called with each `InstancesListed`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        timeout: float,
        tell: Callable[[messages.InstancesListed], None],
    ):
        super().__init__(name="instances", daemon=True)
        self._pool = urllib3.HTTPConnectionPool(
            *address, maxsize=1, retries=False, timeout=timeout
        )
        self._tell = tell
        self._inbox: queue.Queue = queue.Queue(1)
        self._tag = ""
        self._down = False

    def tell(self, msg: messages.ReadInstances | None) -> None:
        """Ask for a read, unless one is due already; None ends the task."""
        try:
            self._inbox.put(msg, block=msg is None)
        except queue.Full:
            return

    def run(self) -> None:
        """Read whenever a message asks for it."""
        while self._inbox.get() is not None:
            try:
                listed = self.read()
            except (urllib3.exceptions.HTTPError, ValueError) as exc:
                self._report(exc)
                continue
            self._down = False
            if listed is not None:
                self._tell(listed)
        self._pool.close()

    def read(self) -> messages.InstancesListed | None:
        """Read the list once; None when it did not change.

        Raises
        ------
        HTTPError
            If the platform gave no answer.
        ValueError
            If the answer is no list of instances.
        """
        headers = {"If-None-Match": self._tag} if self._tag else {}
        response = self._pool.request("GET", PATH, headers=headers)
        if response.status == 304:
            return None
        body = response.json() if response.status == 200 else None
        listed = body.get("instances") if isinstance(body, dict) else None
        if not isinstance(listed, list):
            raise ValueError(f"status {response.status}, no instances")
        self._tag = response.headers.get("ETag", "")
        entries = [decode_entry(fields) for fields in listed]
        return messages.InstancesListed(
            tuple(entry for entry in entries if entry is not None)
        )

    def _report(self, exc):
        if not self._down:
            loguru.logger.warning(
                "platform: the list of instances cannot be read: {}", exc
            )
        self._down = True


def start(address, timeout, tell) -> InstancesTask:
    """Start the task that reads the list."""
    task = InstancesTask(address, timeout, tell)
    task.start()
    return task
