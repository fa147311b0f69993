"""The command ``cardamompath``.

cappa derives a command from a class with annotated fields, which it
makes a dataclass; the package has no other dataclasses.
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

    Exit codes: 0 success; 1 refused, not run, or stuck jobs were found;
    2 invalid usage, settings or release note; 3 failed, parts may have
    run; 4 no answer from the instance or the platform; 5 no answer or
    outcome yet; 6 the output was closed early.
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
    except client.RequestError as exc:
        print(exc, file=sys.stderr)
        return exits.UNREACHABLE
    except BrokenPipeError:
        # The reader closed the output.  Without the redirection, the
        # interpreter would fail again when it flushes standard output.
        null = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null, sys.stdout.fileno())
        return exits.OUTPUT_CLOSED


if __name__ == "__main__":
    sys.exit(main())
