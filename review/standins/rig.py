"""Stand-ins of the users' platform for the scripts of the review.

One event loop runs the store, the executors and the clients; the daemons are
separate processes.  Only the standard library is used.  The paths and fields
are those of PROTOCOL.md.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONTEND_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166
HEARTBEAT = 1.5
"""Seconds between the pings of an executor (heartbeat_ms)."""
HOLD_MAX = 1.0
"""Longest lease in seconds (hold_max_ms)."""
STOP_TIME = 0.05
"""Seconds that a stop takes (stop_timeout_ms)."""
MAX_HOLD_WAIT = 2.0
STORE_ANSWER_TIME = 0.004
"""Seconds of an answer of the store."""


def now():
    """Return the time of the driver, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Recorder:
    """Writes what was sent, answered and run to a file and keeps it."""

    def __init__(self, path):
        self._file = open(path, "w")
        self.started = now()
        self.events = []

    def __call__(self, what, **fields):
        at = now()
        self.events.append({"at": at, "what": what, **fields})
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at - self.started:9.3f} {what} {text}\n")
        self._file.flush()


class HttpServer:
    """A minimal HTTP/1.1 server with persistent connections."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def abort(self):
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                response = await self._handle(method, target, headers, body)
                if response is None:
                    # No answer, and nothing further on this channel.
                    await asyncio.sleep(3600)
                    return
                status, payload = response
                head = (
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n"
                )
                writer.write(head.encode() + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        raw = await reader.readline()
        if not raw:
            raise asyncio.IncompleteReadError(raw, None)
        text = raw.decode("latin-1").strip()
        if not text:
            break
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.pings = {}
        self.server = HttpServer(self._handle)
        self.port = free_port()
        self._expiry = None
        self.version = 0
        self.down = False
        """Whether the store refuses all calls."""

    def set_down(self, down):
        """Refuse all calls with 503, also the pings; or serve them again."""
        self.down = down
        self.record("store", down=down)

    async def start(self):
        await self.server.listen("127.0.0.1", self.port)
        self._expiry = asyncio.create_task(self._expire())

    async def append(self, topic, key, value):
        raw = key.encode()
        data = bytes([len(raw)]) + raw + value
        records = self.topics.setdefault(topic, [])
        records.append(data)
        async with self.changed:
            self.changed.notify_all()
        return len(records)

    async def write_entry(self, name, entry):
        """Write the entry of an executor; return whether it was taken."""
        if self.down:
            return False
        self.pings[name] = now()
        await self.append("keyed.servers", name, json.dumps(entry).encode())
        return True

    async def publish(self, document):
        self.version += random.randrange(1, 5)
        document = {"version": self.version, **document}
        await self.append("keyed.op", "config", json.dumps(document).encode())
        self.record("config", version=self.version)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.25)
            for name, at in list(self.pings.items()):
                if now() - at > 3.0 * HEARTBEAT:
                    del self.pings[name]
                    await self.append("keyed.servers", name, b"")

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(STORE_ANSWER_TIME)
        if self.down:
            return 503, b"{}"
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        records = self.topics.setdefault(query.get("topic", ""), [])
        if url.path == "/v1/log-append":
            return await self._append(records, body)
        if url.path == "/v1/log-newest":
            return self._newest(records)
        if url.path == "/v1/log-read":
            return await self._read(records, query)
        return 404, b"{}"

    async def _append(self, records, body):
        offset, position = len(records), 0
        while position < len(body):
            size = struct.unpack_from("!I", body, position)[0]
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        async with self.changed:
            self.changed.notify_all()
        doc = {"offset": offset, "end_offset": len(records)}
        return 200, json.dumps(doc).encode()

    def _newest(self, records):
        newest = {}
        for offset, data in enumerate(records):
            key, value = data[1 : 1 + data[0]], data[1 + data[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        doc = {"items": items, "has_more": False, "end_offset": len(records)}
        return 200, json.dumps(doc).encode()

    async def _read(self, records, query):
        start = int(query["from"])
        wait = min(int(query.get("wait_ms", 0)) / 1000.0, 30.0)
        deadline = now() + wait
        async with self.changed:
            while len(records) <= start and now() < deadline:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait(), deadline - now()
                    )
        parts = [
            struct.pack("!I", len(data)) + data for data in records[start:]
        ]
        return 200, struct.pack("!QQ", len(records), 0) + b"".join(parts)


class Executor:
    """One machine that runs tasks under leases, over several boots."""

    def __init__(self, name, store, record, domain, kind, **options):
        self.name = name
        self.store = store
        self.record = record
        self.domain = domain
        self.kind = kind
        self.service = options.get("service", "desk")
        self.cpu = options.get("cpu", 8000)
        self.guards = options.get("guards", True)
        self.rate = options.get("rate", 1.0)
        """Speed of its steady clock; it may be 2% slow."""
        self.speed = options.get("speed", 1.0)
        self.rack = options.get("rack", f"r-{domain}")
        self.port = free_port()
        self.server = HttpServer(self._handle)
        self.state = "ready"
        self.up = False
        self.boots = 0
        self.mute_starts = 0
        """How many starts get no answer next."""
        self._ping = None
        self._fresh()

    def _fresh(self):
        self.born = int(time.time() * 1000)
        self.clock_base = now()
        self.clock_offset = random.uniform(1.0, 400.0)
        self.token = 0
        self.runs = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.highest = {}
        self.lease_end = 0.0
        self.changed = asyncio.Event()

    @property
    def labels(self):
        return [self.kind, self.rack]

    def clock(self, at=None):
        at = now() if at is None else at
        return self.clock_offset + (at - self.clock_base) * self.rate

    async def boot(self, kind=None):
        """Start, listen and register, as one boot of a kind."""
        self._fresh()
        self.kind = kind or self.kind
        self.boots += 1
        self.state = "ready"
        self.up = True
        self.record(
            "boot", executor=self.name, kind=self.kind, born=self.born
        )
        self._ping = asyncio.create_task(self._register())
        await asyncio.sleep(0)
        await self.server.listen("127.0.0.1", self.port)

    async def crash(self):
        """End at once: nothing runs, nothing is sent any more."""
        self.advance()
        self.up = False
        self._ping.cancel()
        self.record("crash", executor=self.name, runs=len(self.runs))
        for key in list(self.runs):
            self.record("end", executor=self.name, run=key, how="crash")
        self.runs.clear()
        await self.server.abort()

    async def drain(self):
        self.state = "draining"
        await self._write_entry()
        self.record("draining", executor=self.name)

    async def _register(self):
        while True:
            await self._write_entry()
            # Pings are only approximately regular.
            await asyncio.sleep(HEARTBEAT * random.uniform(0.9, 1.0))

    async def _write_entry(self):
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": self.labels,
            "born": self.born,
            "seq_no": int(now() * 1000),
        }
        taken = await self.store.write_entry(self.name, entry)
        self.record(
            "registered" if taken else "not registered",
            executor=self.name,
            kind=self.kind,
            state=self.state,
            born=self.born,
        )

    def advance(self):
        """End the runs that were due by now, in order."""
        at = now()
        clock = self.clock(at)
        due = []
        for key, run in self.runs.items():
            lapse_at = at - (clock - self.lease_end) / self.rate
            end_at = min(run["end_at"], lapse_at)
            if end_at <= at:
                how = run["how"] if run["end_at"] <= lapse_at else "lapsed"
                due.append((end_at, key, how))
        for end_at, key, how in sorted(due):
            del self.runs[key]
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            self.ended.append([next(self.numbers), *key, how, ""])
            self.record(
                "end", executor=self.name, run=key, how=how, due=end_at
            )
        if due:
            self.changed.set()

    async def _handle(self, method, target, headers, body):
        expected = headers.get("x-cardamompath-expect-instance", self.name)
        if expected != self.name:
            return 421, b"{}"
        self.advance()
        doc = json.loads(body or b"{}")
        born = self.born
        handler = {
            "/v1/run-start": self._start,
            "/v1/run-stop": self._stop,
            "/v1/hold": self._hold,
        }.get(target)
        if handler is None:
            return 404, b"{}"
        response = await handler(doc)
        if born != self.born or not self.up:
            return None
        return response

    def _reply(self, status, **fields):
        clock = int(self.clock() * 1000)
        doc = {"clock_ms": clock, "born": self.born, **fields}
        return status, json.dumps(doc).encode()

    def _is_fenced(self, doc):
        token = doc.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, doc):
        if "expires_ms" in doc:
            clock = self.clock()
            until = min(doc["expires_ms"] / 1000.0, clock + HOLD_MAX)
            self.lease_end = max(self.lease_end, until)

    async def _start(self, doc):
        key = (doc["task"], doc["attempt"])
        order = {
            "executor": self.name,
            "run": key,
            "token": doc["fencing_token"],
        }
        if self._is_fenced(doc):
            self.record("start refused", reason="fence", **order)
            return self._reply(409, reason="fence")
        if key in self.runs:
            return self._reply(200)
        if doc["expires_ms"] / 1000.0 <= self.clock():
            self.record("start refused", reason="late", **order)
            return self._reply(409, reason="late")
        self._extend(doc)
        if doc["attempt"] <= self.highest.get(doc["task"], 0):
            self.record("start refused", reason="old", **order)
            return self._reply(409, reason="old")
        spec = json.loads(doc["spec"])
        used = sum(run["cpu"] for run in self.runs.values())
        if self.guards and used + spec["cpu"] > self.cpu:
            self.record("start refused", reason="room", **order)
            return self._reply(409, reason="room")
        end_at = now() + spec["ms"] / 1000.0 / self.speed
        self.runs[key] = {
            "end_at": end_at,
            "how": spec.get("how", "done"),
            "cpu": spec["cpu"],
        }
        self.record(
            "start",
            kind=self.kind,
            cpu=spec["cpu"],
            load=used + spec["cpu"],
            spec=doc["spec"],
            **order,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, end_at - now()) + 0.001, self.advance)
        loop.call_later(HOLD_MAX + 0.1, self.advance)
        if self.mute_starts > 0:
            self.mute_starts -= 1
            return None
        return self._reply(200)

    async def _stop(self, doc):
        if self._is_fenced(doc):
            return self._reply(409, reason="fence")
        key = (doc["task"], doc["attempt"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.runs.get(key)
        self.record("stop", executor=self.name, run=key, there=bool(run))
        if run is not None and run["end_at"] > now() + STOP_TIME:
            run["end_at"], run["how"] = now() + STOP_TIME, "stopped"
            asyncio.get_running_loop().call_later(STOP_TIME, self.advance)
        return self._reply(200)

    async def _hold(self, doc):
        if "fencing_token" in doc and self._is_fenced(doc):
            return self._reply(409, reason="fence")
        acknowledged = doc.get("ack_index", 0)
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        self._extend(doc)
        wait = min(doc.get("wait_ms", 0) / 1000.0, MAX_HOLD_WAIT)
        deadline = now() + wait
        while not self.ended and now() < deadline and self.up:
            self.changed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), deadline - now())
            self.advance()
        running = [[*key, "", 100, 0] for key in self.runs]
        return self._reply(200, running=running, ended_runs=self.ended[:500])


def free_port():
    """Return a free port below the range of ephemeral ports."""
    while True:
        port = random.SystemRandom().randrange(12_000, 30_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Daemon:
    """A process of the system, on a loopback address of its own."""

    def __init__(self, name, zone, address, store_port, folder, record):
        self.name = name
        self.zone = zone
        self.address = address
        self.store_port = store_port
        self.folder = folder
        self.record = record
        self.popen = None
        self.ready = False
        """Whether it answered the last readiness probe with 200."""

    def start(self, seeds):
        path = self.folder / f"{self.name}.toml"
        path.write_text(self._settings(seeds))
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CARDAMOMPATH_SETTINGS"] = str(path)
        log = open(self.folder / f"{self.name}.log", "ab")
        self.popen = subprocess.Popen(
            ["python3", "-m", "cardamompathd.platform"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record("daemon starts", name=self.name)

    def signal(self, number):
        self.record("signal", name=self.name, number=int(number))
        self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text()

    def _settings(self, seeds):
        seeds = json.dumps([f"{seed}:{CONTROL_PORT}" for seed in seeds])
        return f"""
node_name = "{self.name}"
role = "instance"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{self.address}"
zone = "{self.zone}"
region = "montevideo"
seeds = {seeds}
heartbeat_ms = 1500
commands = "invoke"
[listen]
frontend = "{self.address}:{FRONTEND_PORT}"
ready = "{self.address}:{READY_PORT}"
control = "{self.address}:{CONTROL_PORT}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
[bounds]
remote_factor = 1.5
resend_ms = 1300
hold_max_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
[platform]
addr = "127.0.0.1:{self.store_port}"
form = "log"
"""


async def request(
    address, method, path, host, body=None, wait=30.0, margin=0.5
):
    """Send one request on a new channel; return status and document.

    The status is 0 if no answer came within the wait and a margin.
    """
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(address, FRONTEND_PORT), 1.0
        )
    except (OSError, asyncio.TimeoutError):
        return 0, {}
    try:
        raw = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Cardamompath-Deadline-Ms: {int(wait * 1000)}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n"
        )
        writer.write(head.encode() + raw)
        reply = await asyncio.wait_for(read_message(reader), wait + margin)
        if reply is None:
            return 0, {}
        first, _, payload = reply
        return int(first.split(" ")[1]), json.loads(payload or b"{}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        writer.transport.abort()


class Rig:
    """A small deployment: a store, executors and daemons."""

    HOST = "desk.example"
    PREFIX = "/desk/"

    def __init__(self, folder):
        self.case = pathlib.Path(folder)
        self.record = Recorder(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.executors = []
        self.daemons = []
        rng = random.SystemRandom()
        self.net = f"127.{rng.randrange(2, 250)}.{rng.randrange(1, 250)}"

    def add_executor(self, name, domain, kind, **options):
        executor = Executor(
            name, self.store, self.record, domain, kind, **options
        )
        self.executors.append(executor)
        return executor

    def add_daemon(self, name, zone):
        address = f"{self.net}.{len(self.daemons) + 1}"
        daemon = Daemon(
            name, zone, address, self.store.port, self.folder, self.record
        )
        self.daemons.append(daemon)
        return daemon

    def start_daemon(self, daemon):
        seeds = [each.address for each in self.daemons if each is not daemon]
        daemon.start(seeds[:3])

    async def start(self, guards=True, routes=None, **policy):
        """Start everything, and wait until every daemon is ready."""
        await self.store.start()
        route = {
            "name": "main",
            "host": self.HOST,
            "path_prefix": self.PREFIX,
            "service": "desk",
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
            "target_duration_ms": 60,
            **policy,
        }
        await self.store.publish(
            {
                "routes": routes or [route],
                "services": [{"name": "desk", "enforces_capacity": guards}],
                "limits": {},
            }
        )
        for executor in self.executors:
            await executor.boot()
            await asyncio.sleep(HEARTBEAT / len(self.executors))
        for daemon in self.daemons:
            self.start_daemon(daemon)
        deadline = now() + 30.0
        while now() < deadline:
            if all([await self.is_ready(each) for each in self.daemons]):
                break
            await asyncio.sleep(0.1)
        else:
            raise TimeoutError("not every daemon is ready")
        await asyncio.sleep(2.0)

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(daemon.address, READY_PORT), 0.5
            )
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            reply = await asyncio.wait_for(read_message(reader), 0.5)
            return reply is not None and " 200 " in reply[0] + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.transport.abort()

    async def submit(self, daemon, job, body, wait=30.0, margin=0.5):
        """Submit a job on a new channel to a daemon."""
        self.record("post", job=job, daemon=daemon.name)
        status, doc = await request(
            daemon.address,
            "POST",
            self.PREFIX + job,
            self.HOST,
            body,
            wait,
            margin,
        )
        self.record(
            "answer", job=job, daemon=daemon.name, status=status, doc=doc
        )
        return status, doc

    async def cancel(self, daemon, job):
        self.record("delete", job=job, daemon=daemon.name)
        status, doc = await request(
            daemon.address, "DELETE", self.PREFIX + job, self.HOST, None, 4.0
        )
        self.record(
            "delete answered",
            job=job,
            daemon=daemon.name,
            status=status,
            doc=doc,
        )
        return status

    def planners(self):
        """Return the daemons that plan, by their logs."""
        found = []
        for daemon in self.daemons:
            text = daemon.log_text()
            if text.rfind("began to plan") > text.rfind("ended to plan"):
                found.append(daemon)
        return found

    def planner(self):
        """Return one of the daemons that plan."""
        return self.planners()[-1]

    async def stop(self):
        """End all processes that were started."""
        for daemon in self.daemons:
            if daemon.popen is not None:
                with contextlib.suppress(OSError):
                    daemon.popen.send_signal(signal.SIGCONT)
                daemon.popen.kill()
        for daemon in self.daemons:
            if daemon.popen is not None:
                daemon.popen.wait()
        for executor in self.executors:
            if executor._ping is not None:
                executor._ping.cancel()
            await executor.server.abort()
        await self.store.server.abort()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def new_job():
    """Return an identifier of a job: 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


def make_job(count, ms, cpu, **step):
    """Return the body of a job with one step that needs not be kept."""
    return {
        "spec": json.dumps({"ms": ms, "cpu": cpu}),
        "best_effort": True,
        "phases": [
            {
                "count": count,
                "cpu": cpu,
                "mem_mb": 64,
                "est_runtime_ms": ms,
                **step,
            }
        ],
    }


def run_case(folder, play):
    """Play a case; return 1 if the rule broke, 0 if it held, else 2.

    `play` is a coroutine function that takes the rig and whether there is
    trouble, and returns the list of the violations.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        rig = Rig(folder)
        try:
            violations = await asyncio.wait_for(play(rig, trouble), 110.0)
        finally:
            await rig.stop()
        for violation in violations:
            rig.record("VIOLATION", text=violation)
        rig.record("result", broken=len(violations), trouble=int(trouble))
        return violations

    try:
        violations = asyncio.run(main())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        return 2
    for violation in violations[:10]:
        print(violation)
    print(f"{len(violations)} violations, trouble: {trouble}")
    return 1 if violations else 0
