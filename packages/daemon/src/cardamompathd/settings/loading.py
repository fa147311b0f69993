"""Reads INI files and checks every setting in them."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from returns import result

from cardamompathd.settings import table

__all__ = [
    "InvalidSetting",
    "Settings",
    "load",
]

Settings = Mapping[tuple[str, str], Any]
"""The checked values by section and key."""


class InvalidSetting(NamedTuple):
    """An invalid setting and where it was found."""

    file: str
    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error message, in one line."""
        setting = f"{self.file}: [{self.section}] {self.key}"
        return f"{setting} = {self.value!r}: allowed is {self.allowed}"


def load(
    files: Sequence[str],
    declared: Sequence[table.Setting] = table.TABLE,
    check: Callable[[Settings], Mapping[tuple[str, str], str]] | None = None,
) -> result.Result[Settings, tuple[InvalidSetting, ...]]:
    """Read INI files; a later file overrides the earlier ones.

    Parameters
    ----------
    files : sequence of str
        Paths of the files.
    declared : sequence of Setting
        The settings that there are; by default those of an instance.
    check : callable, optional
        Checks settings against each other.  Takes those that are valid in
        themselves; returns what is allowed, for each one that is not.

    Returns
    -------
    Result
        The value of each setting, or all invalid settings of all files.
    """
    texts: dict[tuple[str, str], tuple[str, str]] = {}
    errors: list[InvalidSetting] = []
    for file in files:
        _read_file(file, declared, texts, errors)
    values = _check_all(declared, texts, errors, ", ".join(files))
    for name, allowed in (check(values) if check else {}).items():
        file, text = texts.get(name, (", ".join(files), ""))
        errors.append(InvalidSetting(file, *name, text, allowed))
    if errors:
        return result.Failure(tuple(errors))
    return result.Success(values)


def _read_file(file, declared, texts, errors):
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(file, encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeError, configparser.Error) as exc:
        text = str(exc).replace("\n", " ")
        errors.append(InvalidSetting(file, "", "", text, "an INI file"))
        return
    known = {(setting.section, setting.key) for setting in declared}
    for section in parser.sections():
        for key, value in parser.items(section):
            if (section, key) in known:
                texts[section, key] = (file, value)
            else:
                allowed = _describe_known(section, declared)
                errors.append(
                    InvalidSetting(file, section, key, value, allowed)
                )


def _describe_known(section, declared):
    keys = [setting.key for setting in declared if setting.section == section]
    if keys:
        return "one of the keys " + ", ".join(keys)
    sections = sorted({setting.section for setting in declared})
    return "one of the sections " + ", ".join(sections)


def _check_all(declared, texts, errors, files):
    values = {}
    for setting in declared:
        name = (setting.section, setting.key)
        if name not in texts:
            if setting.default is None:
                errors.append(
                    InvalidSetting(
                        files, *name, "", f"{setting.allowed}; missing"
                    )
                )
            values[name] = setting.default
            continue
        file, text = texts[name]
        try:
            value = setting.parse(text)
            is_valid = setting.check(value)
        except ValueError:
            is_valid = False
        if is_valid:
            values[name] = value
        else:
            errors.append(InvalidSetting(file, *name, text, setting.allowed))
    return values
