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
    """Return what is known of a task after one exchange.

    A task provably did not run in only two cases: no connection was
    established, so no byte was sent; or the backend server refused the
    task and reported that it was not run.

    Parameters
    ----------
    answer : BackendAnswer
        Result of the exchange.

    Returns
    -------
    str
        ``finished`` or ``failed`` if the backend server answered,
        ``not_run`` if the task provably did not run, else ``unknown``.
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
    """Return whether any byte of a request may have been sent."""
    return answer.phase != "connect"
