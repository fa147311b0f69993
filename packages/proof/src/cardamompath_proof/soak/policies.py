"""Pool files of a soak: which parts are on is drawn from the seed."""

from __future__ import annotations

import random

__all__ = [
    "draw",
]

SWITCHES = (
    ("room", "reports", "off", "on"),
    ("shares", "enabled", "off", "on"),
    ("admission", "forecast", "off", "on"),
    ("placement", "policy", "fastest", "fitting"),
)
"""Section, key, and the two values of each setting that is drawn."""


def draw(seed: int) -> str:
    """Draw the text of a pool file.

    An odd seed gets the opposite of the even seed before it, so that two
    neighbouring seeds run each part both off and on.
    """
    bits = random.Random(f"policy/{seed // 2}").getrandbits(len(SWITCHES))
    lines = []
    for number, (section, key, *values) in enumerate(SWITCHES):
        choice = (bits >> number ^ seed) & 1
        lines += [f"[{section}]", f"{key} = {values[choice]}"]
    return "\n".join([*lines, ""])
