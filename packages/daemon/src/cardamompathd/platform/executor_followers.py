"""Tasks that read the list of executors, for this instance and others."""

from __future__ import annotations

import math
import queue
import threading
from collections.abc import Callable
from typing import Any

import loguru

from cardamompath_core import executor_readings
from cardamompath_core import executors
from cardamompathd import pool_messages
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import followers
from cardamompathd.platform import store

__all__ = [
    "ExecutorFollower",
    "ExecutorReader",
]

EXECUTOR_TOPIC = "keyed.servers"
PLANNING_INTERVAL = 0.4
"""Seconds between reads of the executors while this instance plans; a
draining executor may be given work for 2 s after it announced it."""
IDLE_INTERVAL = 4.0
"""Seconds between reads of the executors while only others plan."""
REREGISTRATION_TIME = 2.5
"""Seconds after an outage of the store during which executors without a
registration still count; they register again within about 2 s.  A process
that has just started cannot know that there was none."""
MAX_READ_GAP = 2.0
"""Seconds between two reads within which an outage may go unnoticed; too short
for an entry to expire in it, which takes three intervals of 1.5 s."""
QUESTION_TIMEOUT = 0.25
"""Seconds for a call to the store on behalf of another instance, which should
not wait longer for it than for its own list if the store is down."""
KEEP_TIME = 2.0
"""Seconds for which entries are kept for the next question; executors write
theirs every 1.5 s, so that after a longer time it is less to read all."""
FAILED_READS = 2
"""Readings in a row that fail until this instance tells others that it cannot
read the store; the first may have been on a connection that went silent."""


class ExecutorFollower(followers.Follower):
    """Sends the registered executors to the planner when they change.

    Parameters
    ----------
    client : StoreClient
        The connection that this task owns.
    tell : callable
        Called with `ExecutorsListed`.
    clock : callable
        Returns the present time in seconds.
    report : callable, optional
        Called with `OwnListRead` and `ExecutorsRead`, after the list that they
        concern; by default, the planner is not told of readings.
    """

    def __init__(
        self,
        client: store.StoreClient,
        tell: followers.Tell,
        clock: Callable[[], float],
        report: followers.Tell | None = None,
    ):
        super().__init__("executors", client)
        self._tell = tell
        self._report = report
        self._own_read_at = -math.inf
        """When the last own reading that succeeded began."""
        self._clock = clock
        self._offset: int | None = None
        self._is_expired = False
        """Whether the store no longer has the records at the offset, so that
        it has to be asked for all entries.  Readings of others still build on
        the list as of the offset."""
        self._executors: dict[str, executors.Executor] = {}
        self._missing_since: dict[str, float] = {}
        """When the entries of executors that still count were found to be
        removed."""
        self._available_since: float | None = None
        """Since when no entry can have expired in an outage of the store."""
        self._read_at = -math.inf
        """When the store last answered."""
        self._complete = False
        """Whether the list that was sent last was complete."""
        self._planning = False
        self._invalid_keys: set[str] = set()
        self._listing_due = False

    def set_planning(self, planning: bool) -> None:
        """Poll at the rate for a planner, or at the slower one.

        An instance that begins to plan also gets the present listing.
        """
        self._inbox.put(planning)

    def receive(self, msg: Any) -> None:
        """Handle a message to the list of executors.

        Parameters
        ----------
        msg : SetListingRate or PeerListRead
            The message.
        """
        if isinstance(msg, pool_messages.SetListingRate):
            self.set_planning(msg.planning)
        else:
            self._inbox.put(msg)

    def _receive(self, msg):
        if isinstance(msg, bool):
            self._planning = msg
            self._listing_due = msg
            return False
        self._merge(msg)
        return True

    def _on_failure(self):
        self._report_own_reading()

    def _report_own_reading(self):
        if self._report is None:
            return
        can_read = self._failures < FAILED_READS and (
            self._own_read_at > -math.inf
        )
        state = executor_readings.FAILING
        if can_read:
            state = executor_readings.READABLE
        offset = self._offset
        if offset is None:
            offset = executor_readings.NO_OFFSET
        self._report(
            pool_messages.OwnListRead(self._own_read_at, offset, state)
        )

    def _merge(self, msg):
        """Bring the list to the reading of another instance."""
        reading = msg.reading
        known = self._offset
        if known is None:
            known = executor_readings.NO_OFFSET
        if not executor_readings.applies(known, reading):
            loguru.logger.debug(
                "store: executors: reading of {!r} since {!r} to {!r} does "
                "not apply to {!r}",
                msg.source,
                reading.since,
                reading.offset,
                known,
            )
            return
        records = [store.Record(*entry) for entry in reading.entries]
        if reading.since == executor_readings.NO_OFFSET:
            records = self._with_absent(records)
        self._offset = reading.offset
        self._apply_reading(records)
        if self._report is not None:
            self._report(
                pool_messages.ExecutorsRead(
                    msg.read_at,
                    reading.offset,
                    len(reading.entries),
                    msg.source,
                )
            )

    def _on_store_unavailable(self):
        self._available_since = None
        self._complete = False
        if self._offset is not None:
            self._send_list()

    def _poll(self):
        began_at = self._clock()
        if self._offset is None or self._is_expired or not self._planning:
            records, self._offset = self._client.read_newest(EXECUTOR_TOPIC)
            self._is_expired = False
            records = self._with_absent(records)
        else:
            try:
                records, self._offset = self._client.read(
                    EXECUTOR_TOPIC, self._offset, 0.0
                )
            except errors.RecordsExpired:
                self._is_expired = True
                return 0.0
        self._apply_reading(records)
        self._own_read_at = began_at
        self._failures = 0
        self._report_own_reading()
        return PLANNING_INTERVAL if self._planning else IDLE_INTERVAL

    def _with_absent(self, records):
        """Return the newest records, and one for each entry that is gone."""
        present = {entry.key for entry in records}
        absent = [name for name in self._executors if name not in present]
        self._invalid_keys &= present
        return [*records, *(store.Record(name, b"") for name in absent)]

    def _apply_reading(self, records):
        """Apply what was read here or by another instance just now."""
        self._note_answer()
        before = dict(self._executors), self._complete
        for record in records:
            self._apply(record)
        self._remove_missing()
        self._complete = self._is_reregistration_over()
        if before != (self._executors, self._complete) or self._listing_due:
            self._listing_due = False
            self._send_list()

    def _note_answer(self):
        now = self._clock()
        if self._available_since is None or now > self._read_at + MAX_READ_GAP:
            self._available_since = now
        self._read_at = now

    def _send_list(self):
        listed = tuple(self._executors.values())
        self._tell(pool_messages.ExecutorsListed(listed, self._complete))

    def _is_reregistration_over(self):
        return self._clock() >= self._available_since + REREGISTRATION_TIME

    def _apply(self, record):
        if not record.key:
            return
        if not record.value:
            self._invalid_keys.discard(record.key)
            if record.key in self._executors:
                self._missing_since.setdefault(record.key, self._clock())
            return
        self._missing_since.pop(record.key, None)
        try:
            spec = documents.parse_executor(record.key, record.value)
        except errors.BadDocument as exc:
            # An outage of the store is no reason to keep what it replaces.
            self._executors.pop(record.key, None)
            if record.key not in self._invalid_keys:
                loguru.logger.warning("store: {}", exc)
            self._invalid_keys.add(record.key)
            return
        self._invalid_keys.discard(record.key)
        self._executors[record.key] = spec

    def _remove_missing(self):
        found_before = self._clock()
        if not self._is_reregistration_over():
            found_before -= REREGISTRATION_TIME
        for name, since in list(self._missing_since.items()):
            if since <= found_before:
                self._executors.pop(name, None)
                del self._missing_since[name]


class ExecutorReader(threading.Thread):
    """Reads the list of executors for other instances that ask for it.

    It has a connection of its own, so that a poll to which the store is
    silent delays no answer.  While it is asked, it keeps what it has read, to
    answer with what has changed.

    Parameters
    ----------
    client : StoreClient
        The connection that this task owns.
    report : callable
        Called with `SendToMember`.
    clock : callable
        Returns the present time in seconds.
    name : str
        Name of the instance.
    """

    def __init__(
        self,
        client: store.StoreClient,
        report: followers.Tell,
        clock: Callable[[], float],
        name: str,
    ):
        super().__init__(name="executors for others", daemon=True)
        self._client = client
        self._report = report
        self._clock = clock
        self._instance_name = name
        self._changes = executor_readings.Changes()
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()

    def receive(self, question: pool_messages.ExecutorsAsked) -> None:
        """Have a question answered."""
        self._inbox.put((question, self._clock()))

    def stop(self) -> None:
        """Stop the task after the call in progress."""
        self._inbox.put(None)

    def run(self) -> None:
        """Answer questions until the task is stopped."""
        while (item := self._inbox.get()) is not None:
            try:
                self._handle(*item)
            except Exception:
                # Whatever the store sends must not end the task.
                loguru.logger.exception("store: {}: not read", self.name)
        self._client.close()

    def _handle(self, question, received_at):
        # The instance that asked takes no later answer.
        if self._clock() <= received_at + executor_readings.MAX_AGE:
            self._answer(question)

    def _answer(self, question):
        """Read the store for another instance, and answer it."""
        reading = self._read_for(question)
        try:
            answers = executor_readings.make_answers(
                question.number, self._instance_name, reading
            )
        except ValueError as exc:
            loguru.logger.error("store: executors: not answered: {}", exc)
            return
        for answer in answers:
            msg = pool_messages.ExecutorsAnswered(answer)
            self._report(pool_messages.SendToMember(question.address, msg))

    def _read_for(self, question):
        """Return what changed since an offset, None if that is not known.

        The connection may have gone silent since it was last used, and there
        is no time to find out.
        """
        self._client.reconnect()
        try:
            return self._read_since(question.since)
        except (errors.RecordsExpired, errors.StoreUnavailable) as exc:
            loguru.logger.debug(
                "store: executors: question of {!r}: {}",
                question.origin,
                exc,
            )
            return None

    def _read_since(self, since):
        now = self._clock()
        if now <= self._changes.read_at + KEEP_TIME:
            try:
                self._read_changes()
            except errors.RecordsExpired:
                self._read_all()
        else:
            self._read_all()
        self._changes.read_at = now
        return executor_readings.changes_since(self._changes, since)

    def _read_all(self):
        # If the second call fails, what was kept is of no use.
        self._changes.read_at = -math.inf
        records, offset = self._client.read_newest(
            EXECUTOR_TOPIC, QUESTION_TIMEOUT
        )
        executor_readings.restart_changes(
            self._changes, map(_make_entry, records), offset, _describe
        )
        # Some of the records may be later than the offset.  They would not
        # count as changed once they are read from there.
        self._read_changes()
        self._changes.since = self._changes.offset

    def _read_changes(self):
        records, _ = self._client.read_changes(
            EXECUTOR_TOPIC, self._changes.offset, QUESTION_TIMEOUT
        )
        executor_readings.note_changes(
            self._changes, map(_make_entry, records), _describe
        )


def _make_entry(record):
    """Return a record as an entry for another instance.

    One that can name no executor has an empty key, and a value that is too
    large stays an invalid one.
    """
    if not documents.is_executor_name(record.key):
        return executor_readings.Entry("", b"")
    if len(record.value) > documents.MAX_ENTRY_BYTES:
        return executor_readings.Entry(record.key, store.UNREADABLE)
    return executor_readings.Entry(*record)


def _describe(key, value):
    """Return the executor that an entry names, or why it names none."""
    if not value:
        return "gone"
    try:
        return documents.parse_executor(key, value)
    except errors.BadDocument:
        return "invalid"
