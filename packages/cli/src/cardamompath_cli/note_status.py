"""Reports at which instances a revision is known to be in force."""

from __future__ import annotations

from typing import Any

from cardamompath_cli import exits
from cardamompath_cli import publishing

__all__ = [
    "report",
]


def report(body: dict[str, Any]) -> publishing.Report:
    """Report which revisions an instance knows the other instances to have.

    Parameters
    ----------
    body : dict
        Body of the response to ``/v1/membership``.
    """
    configuration = body["configuration"]
    revision = configuration["revision"]
    own = body["membership"]["own"]
    rows = [_make_row(own, revision)]
    rows += [
        _make_row(entry, revision) for entry in body["membership"]["instances"]
    ]
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
        lines.append(
            "records expired from the log before the instance read them"
        )
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


def _make_row(entry, revision):
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
