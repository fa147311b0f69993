"""Job identifiers, which contain the incarnation that owns the job.

An identifier has the form ``domain.instance.nonce.counter``.  Only the
incarnation in an identifier ever starts tasks of the job, so an instance
that lost its state in a restart cannot start any of them again.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from cardamompath_core import errors

__all__ = [
    "Incarnation",
    "JobKey",
    "format_incarnation",
    "format_job",
    "parse_incarnation",
    "parse_job",
]

_NAME = r"[a-z0-9][a-z0-9-]{0,62}"
_INCARNATION = re.compile(rf"({_NAME})\.({_NAME})\.([a-z0-9]{{8,32}})")
_JOB = re.compile(rf"({_INCARNATION.pattern})\.(0|[1-9][0-9]{{0,17}})")


class Incarnation(NamedTuple):
    """One run of the daemon process on an instance."""

    domain: str
    instance: str
    nonce: str
    """Random text drawn at start-up, unique to the incarnation."""


class JobKey(NamedTuple):
    """Components of a job identifier."""

    owner: Incarnation
    counter: int


def format_incarnation(incarnation: Incarnation) -> str:
    """Return the text form of an incarnation."""
    return ".".join(incarnation)


def format_job(key: JobKey) -> str:
    """Return the text form of a job identifier."""
    return f"{format_incarnation(key.owner)}.{key.counter}"


def parse_incarnation(text: str) -> Incarnation:
    """Parse the text form of an incarnation.

    Raises
    ------
    IdentifierError
        If `text` does not have the form of `format_incarnation`.
    """
    match = _INCARNATION.fullmatch(text)
    if match is None:
        raise errors.IdentifierError(
            f"incarnation {text!r} is not of the form domain.instance.nonce"
        )
    return Incarnation(*match.groups())


def parse_job(text: str) -> JobKey:
    """Parse the text form of a job identifier.

    Raises
    ------
    IdentifierError
        If `text` does not have the form of `format_job`.
    """
    match = _JOB.fullmatch(text)
    if match is None:
        raise errors.IdentifierError(
            f"job identifier {text!r} is not of the form "
            "domain.instance.nonce.counter"
        )
    domain, instance, nonce = match.group(2), match.group(3), match.group(4)
    owner = Incarnation(domain, instance, nonce)
    return JobKey(owner, int(match.group(5)))
