"""The table of all settings, with type, unit, default and check."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

__all__ = [
    "TABLE",
    "Setting",
    "make_choice",
    "make_number",
]


class Setting(NamedTuple):
    """A setting and how its text is parsed and checked."""

    section: str
    key: str
    kind: str
    """Name of the type, for display."""
    parse: Callable[[str], Any]
    """Parses the text of the value; raises ValueError if it is invalid."""
    default: Any
    """None if the setting is required."""
    check: Callable[[Any], bool]
    """Returns whether a parsed value is allowed."""
    allowed: str
    """Description of the allowed values."""
    help: str
    unit: str = ""


def make_number(section, key, parse, default, low, high, unit, text):
    """Make a setting that is a number within bounds."""
    kind = "integer" if parse is int else "number"
    return Setting(
        section,
        key,
        kind,
        parse,
        default,
        lambda value: low <= value <= high,
        f"{low:g} to {high:g}",
        text,
        unit,
    )


def _make_name(section, key, text):
    pattern = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
    return Setting(
        section,
        key,
        "name",
        str,
        None,
        lambda value: pattern.fullmatch(value) is not None,
        "lower-case letters, digits and hyphens, at most 63",
        text,
    )


def make_choice(section, key, default, choices, text):
    """Make a setting that is one of several words."""
    return Setting(
        section,
        key,
        "choice",
        str,
        default,
        lambda value: value in choices,
        "one of " + ", ".join(choices),
        text,
    )


def _make_address(section, key, default, text):
    return Setting(
        section,
        key,
        "address",
        _parse_address,
        default,
        lambda value: 0 <= value[1] <= 65535,
        "IP address:port",
        text,
    )


def _parse_address(text):
    host, _, port = text.strip().rpartition(":")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def _parse_addresses(text):
    return tuple(
        _parse_address(part) for part in text.split(",") if part.strip()
    )


def _make_addresses(section, key, text):
    return Setting(
        section,
        key,
        "addresses",
        _parse_addresses,
        (),
        lambda value: all(0 < port <= 65535 for _, port in value),
        "IP address:port, separated by commas",
        text,
    )


TABLE: tuple[Setting, ...] = (
    _make_name("instance", "name", "Name of this instance."),
    _make_name("instance", "domain", "Failure domain of this instance."),
    make_number(
        "instance",
        "processor",
        int,
        -1,
        -1,
        1023,
        "",
        "Processor that the process is pinned to; -1 for any.",
    ),
    make_number(
        "instance",
        "leave_notice",
        float,
        2.0,
        0,
        60,
        "seconds",
        "Time for which a leaving instance refuses work before it closes its "
        "listeners, so that the load balancer can remove it.",
    ),
    make_number(
        "instance",
        "answer_hold",
        float,
        5.0,
        0,
        600,
        "seconds",
        "Time for which a leaving instance keeps answers not yet fetched.",
    ),
    make_number(
        "instance",
        "grace",
        float,
        60.0,
        0,
        3600,
        "seconds",
        "Time limit for work in flight at a shutdown.",
    ),
    _make_address(
        "callers", "listen", None, "Address of the listener for callers."
    ),
    make_number(
        "callers",
        "threads",
        int,
        64,
        2,
        4096,
        "threads",
        "Threads for callers; all but 4 may wait for answers.",
    ),
    make_number(
        "callers",
        "connections",
        int,
        1024,
        16,
        65536,
        "connections",
        "Limit on open connections, and on those that wait for a thread.",
    ),
    make_number(
        "callers",
        "timeout",
        float,
        10.0,
        0.1,
        600,
        "seconds",
        "Time limit for a whole header to arrive; a connection that is idle "
        "for longer is closed.",
    ),
    make_number(
        "callers",
        "payload_limit",
        int,
        256 << 10,
        64,
        1 << 30,
        "bytes",
        "Largest payload of one task.",
    ),
    make_number(
        "callers",
        "body_limit",
        int,
        8 << 20,
        1024,
        1 << 30,
        "bytes",
        "Largest body of a request.",
    ),
    make_number(
        "callers",
        "answer_ttl",
        float,
        300.0,
        1,
        86400,
        "seconds",
        "Time for which an answer can be fetched again.",
    ),
    make_number(
        "callers",
        "answer_bytes",
        int,
        256 << 20,
        1 << 20,
        1 << 40,
        "bytes",
        "Memory for answers that can be fetched again; the same amount is "
        "reserved for the answers of unanswered jobs.",
    ),
    _make_address(
        "operators",
        "listen",
        None,
        "Address of the listener for operators.",
    ),
    _make_address(
        "peers", "listen", None, "Address of the listener for peers."
    ),
    _make_addresses(
        "peers", "addresses", "Addresses of peers to contact at the start."
    ),
    _make_address("platform", "address", None, "Address of the platform."),
    make_number(
        "platform",
        "timeout",
        float,
        2.0,
        0.1,
        60,
        "seconds",
        "Time limit of a call to the platform.",
    ),
    make_number(
        "platform",
        "retention",
        float,
        21600.0,
        60,
        31536000,
        "seconds",
        "Time for which the log keeps records; snapshots are appended twice "
        "in that time.",
    ),
    make_number(
        "platform",
        "append_budget",
        float,
        100.0,
        1,
        10000,
        "appends/s",
        "Rate limit on appends to the journal, of all instances together.",
    ),
    make_number(
        "backends",
        "connect_timeout",
        float,
        1.0,
        0.01,
        60,
        "seconds",
        "Time limit for opening a connection to a backend server.",
    ),
    make_number(
        "backends",
        "idle_limit",
        float,
        30.0,
        0.1,
        3600,
        "seconds",
        "A connection that was idle for longer is replaced by a new one.",
    ),
    make_choice(
        "log",
        "level",
        "INFO",
        ("DEBUG", "INFO", "WARNING", "ERROR"),
        "Lowest level that is logged.",
    ),
    make_choice(
        "log",
        "format",
        "auto",
        ("auto", "text", "json"),
        "Format of the log; auto is text on a terminal, otherwise JSON.",
    ),
    make_choice(
        "metrics",
        "exporter",
        "scrape",
        ("scrape", "console", "none"),
        "Exporter of metrics; scrape is a page on the listener for operators.",
    ),
)
