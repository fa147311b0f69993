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
    "run_rig",
]

DOMAINS = ("ciudad-vieja", "ciudad-vieja", "pocitos")
"""Failure domain of each instance; the first instance owns the job."""

BACKEND_COUNT = 4

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
    """Port of the instance's proxy in front of the platform."""


class Instance(NamedTuple):
    """One instance: its process, listeners, proxy and log."""

    name: str
    domain: str
    daemon: processes.ManagedProcess
    callers_url: str
    """URL of the callers' listener."""
    operators_url: str
    """URL of the operators' listener."""
    platform_proxy: proxy.Proxy
    log_file: pathlib.Path


class Rig(NamedTuple):
    """The processes of the drill and their addresses."""

    instances: tuple[Instance, ...]
    backend_urls: tuple[str, ...]
    """URLs of the backend server stand-ins."""
    platform_port: int
    """Port of the platform stand-in."""


@contextlib.contextmanager
def run_rig() -> Iterator[Rig]:
    """Start the processes, and stop them when the block is left."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        started: list[processes.ManagedProcess] = []
        stack.callback(processes.stop_all, started)
        platform_port = processes.free_port()
        _start_standin(started, "platform", platform_port)
        backend_ports = [processes.free_port() for _ in range(BACKEND_COUNT)]
        for port in backend_ports:
            _start_standin(started, "backend", port)
        processes.await_ready(f"http://127.0.0.1:{platform_port}/v1/instances")
        urls = tuple(f"http://127.0.0.1:{port}" for port in backend_ports)
        for url in urls:
            processes.await_ready(f"{url}/v1/starts")
        _publish_backends(platform_port, backend_ports)
        instances = _start_instances(
            stack, started, pathlib.Path(folder), platform_port
        )
        for instance in instances:
            processes.await_ready(f"{instance.operators_url}/ready")
        yield Rig(instances, urls, platform_port)


def _start_standin(started, kind, port):
    module = f"cardamompath_standins.{kind}"
    started.append(processes.start(kind, module, ["--port", str(port)]))


def _start_instances(stack, started, folder, platform_port):
    ports = [
        Ports(*(processes.free_port() for _ in Ports._fields)) for _ in DOMAINS
    ]
    instances = []
    for index, own_ports in enumerate(ports):
        peer_ports = [other.peers for other in ports if other is not own_ports]
        platform_proxy = proxy.start(own_ports.platform, platform_port)
        stack.callback(platform_proxy.stop)
        name = f"entry-{index + 1}"
        settings_file = folder / f"{name}.ini"
        settings_file.write_text(
            _format_settings(name, DOMAINS[index], own_ports, peer_ports)
        )
        log_file = folder / f"{name}.log"
        with log_file.open("w") as output:
            daemon = processes.start(
                name, "cardamompathd.main", [str(settings_file)], output
            )
        started.append(daemon)
        instances.append(
            Instance(
                name,
                DOMAINS[index],
                daemon,
                f"http://127.0.0.1:{own_ports.callers}",
                f"http://127.0.0.1:{own_ports.operators}",
                platform_proxy,
                log_file,
            )
        )
    return tuple(instances)


def _format_settings(name, domain, ports, peer_ports):
    addresses = ", ".join(f"127.0.0.1:{port}" for port in peer_ports)
    return SETTINGS.format(
        name=name, domain=domain, addresses=addresses, **ports._asdict()
    )


def _publish_backends(platform_port, ports):
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
    client = log_client.make_client("127.0.0.1", platform_port)
    client.append("configuration", [note])
    client.close()
