"""The processes of the drill: three instances in two failure domains."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator
from typing import NamedTuple

from cardamompath_proof import processes
from cardamompath_proof import proxy
from cardamompathd.recordlog import log_client

__all__ = [
    "Instance",
    "Rig",
    "running",
]

DOMAINS = ("ciudad-vieja", "ciudad-vieja", "pocitos")
"""Failure domain of each instance; the first instance owns the job."""

BACKENDS = 4
"""Number of backend servers."""

SETTINGS = """
[instance]
name = {name}
domain = {domain}
leave_notice = 0
answer_hold = 0
grace = 1
[callers]
listen = 127.0.0.1:{callers}
[operators]
listen = 127.0.0.1:{operators}
[peers]
listen = 127.0.0.1:{peers}
addresses = {addresses}
[platform]
address = 127.0.0.1:{platform}
[log]
level = INFO
format = text
[metrics]
exporter = none
"""


class Ports(NamedTuple):
    """Ports of one instance."""

    callers: int
    operators: int
    peers: int
    platform: int
    """Port of the instance's proxy to the platform."""


class Instance(NamedTuple):
    """A running instance, its addresses and its proxy to the platform."""

    name: str
    domain: str
    process: processes.ManagedProcess
    callers: str
    """URL of the callers' listener."""
    operators: str
    """URL of the operators' listener."""
    platform_proxy: proxy.Proxy
    log: pathlib.Path


class Rig(NamedTuple):
    """Processes and addresses of the drill."""

    instances: tuple[Instance, ...]
    backends: tuple[str, ...]
    """URLs of the backend server stand-ins."""
    platform: int
    """Port of the platform stand-in."""


@contextlib.contextmanager
def running() -> Iterator[Rig]:
    """Run the processes, and stop them when the block ends or fails."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        started: list[processes.ManagedProcess] = []
        stack.callback(processes.stop_all, started)
        platform = processes.free_port()
        _start(started, "platform", platform)
        backends = [processes.free_port() for _ in range(BACKENDS)]
        for port in backends:
            _start(started, "backend", port)
        processes.await_ready(f"http://127.0.0.1:{platform}/v1/instances")
        urls = tuple(f"http://127.0.0.1:{port}" for port in backends)
        for url in urls:
            processes.await_ready(f"{url}/v1/starts")
        _publish(platform, backends)
        instances = _start_instances(
            stack, started, pathlib.Path(folder), platform
        )
        for instance in instances:
            processes.await_ready(f"{instance.operators}/ready")
        yield Rig(instances, urls, platform)


def _start(started, kind, port):
    module = f"cardamompath_standins.{kind}"
    started.append(processes.start(kind, module, ["--port", str(port)]))


def _start_instances(stack, started, folder, platform):
    ports = [
        Ports(*(processes.free_port() for _ in Ports._fields)) for _ in DOMAINS
    ]
    instances = []
    for index, own in enumerate(ports):
        peers = [other.peers for other in ports if other is not own]
        platform_proxy = proxy.start(own.platform, platform)
        stack.callback(platform_proxy.stop)
        name = f"entry-{index + 1}"
        file = folder / f"{name}.ini"
        file.write_text(_settings(name, DOMAINS[index], own, peers))
        log = folder / f"{name}.log"
        with log.open("w") as output:
            process = processes.start(
                name, "cardamompathd.main", [str(file)], output
            )
        started.append(process)
        instances.append(
            Instance(
                name,
                DOMAINS[index],
                process,
                f"http://127.0.0.1:{own.callers}",
                f"http://127.0.0.1:{own.operators}",
                platform_proxy,
                log,
            )
        )
    return tuple(instances)


def _settings(name, domain, ports, peers):
    addresses = ", ".join(f"127.0.0.1:{port}" for port in peers)
    return SETTINGS.format(
        name=name, domain=domain, addresses=addresses, **ports._asdict()
    )


def _publish(platform, ports):
    added = {
        f"executor-{index}": {
            "service": "booking",
            "domain": DOMAINS[index % 2 * 2],
            "host": "127.0.0.1",
            "port": port,
        }
        for index, port in enumerate(ports)
    }
    note = {
        "kind": "note",
        "id": "drill",
        "base": 0,
        "added": {"services": {"booking": {}}, "backends": added},
    }
    client = log_client.make_client("127.0.0.1", platform)
    client.append("configuration", [note])
    client.close()
