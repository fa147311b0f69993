"""Table of the fields that a release note may set.

Each section of the configuration lists its fields, each with a function
that checks a value and a text that describes the allowed values.
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
"""Maximum length of an invalid value quoted in an error message."""

NAME_ALLOWED = "1 to 63 letters, digits, '.', '_' or '-'"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Field(NamedTuple):
    """One field of the entries of a section."""

    key: str
    parse: Callable[[Any], Any]
    """Return the value to store; raise ValueError if it is invalid."""
    allowed: str
    """Description of the values that `parse` accepts, with the unit."""


class Section(NamedTuple):
    """One section of the configuration."""

    spec: Any
    """NamedTuple class of the entries."""
    fields: tuple[Field, ...]
    max_entries: int
    """Maximum number of entries in the section."""


def quote(value: Any) -> str:
    """Return the repr of a value, shortened to `MAX_QUOTED` characters.

    Never raises.
    """
    try:
        text = reprlib.repr(value)
    except (ValueError, RecursionError):
        return f"<{type(value).__name__}>"
    if len(text) > MAX_QUOTED:
        return text[: MAX_QUOTED - 3] + "..."
    return text


def is_name(value: Any) -> bool:
    """Return whether a value is a valid name of an entry."""
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
        if not all(is_name(item) for item in value):
            raise ValueError
        return tuple(sorted(set(value)))

    return Field(key, parse, f"a list of names, each {NAME_ALLOWED}")


def _host(key):
    def parse(value):
        if not isinstance(value, str) or "%" in value:
            raise ValueError
        return str(ipaddress.ip_address(value))

    return Field(key, parse, "an IP address in quotes")


def _boolean(key):
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
            _boolean("leaving"),
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
