"""Checks a release note against the configuration it would change.

All faults are found in one pass.  The checks never raise, whatever the
record holds: a broken record in the log is refused by every reader with
the same words.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from cardamompath_core import note_fields
from cardamompath_core import types

__all__ = [
    "Checked",
    "check_note",
    "check_shape",
]

KEYS = (
    "added",
    "base",
    "changed",
    "comment",
    "id",
    "kind",
    "operator",
    "withdrawn",
)
"""Keys that a note may have."""

TEXTS = ("comment", "id", "operator")
MAX_TEXT = 1000
"""Characters of a text in a note."""

Entries = dict[str, dict[str, Any]]


class Checked(NamedTuple):
    """The entries after a note, by section, and all its faults."""

    entries: Entries
    faults: tuple[str, ...]


def check_note(cfg: types.Configuration, note: Any) -> Checked:
    """Apply a note to the entries of a configuration.

    Parameters
    ----------
    cfg : Configuration
        The configuration that the note would change.
    note : object
        The note as decoded; any value is taken.

    Returns
    -------
    Checked
        The entries to be; they count only when there are no faults.  Of
        a note against another revision only the form is checked.
    """
    entries = {
        section: {one.name: one for one in getattr(cfg, section)}
        for section in note_fields.SECTIONS
    }
    if not isinstance(note, dict):
        fault = f"note is {note_fields.quote(note)}; an object is allowed"
        return Checked(entries, (fault,))
    stale = list(_check_base(cfg, note))
    if stale:
        return Checked(entries, (*stale, *check_shape(note)))
    faults: list[str] = []
    shape = _Shape(faults)
    operations = _check_form(note, shape)
    for operation in operations:
        _APPLY[operation.verb](entries[operation.section], operation, shape)
    faults += _check_result(entries, operations)
    stamped = _stamp(entries, operations, cfg.revision + 1)
    return Checked(stamped, tuple(dict.fromkeys(faults)))


def check_shape(note: Any) -> tuple[str, ...]:
    """Return the faults that show without knowing a configuration."""
    if not isinstance(note, dict):
        quoted = note_fields.quote(note)
        return (f"note is {quoted}; an object is allowed",)
    faults: list[str] = []
    shape = _Shape(faults)
    for operation in _check_form(note, shape):
        if operation.fields is not None:
            _parse_fields(operation, shape)
    return tuple(faults)


def _check_form(note, shape):
    shape.faults.extend(_check_keys(note))
    shape.faults.extend(_check_texts(note))
    operations = _operations(note, shape)
    if not operations and not shape.faults:
        shape.faults.append(_NOTHING)
    return operations


_NOTHING = "note lists nothing added, changed or withdrawn"


class _Operation(NamedTuple):
    verb: str
    section: str
    name: str
    fields: Any = None

    def __str__(self):
        return f"{self.verb} {self.section} {self.name!r}"


class _Shape(NamedTuple):
    faults: list[str]

    def refuse(self, place, value, allowed):
        quoted = note_fields.quote(value)
        self.faults.append(f"{place} is {quoted}; allowed is {allowed}")


def _check_keys(note) -> Iterator[str]:
    for key in note:
        if key not in KEYS:
            allowed = ", ".join(KEYS)
            quoted = note_fields.quote(key)
            yield f"key {quoted} is unknown; allowed are {allowed}"


def _check_texts(note) -> Iterator[str]:
    for key in TEXTS:
        value = note.get(key, "")
        if not isinstance(value, str) or len(value) > MAX_TEXT:
            quoted = note_fields.quote(value)
            allowed = f"a text of at most {MAX_TEXT} characters"
            yield f"{key} is {quoted}; allowed is {allowed}"


def _check_base(cfg, note) -> Iterator[str]:
    base = note.get("base")
    quoted = note_fields.quote(base)
    if isinstance(base, bool) or not isinstance(base, int) or base < 0:
        yield f"base is {quoted}; allowed is a revision, 0 or more"
    elif base != cfg.revision:
        yield (
            f"base is {quoted}; the revision in force is {cfg.revision}, "
            "and a note has to be made against it"
        )


def _operations(note, shape):
    operations = []
    for verb in ("added", "changed", "withdrawn"):
        sections = note.get(verb, {})
        if not isinstance(sections, dict):
            shape.refuse(verb, sections, "an object of sections")
            continue
        for section, listed in sections.items():
            if section not in note_fields.SECTIONS:
                allowed = "one of " + ", ".join(note_fields.SECTIONS)
                shape.refuse(f"section of {verb}", section, allowed)
            elif verb == "withdrawn":
                operations += _withdrawals(section, listed, shape)
            else:
                operations += _entries(verb, section, listed, shape)
    _refuse_repeats(operations, shape)
    return operations


def _withdrawals(section, listed, shape):
    place = f"withdrawn {section}"
    if not isinstance(listed, list):
        shape.refuse(place, listed, "a list of names")
        return []
    for name in listed:
        if not note_fields.is_name(name):
            shape.refuse(f"{place} name", name, note_fields.NAME_ALLOWED)
    return [
        _Operation("withdrawn", section, name)
        for name in listed
        if note_fields.is_name(name)
    ]


def _entries(verb, section, listed, shape):
    place = f"{verb} {section}"
    if not isinstance(listed, dict):
        shape.refuse(place, listed, "an object from names to fields")
        return []
    operations = []
    for name, fields in listed.items():
        if not note_fields.is_name(name):
            shape.refuse(f"{place} name", name, note_fields.NAME_ALLOWED)
        elif not isinstance(fields, dict):
            shape.refuse(f"{place} {name!r}", fields, "an object of fields")
        else:
            operations.append(_Operation(verb, section, name, fields))
    return operations


def _refuse_repeats(operations, shape):
    seen = {}
    for operation in operations:
        place = (operation.section, operation.name)
        earlier = seen.setdefault(place, operation)
        if earlier is not operation:
            shape.faults.append(
                f"{operation} is listed as {earlier.verb} too; "
                "a note may list each entry once"
            )


def _add(entries, operation, shape):
    if operation.name in entries:
        shape.faults.append(f"{operation} exists already")
        return
    spec = note_fields.SECTIONS[operation.section].spec
    values = _parse_fields(operation, shape)
    required = set(spec._fields) - set(spec._field_defaults) - {"name"}
    missing = sorted(required - set(operation.fields))
    if missing:
        shape.faults.append(f"{operation} lacks {', '.join(missing)}")
    if not required - set(values):
        entries[operation.name] = spec(name=operation.name, **values)


def _change(entries, operation, shape):
    if operation.name not in entries:
        shape.faults.append(f"{operation} does not exist")
        return
    if not operation.fields:
        shape.faults.append(f"{operation} lists no field")
    values = _parse_fields(operation, shape)
    entries[operation.name] = entries[operation.name]._replace(**values)


def _withdraw(entries, operation, shape):
    if entries.pop(operation.name, None) is None:
        shape.faults.append(f"{operation} does not exist")


_APPLY = {"added": _add, "changed": _change, "withdrawn": _withdraw}


def _parse_fields(operation, shape):
    table = {
        field.key: field
        for field in note_fields.SECTIONS[operation.section].fields
    }
    values = {}
    for key, value in operation.fields.items():
        field = table.get(key)
        if field is None:
            allowed = ", ".join(table)
            shape.refuse(f"key of {operation}", key, f"one of {allowed}")
            continue
        try:
            values[key] = field.parse(value)
        except ValueError:
            shape.refuse(f"{operation}: {key}", value, field.allowed)
    return values


def _check_result(entries, operations) -> Iterator[str]:
    withdrawn = {
        one.name
        for one in operations
        if one.verb == "withdrawn" and one.section == "services"
    }
    for backend in entries["backends"].values():
        place = f"backends {backend.name!r}"
        yield from _check_use(place, backend.service, entries, withdrawn)
        if backend.slots > backend.connections:
            yield (
                f"{place}: slots is {backend.slots}; allowed is at most "
                f"its connections, {backend.connections}"
            )
    for team in entries["teams"].values():
        for service in team.services:
            place = f"teams {team.name!r}"
            yield from _check_use(place, service, entries, withdrawn)
    yield from _check_addresses(entries["backends"].values())
    for name, section in note_fields.SECTIONS.items():
        count = len(entries[name])
        if count > section.most:
            yield f"{name} has {count} entries; allowed are {section.most}"


def _check_use(place, service, entries, withdrawn) -> Iterator[str]:
    if service in entries["services"]:
        return
    if service in withdrawn:
        yield f"withdrawn services {service!r} is still in use by {place}"
    else:
        yield f"{place}: service {service!r} does not exist"


def _check_addresses(backends) -> Iterator[str]:
    seen: dict[tuple[str, int], str] = {}
    for backend in backends:
        address = (backend.host, backend.port)
        other = seen.setdefault(address, backend.name)
        if other != backend.name:
            yield (
                f"backends {backend.name!r}: address "
                f"{backend.host}:{backend.port} is that of {other!r} already"
            )


def _stamp(entries, operations, revision):
    touched = {
        one.name
        for one in operations
        if one.section == "backends" and one.verb != "withdrawn"
    }
    backends = entries["backends"]
    for name in touched & set(backends):
        backends[name] = backends[name]._replace(since=revision)
    return entries
