"""The task that appends snapshots to the configuration's stream.

A snapshot that is lost or doubled does no harm: it is tried once, and
whoever finds that one is due tries again.
"""

from __future__ import annotations

import queue
import threading

import loguru

from cardamompathd import messages
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import log_client

__all__ = [
    "SnapshotTask",
    "start",
]

STREAM = "configuration"


class SnapshotTask(threading.Thread):
    """Appends each snapshot that it is told, once.

    Parameters
    ----------
    client : LogClient
        The connection that this task owns.
    """

    def __init__(self, client: log_client.LogClient):
        super().__init__(name="snapshots", daemon=True)
        self._client = client
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()

    def tell(self, msg: messages.AppendSnapshot | None) -> None:
        """Append a snapshot; None ends the task."""
        self._inbox.put(msg)

    def run(self) -> None:
        """Append until the end."""
        while (msg := self._inbox.get()) is not None:
            try:
                offset = self._client.append(STREAM, [msg.record])
            except errors.PlatformError as exc:
                loguru.logger.warning(
                    "configuration: no snapshot was appended: {}", exc
                )
                continue
            loguru.logger.info(
                "configuration: snapshot of revision {} is at offset {}",
                msg.record["revision"],
                offset,
            )
        self._client.close()


def start(client: log_client.LogClient) -> SnapshotTask:
    """Start the task that appends snapshots."""
    task = SnapshotTask(client)
    task.start()
    return task
