"""Starts an instance: ``python3 -m cardamompathd.platform``."""

import os

from cardamompathd.platform import program

if __name__ == "__main__":
    # Exits at once: listener threads may still wait for idle connections.
    os._exit(program.main())
