"""The command ``cardamompath``.

cappa reads a command from a class with annotated fields and makes a
dataclass of it; these classes are the only dataclasses here.
"""

from __future__ import annotations

import os
import sys

import cappa

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import jobs
from cardamompath_cli import listing
from cardamompath_cli import notes
from cardamompath_cli import report
from cardamompath_cli import settings
from cardamompath_cli import status

__all__ = [
    "Cardamompath",
    "main",
]


@cappa.command(name="cardamompath")
class Cardamompath:
    """Submit jobs to cardamompath and operate it.

    Exit codes: 0 done; 1 refused, not run, or there are stuck jobs; 2
    wrong usage, settings or note; 3 failed, parts may have run; 4 the
    instance or the platform gave no answer; 5 not answered yet; 6 the
    output was closed.
    """

    command: cappa.Subcommands[
        jobs.Job
        | jobs.Request
        | listing.Jobs
        | notes.Note
        | report.Report
        | settings.Settings
        | status.Status
    ]


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    try:
        return cappa.invoke(Cardamompath, argv=arguments)
    except client.CallError as exc:
        print(exc, file=sys.stderr)
        return exits.UNREACHABLE
    except BrokenPipeError:
        # The reader of the output has seen enough; the interpreter must
        # not fail once more when it flushes.
        null = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null, sys.stdout.fileno())
        return exits.UNREAD


if __name__ == "__main__":
    sys.exit(main())
