"""The settings file that the platform writes for each instance."""

from __future__ import annotations

import os
import pathlib
import tomllib
from typing import NamedTuple

from cardamompathd.controllers import planner_state
from cardamompathd.platform import errors

__all__ = [
    "Settings",
    "load",
]

PATH_VARIABLE = "CARDAMOMPATH_SETTINGS"
"""Environment variable with the path of the settings file."""


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
            raw["node_name"],
            raw["zone"],
            parse_address(listen["frontend"]),
            parse_address(listen["ready"]),
            parse_address(listen["control"]),
            tuple(parse_address(seed) for seed in raw.get("seeds", [])),
            parse_address(raw["platform"]["addr"]),
            _read_thread_millicores(raw.get("limits", {})),
            float(bounds.get("remote_factor", 1.0)),
            _read_resubmit_delay(bounds),
        )
    except (OSError, KeyError, TypeError, ValueError) as exc:
        raise errors.BadSettings(f"{path}: {exc!r}") from exc


def _read_resubmit_delay(bounds):
    if "resend_ms" not in bounds:
        return planner_state.RESUBMIT_DELAY
    return float(bounds["resend_ms"]) / 1000.0


def _read_thread_millicores(limits):
    """Return the share of a core that one thread may use, in thousandths."""
    share = limits.get("cpu_share", 0.0)
    return round(share * 1000.0)


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``host:port``.

    Raises
    ------
    ValueError
        If the host or a numeric port is missing.
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is not an address; expected host:port")
    return host, int(port)
