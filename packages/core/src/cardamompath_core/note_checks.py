"""Checks of a release note against the configuration it would change.

All faults are found in one pass.  The checks never raise, whatever the
record contains: every reader refuses a malformed record in the log with
the same message.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from cardamompath_core import note_fields
from cardamompath_core import types

__all__ = [
    "CheckedNote",
    "check_form",
    "check_note",
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

TEXT_KEYS = ("comment", "id", "operator")
MAX_TEXT = 1000
"""Maximum length of a text in a note, in characters."""

Entries = dict[str, dict[str, Any]]
"""Entries by section and name."""


class CheckedNote(NamedTuple):
    """Entries after a note, and all faults of the note."""

    entries: Entries
    faults: tuple[str, ...]


def check_note(cfg: types.Configuration, note: Any) -> CheckedNote:
    """Check a note and apply it to the entries of a configuration.

    Parameters
    ----------
    cfg : Configuration
        Configuration that the note would change.
    note : object
        The note as decoded; any value is accepted.

    Returns
    -------
    CheckedNote
        The new entries, valid only if there are no faults.  A note made
        against another revision is checked only for its form.
    """
    entries = {
        section: {entry.name: entry for entry in getattr(cfg, section)}
        for section in note_fields.SECTIONS
    }
    if not isinstance(note, dict):
        fault = f"note is {note_fields.quote(note)}; an object is allowed"
        return CheckedNote(entries, (fault,))
    base_faults = list(_check_base(cfg, note))
    if base_faults:
        return CheckedNote(entries, (*base_faults, *check_form(note)))
    faults: list[str] = []
    report = _Report(faults)
    operations = _read_operations(note, report)
    for operation in operations:
        _APPLY[operation.verb](entries[operation.section], operation, report)
    faults += _check_result(entries, operations)
    stamped = _set_since(entries, operations, cfg.revision + 1)
    return CheckedNote(stamped, tuple(dict.fromkeys(faults)))


def check_form(note: Any) -> tuple[str, ...]:
    """Return the faults that are visible without a configuration."""
    if not isinstance(note, dict):
        quoted = note_fields.quote(note)
        return (f"note is {quoted}; an object is allowed",)
    faults: list[str] = []
    report = _Report(faults)
    for operation in _read_operations(note, report):
        if operation.fields is not None:
            _parse_fields(operation, report)
    return tuple(faults)


def _read_operations(note, report):
    report.faults.extend(_check_keys(note))
    report.faults.extend(_check_texts(note))
    operations = _list_operations(note, report)
    if not operations and not report.faults:
        report.faults.append(_EMPTY_NOTE)
    return operations


_EMPTY_NOTE = "note lists nothing added, changed or withdrawn"


class _Operation(NamedTuple):
    verb: str
    section: str
    name: str
    fields: Any = None

    def __str__(self):
        return f"{self.verb} {self.section} {self.name!r}"


class _Report(NamedTuple):
    faults: list[str]

    def add_invalid(self, location, value, allowed):
        quoted = note_fields.quote(value)
        self.faults.append(f"{location} is {quoted}; allowed is {allowed}")


def _check_keys(note) -> Iterator[str]:
    for key in note:
        if key not in KEYS:
            allowed = ", ".join(KEYS)
            quoted = note_fields.quote(key)
            yield f"key {quoted} is unknown; allowed are {allowed}"


def _check_texts(note) -> Iterator[str]:
    for key in TEXT_KEYS:
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


def _list_operations(note, report):
    operations = []
    for verb in ("added", "changed", "withdrawn"):
        sections = note.get(verb, {})
        if not isinstance(sections, dict):
            report.add_invalid(verb, sections, "an object of sections")
            continue
        for section, listed in sections.items():
            if section not in note_fields.SECTIONS:
                allowed = "one of " + ", ".join(note_fields.SECTIONS)
                report.add_invalid(f"section of {verb}", section, allowed)
            elif verb == "withdrawn":
                operations += _list_withdrawals(section, listed, report)
            else:
                operations += _list_entries(verb, section, listed, report)
    _check_duplicates(operations, report)
    return operations


def _list_withdrawals(section, listed, report):
    location = f"withdrawn {section}"
    if not isinstance(listed, list):
        report.add_invalid(location, listed, "a list of names")
        return []
    for name in listed:
        if not note_fields.is_name(name):
            report.add_invalid(
                f"{location} name", name, note_fields.NAME_ALLOWED
            )
    return [
        _Operation("withdrawn", section, name)
        for name in listed
        if note_fields.is_name(name)
    ]


def _list_entries(verb, section, listed, report):
    location = f"{verb} {section}"
    if not isinstance(listed, dict):
        report.add_invalid(location, listed, "an object from names to fields")
        return []
    operations = []
    for name, fields in listed.items():
        if not note_fields.is_name(name):
            report.add_invalid(
                f"{location} name", name, note_fields.NAME_ALLOWED
            )
        elif not isinstance(fields, dict):
            report.add_invalid(
                f"{location} {name!r}", fields, "an object of fields"
            )
        else:
            operations.append(_Operation(verb, section, name, fields))
    return operations


def _check_duplicates(operations, report):
    seen = {}
    for operation in operations:
        entry = (operation.section, operation.name)
        earlier = seen.setdefault(entry, operation)
        if earlier is not operation:
            report.faults.append(
                f"{operation} is listed as {earlier.verb} too; "
                "a note may list each entry once"
            )


def _add(entries, operation, report):
    if operation.name in entries:
        report.faults.append(f"{operation} exists already")
        return
    spec = note_fields.SECTIONS[operation.section].spec
    values = _parse_fields(operation, report)
    required = set(spec._fields) - set(spec._field_defaults) - {"name"}
    missing = sorted(required - set(operation.fields))
    if missing:
        report.faults.append(f"{operation} lacks {', '.join(missing)}")
    if not required - set(values):
        entries[operation.name] = spec(name=operation.name, **values)


def _change(entries, operation, report):
    if operation.name not in entries:
        report.faults.append(f"{operation} does not exist")
        return
    if not operation.fields:
        report.faults.append(f"{operation} lists no field")
    values = _parse_fields(operation, report)
    entries[operation.name] = entries[operation.name]._replace(**values)


def _withdraw(entries, operation, report):
    if entries.pop(operation.name, None) is None:
        report.faults.append(f"{operation} does not exist")


_APPLY = {"added": _add, "changed": _change, "withdrawn": _withdraw}


def _parse_fields(operation, report):
    table = {
        field.key: field
        for field in note_fields.SECTIONS[operation.section].fields
    }
    values = {}
    for key, value in operation.fields.items():
        field = table.get(key)
        if field is None:
            allowed = ", ".join(table)
            report.add_invalid(f"key of {operation}", key, f"one of {allowed}")
            continue
        try:
            values[key] = field.parse(value)
        except ValueError:
            report.add_invalid(f"{operation}: {key}", value, field.allowed)
    return values


def _check_result(entries, operations) -> Iterator[str]:
    withdrawn = {
        operation.name
        for operation in operations
        if operation.verb == "withdrawn" and operation.section == "services"
    }
    for backend in entries["backends"].values():
        location = f"backends {backend.name!r}"
        yield from _check_service(
            location, backend.service, entries, withdrawn
        )
        if backend.slots > backend.connections:
            yield (
                f"{location}: slots is {backend.slots}; allowed is at most "
                f"its connections, {backend.connections}"
            )
    for team in entries["teams"].values():
        for service in team.services:
            location = f"teams {team.name!r}"
            yield from _check_service(location, service, entries, withdrawn)
    yield from _check_addresses(entries["backends"].values())
    for name, section in note_fields.SECTIONS.items():
        count = len(entries[name])
        if count > section.max_entries:
            yield (
                f"{name} has {count} entries; "
                f"allowed are {section.max_entries}"
            )


def _check_service(location, service, entries, withdrawn) -> Iterator[str]:
    if service in entries["services"]:
        return
    if service in withdrawn:
        yield f"withdrawn services {service!r} is still in use by {location}"
    else:
        yield f"{location}: service {service!r} does not exist"


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


def _set_since(entries, operations, revision):
    modified = {
        operation.name
        for operation in operations
        if operation.section == "backends" and operation.verb != "withdrawn"
    }
    backends = entries["backends"]
    for name in modified & set(backends):
        backends[name] = backends[name]._replace(since=revision)
    return entries
