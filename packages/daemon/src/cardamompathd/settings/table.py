"""The table of all settings: name, type, unit, default and check."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

__all__ = [
    "TABLE",
    "Setting",
]


class Setting(NamedTuple):
    """One setting."""

    section: str
    key: str
    kind: str
    """Name of the type, for people."""
    parse: Callable[[str], Any]
    """Raises ValueError on text of another type."""
    default: Any
    """None when the setting has to be given."""
    check: Callable[[Any], bool]
    allowed: str
    """What `check` allows, for people."""
    help: str
    unit: str = ""


def _number(section, key, parse, default, low, high, unit, text):
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


def _name(section, key, text):
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


def _choice(section, key, default, choices, text):
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


def _address(section, key, default, text):
    return Setting(
        section,
        key,
        "address",
        _parse_address,
        default,
        lambda value: 0 <= value[1] <= 65535,
        "IP number:port",
        text,
    )


def _parse_address(text):
    host, _, port = text.strip().rpartition(":")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def _parse_addresses(text):
    return tuple(_parse_address(one) for one in text.split(",") if one.strip())


def _addresses(section, key, text):
    return Setting(
        section,
        key,
        "addresses",
        _parse_addresses,
        (),
        lambda value: all(0 < port <= 65535 for _, port in value),
        "IP number:port, separated by commas",
        text,
    )


TABLE: tuple[Setting, ...] = (
    _name("instance", "name", "Name of this instance."),
    _name("instance", "domain", "Failure domain of this instance."),
    _number(
        "instance",
        "processor",
        int,
        -1,
        -1,
        1023,
        "",
        "Processor that the process stays on; -1 for any.",
    ),
    _number(
        "instance",
        "leave_notice",
        float,
        2.0,
        0,
        60,
        "seconds",
        "For how long a leaving instance refuses work before it closes its "
        "listeners, so that the balancer turns away.",
    ),
    _number(
        "instance",
        "answer_hold",
        float,
        5.0,
        0,
        600,
        "seconds",
        "For how long a leaving instance keeps answers that nobody fetched.",
    ),
    _number(
        "instance",
        "grace",
        float,
        60.0,
        0,
        3600,
        "seconds",
        "Time for work in flight at a shutdown.",
    ),
    _address("callers", "listen", None, "Where callers reach the instance."),
    _number(
        "callers",
        "threads",
        int,
        64,
        2,
        4096,
        "threads",
        "Threads of callers; all but 4 may wait for answers.",
    ),
    _number(
        "callers",
        "connections",
        int,
        1024,
        16,
        65536,
        "connections",
        "Connections that are kept open, and as many that wait.",
    ),
    _number(
        "callers",
        "timeout",
        float,
        10.0,
        0.1,
        600,
        "seconds",
        "Time for a whole header to arrive; a connection idle for longer "
        "is closed.",
    ),
    _number(
        "callers",
        "payload_limit",
        int,
        256 << 10,
        64,
        1 << 30,
        "bytes",
        "Largest payload of one task.",
    ),
    _number(
        "callers",
        "body_limit",
        int,
        8 << 20,
        1024,
        1 << 30,
        "bytes",
        "Largest body of a request.",
    ),
    _number(
        "callers",
        "answer_ttl",
        float,
        300.0,
        1,
        86400,
        "seconds",
        "For how long an answer can be asked for again.",
    ),
    _number(
        "callers",
        "answer_bytes",
        int,
        256 << 20,
        1 << 20,
        1 << 40,
        "bytes",
        "Memory for answers that can be asked for again.",
    ),
    _address(
        "operators", "listen", None, "Where operators reach the instance."
    ),
    _address("peers", "listen", None, "Where peers reach the instance."),
    _addresses("peers", "addresses", "Peers to begin with."),
    _address("platform", "address", None, "Where the platform answers."),
    _number(
        "platform",
        "timeout",
        float,
        2.0,
        0.1,
        60,
        "seconds",
        "Time for one call to the platform.",
    ),
    _number(
        "platform",
        "retention",
        float,
        21600.0,
        60,
        31536000,
        "seconds",
        "How long the log keeps records; snapshots come twice as often.",
    ),
    _number(
        "platform",
        "append_budget",
        float,
        100.0,
        1,
        10000,
        "appends/s",
        "Appends to the journal by all instances together.",
    ),
    _number(
        "backends",
        "connect_timeout",
        float,
        1.0,
        0.01,
        60,
        "seconds",
        "Time to open a connection to a backend server.",
    ),
    _number(
        "backends",
        "idle_limit",
        float,
        30.0,
        0.1,
        3600,
        "seconds",
        "A connection idle for longer is opened anew.",
    ),
    _choice(
        "log",
        "level",
        "INFO",
        ("DEBUG", "INFO", "WARNING", "ERROR"),
        "Least level that is logged.",
    ),
    _choice(
        "log",
        "format",
        "auto",
        ("auto", "text", "json"),
        "Form of the log; auto is text on a terminal and JSON elsewhere.",
    ),
    _choice(
        "metrics",
        "exporter",
        "scrape",
        ("scrape", "console", "none"),
        "Where metrics go; scrape is a page on the operators' listener.",
    ),
)
