"""The table of the settings of how batches share the executors."""

from __future__ import annotations

import math
from collections.abc import Sequence

from returns import result

from cardamompath_core import pool_policy
from cardamompathd.settings import loading
from cardamompathd.settings import table

__all__ = [
    "TABLE",
    "load",
]

SWITCH = ("off", "on")
MAX_WEIGHT = 1000.0
"""Greatest weight; more than the ratio of any two sizes of domains."""
WEIGHT_KEYS = ("route_weights", "domain_weights")


def _parse_weights(text):
    weights = {}
    for part in text.split(","):
        if not part.strip():
            continue
        name, _, weight = part.rpartition(":")
        if name.strip() in weights:
            raise ValueError(f"{name.strip()!r} has two weights")
        weights[name.strip()] = float(weight)
    return tuple(weights.items())


def _make_weights(key, text):
    return table.Setting(
        "shares",
        key,
        "weights",
        _parse_weights,
        (),
        lambda pairs: all(
            name and 0.0 <= weight <= MAX_WEIGHT for name, weight in pairs
        ),
        "name:weight pairs separated by commas, each name once, "
        f"weights 0 to {MAX_WEIGHT:g}",
        text,
    )


TABLE: tuple[table.Setting, ...] = (
    table.make_choice(
        "room",
        "reports",
        "off",
        SWITCH,
        "Whether planners report how many tasks they can start, so that a "
        "batch goes to one that has room for it, and a rejected batch is "
        "offered to the next one.",
    ),
    table.make_choice(
        "shares",
        "enabled",
        "off",
        SWITCH,
        "Whether routes and failure domains have shares of scarce room.",
    ),
    table.make_number(
        "shares",
        "least_share",
        float,
        0.05,
        0.0,
        1.0,
        "of the capacity",
        "Minimum share of a service's capacity for each route, each domain "
        "and the largest tenth of the batches of a route.",
    ),
    _make_weights(
        "route_weights", "Weights of routes; 1 for those without one."
    ),
    _make_weights(
        "domain_weights",
        "Weights of failure domains; 1 for those without one.",
    ),
    table.make_choice(
        "admission",
        "forecast",
        "off",
        SWITCH,
        "Whether a batch that finds no free executor is admitted by a "
        "forecast of when runs end, and only if it can be in time.",
    ),
    table.make_choice(
        "placement",
        "policy",
        "fastest",
        ("fastest", "fitting"),
        "Which executor a task starts on: the fastest with room, or one that "
        "is fast enough; then a task waits a little for a fast one that it "
        "needs to be in time.",
    ),
    table.make_choice(
        "placement",
        "reservations",
        "off",
        SWITCH,
        "Whether room on an executor on which runs end soon is kept for a "
        "large task that waits; short runs fill it.",
    ),
    table.make_number(
        "placement",
        "reservation_limit",
        float,
        0.3,
        0.0,
        10.0,
        "seconds",
        "Time for which room is kept at most; never longer than the "
        "objective of the batch.",
    ),
)


def load(
    files: Sequence[str],
) -> result.Result[pool_policy.PoolPolicy, tuple[loading.InvalidSetting, ...]]:
    """Read INI files; a later file overrides the earlier ones.

    Parameters
    ----------
    files : sequence of str
        Paths of the files; without any the defaults hold.

    Returns
    -------
    Result
        The choices, or all invalid settings of all files.
    """
    return loading.load(files, TABLE, _check_minimums).map(_make_policy)


def _check_minimums(values):
    """Return the weights whose names have minimum shares above 1 together.

    Settings that are invalid in themselves are missing in the values.
    """
    least_share = values.get(("shares", "least_share"))
    if not least_share:
        return {}
    most = math.floor(1.0 / least_share + 1e-9)
    return {
        ("shares", key): f"at most {most} names for least_share "
        f"{least_share!r}, as minimum shares above 1 cannot be given"
        for key in WEIGHT_KEYS
        if len(values.get(("shares", key), ())) > most
    }


def _make_policy(values):
    return pool_policy.PoolPolicy(
        pool_policy.RoomPolicy(values["room", "reports"] == "on"),
        pool_policy.SharePolicy(
            values["shares", "enabled"] == "on",
            values["shares", "least_share"],
            values["shares", "route_weights"],
            values["shares", "domain_weights"],
        ),
        pool_policy.AdmissionPolicy(values["admission", "forecast"] == "on"),
        pool_policy.PlacementPolicy(
            values["placement", "policy"] == "fitting",
            values["placement", "reservations"] == "on",
            values["placement", "reservation_limit"],
        ),
    )
