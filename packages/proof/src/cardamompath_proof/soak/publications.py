"""Versions of the configuration that a soak publishes."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from cardamompath_standins import fixtures
from cardamompath_standins import store
from cardamompathd.runtime import clocks

__all__ = [
    "Publication",
    "Publish",
    "append",
    "make_publish",
]

READ_INTERVAL = 0.05
"""Seconds between attempts to read what the store holds."""
READ_TIMEOUT = 10.0
"""Seconds after which a version whose answer was lost counts as not
published; the longest fault of the store lasts 3 s."""


class Publication(NamedTuple):
    """A version that is or was in force."""

    effective_from: float
    """When it can have come into force at the earliest."""
    confirmed_at: float
    """When the store's answer, or else the store itself, showed it."""
    version: int
    routes: tuple[str, ...]


Publish = Callable[[int, tuple[str, ...], bytes], Publication | None]
"""Publishes a record; returns None if it did not take effect."""


def make_publish(http: urllib3.PoolManager, store_url: str) -> Publish:
    """Make the function that publishes versions as the operator does."""

    def publish(version, routes, record):
        sent_at = clocks.boottime()
        url = f"{store_url}{fixtures.CONFIGURATION_PATH}"
        status = append(http, url, record)
        answered_at = clocks.boottime()
        if status == 200:
            return Publication(answered_at, answered_at, version, routes)
        if status == 503 or not _took_effect(http, store_url, version):
            return None
        return Publication(sent_at, clocks.boottime(), version, routes)

    return publish


def append(http: urllib3.PoolManager, url: str, record: bytes) -> int:
    """Append a record; return the status of the answer, 0 without one."""
    try:
        return http.request("POST", url, body=record).status
    except urllib3.exceptions.HTTPError as exc:
        print(f"  no answer to an append: {exc!r}", flush=True)
        return 0


def _took_effect(http, store_url, version):
    """Return whether the store holds a version."""
    give_up_at = time.monotonic() + READ_TIMEOUT
    while time.monotonic() < give_up_at:
        try:
            reply = http.request("GET", f"{store_url}{store.READY_PATH}")
        except urllib3.exceptions.HTTPError as exc:
            # A lost answer ends its connection.
            print(f"  reading the store failed: {exc!r}", flush=True)
            continue
        if reply.status == 200:
            return _newest_version(reply.data) == version
        time.sleep(READ_INTERVAL)
    print(f"  the store did not answer in {READ_TIMEOUT:g} s", flush=True)
    return False


def _newest_version(body):
    for item in json.loads(body)["items"]:
        if item["key"] == "config":
            return json.loads(base64.b64decode(item["value"]))["version"]
    return None
