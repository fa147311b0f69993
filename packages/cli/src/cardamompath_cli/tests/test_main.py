import os
import subprocess
import sys
import unittest

from cardamompath_cli import exits


class MainTest(unittest.TestCase):
    def test_closed_output_gives_no_traceback(self):
        reading, writing = os.pipe()
        os.close(reading)
        try:
            ended = subprocess.run(
                [sys.executable, "-u", "-m", "cardamompath_cli.main"]
                + ["settings", "explain"],
                stdout=writing,
                stderr=subprocess.PIPE,
                timeout=60,
            )
        finally:
            os.close(writing)
        self.assertEqual((exits.UNREAD, b""), (ended.returncode, ended.stderr))
