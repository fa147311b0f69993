"""Parses scenario files; docs/SCENARIOS.md specifies the language."""

from __future__ import annotations

import functools
import math
import pathlib

import lark

from cardamompath_proof.scenarios import errors
from cardamompath_proof.scenarios import steps

__all__ = [
    "FAILURES",
    "PROMISES",
    "parse",
]

GRAMMAR = pathlib.Path(__file__).with_name("grammar.lark")

PROMISES = (
    "once",
    "whole",
    "own",
    "not-run",
    "non-idempotent",
    "leaving",
    "graceful",
    "configuration",
)
"""The promises to callers and operators: columns of the matrix."""

FAILURES = (
    "process-death",
    "backend-death",
    "straggler",
    "burst",
    "wrong-sizes",
    "never-runs",
    "cancellation",
    "failing-backend",
    "log-down",
    "log-slow",
    "lost-answer",
    "pause",
    "racing-notes",
    "silent-connection",
    "partition",
    "retention",
    "resubmission",
    "late-answers",
)
"""The kinds of failure: rows of the matrix."""

DEFAULT_SEED = 1


def parse(file: str, text: str) -> steps.Scenario:
    """Parse one scenario.

    Parameters
    ----------
    file : str
        Name of the file, for error messages.
    text : str
        Content of the file.

    Raises
    ------
    ScenarioError
        If the text does not match the grammar, or names an unknown
        promise or failure.
    """
    try:
        tree = _parser().parse(text + "\n")
    except lark.UnexpectedInput as exc:
        reason = f"{file}:{exc.line}: {_describe_position(exc, text)}"
        raise errors.ScenarioError(reason) from exc
    scenario = _StepTransformer(file).transform(tree)
    _check_names(file, scenario.promises, PROMISES, "promise")
    _check_names(file, scenario.failures, FAILURES, "failure")
    return scenario


@functools.cache
def _parser():
    grammar = GRAMMAR.read_text(encoding="utf-8")
    return lark.Lark(grammar, parser="lalr", propagate_positions=True)


def _describe_position(exc, text):
    lines = text.split("\n")
    line = lines[exc.line - 1] if 0 < exc.line <= len(lines) else ""
    return f"cannot parse {line.strip()!r} from column {exc.column} on"


def _check_names(file, names, known, kind):
    for name in names:
        if name not in known:
            choices = ", ".join(known)
            raise errors.ScenarioError(
                f"{file}: unknown {kind} {name!r}; expected one of: {choices}"
            )


class _StepTransformer(lark.Transformer):
    """Transforms the parse tree; a rule without a method becomes a step."""

    def __init__(self, file):
        super().__init__()
        self.file = file

    def start(self, children):
        title, promises, failures, *rest = children
        seed = DEFAULT_SEED
        if rest and isinstance(rest[0], int):
            seed = rest.pop(0)
        return steps.Scenario(
            self.file, title, promises, failures, seed, tuple(rest)
        )

    def __default__(self, data, children, meta):
        return steps.Step(meta.line, str(data), tuple(children))

    def _names(self, children):
        return tuple(str(name) for name in children)

    names = promises = failures = _names

    def title(self, children):
        return children[0]

    def seed(self, children):
        return children[0]

    def seconds(self, children):
        return children[0]

    def within(self, children):
        return children[0]

    def code(self, children):
        return children[0]

    def place(self, children):
        return children[0]

    def everywhere(self, children):
        return ()

    def on_names(self, children):
        return children[0]

    def state_count(self, children):
        return (children[1], children[0])

    def exactly(self, children):
        return steps.CountRange(children[0], children[0])

    def at_most(self, children):
        return steps.CountRange(0, children[0])

    def at_least(self, children):
        return steps.CountRange(children[0], math.inf)

    def service(self, children):
        return {"service": children[0]}

    for_service = service

    def slots(self, children):
        return {"slots": children[0]}

    def speed(self, children):
        return {"speed": children[0]}

    def timeout(self, children):
        return {"timeout": children[0]}

    def declared(self, children):
        return {"declared": children[0]}

    def idempotent(self, children):
        return {"idempotent": True}

    def straggler(self, children):
        return {"straggler": children[0]}

    def lasting(self, children):
        return {"shortest": children[0], "longest": children[-1]}

    def INT(self, token):  # noqa: N802
        return int(token)

    def NUMBER(self, token):  # noqa: N802
        return float(token)

    def STRING(self, token):  # noqa: N802
        return token[1:-1]

    def NAME(self, token):  # noqa: N802
        return str(token)

    MODE = OUTCOME = STATE = NOTE_STATE = KIND = NAME
