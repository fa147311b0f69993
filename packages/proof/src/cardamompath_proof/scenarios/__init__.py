"""Scripted failure scenarios: language, runner and coverage matrix."""

from cardamompath_proof.scenarios import errors
from cardamompath_proof.scenarios import language
from cardamompath_proof.scenarios import runner
from cardamompath_proof.scenarios import steps

__all__ = [
    "errors",
    "language",
    "runner",
    "steps",
]
