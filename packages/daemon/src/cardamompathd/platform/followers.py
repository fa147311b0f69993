"""Tasks that follow the store: configuration, executors, members."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any

import loguru

from cardamompath_core import executors
from cardamompathd import pool_messages
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import settings
from cardamompathd.platform import store

__all__ = [
    "ConfigurationFollower",
    "ExecutorFollower",
    "MemberFollower",
]

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
EXECUTOR_TOPIC = "keyed.servers"
MEMBER_TOPIC = "keyed.members"

CONFIGURATION_WAIT = 2.0
"""Seconds that a read waits for a new version; with the time for a
silent call it stays below the 3 s after which a machine whose
connections were silenced has to keep up again."""
BACK_OFF = 0.3
"""Seconds between tries while the store does not answer."""
FAST = 0.4
"""Seconds between reads of the executors while planning: a leaving
executor may get work for 2 s after it said so."""
SLOW = 4.0
"""Seconds between reads while others plan."""
RETURN_TIME = 2.5
"""Seconds after an outage of the store for which executors that are not
registered still count; they register again within about 2 s."""
MEMBER_INTERVAL = 2.0
"""Seconds after the first look for members that no link told of; twice
as long after each further one, as members tell one another."""
MOST_MEMBER_INTERVAL = 16.0

Tell = Callable[[Any], None]


class _Follower(threading.Thread):
    """Calls the store in turn, and logs when it is lost and regained."""

    def __init__(self, name: str, client: store.StoreClient):
        super().__init__(name=name, daemon=True)
        self._client = client
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._ended = False
        self._down = False

    def stop(self) -> None:
        """End after the call in progress."""
        self._inbox.put(None)

    def run(self) -> None:
        """Follow the store until the end."""
        while not self._ended:
            try:
                pause = self._step()
            except errors.StoreUnavailable as exc:
                if not self._down:
                    loguru.logger.warning("store: {}: {}", self.name, exc)
                self._down = True
                pause = BACK_OFF
            else:
                if self._down:
                    loguru.logger.info("store: {}: it answers", self.name)
                    self._on_return()
                self._down = False
            self._rest(pause)
        self._client.close()

    def _step(self) -> float:
        raise NotImplementedError

    def _on_return(self) -> None:
        """Note that the store answers again."""

    def _rest(self, pause):
        try:
            msg = self._inbox.get(timeout=pause) if pause else None
        except queue.Empty:
            return
        if pause and msg is None:
            self._ended = True
        elif pause:
            self._take(msg)

    def _take(self, msg: Any) -> None:
        """Take a message in."""


class ConfigurationFollower(_Follower):
    """Tells each version of the configuration that is published."""

    def __init__(self, client: store.StoreClient, tell: Tell):
        super().__init__("configuration", client)
        self._tell = tell
        self._offset: int | None = None

    def _step(self):
        if self._offset is None:
            records, self._offset = self._client.newest(OPERATOR_TOPIC)
        else:
            try:
                records, self._offset = self._client.read(
                    OPERATOR_TOPIC, self._offset, CONFIGURATION_WAIT
                )
            except errors.Trimmed:
                self._offset = None
                return 0.0
        found = [one for one in records if one.key == CONFIGURATION_KEY]
        if found:
            tell_configuration(found[-1].value, "store", self._tell)
        return 0.01 if found or self._offset else BACK_OFF


def tell_configuration(raw: bytes, source: str, tell: Tell) -> None:
    """Read a published configuration and tell it, or log why not."""
    try:
        table = documents.read_configuration(raw)
    except errors.BadDocument as exc:
        loguru.logger.error("configuration: from {}: {}", source, exc)
        return
    tell(pool_messages.RoutesConfigured(table, raw, source))


class ExecutorFollower(_Follower):
    """Tells which executors are registered.

    Parameters
    ----------
    client : StoreClient
        The connection that this task owns.
    tell : callable
        Called with `ExecutorsListed`.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        client: store.StoreClient,
        tell: Tell,
        clock: Callable[[], float],
    ):
        super().__init__("executors", client)
        self._tell = tell
        self._clock = clock
        self._offset: int | None = None
        self._known: dict[str, executors.Executor] = {}
        self._missing: dict[str, float] = {}
        self._returned_at = -RETURN_TIME
        self._fast = False
        self._faults: set[str] = set()
        self._asked = False

    def follow_fast(self, fast: bool) -> None:
        """Read often, as a planner needs, or seldom."""
        self._inbox.put(fast)

    def _take(self, msg):
        self._fast = msg
        self._asked = msg

    def _on_return(self):
        self._returned_at = self._clock()

    def _step(self):
        if self._offset is None or not self._fast:
            records, self._offset = self._client.newest(EXECUTOR_TOPIC)
            found = {one.key for one in records}
            gone = [name for name in self._known if name not in found]
            records += [store.Record(name, b"") for name in gone]
        else:
            try:
                records, self._offset = self._client.read(
                    EXECUTOR_TOPIC, self._offset, 0.0
                )
            except errors.Trimmed:
                self._offset = None
                return 0.0
        before = dict(self._known)
        for record in records:
            self._take_record(record)
        self._forget()
        if before != self._known or self._asked:
            self._asked = False
            listed = tuple(self._known.values())
            self._tell(pool_messages.ExecutorsListed(listed))
        return FAST if self._fast else SLOW

    def _take_record(self, record):
        if not record.key:
            return
        if not record.value:
            if record.key in self._known:
                self._missing.setdefault(record.key, self._clock())
            return
        try:
            spec = documents.read_executor(record.key, record.value)
        except errors.BadDocument as exc:
            if record.key not in self._faults:
                loguru.logger.warning("store: {}", exc)
            self._faults.add(record.key)
            return
        self._missing.pop(record.key, None)
        self._known[record.key] = spec

    def _forget(self):
        now = self._clock()
        for name, since in list(self._missing.items()):
            if now >= max(since, self._returned_at + RETURN_TIME):
                self._known.pop(name, None)
                del self._missing[name]


class MemberFollower(_Follower):
    """Registers this instance and tells where others are registered."""

    def __init__(
        self,
        client: store.StoreClient,
        name: str,
        address: tuple[str, int],
        tell: Tell,
    ):
        super().__init__("members", client)
        self._own = name
        self._address = address
        self._tell = tell
        self._registered = False
        self._pause = MEMBER_INTERVAL

    def _step(self):
        if not self._registered:
            value = f"{self._address[0]}:{self._address[1]}".encode()
            self._client.put(MEMBER_TOPIC, self._own, value)
            self._registered = True
        records, _ = self._client.newest(MEMBER_TOPIC)
        found = []
        for record in records:
            try:
                found.append(settings.parse_address(record.value.decode()))
            except ValueError as exc:
                loguru.logger.warning("store: member {!r}: {}", record, exc)
        self._tell(pool_messages.AddressesFound(tuple(found), "store"))
        pause = self._pause
        self._pause = min(2.0 * pause, MOST_MEMBER_INTERVAL)
        return pause
