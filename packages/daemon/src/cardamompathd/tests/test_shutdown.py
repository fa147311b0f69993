import io
import signal
import socket
import sys
import threading
import unittest
from unittest import mock

from cardamompath_standins import backend
from cardamompath_standins import platform
from cardamompathd import main
from cardamompathd.tests import edge_fixtures
from cardamompathd.tests.edge_fixtures import call
from cardamompathd.tests.edge_fixtures import job_body


class DrainTest(edge_fixtures.InstanceCase):
    hold = 10

    def start(self, target, *args):
        answers = []
        thread = threading.Thread(target=lambda: answers.append(target(*args)))
        thread.start()
        self.addCleanup(thread.join)
        return thread, answers

    def await_draining(self):
        while call(self.operators, "GET", "/ready")[1].get("code") != (
            "draining"
        ):
            pass

    def test_work_in_flight_is_answered_whole(self):
        job, polled = self.issue(), self.issue()
        path = f"/v1/jobs/{job}?wait=20"
        caller, answers = self.start(
            call, self.port, "PUT", path, job_body(24, 0.2)
        )
        while not self.jobs():
            pass
        call(self.port, "PUT", f"/v1/jobs/{polled}", job_body(4, 0.1))
        stopper, drained = self.start(self.stop, 20.0)
        self.await_draining()
        refused = call(self.port, "POST", "/v1/requests", {"service": "x"})
        self.assertEqual((503, "draining"), (refused[0], refused[1]["code"]))
        self.assertEqual(503, call(self.port, "POST", "/v1/jobs")[0])
        caller.join()
        self.assertEqual(200, answers[0][0])
        self.assertEqual(24, len(answers[0][1]["tasks"]))
        # The instance keeps the answer that nobody fetched yet.
        fetched = call(self.port, "GET", f"/v1/jobs/{polled}?wait=9")
        self.assertEqual("complete", fetched[1]["outcome"])
        stopper.join()
        self.assertEqual([True], drained)

    def test_work_beyond_the_grace_is_told_so(self):
        path = f"/v1/jobs/{self.issue()}?wait=20"
        caller, answers = self.start(
            call, self.port, "PUT", path, job_body(1, 3.0)
        )
        while not self.jobs():
            pass
        self.assertFalse(self.stop(0.05))
        caller.join()
        self.assertEqual("pending", answers[0][1]["outcome"])


class SignalTest(unittest.TestCase):
    def run_main(self, file, port):
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        target = threading.get_ident()

        def drive():
            edge_fixtures.await_ready(port)
            signal.pthread_kill(target, signal.SIGTERM)

        driver = threading.Thread(target=drive)
        driver.start()
        stderr = io.StringIO()
        with mock.patch.object(sys, "stderr", stderr):
            status = main.main([file])
        driver.join()
        return status, stderr.getvalue()

    def test_sigterm_ends_with_0_and_without_a_traceback(self):
        running = platform.start()
        self.addCleanup(running.stop)
        executor = backend.start()
        self.addCleanup(executor.stop)
        edge_fixtures.publish(running.port, executor)
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
        file = edge_fixtures.write_settings(
            self, running.port, f"127.0.0.1:{port}"
        )
        before = set(threading.enumerate())
        status, log = self.run_main(file, port)
        self.assertEqual(0, status)
        self.assertNotIn("Traceback", log)
        self.assertIn("SIGTERM", log)
        left = [
            one
            for one in set(threading.enumerate()) - before
            if one.name.startswith(("reader", "timers", "CP Server"))
        ]
        for one in left:
            one.join(5.0)
        self.assertFalse([one.name for one in left if one.is_alive()])

    def test_faulty_settings_end_with_2(self):
        with mock.patch.object(sys, "stderr", io.StringIO()) as log:
            self.assertEqual(2, main.main(["/nowhere.ini"]))
        self.assertIn("/nowhere.ini", log.getvalue())


class IdleStopTest(edge_fixtures.InstanceCase):
    def test_a_long_read_does_not_delay_the_stop(self):
        self.assertTrue(self.stop(1.0))
        readers = [
            one
            for one in threading.enumerate()
            if one.name == "reader-configuration"
        ]
        for one in readers:
            one.join(5.0)
        self.assertFalse([one for one in readers if one.is_alive()])
