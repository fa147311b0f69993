"""Starts an instance: ``python3 -m cardamompathd.platform``."""

import os

from cardamompathd.platform import program

if __name__ == "__main__":
    # Threads of a listener may still wait for silent callers.
    os._exit(program.main())
