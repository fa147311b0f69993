"""A shutdown answers the work in flight and leaves no thread behind."""

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
from cardamompathd.tests import instance_fixtures
from cardamompathd.tests.instance_fixtures import call
from cardamompathd.tests.instance_fixtures import job_body


class DrainTest(instance_fixtures.InstanceCase):
    answer_hold = 10

    def start_thread(self, target, *args):
        results = []
        thread = threading.Thread(target=lambda: results.append(target(*args)))
        thread.start()
        self.addCleanup(thread.join)
        return thread, results

    def await_draining(self):
        while call(self.operators, "GET", "/ready")[1].get("code") != (
            "draining"
        ):
            pass

    def test_work_in_flight_is_completed(self):
        job, polled_job = self.issue_job(), self.issue_job()
        path = f"/v1/jobs/{job}?wait=20"
        caller, answers = self.start_thread(
            call, self.port, "PUT", path, job_body(24, 0.2)
        )
        while not self.list_jobs():
            pass
        call(self.port, "PUT", f"/v1/jobs/{polled_job}", job_body(4, 0.1))
        stopper, drained = self.start_thread(self.stop, 20.0)
        self.await_draining()
        refused = call(self.port, "POST", "/v1/requests", {"service": "x"})
        self.assertEqual((503, "draining"), (refused[0], refused[1]["code"]))
        self.assertEqual(503, call(self.port, "POST", "/v1/jobs")[0])
        caller.join()
        self.assertEqual(200, answers[0][0])
        self.assertEqual(24, len(answers[0][1]["tasks"]))
        # The instance keeps an answer that was not fetched yet.
        fetched = call(self.port, "GET", f"/v1/jobs/{polled_job}?wait=9")
        self.assertEqual("complete", fetched[1]["outcome"])
        stopper.join()
        self.assertEqual([True], drained)

    def test_work_beyond_the_grace_is_answered_as_pending(self):
        path = f"/v1/jobs/{self.issue_job()}?wait=20"
        caller, answers = self.start_thread(
            call, self.port, "PUT", path, job_body(1, 3.0)
        )
        while not self.list_jobs():
            pass
        self.assertFalse(self.stop(0.05))
        caller.join()
        self.assertEqual("pending", answers[0][1]["outcome"])


class SignalTest(unittest.TestCase):
    def run_main(self, file, port):
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        main_thread = threading.get_ident()

        def send_sigterm():
            instance_fixtures.await_ready(port)
            signal.pthread_kill(main_thread, signal.SIGTERM)

        sender = threading.Thread(target=send_sigterm)
        sender.start()
        stderr = io.StringIO()
        with mock.patch.object(sys, "stderr", stderr):
            status = main.main([file])
        sender.join()
        return status, stderr.getvalue()

    def test_sigterm_exits_with_0_without_a_traceback(self):
        platform_standin = platform.start()
        self.addCleanup(platform_standin.stop)
        backend_server = backend.start()
        self.addCleanup(backend_server.stop)
        instance_fixtures.publish(platform_standin.port, backend_server)
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
        file = instance_fixtures.write_settings(
            self, platform_standin.port, f"127.0.0.1:{port}"
        )
        before = set(threading.enumerate())
        status, log = self.run_main(file, port)
        self.assertEqual(0, status)
        self.assertNotIn("Traceback", log)
        self.assertIn("SIGTERM", log)
        remaining = [
            thread
            for thread in set(threading.enumerate()) - before
            if thread.name.startswith(("reader", "timers", "CP Server"))
        ]
        for thread in remaining:
            thread.join(5.0)
        self.assertFalse(
            [thread.name for thread in remaining if thread.is_alive()]
        )

    def test_invalid_settings_exit_with_2(self):
        with mock.patch.object(sys, "stderr", io.StringIO()) as log:
            self.assertEqual(2, main.main(["/nowhere.ini"]))
        self.assertIn("/nowhere.ini", log.getvalue())


class IdleStopTest(instance_fixtures.InstanceCase):
    def test_waiting_read_does_not_delay_the_stop(self):
        self.assertTrue(self.stop(1.0))
        readers = [
            thread
            for thread in threading.enumerate()
            if thread.name == "reader-configuration"
        ]
        for thread in readers:
            thread.join(5.0)
        self.assertFalse([thread for thread in readers if thread.is_alive()])
