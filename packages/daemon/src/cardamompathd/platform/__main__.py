"""Starts an instance: ``python3 -m cardamompathd.platform [FILE ...]``."""

import os
import signal
import sys


def _main():
    # Until the modules are loaded, a signal to reload would end the process.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
    from cardamompathd.platform import program

    return program.main(sys.argv[1:])


if __name__ == "__main__":
    # Exits at once: listener threads may still wait for idle connections.
    os._exit(_main())
