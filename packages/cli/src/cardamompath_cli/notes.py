"""``cardamompath note``: publish release notes."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Annotated

import cappa

from cardamompath_cli import exits
from cardamompathd.platform import errors
from cardamompathd.platform import log_client

__all__ = [
    "Note",
    "Publish",
    "publish",
]


def publish(command: Publish) -> int:
    """Append a release note to the platform's log."""
    try:
        with open(command.file, encoding="utf-8") as stream:
            note = json.load(stream)
    except (OSError, ValueError) as exc:
        print(f"{command.file}: {exc}", file=sys.stderr)
        return exits.USAGE
    record = note | {"kind": "note", "id": uuid.uuid4().hex}
    host, _, port = command.platform.rpartition(":")
    client = log_client.make_client(host, int(port))
    try:
        offset = client.append("configuration", [record])
    except errors.PlatformError as exc:
        print(f"the log did not answer: {exc}", file=sys.stderr)
        return exits.UNREACHABLE
    print(f"published at offset {offset}")
    return exits.DONE


@cappa.command(invoke=publish)
class Publish:
    """Publish a release note from a JSON file."""

    file: Annotated[str, cappa.Arg(help="JSON file with the note.")]
    platform: Annotated[
        str, cappa.Arg(long="--platform", help="Address of the platform.")
    ] = "127.0.0.1:7000"


@cappa.command
class Note:
    """Publish release notes."""

    command: cappa.Subcommands[Publish]
