"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated

import cappa

__all__ = [
    "CALLERS",
    "Callers",
    "Json",
    "OPERATORS",
    "Operators",
]

CALLERS = "127.0.0.1:7200"
OPERATORS = "127.0.0.1:7300"

Callers = Annotated[
    str, cappa.Arg(long="--to", help="Callers' address of an instance.")
]
Operators = Annotated[
    str, cappa.Arg(long="--to", help="Operators' address of an instance.")
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")]
