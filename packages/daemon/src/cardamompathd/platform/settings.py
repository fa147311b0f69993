"""The settings file that the platform writes for each instance."""

from __future__ import annotations

import ipaddress
import math
import os
import pathlib
import tomllib
from typing import NamedTuple

from cardamompathd.controllers.planner import planner_state
from cardamompathd.platform import errors

__all__ = [
    "Settings",
    "load",
]

PATH_VARIABLE = "CARDAMOMPATH_SETTINGS"
"""Environment variable with the path of the settings file."""
MAX_THREAD_MILLICORES = 1_000_000
"""Largest processor time of a thread, in thousandths of a core; far more
than any machine has."""
PORTS = range(1, 1 << 16)
"""Valid TCP port numbers."""


class Settings(NamedTuple):
    """The settings that the daemon uses."""

    name: str
    domain: str
    caller_address: tuple[str, int]
    readiness_address: tuple[str, int]
    peer_address: tuple[str, int]
    """Where this instance listens for other instances.  The platform calls
    it the control address; no other system connects to it."""
    seeds: tuple[tuple[str, int], ...]
    store_address: tuple[str, int]
    thread_millicores: int = 0
    """Thousandths of a core available to one thread; 0 if unknown."""
    remote_rack_factor: float = 1.0
    """Factor by which a task takes longer outside the rack of its data."""
    resubmit_delay: float = planner_state.RESUBMIT_DELAY
    """Seconds after which a caller without an answer submits a job again."""
    evacuation_bound: float | None = None
    """Seconds after which no task starts in a failure domain whose evacuation
    was requested; None if evacuations are not followed."""


def load(path: str | None = None) -> Settings:
    """Read the settings file.

    Parameters
    ----------
    path : str, optional
        The file; by default the one that `PATH_VARIABLE` names.

    Raises
    ------
    BadSettings
        If the file cannot be read, or a setting is missing or invalid.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise errors.BadSettings(f"{PATH_VARIABLE} is not set")
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text())
        listen = raw["listen"]
        bounds = raw.get("bounds", {})
        return Settings(
            _parse_name(raw["node_name"]),
            _parse_name(raw["zone"]),
            parse_address(listen["frontend"]),
            parse_address(listen["ready"]),
            parse_address(listen["control"]),
            tuple(parse_address(seed) for seed in raw.get("seeds", [])),
            parse_address(raw["platform"]["addr"]),
            _read_thread_millicores(raw.get("limits", {})),
            _parse_factor(bounds.get("remote_factor", 1.0)),
            _read_resubmit_delay(bounds),
            _read_evacuation_bound(bounds),
        )
    except (OSError, *errors.MALFORMED) as exc:
        raise errors.BadSettings(f"{path}: {exc!r}") from exc


def _read_resubmit_delay(bounds):
    if "resend_ms" not in bounds:
        return planner_state.RESUBMIT_DELAY
    return _read_duration(bounds, "resend_ms")


def _read_evacuation_bound(bounds):
    if "evacuate_ms" not in bounds:
        return None
    return _read_duration(bounds, "evacuate_ms")


def _read_duration(bounds, name):
    duration = float(bounds[name]) / 1000.0
    if not (math.isfinite(duration) and duration > 0.0):
        raise ValueError(f"{name} {bounds[name]!r} is out of range")
    return duration


def _read_thread_millicores(limits):
    """Return the share of a core that one thread may use, in thousandths."""
    millicores = round(limits.get("cpu_share", 0.0) * 1000.0)
    if not 0 <= millicores <= MAX_THREAD_MILLICORES:
        raise ValueError(f"cpu_share {limits['cpu_share']!r} is out of range")
    return millicores


def _parse_name(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a name")
    return value


def _parse_factor(value):
    factor = float(value)
    if not (math.isfinite(factor) and factor >= 0.0):
        raise ValueError(f"remote_factor {value!r} is out of range")
    return factor


def parse_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of ``host:port``.

    Host names are not accepted: to look one up would block the task that
    connects to it.

    Raises
    ------
    ValueError
        If the host is not an IPv4 address, or the port is missing or out
        of range.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise ValueError(
            f"{text!r} is not an address; expected an IPv4 address and a port"
        ) from exc
    # `int` also accepts signs, spaces, underscores and other digits.
    if not (port.isascii() and port.isdigit()) or int(port) not in PORTS:
        raise ValueError(f"port of {text!r} is not in the range 1 to 65535")
    return host, int(port)
