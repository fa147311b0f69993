"""A small deployment of separate processes on loopback addresses.

It has the project's stand-ins of the store and of the executors, a proxy
between each instance and the store, and instances that are started by the
command of deploy/system.toml.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PYTHONPATH = os.pathsep.join(
    str(REPOSITORY / "target" / name) for name in ("deps", "review-3")
)
HOST = "desk.example"
PREFIX = "/desk/"
SERVICE = "desk"
FRONTEND, CONTROL, READY = 8161, 8166, 8167
START_TIMEOUT = 30.0

SETTINGS = """\
node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [7720,7735]
seeds = {seeds}
bootstrap = true
in_fault_domain = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
commands = "invoke"
[zones]
z0 = "r"
z1 = "r"
[listen]
frontend = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
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
config_apply_ms = 2000
hold_max_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
status_s = 120
remote_factor = 3
resend_ms = 1300
[platform]
addr = "127.0.0.1:{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
"""


def now():
    """Return the clock that the stand-ins write into their logs."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class CannotRun(Exception):
    """The case could not run."""


class StoreProxy:
    """Forwards connections to the store, or resets them."""

    def __init__(self, target):
        self._target = target
        self._rejects = False
        self._pairs = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def reject(self):
        """Reset the open connections, and the new ones as they come."""
        with self._lock:
            self._rejects = True
            pairs = list(self._pairs)
        for pair in pairs:
            self._reset(pair)

    def serve(self):
        """Forward new connections again."""
        with self._lock:
            self._rejects = False

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            if self._rejects:
                self._reset((client,))
                continue
            try:
                server = socket.create_connection(
                    ("127.0.0.1", self._target), 5.0
                )
            except OSError:
                self._reset((client,))
                continue
            server.settimeout(None)
            pair = (client, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._forward, args=(source, sink, pair), daemon=True
                ).start()

    def _forward(self, source, sink, pair):
        try:
            while raw := source.recv(1 << 16):
                sink.sendall(raw)
        except OSError:
            pass
        with self._lock:
            self._pairs.discard(pair)
        for sock in pair:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @staticmethod
    def _reset(socks):
        for sock in socks:
            try:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    (1).to_bytes(4, sys.byteorder) + bytes(4),
                )
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


class Instance:
    def __init__(self, name, zone, ip, proxy):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.proxy = proxy
        self.process = None
        self.starts = 0


class Executor:
    def __init__(self, index, name, port, proxy):
        self.index = index
        self.name = name
        self.port = port
        self.proxy = proxy
        self.process = None
        self.starts = 0


class Deployment:
    """Starts the processes; `close` ends them and writes the record."""

    def __init__(self, case, instances=4, executors=6, make_proxy=None):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._lines = []
        self._lock = threading.Lock()
        self._began = now()
        self._processes = []
        self.executor_logs = []
        self.executors = []
        self._make_proxy = make_proxy
        self.store_port = free_port()
        with open(REPOSITORY / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self._command = next(iter(roles.values()))["run"].split()
        net = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        self.instances = [
            Instance(
                f"edge-z{index % 2}-{index // 2 + 1}",
                f"z{index % 2}",
                f"{net}.{index + 1}",
                None,
            )
            for index in range(instances)
        ]
        self._executor_count = executors

    def note(self, text):
        """Write a line into the record."""
        with self._lock:
            at = now() - self._began
            self._lines.append((at, f"{at:8.3f} {text}"))

    def start(self):
        if not (REPOSITORY / "target" / "review-3").is_dir():
            raise CannotRun("review/build-3.sh has not been run")
        self._spawn(
            "store",
            [
                "python3",
                "-m",
                "cardamompath_standins.store",
                "--port",
                str(self.store_port),
            ],
        )
        self._await(
            "127.0.0.1",
            self.store_port,
            "/v1/log-newest?topic=keyed.op&part=0",
        )
        self._publish()
        for index in range(self._executor_count):
            self._start_executor(index)
        self._await_executors()
        for instance in self.instances:
            instance.proxy = StoreProxy(self.store_port)
            self.start_instance(instance)
            # The first one runs longest, so that it becomes the planner.
            time.sleep(0.05)
        for instance in self.instances:
            self.await_ready(instance)
        time.sleep(3.5)

    def _publish(self):
        doc = {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "kind": "unsafe",
                    "timeout_ms": 1500,
                    "target_duration_ms": 60,
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "stretch": 1.6,
                }
            ],
            "services": [{"name": SERVICE, "enforces_capacity": True}],
            "limits": {},
        }
        record = b"\x06config" + json.dumps(doc).encode()
        body = len(record).to_bytes(4, "big") + record
        status, _ = self.request(
            "127.0.0.1",
            self.store_port,
            "POST",
            "/v1/log-append?topic=keyed.op&part=0",
            body,
        )
        if status != 200:
            raise CannotRun(f"the store answers {status} to the operator")

    def _start_executor(self, index):
        port = free_port()
        proxy = None
        if self._make_proxy is not None:
            proxy = self._make_proxy(port, self.note)
        executor = Executor(index, f"i-{index:04x}", port, proxy)
        self.executors.append(executor)
        self.start_executor(executor)

    def start_executor(self, executor):
        """Start the first process of an executor, or the next one."""
        index, name, port = executor.index, executor.name, executor.port
        announced = executor.proxy.port if executor.proxy else port
        executor.starts += 1
        log = self.folder / f"{name}-{executor.starts}.log"
        self.executor_logs.append((name, log))
        command = ["python3", "-m", "cardamompath_standins.executor"]
        for option, value in (
            ("--name", name),
            ("--service", SERVICE),
            ("--domain", f"z{index % 2}"),
            ("--store", f"http://127.0.0.1:{self.store_port}"),
            ("--port", port),
            ("--announce", f"127.0.0.1:{announced}"),
            ("--cpu", 16000),
        ):
            command += [option, str(value)]
        executor.process = self._spawn(name, command, log)
        self.note(f"{name} started (start {executor.starts})")

    def _await_executors(self):
        path = "/v1/log-newest?topic=keyed.servers&part=0"
        for _ in range(300):
            status, raw = self.request(
                "127.0.0.1", self.store_port, "GET", path
            )
            if status == 200 and (
                len(json.loads(raw)["items"]) == self._executor_count
            ):
                return
            time.sleep(0.1)
        raise CannotRun("not every executor has registered")

    def start_instance(self, instance):
        settings = self.folder / f"{instance.name}.toml"
        seeds = [f"{each.ip}:{CONTROL}" for each in self.instances[:3]]
        settings.write_text(
            SETTINGS.format(
                name=instance.name,
                zone=instance.zone,
                ip=instance.ip,
                seeds=json.dumps(seeds),
                store=instance.proxy.port,
            )
        )
        instance.starts += 1
        log = self.folder / f"{instance.name}-{instance.starts}.log"
        instance.process = self._spawn(
            instance.name,
            self._command,
            log,
            {"CARDAMOMPATH_SETTINGS": str(settings)},
        )
        self.note(f"{instance.name} started (start {instance.starts})")

    def await_ready(self, instance):
        self._await(instance.ip, READY, "/v1/readyz")

    def _spawn(self, name, command, log=None, env=None):
        variables = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        variables |= {"PYTHONPATH": PYTHONPATH, **(env or {})}
        with open(log or self.folder / f"{name}.log", "wb") as out:
            process = subprocess.Popen(
                command,
                stdout=out,
                stderr=subprocess.STDOUT,
                cwd=REPOSITORY,
                env=variables,
            )
        self._processes.append(process)
        return process

    def _await(self, host, port, path):
        give_up_at = now() + START_TIMEOUT
        while now() < give_up_at:
            if self.request(host, port, "GET", path, timeout=1.0)[0] == 200:
                return
            time.sleep(0.05)
        raise CannotRun(f"{host}:{port} is not ready")

    def request(
        self, host, port, method, path, body=None, headers=None, timeout=10.0
    ):
        """Return the status and the body; the status is 0 without answer."""
        conn = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            conn.request(method, path, body, headers or {})
            response = conn.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            conn.close()

    def submit(self, instance, job, phases, run_ms, wait_ms):
        """Submit a job as a client does; return status and body."""
        cpu = phases[0]["cpu"]
        doc = {
            "spec": json.dumps({"ms": run_ms, "cpu": cpu}),
            "best_effort": True,
            "phases": phases,
        }
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Cardamompath-Deadline-Ms": str(wait_ms),
        }
        self.note(f"POST {job} to {instance.name}")
        status, raw = self.request(
            instance.ip,
            FRONTEND,
            "POST",
            PREFIX + job,
            json.dumps(doc),
            headers,
            wait_ms / 1000.0 + 2.0,
        )
        self.note(f"POST {job} at {instance.name}: {status} {raw.decode()}")
        return status, raw

    def submit_later(self, *args):
        """Submit a job from a thread; return the thread and its answers."""
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.submit(*args)), daemon=True
        )
        thread.start()
        return thread, answers

    def cancel(self, instance, job):
        """Cancel a job as a client does; return status and time."""
        self.note(f"DELETE {job} to {instance.name}")
        status, raw = self.request(
            instance.ip,
            FRONTEND,
            "DELETE",
            PREFIX + job,
            headers={"Host": HOST},
        )
        self.note(f"DELETE {job} at {instance.name}: {status} {raw.decode()}")
        return status, now()

    def signal(self, instance, number):
        self.note(f"{instance.name} gets {signal.Signals(number).name}")
        instance.process.send_signal(number)

    def kill(self, instances):
        """Kill instances at the same time; wait for their ends."""
        for instance in instances:
            self.signal(instance, signal.SIGKILL)
        for instance in instances:
            instance.process.wait()

    def starts_of(self, job):
        """Return when executors started tasks of a job, and which."""
        found = []
        for name, log in self.executor_logs:
            for line in log.read_text().splitlines():
                if not line.startswith("{"):
                    continue
                doc = json.loads(line)
                if doc.get("task", "").startswith(job) and (
                    doc["event"] == "start"
                ):
                    found.append((doc["at"], doc["task"], name))
        return sorted(found)

    def runs_of(self, job):
        """Return task, executor, begin and end of the runs of a job.

        A run without an end ended with its process, or goes on; its end is
        then the last time in the log of that process, or infinity.
        """
        runs = []
        for name, log in self.executor_logs:
            is_last = log == [each for each in self.executor_logs if each[0] == name][-1][1]
            open_runs = {}
            last = 0.0
            for line in log.read_text().splitlines():
                if not line.startswith("{"):
                    continue
                doc = json.loads(line)
                last = max(last, doc["at"])
                if not doc.get("task", "").startswith(job):
                    continue
                key = doc["task"], doc["attempt"]
                if doc["event"] == "start":
                    open_runs[key] = doc["at"]
                elif key in open_runs:
                    runs.append((key[0], name, open_runs.pop(key), doc["at"]))
            for (task, _), began in open_runs.items():
                end = float("inf") if is_last else max(last, began)
                runs.append((task, name, began, end))
        return sorted(runs, key=lambda run: run[2])

    def close(self, result):
        """End all processes, and write the record into the folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        for name, log in self.executor_logs:
            for line in log.read_text().splitlines():
                if line.startswith("{") and '"task"' in line:
                    doc = json.loads(line)
                    at = doc["at"] - self._began
                    text = (
                        f"{at:8.3f} {name}: {doc['event']} {doc['task']} "
                        f"run {doc['attempt']} {doc.get('how', '')}"
                    )
                    self._lines.append((at, text.rstrip()))
        self._lines.sort()
        lines = [line for _, line in self._lines]
        (self.case / "record.txt").write_text(
            "\n".join([*lines, result]) + "\n"
        )
        shutil.rmtree(self.folder, ignore_errors=True)


BROKEN = 3
"""Exit code of a case whose rule was broken; 1 is that of any error."""


def run(case, play, **options):
    """Run a case; exit with `BROKEN`, with 0 if the rule held, else with 2."""
    # On SIGTERM the processes are ended, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code, result = 2, "could not run"
    deployment = Deployment(case, **options)
    try:
        deployment.start()
        broken = play(deployment, os.environ.get("TROUBLE", "1") != "0")
        code = BROKEN if broken else 0
        result = f"rule broken: {broken}" if broken else "the rule held"
    except CannotRun as exc:
        result = f"could not run: {exc}"
    finally:
        deployment.close(result)
    print(result)
    sys.exit(code)
