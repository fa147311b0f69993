import queue
import random
import unittest

from cardamompath_core import identity
from cardamompath_core import leases
from cardamompath_core import types
from cardamompath_standins import backend
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.backends import connections
from cardamompathd.tests import fakes

JOB = "pocitos.entry-1.0123456789ab.1"
OWNER = JOB.rpartition(".")[0]


class FenceTest(unittest.TestCase):
    def setUp(self):
        self.backends = controllers.backends.backends.make_controller(
            identity.parse_incarnation(OWNER), random.Random(1)
        )
        self.backends.receive(messages.ConfigurationChanged(fakes.CFG), 0.0)

    def enqueue(self, lease_end, now):
        changed = messages.LeaseChanged(OWNER, lease_end)
        self.backends.receive(changed, 0.0)
        msg = messages.Enqueue(JOB, fakes.make_spec(1), now + 10.0)
        return [send.msg for send in self.backends.receive(msg, now)]

    def test_start_carries_the_end_of_the_lease(self):
        starts = self.enqueue(9.0, 8.9)
        self.assertEqual(9.0, starts[0].start_by)

    def test_no_task_starts_after_the_lease(self):
        lapsed = messages.LeaseChanged(OWNER, leases.NEVER)
        self.assertEqual([lapsed, lapsed], self.enqueue(9.0, 9.0))
        self.assertEqual([], self.enqueue(20.0, 10.0))

    def test_connection_sends_no_request_after_the_lease(self):
        server = backend.start()
        self.addCleanup(server.stop)
        ended = queue.SimpleQueue()
        conn = connections.start(
            connections.ConnectionLimits(), ended.put, lambda: 9.0
        )
        self.addCleanup(conn.stop)
        spec = types.BackendSpec(
            "e-1", "booking", "pocitos", server.host, server.port
        )
        for start_by, phase in ((9.0, "connect"), (9.1, "done")):
            task = types.TaskRef(JOB, 0)
            conn.tell(
                messages.StartTask(
                    spec, task, "booking", "x", b"{}", 5.0, start_by
                )
            )
            answer = ended.get(timeout=10.0).answer
            self.assertEqual(phase, answer.phase)
