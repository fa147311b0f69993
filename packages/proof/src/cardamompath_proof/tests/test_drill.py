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

WAIT = 5.0


def task(state):
    return {"state": state}


class ChecksTest(unittest.TestCase):
    def test_starts_are_those_of_the_job(self):
        pages = [{"d.e.0.1/0": 1, "d.e.0.11/0": 1}, {"d.e.0.1/0": 1}]
        self.assertEqual({0: 2}, checks.starts_of("d.e.0.1", pages))

    def test_each_contradiction_is_a_fault(self):
        right = [task("finished"), task("unknown"), task("not_started")]
        self.assertEqual([], checks.check_states(right, {0: 1, 1: 1}))
        for starts in ({0: 2}, {}, {0: 1, 2: 1}):
            self.assertEqual(1, len(checks.check_states(right, starts)))

    def test_answers_are_whole_failed_and_equal(self):
        good = (502, {"outcome": "failed", "tasks": [task("unknown")]})
        both = {"one": good, "two": good}
        self.assertEqual([], checks.check_answers(both, 1))
        self.assertEqual(2, len(checks.check_answers(both, 2)))
        other = (502, good[1] | {"tasks": [task("finished")]})
        self.assertTrue(checks.check_answers(both | {"two": other}, 1))
        pending = (202, {"outcome": "pending", "tasks": [task("unknown")]})
        faults = checks.check_answers({"one": pending}, 1)
        self.assertEqual(1, len(faults))


class ProxyTest(unittest.TestCase):
    def setUp(self):
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        self.accepted = []
        threading.Thread(
            target=self.echo, args=(listening,), daemon=True
        ).start()
        port = processes.free_port()
        self.proxy = proxy.start(port, listening.getsockname()[1])
        self.addCleanup(self.proxy.stop)

    def echo(self, listening):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = listening.accept()
                with conn:
                    while raw := conn.recv(100):
                        conn.sendall(raw)

    def connect(self):
        address = ("127.0.0.1", self.proxy.port)
        conn = socket.create_connection(address, WAIT)
        self.addCleanup(conn.close)
        return conn

    def test_counts_both_ways_and_cuts_open_and_new_connections(self):
        conn = self.connect()
        conn.sendall(b"12345")
        self.assertEqual(b"12345", conn.recv(100))
        self.assertEqual(10, self.proxy.byte_count)
        self.proxy.cut()
        for one in (conn, self.connect()):
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b"", one.recv(1))
        self.proxy.restore()
        again = self.connect()
        again.sendall(b"1")
        self.assertEqual(b"1", again.recv(1))


class CommandTest(unittest.TestCase):
    def run_step(self, step):
        rig = contextlib.nullcontext(mock.Mock(instances=()))
        with (
            mock.patch.object(command.rigs, "running", lambda: rig),
            mock.patch.object(command, "STEPS", (step,)),
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            return command._run()

    def test_faults_and_errors_of_steps_are_faults(self):
        def late(rig):
            raise TimeoutError("late")

        self.assertEqual([], self.run_step(lambda rig: []))
        self.assertEqual(["x"], self.run_step(lambda rig: ["x"]))
        late.__name__ = "step"
        self.assertIn("late", self.run_step(late)[0])

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
