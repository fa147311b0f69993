"""Starts an instance with stand-ins, for tests of its listeners."""

import http.client
import json
import pathlib
import socket
import tempfile
import unittest

import loguru

from cardamompath_standins import backend
from cardamompath_standins import platform
from cardamompathd import app
from cardamompathd.recordlog import log_client
from cardamompathd.settings import loading

SETTINGS = """
[instance]
name = entry-1
domain = pocitos
leave_notice = 0
answer_hold = {answer_hold}
[callers]
listen = 127.0.0.1:0
threads = 6
timeout = {timeout}
body_limit = 1000000
payload_limit = 1000
[operators]
listen = {operators}
[peers]
listen = 127.0.0.1:0
[platform]
address = 127.0.0.1:{platform_port}
"""


def write_settings(
    test, platform_port, operators="127.0.0.1:0", answer_hold=0, timeout=0.5
):
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    file = pathlib.Path(folder.name, "entry.ini")
    file.write_text(
        SETTINGS.format(
            platform_port=platform_port,
            operators=operators,
            answer_hold=answer_hold,
            timeout=timeout,
        )
    )
    return str(file)


def publish(platform_port, *backend_servers):
    added = {
        f"executor-{index}": {
            "service": "booking",
            "domain": "pocitos",
            "host": server.host,
            "port": server.port,
        }
        for index, server in enumerate(backend_servers)
    }
    changes = {"services": {"booking": {}}, "backends": added}
    note = {"kind": "note", "base": 0, "added": changes}
    client = log_client.make_client("127.0.0.1", platform_port)
    client.append("configuration", [note])
    client.close()


def call(port, method, path, body=None, headers=None):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    raw = json.dumps(body) if isinstance(body, dict) else body
    conn.request(method, path, raw, headers or {})
    response = conn.getresponse()
    text = response.read()
    conn.close()
    if response.headers["Content-Type"] == "application/json":
        return response.status, json.loads(text)
    return response.status, text.decode()


def send_raw(port, raw, shut_down=False):
    """Send bytes and return the status and body of the response."""
    with socket.create_connection(("127.0.0.1", port), 20) as sock:
        sock.sendall(raw)
        if shut_down:
            sock.shutdown(socket.SHUT_WR)
        response = http.client.HTTPResponse(sock)
        response.begin()
        return response.status, json.loads(response.read())


def await_ready(port):
    """Poll until the instance is ready; each poll is a round trip."""
    for _ in range(10_000):
        try:
            if call(port, "GET", "/ready")[0] == 200:
                return
        except OSError:
            continue
    raise AssertionError("the instance did not become ready")


class InstanceCase(unittest.TestCase):
    answer_hold = 0
    timeout = 0.5

    def setUp(self):
        loguru.logger.remove()
        self.platform = platform.start()
        self.addCleanup(self.platform.stop)
        self.backend = backend.start()
        self.addCleanup(self.backend.stop)
        publish(self.platform.port, self.backend)
        file = write_settings(
            self,
            self.platform.port,
            answer_hold=self.answer_hold,
            timeout=self.timeout,
        )
        self.instance = app.start(loading.load([file]).unwrap())
        self.is_stopped = False
        self.addCleanup(self.stop, 5.0)
        self.port = self.instance.callers.port
        self.operators = self.instance.operators.port
        await_ready(self.operators)

    def stop(self, grace):
        if self.is_stopped:
            return None
        self.is_stopped = True
        return app.stop(self.instance, grace)

    def issue_job(self):
        return call(self.port, "POST", "/v1/jobs")[1]["job"]

    def list_jobs(self):
        return call(self.operators, "GET", "/v1/jobs")[1]["jobs"]


def job_body(count=1, work=0.0, **fields):
    """Return the body of a job whose tasks run for `work` seconds."""
    task = {"service": "booking", "payload": {"work": work}}
    return {"tasks": [task] * count, "timeout": 20} | fields
