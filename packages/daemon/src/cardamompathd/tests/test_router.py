import unittest

from cardamompathd import messages
from cardamompathd.runtime import actors


class RouterTest(unittest.TestCase):
    def test_message_for_an_unknown_task_raises_nothing(self):
        received = []
        deliver = actors.make_router({messages.JOBS: received.append})
        deliver(messages.Send("nobody", "lost"))
        deliver(messages.Send(messages.JOBS, "kept"))
        self.assertEqual(["kept"], received)
