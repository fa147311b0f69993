"""The table of the settings of how batches share the executors."""

from __future__ import annotations

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
    table.make_choice(
        "admission",
        "forecast",
        "off",
        SWITCH,
        "Whether a batch is admitted by a forecast of when runs end.",
    ),
    table.make_choice(
        "placement",
        "policy",
        "fastest",
        ("fastest", "fitting"),
        "Which executor a task starts on: the fastest with room, or one that "
        "is fast enough and leaves the least room unused.",
    ),
    table.make_choice(
        "placement",
        "reservations",
        "off",
        SWITCH,
        "Whether room is kept for large tasks that wait.",
    ),
    table.make_number(
        "placement",
        "reservation_limit",
        float,
        0.3,
        0.0,
        10.0,
        "seconds",
        "Time for which room is kept at most.",
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
    return loading.load(files, TABLE).map(_make_policy)


def _make_policy(values):
    return pool_policy.PoolPolicy(
        pool_policy.RoomPolicy(values["room", "reports"] == "on"),
        pool_policy.SharePolicy(values["shares", "enabled"] == "on"),
        pool_policy.AdmissionPolicy(values["admission", "forecast"] == "on"),
        pool_policy.PlacementPolicy(
            values["placement", "policy"] == "fitting",
            values["placement", "reservations"] == "on",
            values["placement", "reservation_limit"],
        ),
    )
