"""Reads and checks INI files as a whole."""

from __future__ import annotations

import configparser
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from returns import result

from cardamompathd.settings import table

__all__ = [
    "Settings",
    "InvalidSetting",
    "load",
]

Settings = Mapping[tuple[str, str], Any]
"""From section and key to the checked value."""


class InvalidSetting(NamedTuple):
    """One thing that is wrong with a settings file."""

    file: str
    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault in one line."""
        place = f"{self.file}: [{self.section}] {self.key}"
        return f"{place} = {self.value!r}: allowed is {self.allowed}"


def load(
    files: Sequence[str],
) -> result.Result[Settings, tuple[InvalidSetting, ...]]:
    """Read INI files; later files go before earlier ones.

    Parameters
    ----------
    files : sequence of str
        Paths of the files.

    Returns
    -------
    Result
        The value of each setting, or every fault of all files.
    """
    given: dict[tuple[str, str], tuple[str, str]] = {}
    faults: list[InvalidSetting] = []
    for file in files:
        _read_file(file, given, faults)
    values = _check_all(given, faults, ", ".join(files))
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(values)


def _read_file(file, given, faults):
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(file, encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeError, configparser.Error) as exc:
        text = str(exc).replace("\n", " ")
        faults.append(InvalidSetting(file, "", "", text, "an INI file"))
        return
    known = {(one.section, one.key) for one in table.TABLE}
    for section in parser.sections():
        for key, value in parser.items(section):
            if (section, key) in known:
                given[section, key] = (file, value)
            else:
                allowed = _known_keys(section)
                faults.append(
                    InvalidSetting(file, section, key, value, allowed)
                )


def _known_keys(section):
    keys = [one.key for one in table.TABLE if one.section == section]
    if keys:
        return "one of the keys " + ", ".join(keys)
    sections = sorted({one.section for one in table.TABLE})
    return "one of the sections " + ", ".join(sections)


def _check_all(given, faults, files):
    values = {}
    for one in table.TABLE:
        place = (one.section, one.key)
        if place not in given:
            if one.default is None:
                faults.append(
                    InvalidSetting(
                        files, *place, "", f"{one.allowed}; missing"
                    )
                )
            values[place] = one.default
            continue
        file, text = given[place]
        try:
            value = one.parse(text)
            valid = one.check(value)
        except ValueError:
            valid = False
        if valid:
            values[place] = value
        else:
            faults.append(InvalidSetting(file, *place, text, one.allowed))
    return values
