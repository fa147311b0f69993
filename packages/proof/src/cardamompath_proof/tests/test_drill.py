import contextlib
import io
import socket
import subprocess
import sys
import threading
import unittest
from unittest import mock

from cardamompath_proof import processes
from cardamompath_proof import proxy
from cardamompath_proof.drill import __main__ as command
from cardamompath_proof.drill import checks

TIMEOUT = 5.0


def make_task(state):
    return {"state": state}


class ChecksTest(unittest.TestCase):
    def test_starts_of_other_jobs_are_not_counted(self):
        pages = [{"d.e.0.1/0": 1, "d.e.0.11/0": 1}, {"d.e.0.1/0": 1}]
        self.assertEqual({0: 2}, checks.count_starts("d.e.0.1", pages))

    def test_each_contradiction_is_reported(self):
        consistent = [
            make_task("finished"),
            make_task("unknown"),
            make_task("not_started"),
        ]
        self.assertEqual(
            [], checks.check_task_states(consistent, {0: 1, 1: 1})
        )
        for starts in ({0: 2}, {}, {0: 1, 2: 1}):
            self.assertEqual(
                1, len(checks.check_task_states(consistent, starts))
            )

    def test_answers_must_be_complete_failed_and_equal(self):
        good = (502, {"outcome": "failed", "tasks": [make_task("unknown")]})
        both = {"one": good, "two": good}
        self.assertEqual([], checks.check_answers(both, 1))
        self.assertEqual(2, len(checks.check_answers(both, 2)))
        other = (502, good[1] | {"tasks": [make_task("finished")]})
        self.assertTrue(checks.check_answers(both | {"two": other}, 1))
        pending = (
            202,
            {"outcome": "pending", "tasks": [make_task("unknown")]},
        )
        failures = checks.check_answers({"one": pending}, 1)
        self.assertEqual(1, len(failures))


class ProxyTest(unittest.TestCase):
    def setUp(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.accepted = []
        threading.Thread(
            target=self.echo, args=(listener,), daemon=True
        ).start()
        port = processes.free_port()
        self.proxy = proxy.start(port, listener.getsockname()[1])
        self.addCleanup(self.proxy.stop)

    def echo(self, listener):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = listener.accept()
                with conn:
                    while raw := conn.recv(100):
                        conn.sendall(raw)

    def connect(self):
        address = ("127.0.0.1", self.proxy.port)
        conn = socket.create_connection(address, TIMEOUT)
        self.addCleanup(conn.close)
        return conn

    def test_counts_both_directions_and_cuts_open_and_new_connections(self):
        conn = self.connect()
        conn.sendall(b"12345")
        self.assertEqual(b"12345", conn.recv(100))
        self.assertEqual(10, self.proxy.byte_count)
        self.proxy.cut()
        for cut_conn in (conn, self.connect()):
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b"", cut_conn.recv(1))
        self.proxy.restore()
        new_conn = self.connect()
        new_conn.sendall(b"1")
        self.assertEqual(b"1", new_conn.recv(1))


class CommandTest(unittest.TestCase):
    def run_step(self, step):
        rig = contextlib.nullcontext(mock.Mock(instances=()))
        with (
            mock.patch.object(command.rigs, "run_rig", lambda: rig),
            mock.patch.object(command, "STEPS", (step,)),
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            return command._run_steps()

    def test_failures_and_exceptions_of_steps_are_reported(self):
        def time_out(rig):
            raise TimeoutError("late")

        self.assertEqual([], self.run_step(lambda rig: []))
        self.assertEqual(["x"], self.run_step(lambda rig: ["x"]))
        time_out.__name__ = "step"
        self.assertIn("late", self.run_step(time_out)[0])

    def test_stop_all_ends_a_process_that_ignores_sigterm(self):
        code = (
            "import signal, sys; signal.signal(signal.SIGTERM, "
            "signal.SIG_IGN); print(1, flush=True); signal.pause()"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", code], stdout=subprocess.PIPE
        )
        self.addCleanup(process.stdout.close)
        process.stdout.readline()
        with mock.patch.object(processes, "STOP_ALL_TIMEOUT", 0.0):
            processes.stop_all([processes.ManagedProcess("one", process)])
        self.assertEqual(-9, process.returncode)
