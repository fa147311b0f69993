import unittest

from cardamompath_core import outcomes
from cardamompath_core import types


class JudgeTest(unittest.TestCase):
    def check(self, verdict, **fields):
        answer = types.BackendAnswer(**fields)
        self.assertEqual(verdict, outcomes.classify(answer))

    def test_failed_connection_is_not_run(self):
        self.check("not_run", phase="connect", error="refused")

    def test_failure_after_the_first_byte_is_unknown(self):
        self.check("unknown", phase="send", error="reset")
        self.check("unknown", phase="answer", error="timed out")

    def test_refusal_by_the_backend_server_is_not_run(self):
        self.check("not_run", phase="done", status=503, not_run=True)

    def test_other_503_is_failed(self):
        self.check("failed", phase="done", status=503)

    def test_success_is_finished(self):
        self.check("finished", phase="done", status=200)
