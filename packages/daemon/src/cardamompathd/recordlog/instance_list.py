"""The task that reads the platform's list of instances.

``GET /v1/instances`` returns the list.  If the platform sends entity tags,
the response for an unchanged list is 304 and has no body.
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
    """Decode an entry of the list; None if it is invalid."""
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
    is_known_role = entry.role in ("entry", "backend")
    if is_known_role and entry.state in ("live", "leaving"):
        return entry
    return None


class InstancesTask(threading.Thread):
    """Reads the list on request and reports it.

    Parameters
    ----------
    address : (str, int)
        Address of the platform.
    timeout : float
        Seconds for one read.
    tell : callable
        Called with each changed list.
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
        self._entity_tag = ""
        self._is_down = False

    def tell(self, msg: messages.ReadInstances | None) -> None:
        """Request a read, unless one is queued; None stops the task."""
        try:
            self._inbox.put(msg, block=msg is None)
        except queue.Full:
            return

    def run(self) -> None:
        """Read the list for each request."""
        while self._inbox.get() is not None:
            try:
                changed_list = self.read()
            except (urllib3.exceptions.HTTPError, ValueError) as exc:
                self._warn_if_first(exc)
                continue
            self._is_down = False
            if changed_list is not None:
                self._tell(changed_list)
        self._pool.close()

    def read(self) -> messages.InstancesListed | None:
        """Read the list once; None if it has not changed.

        Raises
        ------
        HTTPError
            If the platform did not answer.
        ValueError
            If the answer is not a list of instances.
        """
        headers = (
            {"If-None-Match": self._entity_tag} if self._entity_tag else {}
        )
        response = self._pool.request("GET", PATH, headers=headers)
        if response.status == 304:
            return None
        body = response.json() if response.status == 200 else None
        fields_list = body.get("instances") if isinstance(body, dict) else None
        if not isinstance(fields_list, list):
            raise ValueError(
                f"status {response.status} without a list of instances"
            )
        self._entity_tag = response.headers.get("ETag", "")
        entries = [decode_entry(fields) for fields in fields_list]
        return messages.InstancesListed(
            tuple(entry for entry in entries if entry is not None)
        )

    def _warn_if_first(self, exc):
        if not self._is_down:
            loguru.logger.warning(
                "platform: the list of instances cannot be read: {}", exc
            )
        self._is_down = True


def start(address, timeout, tell) -> InstancesTask:
    """Start the task that reads the list of instances."""
    task = InstancesTask(address, timeout, tell)
    task.start()
    return task
