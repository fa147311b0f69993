"""How recent the list of executors is, and which instances to ask for it.

Addresses the load of a planner that the store rejects, or whose connection to
the store is silent, while executors drain, shrink and restart.
"""

from __future__ import annotations

import math
import operator
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from cardamompath_core import planner_election

__all__ = [
    "ASK_INTERVAL",
    "FAILING",
    "MAX_AGE",
    "NO_OFFSET",
    "READABLE",
    "READ_TIME",
    "UNSUPPORTED",
    "Answer",
    "Changes",
    "Entry",
    "Knowledge",
    "Question",
    "Reading",
    "add_answer",
    "applies",
    "awaits_peers",
    "changes_since",
    "choose_peers",
    "is_due",
    "is_listed",
    "is_too_old",
    "make_answers",
    "make_question",
    "note_changes",
    "note_own_reading",
    "note_reading",
    "restart_changes",
]

ASK_AGE = 0.8
"""Seconds after its own last reading at which a planner asks others; twice the
interval of its reads, so that one late read sends nothing."""
MAX_AGE = 1.5
"""Seconds after which a reading is too old to start tasks by; a draining
executor may be given work for 2 s, and a start takes up to 0.25 s.  An
instance without an answer for this time counts as cut off."""
READ_TIME = 0.04
"""Seconds that a new planner gives its own reading before it asks others; ten
times what the store usually takes.  The answers of instances to which the
store is silent arrive as the planner stops waiting for its own list."""
ASK_INTERVAL = 0.4
"""Seconds between questions; the interval of a planner's own reads."""
MAX_ASKED = 3
"""Largest number of instances that are asked at a time; one for each of three
failure domains, as the store may reject a whole one."""
FORGET_TIME = 20.0
"""Seconds for which it is kept when an instance was asked; three at a time,
all of 100 instances are asked within 14 s."""
MAX_QUESTIONS = 8
"""Questions whose answers are still taken; those asked within `MAX_AGE` and a
margin."""
MAX_PART_BYTES = 1 << 15
"""Keys and values in one message, in bytes; a heartbeat behind it waits 3 ms
at 100 Mbit/s."""
MAX_PARTS = 32
"""Messages of one answer, which bounds it to 2 MB of entries of the largest
size; the entries of 600 executors take six."""
MAX_ENTRY_BYTES = (1 << 16) + 255
"""Largest size of the key and the value of an entry together, as in the
store."""
MAX_OFFSET = (1 << 63) - 1
"""Largest offset, as it is sent between instances."""
NO_OFFSET = -1
"""Stands for the offset of an instance that has read nothing."""

UNSUPPORTED = 0
"""The state of an instance of an earlier version, which answers nothing, or
of one whose first reading is not over."""
FAILING = 1
"""The state of an instance that cannot read the store."""
READABLE = 2
"""The state of an instance whose last reading of the store succeeded."""


class Entry(NamedTuple):
    """A record of the list; an empty value means that the key was deleted."""

    key: str
    value: bytes


class Reading(NamedTuple):
    """What changed in the list of executors up to an offset."""

    since: int
    """Offset after which the entries were written; `NO_OFFSET` if they are
    all that there are."""
    offset: int
    """Offset after the last entry."""
    entries: tuple[Entry, ...]


class Question(NamedTuple):
    """A question that was sent to some instances."""

    number: int
    since: int
    """Offset of the list that the planner has."""
    asked_at: float
    """In seconds.  The instances read the store later than that, so that
    their readings count as of this time."""
    names: frozenset[str]
    """Names of the instances."""


class Answer(NamedTuple):
    """One part of the answer of an instance."""

    number: int
    """That of the question."""
    member: str
    """Name of the instance that answers."""
    is_readable: bool
    """Whether it could read the store; otherwise there are no entries."""
    since: int
    offset: int
    part: int
    parts: int
    """Number of this part, counted from 0, and of all of them."""
    entries: tuple[Entry, ...]


class Changes:
    """Entries of the list at an instance that reads it for others.

    Executors write their entries again and again.  Only those that mean
    something else than before have changed.
    """

    def __init__(self):
        self.since = NO_OFFSET
        """Offset from which on every change is known."""
        self.offset = NO_OFFSET
        """Offset up to which entries are known."""
        self.read_at = -math.inf
        """When they were last read, in seconds."""
        self.entries: dict[str, tuple[int, Entry, Any]] = {}
        """The offset of the last change, the entry and its meaning, by key."""


def restart_changes(
    changes: Changes,
    entries: Iterable[Entry],
    offset: int,
    describe: Callable[[str, bytes], Any],
) -> None:
    """Keep all present entries, with no changes before.

    Parameters
    ----------
    changes : Changes
        The state.
    entries : iterable of Entry
        The newest entry of each key.
    offset : int
        Offset after the last one.
    describe : callable
        Takes a key and a value; returns what they mean, which is compared.
    """
    changes.since = changes.offset = offset
    changes.entries = {
        entry.key: (offset, entry, describe(*entry)) for entry in entries
    }


def note_changes(
    changes: Changes,
    entries: Iterable[Entry],
    describe: Callable[[str, bytes], Any],
) -> None:
    """Keep the entries that were written from the last known offset on."""
    for entry in entries:
        changes.offset += 1
        meaning = describe(*entry)
        before = changes.entries.get(entry.key)
        if before is None or before[2] != meaning:
            kept = (changes.offset, entry, meaning)
            changes.entries[entry.key] = kept


def changes_since(changes: Changes, offset: int) -> Reading:
    """Return what changed after an offset, or all that there is."""
    if not changes.since <= offset <= changes.offset:
        present = (entry for _, entry, _ in changes.entries.values())
        entries = tuple(entry for entry in present if entry.value)
        return Reading(NO_OFFSET, changes.offset, entries)
    later = tuple(
        entry
        for changed_at, entry, _ in changes.entries.values()
        if changed_at > offset
    )
    return Reading(offset, changes.offset, later)


class Knowledge:
    """What a planner knows of readings of the list of executors."""

    def __init__(self):
        self.own_state = UNSUPPORTED
        self.own_read_at = -math.inf
        """When this instance began its last own reading."""
        self.read_at = -math.inf
        """When the newest reading began, of this instance or of another."""
        self.offset = NO_OFFSET
        """Offset of the list that this instance has."""
        self.peer_states: dict[tuple[str, int], int] = {}
        """Whether other instances can read the store, by their name and start
        time, as they say in heartbeats."""
        self.asking_since: float | None = None
        """Since when others are asked; None if they are not."""
        self.readable_at = -math.inf
        """When the last reading of another instance arrived."""
        self.failing_at = -math.inf
        """When one last answered that it could not."""
        self.last_number = 0
        self.questions: dict[int, Question] = {}
        """The last questions, by number."""
        self.asked_at: dict[str, float] = {}
        """When each instance was last asked, by its name."""
        self.answered_at: dict[str, float] = {}
        """When instances lately sent a reading, by name."""
        self.parts: dict[tuple[int, str], dict[int, Answer]] = {}
        """Parts of answers that are incomplete, by question and instance."""


def note_own_reading(
    known: Knowledge, read_at: float, offset: int, state: int
) -> None:
    """Record the last own reading, and whether the store can be read."""
    known.own_state = state
    known.own_read_at = max(known.own_read_at, read_at)
    note_reading(known, read_at, offset)


def note_reading(known: Knowledge, read_at: float, offset: int) -> None:
    """Record that the list is as of an offset and a time."""
    known.offset = max(known.offset, offset)
    known.read_at = max(known.read_at, read_at)


def is_due(known: Knowledge, began_at: float, now: float) -> bool:
    """Return whether the own reading is so old that others are to be asked.

    Parameters
    ----------
    known : Knowledge
        The readings.
    began_at : float
        When this instance began to plan, in seconds.
    now : float
        The present time, in seconds.
    """
    if known.own_state == UNSUPPORTED or now <= began_at + READ_TIME:
        return False
    return known.own_read_at < began_at or now > known.own_read_at + ASK_AGE


def choose_peers(
    known: Knowledge, peers: Iterable[planner_election.Member], own_domain: str
) -> tuple[planner_election.Member, ...]:
    """Return the instances to ask next, at most `MAX_ASKED`.

    Those that can read the store come first, then those that sent a reading
    lately, as they need not send all entries again, then those that were not
    asked for the longest time.  One of each failure domain comes before a
    second one of any, and another domain before the own.
    """
    ranked = []
    for peer in peers:
        state = known.peer_states.get((peer.name, peer.started), UNSUPPORTED)
        if state in (FAILING, READABLE):
            asked_at = known.asked_at.get(peer.name, -math.inf)
            is_own = peer.domain == own_domain
            is_new = peer.name not in known.answered_at
            ranked.append((-state, is_new, asked_at, is_own, peer.name, peer))
    ranked.sort()
    chosen: list[tuple[int, planner_election.Member]] = []
    second: list[tuple[int, planner_election.Member]] = []
    for *key, peer in ranked:
        is_second = any(
            each.domain == peer.domain and each_state == key[0]
            for each_state, each in chosen
        )
        (second if is_second else chosen).append((key[0], peer))
    by_state = sorted([*chosen, *second], key=operator.itemgetter(0))
    return tuple(peer for _, peer in by_state[:MAX_ASKED])


def make_question(
    known: Knowledge, peers: Iterable[planner_election.Member], now: float
) -> Question:
    """Make the question for some instances, and keep it for their answers."""
    if known.asking_since is None:
        known.asking_since = now
    names = frozenset(peer.name for peer in peers)
    known.last_number += 1
    question = Question(known.last_number, known.offset, now, names)
    known.questions[question.number] = question
    known.asked_at = {
        name: asked_at
        for name, asked_at in known.asked_at.items()
        if now < asked_at + FORGET_TIME
    }
    known.asked_at.update(dict.fromkeys(names, now))
    known.answered_at = {
        name: answered_at
        for name, answered_at in known.answered_at.items()
        if now < answered_at + MAX_AGE
    }
    for number in list(known.questions)[:-MAX_QUESTIONS]:
        del known.questions[number]
    known.parts = {
        key: parts
        for key, parts in known.parts.items()
        if key[0] in known.questions
    }
    return question


def make_answers(
    number: int, member: str, reading: Reading | None
) -> tuple[Answer, ...]:
    """Return the parts of the answer to a question.

    Parameters
    ----------
    number : int
        Number of the question.
    member : str
        Name of the instance that answers.
    reading : Reading or None
        None if the store could not be read.

    Raises
    ------
    ValueError
        If the reading needs more than `MAX_PARTS` messages.
    """
    if reading is None:
        nothing = (NO_OFFSET, NO_OFFSET, 0, 1, ())
        return (Answer(number, member, False, *nothing),)
    groups: list[list[Entry]] = [[]]
    size = 0
    for entry in reading.entries:
        added = _size_of(entry)
        if groups[-1] and size + added > MAX_PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(entry)
        size += added
    if len(groups) > MAX_PARTS:
        raise ValueError(f"the entries need {len(groups)!r} messages")
    return tuple(
        Answer(
            number,
            member,
            True,
            reading.since,
            reading.offset,
            part,
            len(groups),
            tuple(group),
        )
        for part, group in enumerate(groups)
    )


def add_answer(
    known: Knowledge, answer: Answer, now: float
) -> tuple[Reading, float] | None:
    """Record one part of an answer.

    Returns
    -------
    tuple of Reading and float, or None
        The reading and the time as of which it counts, if the answer is
        complete, the store could be read, and the list is not later.

    Raises
    ------
    ValueError
        If the answer is malformed or too large, or if it is old, replayed or
        was not asked for.
    """
    question = known.questions.get(answer.number)
    if question is None or answer.member not in question.names:
        raise ValueError(
            f"answer of {answer.member!r} to question {answer.number!r}, "
            "which is not open"
        )
    if now > question.asked_at + MAX_AGE:
        age = round(now - question.asked_at, 2)
        raise ValueError(f"answer of {answer.member!r} after {age!r} s")
    _check(answer, question)
    if not answer.is_readable:
        known.failing_at = now
        _close(known, question, answer.member)
        return None
    parts = known.parts.setdefault((answer.number, answer.member), {})
    first = next(iter(parts.values()), answer)
    if first[3:5] != answer[3:5] or first.parts != answer.parts:
        raise ValueError(f"parts of {answer.member!r} differ in offsets")
    parts[answer.part] = answer
    if len(parts) < answer.parts:
        return None
    _close(known, question, answer.member)
    entries = [
        entry for part in range(answer.parts) for entry in parts[part].entries
    ]
    reading = Reading(answer.since, answer.offset, tuple(entries))
    if reading.offset < known.offset:
        # It is older than the list, whichever way the instance reads.
        return None
    known.readable_at = now
    known.answered_at[answer.member] = now
    return reading, question.asked_at


def _close(known, question, member):
    """Take no more answers of an instance to a question."""
    known.parts.pop((question.number, member), None)
    known.questions[question.number] = question._replace(
        names=question.names - {member}
    )


def _check(answer, question):
    if not answer.is_readable:
        return
    if answer.since not in (question.since, NO_OFFSET):
        raise ValueError(f"entries since {answer.since!r} were not asked for")
    if not max(0, answer.since) <= answer.offset <= MAX_OFFSET:
        raise ValueError(f"offset {answer.offset!r}")
    if not 0 <= answer.part < answer.parts <= MAX_PARTS:
        raise ValueError(f"part {answer.part!r} of {answer.parts!r}")
    sizes = [_size_of(entry) for entry in answer.entries]
    if max(sizes, default=0) > MAX_ENTRY_BYTES:
        raise ValueError(f"an entry of {max(sizes)!r} bytes")
    if len(sizes) > 1 and sum(sizes) > MAX_PART_BYTES:
        raise ValueError(f"a part of {sum(sizes)!r} bytes")


def _size_of(entry):
    return len(entry.key.encode()) + len(entry.value)


def applies(known_offset: int, reading: Reading) -> bool:
    """Return whether a list as of an offset can be brought to a reading.

    The higher offset wins.  A reading has the last state of every entry that
    changed after its first offset, so that it may begin before the list ends.
    """
    if reading.offset < known_offset:
        return False
    return reading.since == NO_OFFSET or reading.since <= known_offset


def awaits_peers(
    known: Knowledge, peers: Iterable[planner_election.Member], now: float
) -> bool:
    """Return whether another instance can read the store, and may answer.

    If all that answer cannot read it, the store is down.  If none answers,
    this instance is cut off.  Nothing is to be gained by waiting then.
    """
    if known.asking_since is None:
        return False
    if now <= known.readable_at + MAX_AGE:
        return True
    if now <= known.failing_at + MAX_AGE:
        return False
    return now <= known.asking_since + MAX_AGE and (
        _is_any_readable(known, peers)
    )


def is_listed(
    known: Knowledge,
    peers: Iterable[planner_election.Member],
    began_at: float,
    now: float,
) -> bool:
    """Return whether a planner that has just begun may start tasks.

    It may once the list was read since then, or if there is no use in waiting
    for that.
    """
    return known.read_at >= began_at or not awaits_peers(known, peers, now)


def is_too_old(
    known: Knowledge,
    peers: Iterable[planner_election.Member],
    began_at: float,
    now: float,
) -> bool:
    """Return whether no task may be started by the newest reading.

    A planner that has just begun waits for its first reading in another way.
    One that was paused has yet to ask others.
    """
    if now <= max(known.read_at, began_at) + MAX_AGE:
        return False
    if known.asking_since is None:
        return is_due(known, began_at, now) and _is_any_readable(known, peers)
    return awaits_peers(known, peers, now)


def _is_any_readable(known, peers):
    return any(
        known.peer_states.get((peer.name, peer.started)) == READABLE
        for peer in peers
    )
