"""The client of the platform's log.

``POST /v1/streams/{stream}/records`` appends a batch of records and
returns the offset of the first.  ``GET`` with ``from`` and ``wait``
returns the records from an offset on; if there are none it waits up to
``wait`` seconds for one.  Each stream has its own offsets.
"""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Sequence
from typing import Any

import urllib3
from urllib3 import connection

from cardamompathd import messages
from cardamompathd.recordlog import errors

__all__ = [
    "LogClient",
    "make_client",
]


REFUSAL_STATUSES = (429, 503)
"""HTTP statuses of appends that had no effect."""


class LogClient:
    """A connection to the log, owned by one task.

    Parameters
    ----------
    host, port : str, int
        Address of the platform.
    timeout : float
        Seconds for a call, in addition to the wait of a read.
    """

    def __init__(self, host: str, port: int, timeout: float):
        self._timeout = timeout
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, retries=False, timeout=timeout
        )
        self._pool.ConnectionCls = self._connect
        self._conn: Any = None

    def append(self, stream: str, records: Sequence[dict[str, Any]]) -> int:
        """Append records and return the offset of the first.

        Raises
        ------
        LogUnavailable
            If the log did not append them.
        AppendOutcomeUnknown
            If the log may have appended them.
        """
        body = json.dumps({"records": list(records)}).encode()
        path = f"/v1/streams/{stream}/records"
        try:
            response = self._pool.request("POST", path, body=body)
        except urllib3.exceptions.NewConnectionError as exc:
            raise errors.LogUnavailable(repr(exc)) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise errors.AppendOutcomeUnknown(repr(exc)) from exc
        if response.status in REFUSAL_STATUSES:
            raise errors.LogUnavailable(f"status {response.status}")
        if response.status != 201:
            raise errors.AppendOutcomeUnknown(f"status {response.status}")
        return response.json()["offset"]

    def read(
        self, stream: str, offset: int, wait: float
    ) -> messages.RecordsRead:
        """Read the records of a stream from an offset on.

        If there are none, wait up to `wait` seconds for one.

        Raises
        ------
        LogUnavailable
            If the log cannot be read at present.
        """
        path = f"/v1/streams/{stream}/records?from={offset}&wait={wait}"
        try:
            response = self._pool.request(
                "GET", path, timeout=self._timeout + wait
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.LogUnavailable(repr(exc)) from exc
        if response.status != 200:
            raise errors.LogUnavailable(f"status {response.status}")
        body = response.json()
        records = tuple(
            (entry["offset"], entry["record"]) for entry in body["records"]
        )
        return messages.RecordsRead(
            stream, records, body["oldest"], body["head"]
        )

    def abort(self) -> None:
        """Abort the call in progress; for use by another thread."""
        sock = getattr(self._conn, "sock", None)
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

    def _connect(self, *args, **kwargs):
        self._conn = connection.HTTPConnection(*args, **kwargs)
        return self._conn

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()


def make_client(host: str, port: int, timeout: float = 2.0) -> LogClient:
    """Make a client for the log at an address."""
    return LogClient(host, port, timeout)
