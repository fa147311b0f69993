"""The processes of a soak, and proxies in front of some of them."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import queue
import random
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import urllib3

from cardamompath_proof import processes
from cardamompath_proof import proxy
from cardamompath_standins import fixtures
from cardamompath_standins import store
from cardamompathd.runtime import clocks

__all__ = [
    "Executor",
    "Instance",
    "Rig",
    "Size",
    "running",
]

SERVICE = "desk"
HOST = "desk.example"
PREFIX = "/jobs/"
PING = 0.8
"""Seconds between signs of executors; short, so that a soak sees entries
expire and return."""
PROGRAM = "cardamompathd.platform"
CALL_TIME = 10.0
"""Seconds for a call of the driver to a stand-in, which may be paused."""


class Size(NamedTuple):
    """How many processes a soak has."""

    domains: int = 2
    instances: int = 2
    """Of each failure domain."""
    executors: int = 3
    """Of each failure domain."""


class _Caller(threading.Thread):
    """Carries calls out in turn; a stand-in may be paused meanwhile."""

    def __init__(self):
        super().__init__(daemon=True)
        self.calls: queue.SimpleQueue = queue.SimpleQueue()

    def run(self) -> None:
        """Call until None comes."""
        while call := self.calls.get():
            try:
                call()
            except urllib3.exceptions.HTTPError as exc:
                print(f"  call failed: {exc!r}", flush=True)


class Life(NamedTuple):
    """One process of an executor or instance."""

    began: float
    log: pathlib.Path


class Executor:
    """An executor, the proxy in front of it, and its lives."""

    def __init__(self, name: str, domain: str):
        self.name = name
        self.domain = domain
        self.process: processes.Running | None = None
        self.port = processes.free_port()
        self.proxy = proxy.start(processes.free_port(), self.port)
        self.lives: list[Life] = []
        self.ended: list[float] = []
        """When each life ended; the last may go on."""


class Instance:
    """An instance, the proxy between it and the store, and its lives."""

    def __init__(self, name: str, domain: str, address: str, store: int):
        self.name = name
        self.domain = domain
        self.address = address
        self.proxy = proxy.start(processes.free_port(), store)
        self.process: processes.Running | None = None
        self.disturbed: list[tuple[float, float]] = []
        """Spans in which it was killed, frozen or had no store."""
        self.frozen: list[tuple[float, float]] = []
        self.lives: list[Life] = []


class Rig:
    """All processes of one soak.

    Parameters
    ----------
    folder : Path
        Takes settings and logs.
    size : Size
        Number of processes.
    program : str
        Module that instances run.
    args : sequence of str
        Its arguments.
    """

    def __init__(self, folder, size, program=PROGRAM, args=()):
        self.folder = folder
        self.program = program
        self.args = args
        self.version = 0
        self.published: list[tuple[float, int, tuple[str, ...]]] = []
        """When a version was accepted, and the routes that it has."""
        self.terminated: dict[str, list[tuple[float, float]]] = {}
        """When each instance got SIGTERM, and since when it was calm."""
        self.store_port = processes.free_port()
        self.store = self._start_store()
        self.http = urllib3.PoolManager(retries=False, timeout=CALL_TIME)
        self._caller = _Caller()
        self._caller.start()
        # So that soaks can run side by side.
        net = f"127.{1 + os.getpid() % 200}"
        self.executors = [
            Executor(f"x{domain}{one}", f"d{domain}")
            for domain in range(size.domains)
            for one in range(size.executors)
        ]
        self.instances = [
            Instance(
                f"i{domain}{one}",
                f"d{domain}",
                f"{net}.{domain}.{one + 1}",
                self.store_port,
            )
            for domain in range(size.domains)
            for one in range(size.instances)
        ]
        self.publish(("r0",))
        for one in self.executors:
            self.start_executor(one)
        for one in self.instances:
            self.start_instance(one)

    @property
    def store_url(self) -> str:
        """URL of the store, without a proxy."""
        return f"http://127.0.0.1:{self.store_port}"

    def _start_store(self):
        args = ["--port", str(self.store_port), "--ping", str(PING)]
        with open(self.folder / "store.log", "wb") as log:
            running = processes.start(
                "store", "cardamompath_standins.store", args, log
            )
        processes.await_ready(f"{self.store_url}{store.READY_PATH}")
        return running

    def later(self, call: Callable[[], None] | None) -> None:
        """Let a call to a stand-in be made, without waiting for it."""
        self._caller.calls.put(call)

    def publish(self, routes: tuple[str, ...]) -> None:
        """Publish a configuration with routes of these names."""
        self.version += random.Random(self.version).randrange(1, 9)
        prefixes = {one: f"/{one}/" for one in routes}
        record = fixtures.make_configuration(
            self.version, SERVICE, HOST, {"main": PREFIX, **prefixes}
        )
        url = f"{self.store_url}{fixtures.CONFIGURATION_PATH}"
        reply = self.http.request("POST", url, body=record)
        if reply.status == 200:
            at = clocks.boottime()
            self.published.append((at, self.version, routes))

    def set_faults(self, url: str, **fields: Any) -> None:
        """Set the faults of a stand-in."""
        body = json.dumps(fields).encode()
        self.http.request("PUT", f"{url}/standin/faults", body=body)

    def start_executor(self, one: Executor) -> None:
        """Start the next life of an executor."""
        args = ["--name", one.name, "--service", SERVICE]
        args += ["--domain", one.domain, "--store", self.store_url]
        args += ["--port", str(one.port), "--ping", str(PING)]
        args += ["--announce", f"127.0.0.1:{one.proxy.port}"]
        log = self.folder / f"{one.name}-{len(one.lives)}.log"
        with open(log, "wb") as out:
            one.process = processes.start(
                one.name, "cardamompath_standins.executor", args, out
            )
        one.lives.append(Life(clocks.boottime(), log))

    def start_instance(self, one: Instance) -> None:
        """Start the next life of an instance."""
        path = self.folder / f"{one.name}.toml"
        others = [it for it in self.instances if it is not one][:3]
        path.write_text(
            fixtures.make_settings(
                one.name,
                one.domain,
                one.address,
                [it.address for it in others],
                one.proxy.port,
            )
        )
        log = self.folder / f"{one.name}-{len(one.lives)}.log"
        env = {fixtures.SETTINGS_VARIABLE: str(path)}
        with open(log, "wb") as out:
            one.process = processes.start(
                one.name, self.program, self.args, out, env
            )
        one.lives.append(Life(clocks.boottime(), log))

    def signal(self, one: Executor | Instance, number: int) -> None:
        """Send a signal to the process of an executor or instance."""
        os.kill(one.process.process.pid, number)

    def end(self, one: Executor | Instance) -> None:
        """Kill a process and wait for its end."""
        one.process.process.kill()
        one.process.process.wait()
        if isinstance(one, Executor):
            one.ended.append(clocks.boottime())

    def await_ready(self) -> None:
        """Wait until every instance wants callers."""
        for one in self.instances:
            processes.await_ready(
                f"http://{one.address}:{fixtures.READY_PORT}/v1/readyz"
            )

    def stop(self) -> None:
        """End all that was started here."""
        self.later(None)
        everything = [*self.instances, *self.executors]
        for one in everything:
            one.process.process.send_signal(signal.SIGCONT)
        self.store.process.send_signal(signal.SIGCONT)
        for one in everything:
            one.process.process.kill()
        self.store.process.kill()
        for one in everything:
            one.process.process.wait()
            one.proxy.stop()
        self.store.process.wait()


@contextlib.contextmanager
def running(
    size: Size, program: str = PROGRAM, args=(), keep: str = ""
) -> Iterator[Rig]:
    """Start the processes of a soak, and end them afterwards.

    Parameters
    ----------
    size : Size
        Number of processes.
    program, args : str and sequence of str
        What instances run.
    keep : str
        Folder for the logs; a temporary one when empty.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        rig = Rig(folder, size, program, args)
        try:
            rig.await_ready()
            time.sleep(1.0)
            yield rig
        finally:
            rig.stop()
