"""Calls to the platform's store."""

from __future__ import annotations

import base64
import binascii
import json
import struct
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import urllib3

from cardamompathd.platform import errors

__all__ = [
    "Record",
    "StoreClient",
    "make_client",
]

TIMEOUT = 0.6
"""Seconds for a call beside the time that it may wait; a usual answer
takes 4 ms, and a silent connection must not delay a configuration that
has to be in force within 2 s."""
POSITIONS = struct.Struct("!QQ")
"""In front of the records of a read: the end, and the first offset kept."""
LENGTH = struct.Struct("!I")


class Record(NamedTuple):
    """The newest record of a key; no value once the key was dropped."""

    key: str
    value: bytes


class StoreClient:
    """A connection to the store, for one task.

    Parameters
    ----------
    address : tuple of str and int
        Where the store listens.
    """

    def __init__(self, address: tuple[str, int]):
        self._pool = urllib3.HTTPConnectionPool(
            *address, maxsize=1, retries=False, timeout=TIMEOUT
        )

    def newest(self, topic: str) -> tuple[list[Record], int]:
        """Return the newest record of each key, and the end offset.

        Records behind that offset may be among them already.

        Raises
        ------
        StoreUnavailable
            If the store did not answer well.
        """
        records: list[Record] = []
        fields = {"topic": topic, "part": 0}
        end = None
        while True:
            doc = self._json(self._call("GET", "/v1/log-newest", fields))
            try:
                end = doc["end_offset"] if end is None else end
                records += [_read_item(one) for one in doc["items"]]
                more = doc.get("has_more") and records
            except (KeyError, TypeError, ValueError) as exc:
                raise errors.StoreUnavailable(f"newest: {exc!r}") from exc
            if not more:
                return records, end
            # The next page begins after this key.
            fields["depends_on"] = records[-1].key

    def read(
        self, topic: str, offset: int, wait: float
    ) -> tuple[list[Record], int]:
        """Return the records from an offset on, and the next offset.

        Parameters
        ----------
        topic : str
            A topic with keys.
        offset : int
            The first record wanted.
        wait : float
            Seconds to wait for a record.

        Raises
        ------
        StoreUnavailable
            If the store did not answer well.
        Trimmed
            If the records are no longer kept.
        """
        fields = {"topic": topic, "part": 0, "from": offset}
        fields["wait_ms"] = round(wait * 1000.0)
        response = self._call("GET", "/v1/log-read", fields, wait, (410,))
        if response.status == 410:
            raise errors.Trimmed(f"{topic} from {offset}")
        raw = response.data
        try:
            records = _read_records(raw[POSITIONS.size :])
        except (struct.error, ValueError) as exc:
            raise errors.StoreUnavailable(f"read: {exc!r}") from exc
        return records, offset + len(records)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Store a value under a key.

        Raises
        ------
        StoreUnavailable
            If the store did not say that it did.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = LENGTH.pack(len(record)) + record
        fields = {"topic": topic, "part": 0}
        self._call("POST", "/v1/log-append", fields, body=body)

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any],
        wait: float = 0.0,
        also: Sequence[int] = (),
        body: bytes | None = None,
    ):
        query = "&".join(f"{name}={value}" for name, value in fields.items())
        try:
            response = self._pool.request(
                method, f"{path}?{query}", body=body, timeout=TIMEOUT + wait
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailable(repr(exc)) from exc
        if response.status != 200 and response.status not in also:
            raise errors.StoreUnavailable(f"status {response.status}")
        return response

    def _json(self, response):
        try:
            return json.loads(response.data)
        except ValueError as exc:
            raise errors.StoreUnavailable(f"answer: {exc!r}") from exc


def make_client(address: tuple[str, int]) -> StoreClient:
    """Make a client of the store at an address."""
    return StoreClient(address)


def _read_item(item):
    try:
        return Record(item["key"], base64.b64decode(item["value"]))
    except binascii.Error as exc:
        raise ValueError(f"value of {item['key']!r}: {exc}") from exc


def _read_records(raw):
    records = []
    at = 0
    while at < len(raw):
        size = LENGTH.unpack_from(raw, at)[0]
        at += LENGTH.size
        if at + size > len(raw):
            raise ValueError(f"a record of {size} bytes is cut short")
        records.append(_read_record(raw[at : at + size]))
        at += size
    return records


def _read_record(raw):
    if not raw or len(raw) <= raw[0]:
        # Not a keyed record; it takes an offset all the same.
        return Record("", b"")
    end = 1 + raw[0]
    return Record(raw[1:end].decode("utf-8", "replace"), raw[end:])
