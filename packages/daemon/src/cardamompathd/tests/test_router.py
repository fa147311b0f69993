import unittest

from cardamompathd import messages
from cardamompathd.runtime import actors


class RouterTest(unittest.TestCase):
    def test_unknown_task_does_not_end_the_sender(self):
        told = []
        deliver = actors.make_router({messages.JOBS: told.append})
        deliver(messages.Send("nobody", "lost"))
        deliver(messages.Send(messages.JOBS, "kept"))
        self.assertEqual(["kept"], told)
