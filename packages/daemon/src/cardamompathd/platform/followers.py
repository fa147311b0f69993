"""Tasks that follow the store's configuration, executors and members."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Any

import loguru

from cardamompath_core import evacuation
from cardamompathd import pool_messages
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import store

__all__ = [
    "ConfigurationFollower",
    "Follower",
    "MemberFollower",
]

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
MEMBER_TOPIC = "keyed.members"

CONFIGURATION_WAIT = 2.0
"""Seconds that a read waits for a new version.  Together with the timeout
of a call it is below 3 s, the time in which a machine whose connections
were blackholed has to be up to date again."""
MIN_CONFIGURATION_WAIT = 0.1
"""Least of these seconds, however soon an evacuation has to be known, so that
an instance reads no more often than ten times a second."""
NOTIFICATION_TIME = 0.2
"""Seconds from a reading until the planners here and at instances that the
store rejects know of it: two heartbeats to a planner."""
RETRY_DELAY = 0.3
"""Seconds between retries while the store is unavailable."""
MEMBER_INTERVAL = 2.0
"""Seconds between the first two reads of the registered members; each
later interval is twice as long, as members also learn of one another
over their links."""
MAX_MEMBER_INTERVAL = 16.0
"""Longest of these intervals, in seconds."""

Tell = Callable[[Any], None]


class Follower(threading.Thread):
    """Polls the store and logs when it becomes unavailable and available."""

    def __init__(self, name: str, client: store.StoreClient):
        super().__init__(name=name, daemon=True)
        self._client = client
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._stop_requested = False
        self._unavailable = False
        self._failures = 0
        """Number of polls in a row that the store did not answer."""

    def stop(self) -> None:
        """Stop the task after the call in progress."""
        self._inbox.put(None)

    def run(self) -> None:
        """Poll the store until the task is stopped."""
        while not self._stop_requested:
            pause = self._poll_once()
            try:
                self._wait_for_message(pause)
            except Exception:
                loguru.logger.exception("store: {}: message lost", self.name)
        self._client.close()

    def _poll_once(self):
        """Poll the store; return the seconds until the next poll."""
        try:
            pause = self._poll()
        except errors.StoreUnavailable as exc:
            if not self._unavailable:
                loguru.logger.warning(
                    "store: {}: unavailable: {}", self.name, exc
                )
                self._on_store_unavailable()
            self._unavailable = True
            self._failures += 1
            self._on_failure()
            return RETRY_DELAY
        except Exception:
            # Whatever the store sends must not end the task.
            loguru.logger.exception("store: {}: poll failed", self.name)
            return RETRY_DELAY
        if self._unavailable:
            loguru.logger.info("store: {}: available again", self.name)
        self._unavailable = False
        self._failures = 0
        return pause

    def _poll(self) -> float:
        raise NotImplementedError

    def _on_store_unavailable(self) -> None:
        """Handle the begin of an outage of the store."""

    def _on_failure(self) -> None:
        """Handle a poll that the store did not answer."""

    def _wait_for_message(self, pause):
        """Handle messages until the next poll is due."""
        due_at = time.monotonic() + pause
        while pause > 0.0:
            try:
                msg = self._inbox.get(timeout=pause)
            except queue.Empty:
                return
            if msg is None:
                self._stop_requested = True
                return
            if not self._receive(msg):
                return
            pause = due_at - time.monotonic()

    def _receive(self, msg: Any) -> bool:
        """Handle a message other than the one to stop.

        Returns
        -------
        bool
            Whether the next poll is still due when it was; otherwise, it
            follows at once.
        """
        return False


class ConfigurationFollower(Follower):
    """Sends the configuration and the evacuated domains to the gateway.

    Parameters
    ----------
    client : StoreClient
        The connection that this task owns.
    tell : callable
        Called with `RoutesConfigured` and `EvacuationRead`.
    evacuation_bound : float, optional
        Seconds after which a request to evacuate a failure domain has to be
        known; by default, evacuations are not read.
    """

    def __init__(
        self,
        client: store.StoreClient,
        tell: Tell,
        evacuation_bound: float | None = None,
    ):
        super().__init__("configuration", client)
        self._tell = tell
        self._offset: int | None = None
        self._follows_evacuations = evacuation_bound is not None
        self._wait = _configuration_wait(evacuation_bound)
        self._evacuated: set[str] = set()

    def _poll(self):
        is_whole = self._offset is None
        if is_whole:
            records, self._offset = self._client.read_newest(OPERATOR_TOPIC)
        else:
            try:
                records, self._offset = self._client.read(
                    OPERATOR_TOPIC, self._offset, self._wait
                )
            except errors.RecordsExpired:
                self._offset = None
                return 0.0
        if self._follows_evacuations and (is_whole or records):
            # Before the configuration, so that no gateway that has one
            # lacks the other.
            self._read_evacuations(records, is_whole)
        versions = [
            record for record in records if record.key == CONFIGURATION_KEY
        ]
        if versions:
            send_configuration(versions[-1].value, "store", self._tell)
        return 0.01 if versions or self._offset else RETRY_DELAY

    def _read_evacuations(self, records, is_whole):
        if is_whole:
            self._evacuated.clear()
        for key, value in records:
            if not key.startswith(documents.EVACUATION_PREFIX):
                continue
            try:
                domain = documents.parse_evacuation(key)
            except errors.BadDocument as exc:
                loguru.logger.error("store: ignored a record: {}", exc)
                continue
            if value:
                self._evacuated.add(domain)
            else:
                self._evacuated.discard(domain)
        try:
            known = evacuation.make(self._offset, self._evacuated)
        except ValueError as exc:
            loguru.logger.error("store: evacuations ignored: {}", exc)
            return
        self._tell(pool_messages.EvacuationRead(known, "store"))


def _configuration_wait(evacuation_bound):
    """Return for how many seconds a read may wait for a record.

    A request to evacuate that is accepted just after the connection has gone
    silent has to be known within the bound: the read times out, is retried
    and answered.
    """
    if evacuation_bound is None:
        return CONFIGURATION_WAIT
    spent = 2.0 * store.TIMEOUT + RETRY_DELAY + NOTIFICATION_TIME
    wait = min(CONFIGURATION_WAIT, evacuation_bound - spent)
    return max(MIN_CONFIGURATION_WAIT, wait)


def send_configuration(raw: bytes, source: str, tell: Tell) -> None:
    """Parse a published configuration and send it on.

    An invalid document is logged and ignored.
    """
    try:
        table = documents.parse_configuration(raw)
    except errors.BadDocument as exc:
        loguru.logger.error(
            "configuration: ignored a document from {}: {}", source, exc
        )
        return
    tell(pool_messages.RoutesConfigured(table, raw, source))


class MemberFollower(Follower):
    """Registers this instance and sends the members' addresses on."""

    def __init__(
        self,
        client: store.StoreClient,
        name: str,
        address: tuple[str, int],
        tell: Tell,
    ):
        super().__init__("members", client)
        self._instance_name = name
        self._address = address
        self._tell = tell
        self._registered = False
        self._pause = MEMBER_INTERVAL
        self._invalid_keys: set[str] = set()

    def _poll(self):
        if not self._registered:
            value = f"{self._address[0]}:{self._address[1]}".encode()
            self._client.put(MEMBER_TOPIC, self._instance_name, value)
            self._registered = True
        records, _ = self._client.read_newest(MEMBER_TOPIC)
        addresses = []
        invalid = set()
        for record in records:
            try:
                addresses.append(documents.parse_member(*record))
            except errors.BadDocument as exc:
                invalid.add(record.key)
                if record.key not in self._invalid_keys:
                    loguru.logger.warning("store: {}", exc)
        self._invalid_keys = invalid
        self._tell(pool_messages.AddressesFound(tuple(addresses), "store"))
        pause = self._pause
        self._pause = min(2.0 * pause, MAX_MEMBER_INTERVAL)
        return pause
