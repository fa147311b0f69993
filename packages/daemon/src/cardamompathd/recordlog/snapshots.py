"""The task that appends snapshots to the configuration stream.

Each append is tried once: a lost or a duplicate snapshot is harmless, and
the next instance that finds a snapshot due appends one.
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
    """Appends each snapshot that it receives, without retries.

    Parameters
    ----------
    client : LogClient
        Client whose connection this task owns.
    """

    def __init__(self, client: log_client.LogClient):
        super().__init__(name="snapshots", daemon=True)
        self._client = client
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()

    def tell(self, msg: messages.AppendSnapshot | None) -> None:
        """Queue a snapshot to append; None stops the task."""
        self._inbox.put(msg)

    def run(self) -> None:
        """Append the snapshots until the task is stopped."""
        while (msg := self._inbox.get()) is not None:
            try:
                offset = self._client.append(STREAM, [msg.record])
            except errors.PlatformError as exc:
                loguru.logger.warning(
                    "configuration: cannot append a snapshot: {}", exc
                )
                continue
            loguru.logger.info(
                "configuration: appended snapshot of revision {} at offset {}",
                msg.record["revision"],
                offset,
            )
        self._client.close()


def start(client: log_client.LogClient) -> SnapshotTask:
    """Start the task that appends snapshots."""
    task = SnapshotTask(client)
    task.start()
    return task
