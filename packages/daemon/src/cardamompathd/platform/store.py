"""A client of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
import urllib.parse
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import urllib3

from cardamompathd.platform import errors

__all__ = [
    "Page",
    "Record",
    "StoreClient",
    "make_client",
]

TIMEOUT = 0.6
"""Seconds for a call, in addition to the time that the store may wait.
A response usually takes 4 ms, and an unresponsive connection must not
delay a configuration that has to be in force within 2 s."""
READ_HEADER = struct.Struct("!QQ")
"""Precedes the records of a read: the end offset and the first offset that
is still stored."""
RECORD_LENGTH = struct.Struct("!I")
"""Precedes each record."""
UNREADABLE = b"\0"
"""Stands for a value that cannot be decoded; no parser accepts it."""
MAX_PAGES = 100
"""Largest number of pages with the newest records of a topic, of up to 500
records or 1 MB each."""


class Record(NamedTuple):
    """A keyed record; an empty value means that the key was deleted."""

    key: str
    value: bytes


class Page(NamedTuple):
    """Records of a topic, whatever their form, in the order of the log."""

    records: list[bytes]
    end: int
    """Offset after the last record of the topic."""


class StoreClient:
    """A connection to the store, owned by a single task.

    Parameters
    ----------
    address : tuple of str and int
        Address of the store.
    """

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._pool = _make_pool(address)

    def reconnect(self) -> None:
        """Have the next call open a new connection."""
        self._pool.close()
        self._pool = _make_pool(self._address)

    def read_newest(
        self, topic: str, timeout: float = TIMEOUT
    ) -> tuple[list[Record], int]:
        """Return the newest record of each key, and the end offset.

        Records appended after that offset may already be included.  Each call
        for a page may take `timeout` seconds.

        Raises
        ------
        StoreUnavailable
            If the store sent no valid response.
        """
        records: list[Record] = []
        params = {"topic": topic, "part": 0}
        end = None
        for _ in range(MAX_PAGES):
            doc = self._decode_json(
                self._call("GET", "/v1/log-newest", params, timeout=timeout)
            )
            try:
                end = _parse_offset(doc["end_offset"]) if end is None else end
                records += [_decode_item(item) for item in doc["items"]]
                more = doc.get("has_more") and records
            except (AttributeError, LookupError, TypeError, ValueError) as exc:
                raise errors.StoreUnavailable(f"newest: {exc!r}") from exc
            if not more:
                return records, end
            # The next page starts after this key.
            params["depends_on"] = records[-1].key
        raise errors.StoreUnavailable(f"newest: more than {MAX_PAGES} pages")

    def read(
        self,
        topic: str,
        offset: int,
        wait: float,
        timeout: float = TIMEOUT,
    ) -> tuple[list[Record], int]:
        """Return the records from an offset on, and the next offset.

        Parameters
        ----------
        topic : str
            A topic with keyed records.
        offset : int
            Offset of the first record.
        wait : float
            Seconds that the store waits for a record if there is none.
        timeout : float
            Seconds for the call, in addition to `wait`.

        Raises
        ------
        StoreUnavailable
            If the store sent no valid response.
        RecordsExpired
            If the record at `offset` is no longer stored.
        """
        records, _ = self._read(topic, offset, wait, timeout, _decode_records)
        return records, offset + len(records)

    def read_changes(
        self, topic: str, offset: int, timeout: float = TIMEOUT
    ) -> tuple[list[Record], int]:
        """Return all records from an offset on, and the next offset.

        Raises
        ------
        StoreUnavailable
            If the store sent no valid response, or too many pages.
        RecordsExpired
            If the record at `offset` is no longer stored.
        """
        records: list[Record] = []
        for _ in range(MAX_PAGES):
            page, end = self._read(
                topic, offset, 0.0, timeout, _decode_records
            )
            records += page
            offset += len(page)
            if offset >= end or not page:
                return records, offset
        raise errors.StoreUnavailable(f"read: more than {MAX_PAGES} pages")

    def read_page(self, topic: str, offset: int, wait: float) -> Page:
        """Return records of any form from an offset on.

        Parameters and errors are those of `read`.
        """
        return Page(*self._read(topic, offset, wait, TIMEOUT, _split_records))

    def _read(self, topic, offset, wait, timeout, decode):
        """Return decoded records, and the offset after the last one stored."""
        params = {"topic": topic, "part": 0, "from": offset}
        params["wait_ms"] = round(wait * 1000.0)
        response = self._call(
            "GET", "/v1/log-read", params, wait, (410,), timeout=timeout
        )
        if response.status == 410:
            expired = errors.RecordsExpired(f"{topic} from {offset}")
            expired.first = _parse_first_offset(response.data)
            raise expired
        raw = response.data
        try:
            end, _ = READ_HEADER.unpack_from(raw)
            return decode(raw[READ_HEADER.size :]), end
        except (struct.error, ValueError) as exc:
            raise errors.StoreUnavailable(f"read: {exc!r}") from exc

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with a value for a key.

        Raises
        ------
        StoreUnavailable
            If the store did not confirm it.
        """
        raw_key = key.encode()
        self.append(topic, [bytes([len(raw_key)]) + raw_key + value])

    def append(self, topic: str, records: Iterable[bytes]) -> None:
        """Append records of any form in one call.

        Raises
        ------
        StoreUnavailable
            If the store did not confirm it; it may have taken effect.
        """
        body = b"".join(RECORD_LENGTH.pack(len(raw)) + raw for raw in records)
        params = {"topic": topic, "part": 0}
        self._call("POST", "/v1/log-append", params, body=body)

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        params: dict[str, Any],
        wait: float = 0.0,
        other_statuses: Sequence[int] = (),
        body: bytes | None = None,
        timeout: float = TIMEOUT,
    ):
        # A key of another writer may have any characters.
        query = urllib.parse.urlencode(
            params,
            errors="surrogatepass",
            quote_via=urllib.parse.quote,
        )
        try:
            response = self._pool.request(
                method, f"{path}?{query}", body=body, timeout=timeout + wait
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailable(repr(exc)) from exc
        if response.status != 200 and response.status not in other_statuses:
            raise errors.StoreUnavailable(f"status {response.status}")
        return response

    def _decode_json(self, response):
        try:
            return json.loads(response.data)
        except (RecursionError, ValueError) as exc:
            raise errors.StoreUnavailable(f"response: {exc!r}") from exc


def make_client(address: tuple[str, int]) -> StoreClient:
    """Make a client for the store at an address."""
    return StoreClient(address)


def _make_pool(address):
    return urllib3.HTTPConnectionPool(
        *address, maxsize=1, retries=False, timeout=TIMEOUT
    )


def _parse_offset(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"offset {value!r}")
    return value


def _decode_item(item):
    key, value = item["key"], item["value"]
    if not isinstance(key, str) or not isinstance(value, str):
        raise TypeError(f"item with key {key!r}")
    try:
        return Record(key, base64.b64decode(value))
    except ValueError:
        return Record(key, UNREADABLE)


def _parse_first_offset(raw):
    """Return the first retained offset that a 410 tells, or None."""
    try:
        return _parse_offset(json.loads(raw)["first"])
    except (LookupError, RecursionError, TypeError, ValueError):
        return None


def _split_records(raw):
    records = []
    start = 0
    while start < len(raw):
        size = RECORD_LENGTH.unpack_from(raw, start)[0]
        start += RECORD_LENGTH.size
        if start + size > len(raw):
            raise ValueError(f"record of {size} bytes is truncated")
        records.append(raw[start : start + size])
        start += size
    return records


def _decode_records(raw):
    return [_decode_record(record) for record in _split_records(raw)]


def _decode_record(raw):
    if not raw or len(raw) <= raw[0]:
        # Not a keyed record, but it still counts as one offset.
        return Record("", b"")
    end = 1 + raw[0]
    return Record(raw[1:end].decode("utf-8", "replace"), raw[end:])
