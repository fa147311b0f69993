"""Where a revision is in force, and where that is not known."""

from __future__ import annotations

from typing import Any

from cardamompath_cli import exits
from cardamompath_cli import publishing

__all__ = [
    "report",
]


def report(body: dict[str, Any]) -> publishing.Report:
    """Report what an instance knows of the configuration elsewhere.

    Parameters
    ----------
    body : dict
        The answer of ``/v1/membership``.
    """
    configuration = body["configuration"]
    revision = configuration["revision"]
    own = body["membership"]["own"]
    rows = [_row(own, revision)]
    rows += [_row(one, revision) for one in body["membership"]["instances"]]
    rows.sort(key=lambda row: row["instance"])
    lines = [
        f"revision {revision} ({configuration['fingerprint']}), "
        f"folded through offset {configuration['offset']}"
    ]
    lines += [
        f"{row['instance']:40s} {row['status']:8s} {row['in_force']}"
        for row in rows
    ]
    lines += [f"fault: {fault}" for fault in configuration["faults"]]
    if configuration["records_missing"]:
        lines.append("records left the log before they were read here")
    fields = {"revision": revision, "instances": rows}
    fields["faults"] = configuration["faults"]
    everywhere = all(
        row["in_force"] == "in force"
        for row in rows
        if row["status"] != "dead"
    )
    code = exits.DONE if everywhere else exits.PENDING
    return publishing.Report(
        code,
        "in force everywhere" if everywhere else "not known everywhere",
        tuple(lines),
        fields,
    )


def _row(entry, revision):
    if entry["revision"] >= revision:
        in_force = "in force"
    elif entry["status"] in ("suspect", "dead"):
        in_force = f"not known, had {entry['revision']}"
    else:
        in_force = f"not known to be, has {entry['revision']}"
    return {
        "instance": entry["incarnation"],
        "status": entry["status"],
        "revision": entry["revision"],
        "in_force": in_force,
    }
