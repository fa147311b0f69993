import os
import subprocess
import sys
import unittest

from cardamompath_cli import exits


class MainTest(unittest.TestCase):
    def test_closed_output_gives_no_traceback(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        try:
            process = subprocess.run(
                [sys.executable, "-u", "-m", "cardamompath_cli.main"]
                + ["settings", "explain"],
                stdout=write_end,
                stderr=subprocess.PIPE,
                timeout=60,
            )
        finally:
            os.close(write_end)
        self.assertEqual(
            (exits.OUTPUT_CLOSED, b""), (process.returncode, process.stderr)
        )
