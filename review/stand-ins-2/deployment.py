"""A small deployment of separate processes on loopback addresses.

Starts the daemon as `deploy/system.toml` does, and the project's stand-ins
of the store and of the executors.  Each daemon reaches the store through a
proxy of its own.  Clients are plain HTTP clients.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from typing import NamedTuple

HOST = "desk.example"
PREFIX = "/desk/"
SERVICE = "desk"
FRONTEND_PORT = 8161
CONTROL_PORT = 8166
READY_PORT = 8167
METRICS_PORT = 9464
TURNED_AWAY = (
    b"HTTP/1.1 503 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
RESTART_DELAY = 0.5
"""Seconds after which the platform starts a process again that has ended."""
ROOT = pathlib.Path(__file__).resolve().parents[2]

SETTINGS = """
node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{address}"
zone = "{zone}"
region = "region-1"
seeds = {seeds}
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
commands = "invoke"
[zones]
za = "region-1"
zb = "region-1"
[listen]
frontend = "{address}:8161"
ready = "{address}:8167"
control = "{address}:8166"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
region_count = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
hold_max_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
status_s = 120
remote_factor = 1.5
resend_ms = 1300
[platform]
addr = "127.0.0.1:{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
"""


class CannotRun(Exception):
    """The case could not be set up."""


def now() -> float:
    """Return the present time; the clock of all records of a case."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def free_port() -> int:
    """Return a free TCP port of 127.0.0.1."""
    rng = random.SystemRandom()
    for _ in range(200):
        port = rng.randrange(12_000, 30_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise CannotRun("no free port")


class StoreProxy:
    """Forwards connections of one daemon to the store.

    `silence` stops forwarding on the connections that are open, without a
    reset; connections that are opened later work.  While `is_turned_away` is
    set, every request is answered with 503.
    """

    def __init__(self, target: int):
        self.reads: list[float] = []
        """Times at which answers about the executors were passed on."""
        self.is_turned_away = False
        self._target = target
        self._generation = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Let the connections that are open now go silent for good."""
        self._generation += 1

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            try:
                upstream = socket.create_connection(
                    ("127.0.0.1", self._target), 2.0
                )
            except OSError:
                client.close()
                continue
            upstream.settimeout(None)
            for sock in (client, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = {"generation": self._generation, "lists": False}
            for source, sink, is_request in (
                (client, upstream, True),
                (upstream, client, False),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, link, is_request),
                    daemon=True,
                ).start()

    def _forward(self, source, sink, link, is_request):
        try:
            while raw := source.recv(1 << 16):
                if link["generation"] != self._generation:
                    continue
                if self.is_turned_away and is_request:
                    source.sendall(TURNED_AWAY)
                    break
                if self.is_turned_away:
                    break
                sink.sendall(raw)
                if is_request:
                    link["lists"] = b"topic=keyed.servers" in raw
                elif link["lists"]:
                    self.reads.append(now())
        except OSError:
            pass
        if link["generation"] != self._generation:
            # A silent connection does not tell either side of an end.
            return
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Order(NamedTuple):
    """A call to an executor that carried a fencing token."""

    at: float
    connected_at: float
    """When its connection was opened."""
    token: int
    run: tuple[str, int] | None
    """Task and attempt, if it is a start."""


class OrderProxy:
    """Forwards connections to an executor; it can take a start on its way.

    The connection on which an order was taken gets no answer and forwards
    nothing any more.  `deliver` hands the order to the process that listens
    then, and reads its answer, which nobody gets.
    """

    def __init__(self, target: int):
        self.orders: list[Order] = []
        self.takes_next_start = False
        self.taken: bytes | None = None
        self.taken_at = 0.0
        self._target = target
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def deliver(self) -> bytes:
        """Deliver the order that was taken; return the answer to it."""
        give_up_at = now() + 5.0
        while True:
            try:
                conn = socket.create_connection(
                    ("127.0.0.1", self._target), 1.0
                )
            except OSError:
                if now() > give_up_at:
                    raise
                time.sleep(0.02)
                continue
            with conn:
                conn.settimeout(2.0)
                conn.sendall(self.taken)
                return conn.recv(1 << 16)

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _serve(self, client):
        with client:
            try:
                upstream = socket.create_connection(
                    ("127.0.0.1", self._target), 1.0
                )
            except OSError:
                return
            upstream.settimeout(None)
            for sock in (client, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            answers = threading.Thread(
                target=self._copy, args=(upstream, client), daemon=True
            )
            answers.start()
            connected_at = now()
            with upstream:
                self._copy(
                    client, upstream, lambda raw: self._take(raw, connected_at)
                )
                answers.join()

    def _note(self, raw, connected_at):
        """Note a call that carries a token; each arrives in one piece."""
        try:
            doc = json.loads(raw.partition(b"\r\n\r\n")[2])
            token = doc["fencing_token"]
        except (ValueError, KeyError):
            return
        run = None
        if b"/v1/run-start" in raw:
            run = (doc["task"], doc["attempt"])
        self.orders.append(Order(now(), connected_at, token, run))

    def _take(self, raw, connected_at):
        """Return whether a request is taken, as the next start."""
        self._note(raw, connected_at)
        with self._lock:
            if not self.takes_next_start or b"/v1/run-start" not in raw:
                return False
            self.takes_next_start = False
            self.taken, self.taken_at = raw, now()
            return True

    @staticmethod
    def _copy(source, sink, is_taken=lambda raw: False):
        silent = False
        try:
            while raw := source.recv(1 << 16):
                silent = silent or is_taken(raw)
                if not silent:
                    sink.sendall(raw)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Process:
    """A process of the deployment; it may be started several times."""

    def __init__(self, deployment, name, command, env=None):
        self.name = name
        self.logs: list[pathlib.Path] = []
        self._deployment = deployment
        self._command = command
        self._env = env or {}
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output goes to a file of its own."""
        log = self._deployment.folder / f"{self.name}-{len(self.logs)}.log"
        self.logs.append(log)
        path = f"{ROOT}/target/deps:{ROOT}/target/review-2"
        env = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        env |= {
            "PYTHONPATH": path,
            "TMPDIR": str(self._deployment.folder),
            **self._env,
        }
        with open(log, "wb") as out:
            self.popen = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()


class Daemon(Process):
    """An instance of the daemon, and its proxy to the store."""

    def __init__(self, deployment, number, zone, seeds):
        self.address = f"{deployment.net}.{number + 1}"
        self.zone = zone
        self.proxy = StoreProxy(deployment.store_port)
        path = deployment.folder / f"d{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"edge-{zone}-{number}",
                address=self.address,
                zone=zone,
                seeds=json.dumps([f"{seed}:{CONTROL_PORT}" for seed in seeds]),
                store=self.proxy.port,
            )
        )
        super().__init__(
            deployment,
            f"edge-{zone}-{number}",
            ["python3", "-m", "cardamompathd.platform"],
            {"CARDAMOMPATH_SETTINGS": str(path)},
        )

    def is_ready(self) -> bool:
        """Return whether it answers a readiness probe with 200."""
        conn = http.client.HTTPConnection(self.address, READY_PORT, timeout=1)
        try:
            conn.request("GET", "/v1/readyz")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()


class Deployment:
    """All processes of a case."""

    def __init__(self, record):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.net = self._choose_net()
        self.store_port = free_port()
        self.store_url = f"http://127.0.0.1:{self.store_port}"
        self.store: Process | None = None
        self.daemons: list[Daemon] = []
        self.executors: list[Process] = []
        self._version = 0

    @staticmethod
    def _choose_net():
        """Return a loopback network on which the fixed ports are free."""
        rng = random.SystemRandom()
        for _ in range(200):
            net = f"127.{rng.randrange(2, 250)}.{rng.randrange(2, 250)}"
            try:
                for port in (8161, 8166, 8167, 9464):
                    with socket.socket() as sock:
                        sock.bind((f"{net}.1", port))
            except OSError:
                continue
            return net
        raise CannotRun("no free loopback network")

    def start_store(self) -> None:
        """Start the store and publish a desired state with one queue."""
        self.store = Process(
            self,
            "store",
            ["python3", "-m", "cardamompath_standins.store"]
            + ["--port", str(self.store_port), "--ping", "1.5"],
        )
        self.store.start()
        self.wait_until(lambda: self._call_store("GET", "newest") is not None)

    def _call_store(self, method, what, body=None):
        paths = {
            "newest": "/v1/log-newest?topic=keyed.op&part=0",
            "servers": "/v1/log-newest?topic=keyed.servers&part=0",
            "operator": "/v1/log-append?topic=keyed.op&part=0",
        }
        conn = http.client.HTTPConnection(
            "127.0.0.1", self.store_port, timeout=2
        )
        try:
            conn.request(method, paths[what], body)
            reply = conn.getresponse()
            raw = reply.read()
            return json.loads(raw) if reply.status == 200 else None
        except (OSError, ValueError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    def publish(self, enforces_capacity=True) -> None:
        """Publish a desired state with one queue."""
        self._version += 3
        doc = {
            "version": self._version,
            "routes": [
                {
                    "name": "q",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "service": SERVICE,
                    "priority": 1,
                    "max_attempts": 3,
                    "stretch": 1.6,
                    "target_duration_ms": 500,
                }
            ],
            "services": [
                {"name": SERVICE, "enforces_capacity": enforces_capacity}
            ],
            "limits": {},
        }
        key, value = b"config", json.dumps(doc).encode()
        record = bytes([len(key)]) + key + value
        body = len(record).to_bytes(4, "big") + record
        if self._call_store("POST", "operator", body) is None:
            raise CannotRun("the store does not take the desired state")

    def start_executor(
        self,
        name,
        zone,
        *,
        leave_after=2.0,
        cpu=8000,
        guards=True,
        proxied=False,
    ) -> Process:
        """Start an executor and wait for its entry in the store.

        It serves for `leave_after` seconds after it reported `draining`.  If it
        is proxied, its entry names a proxy that can take a start on its way.
        """
        port = free_port()
        proxy = OrderProxy(port) if proxied else None
        executor = Process(
            self,
            name,
            ["python3", "-m", "leaving_executor", str(leave_after)]
            + ["--name", name, "--service", SERVICE, "--domain", zone]
            + ["--store", self.store_url, "--port", str(port)]
            + ["--announce", f"127.0.0.1:{proxy.port if proxy else port}"]
            + ["--cpu", str(cpu)]
            + ([] if guards else ["--unguarded"]),
        )
        executor.port = port
        executor.proxy = proxy
        executor.start()
        self.executors.append(executor)
        self.wait_until(lambda: self.entry(name) is not None)
        return executor

    def entry(self, name):
        """Return the entry of an executor in the store, None without one."""
        doc = self._call_store("GET", "servers") or {"items": []}
        for item in doc["items"]:
            if item["key"] == name:
                return json.loads(base64.b64decode(item["value"]))
        return None

    def resize_executor(self, executor, cpu) -> None:
        """Let an executor have another capacity, and wait for its entry."""
        conn = http.client.HTTPConnection(
            "127.0.0.1", executor.port, timeout=2
        )
        conn.request(
            "PUT", "/standin/faults", json.dumps({"cpu": cpu}).encode()
        )
        conn.getresponse().read()
        conn.close()
        self.wait_until(
            lambda: self.entry(executor.name)["capacity"]["cpu"] == cpu
        )

    def start_daemons(self, count, gap=0.0) -> None:
        """Start daemons in two zones, and wait until all are ready."""
        seeds = [f"{self.net}.{number + 1}" for number in range(min(3, count))]
        for number in range(count):
            daemon = Daemon(
                self, number, "za" if number % 2 == 0 else "zb", seeds
            )
            self.daemons.append(daemon)
            daemon.start()
            time.sleep(gap)
        self.await_ready()

    def await_ready(self, limit=20.0) -> None:
        """Wait until all daemons are ready."""
        self.wait_until(
            lambda: all(daemon.is_ready() for daemon in self.daemons), limit
        )

    def wait_until(self, condition, limit=20.0) -> None:
        """Wait for a condition; raise CannotRun if it does not hold in time."""
        give_up_at = now() + limit
        while not condition():
            if now() > give_up_at:
                raise CannotRun(
                    "a part of the deployment is not ready in time"
                )
            time.sleep(0.05)

    def planner(self) -> Daemon:
        """Return the daemon that reads the list of executors most often."""
        since = now() - 4.0
        return max(
            self.daemons,
            key=lambda daemon: sum(at > since for at in daemon.proxy.reads),
        )

    def events(self) -> list[dict]:
        """Return what the executors recorded: starts and ends of tasks."""
        found = []
        for executor in self.executors:
            for number, log in enumerate(executor.logs):
                for line in log.read_text().splitlines():
                    if not line.startswith("{"):
                        continue
                    try:
                        doc = json.loads(line)
                    except ValueError:
                        continue
                    found.append(
                        {**doc, "executor": executor.name, "boot": number}
                    )
        return sorted(found, key=lambda doc: doc["at"])

    def runs(self) -> list[dict]:
        """Return the starts and ends of tasks, and write them to the record."""
        found = [
            doc for doc in self.events() if doc["event"] in ("start", "end")
        ]
        for doc in found:
            self.record(
                f"{doc['at']:.3f} {doc['executor']} {doc['event']} {doc['task']} "
                f"attempt {doc['attempt']} {doc.get('how', '')}".rstrip()
            )
        return found

    def stop(self) -> None:
        """End every process that was started."""
        for process in [*self.daemons, *self.executors, self.store]:
            if process is None or process.popen is None:
                continue
            try:
                process.signal(signal.SIGCONT)
            except OSError:
                pass
            process.kill()
        self._temporary.cleanup()


class Client:
    """A client; each request uses a channel of its own."""

    def __init__(self, record):
        self._record = record
        self.answers: list[dict] = []
        self._lock = threading.Lock()

    def request(self, method, daemon, job, body=None, limit_ms=2000) -> dict:
        """Send a request and return what came back; status 0 for nothing."""
        headers = {"Host": HOST}
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["X-Cardamompath-Deadline-Ms"] = str(limit_ms)
        answer = {
            "method": method,
            "job": job,
            "to": daemon.name,
            "sent": now(),
        }
        conn = http.client.HTTPConnection(
            daemon.address, FRONTEND_PORT, timeout=limit_ms / 1000.0 + 0.5
        )
        try:
            conn.request(method, PREFIX + job, body, headers)
            reply = conn.getresponse()
            answer["status"] = reply.status
            answer["body"] = reply.read().decode()
        except (OSError, http.client.HTTPException) as exc:
            answer["status"] = 0
            answer["body"] = repr(exc)
        finally:
            conn.close()
        answer["ended"] = now()
        self._record(
            f"{answer['sent']:.3f} {method} {job} to {daemon.name}, "
            f"{answer['ended']:.3f} {answer['status']} {answer['body']}"
        )
        with self._lock:
            self.answers.append(answer)
        return answer


def make_job(count, work_ms, cpu=1000) -> bytes:
    """Return the body of a job with one step, which need not be stored."""
    return json.dumps(
        {
            "spec": json.dumps({"ms": work_ms, "cpu": cpu}),
            "best_effort": True,
            "phases": [
                {
                    "count": count,
                    "cpu": cpu,
                    "mem_mb": 16,
                    "est_runtime_ms": work_ms,
                }
            ],
        }
    ).encode()


def new_job() -> str:
    """Return a new identifier of a job."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


BROKEN, HELD, NOT_RUN = 3, 0, 2
"""Exit codes of a case; a failure of Python itself has 1."""


def run(case) -> int:
    """Run a case; return whether its rule was broken.

    `case` is called with the deployment, the record function and whether
    the disruption takes place.  It returns the list of violations.
    """
    folder = pathlib.Path(sys.argv[1])
    with open(folder / "record.txt", "w") as out:
        lock = threading.Lock()

        def record(line):
            with lock:
                out.write(line + "\n")
                out.flush()

        is_disrupted = os.environ.get("TROUBLE", "1") != "0"
        record(f"disruption: {'yes' if is_disrupted else 'no'}")
        deployment = Deployment(record)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        try:
            violations = case(deployment, record, is_disrupted)
        except CannotRun as exc:
            record(f"could not run: {exc}")
            print(f"could not run: {exc}")
            return NOT_RUN
        except Exception:
            record(f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
            return NOT_RUN
        finally:
            deployment.stop()
        for line in violations:
            record(f"BROKEN: {line}")
            print(f"BROKEN: {line}")
        record(f"result: {'broken' if violations else 'held'}")
        print("broken" if violations else "held")
        return BROKEN if violations else HELD
