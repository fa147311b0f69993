"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
import pathlib
import tomllib
from typing import NamedTuple

from cardamompathd.platform import errors

__all__ = [
    "Settings",
    "load",
]

VARIABLE = "CARDAMOMPATH_SETTINGS"


class Settings(NamedTuple):
    """What the product needs of the file."""

    name: str
    domain: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    peers: tuple[str, int]
    """The platform calls it the control address; nobody outside the
    system uses it, so the links between instances end there."""
    seeds: tuple[tuple[str, int], ...]
    store: tuple[str, int]
    power: int = 0
    """Thousandths of a core that one thread gets; 0: not said."""
    far_rack: float = 1.0
    """How many times longer tasks take away from the rack of their data."""


def load(path: str | None = None) -> Settings:
    """Read the settings file.

    Parameters
    ----------
    path : str, optional
        The file; by default the one that the environment names.

    Raises
    ------
    BadSettings
        If it cannot be read or lacks something.
    """
    path = path or os.environ.get(VARIABLE, "")
    if not path:
        raise errors.BadSettings(f"{VARIABLE} is not set")
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text())
        listen = raw["listen"]
        return Settings(
            raw["node_name"],
            raw["zone"],
            parse_address(listen["frontend"]),
            parse_address(listen["ready"]),
            parse_address(listen["control"]),
            tuple(parse_address(one) for one in raw.get("seeds", [])),
            parse_address(raw["platform"]["addr"]),
            _read_power(raw.get("limits", {})),
            float(raw.get("bounds", {}).get("remote_factor", 1.0)),
        )
    except (OSError, KeyError, TypeError, ValueError) as exc:
        raise errors.BadSettings(f"{path}: {exc!r}") from exc


def _read_power(limits):
    """Return the share of each core, which bounds a single thread."""
    share = limits.get("cpu_share", 0.0)
    return round(share * 1000.0)


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP number and the port of ``host:port``.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is not an address; say host:port")
    return host, int(port)
