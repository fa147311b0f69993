"""The project's stand-in of an executor, with another time until it leaves."""

import sys

from cardamompath_standins import executor

if __name__ == "__main__":
    executor.DRAIN_TIME = float(sys.argv.pop(1))
    executor.main()
