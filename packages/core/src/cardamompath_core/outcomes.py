"""What an exchange with a backend server proves about its task."""

from __future__ import annotations

from typing import Literal

from cardamompath_core import types

__all__ = [
    "Verdict",
    "classify",
    "may_have_sent",
]

Verdict = Literal["finished", "failed", "not_run", "unknown"]


def classify(answer: types.BackendAnswer) -> Verdict:
    """Decide what is known of a task after one exchange.

    A task provably did not run in two cases only: no byte of it was
    sent, because no connection came up; or the backend server refused
    it and said that it was not run.

    Parameters
    ----------
    answer : BackendAnswer
        How the exchange ended.

    Returns
    -------
    str
        ``finished`` or ``failed`` when the backend server answered,
        ``not_run`` when the task provably did not run, else ``unknown``.
    """
    if answer.phase == "connect":
        return "not_run"
    if answer.phase != "done":
        return "unknown"
    if answer.not_run:
        return "not_run"
    if 200 <= answer.status < 300:
        return "finished"
    return "failed"


def may_have_sent(answer: types.BackendAnswer) -> bool:
    """Return whether an exchange may have sent any byte."""
    return answer.phase != "connect"
