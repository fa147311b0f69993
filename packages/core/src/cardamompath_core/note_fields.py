"""The table of fields that a release note may set.

Each section of the configuration has one row for each field, with a
function that checks the value and a text that says what it allows.
"""

from __future__ import annotations

import ipaddress
import math
import re
import reprlib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "NAME_ALLOWED",
    "SECTIONS",
    "Field",
    "Section",
    "is_name",
    "quote",
]

MAX_QUOTED = 80
"""Characters of an offending value that an error quotes."""

NAME_ALLOWED = "1 to 63 letters, digits, '.', '_' or '-'"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Field(NamedTuple):
    """One field of the entries of a section."""

    key: str
    parse: Callable[[Any], Any]
    """Returns the value to store; raises ValueError for a wrong one."""
    allowed: str
    """What `parse` accepts, with the unit, for people."""


class Section(NamedTuple):
    """One section of the configuration."""

    spec: Any
    """The NamedTuple of an entry."""
    fields: tuple[Field, ...]
    max_entries: int
    """Entries that the section may have."""


def quote(value: Any) -> str:
    """Return a bounded text form of any value; never raises."""
    try:
        text = reprlib.repr(value)
    except (ValueError, RecursionError):
        return f"<{type(value).__name__}>"
    if len(text) > MAX_QUOTED:
        return text[: MAX_QUOTED - 3] + "..."
    return text


def is_name(value: Any) -> bool:
    """Tell whether a value can name an entry."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _number(key, low, high, unit):
    def parse(value):
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError
        if not low <= value <= high or not math.isfinite(value):
            raise ValueError
        return float(value)

    return Field(key, parse, f"a number from {low:g} to {high:g} {unit}")


def _integer(key, low, high, unit):
    def parse(value):
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError
        if not low <= value <= high:
            raise ValueError
        return value

    return Field(key, parse, f"an integer from {low} to {high} {unit}")


def _name(key):
    def parse(value):
        if not is_name(value):
            raise ValueError
        return value

    return Field(key, parse, NAME_ALLOWED)


def _names(key):
    def parse(value):
        if not isinstance(value, list | tuple):
            raise ValueError
        if not all(is_name(one) for one in value):
            raise ValueError
        return tuple(sorted(set(value)))

    return Field(key, parse, f"a list of names, each {NAME_ALLOWED}")


def _host(key):
    def parse(value):
        if not isinstance(value, str) or "%" in value:
            raise ValueError
        return str(ipaddress.ip_address(value))

    return Field(key, parse, "an IP number in quotes")


def _flag(key):
    def parse(value):
        if not isinstance(value, bool):
            raise ValueError
        return value

    return Field(key, parse, "true or false")


SECTIONS: dict[str, Section] = {
    "services": Section(
        types.ServiceSpec,
        (
            _number("timeout", 0.001, 3600, "seconds"),
            _number("objective", 0.5, 0.99999, "as a share of the work"),
        ),
        1024,
    ),
    "backends": Section(
        types.BackendSpec,
        (
            _name("service"),
            _name("domain"),
            _host("host"),
            _integer("port", 1, 65535, "as a TCP port"),
            _integer("slots", 1, 4096, "tasks"),
            _integer("connections", 1, 65536, "connections"),
            _flag("leaving"),
        ),
        4096,
    ),
    "teams": Section(
        types.TeamSpec,
        (
            _number("share", 0.001, 1e6, "tasks in flight"),
            _names("services"),
        ),
        1024,
    ),
}
