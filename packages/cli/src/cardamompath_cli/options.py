"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated

import cappa

__all__ = [
    "DEFAULT_CALLERS",
    "DEFAULT_OPERATORS",
    "CallersAddress",
    "JsonFlag",
    "OperatorsAddress",
]

DEFAULT_CALLERS = "127.0.0.1:7200"
DEFAULT_OPERATORS = "127.0.0.1:7300"

CallersAddress = Annotated[
    str, cappa.Arg(long="--to", help="Address of an instance for callers.")
]
OperatorsAddress = Annotated[
    str, cappa.Arg(long="--to", help="Address of an instance for operators.")
]
JsonFlag = Annotated[
    bool, cappa.Arg(long="--json", help="Print one JSON object.")
]
