"""Processes of one daemon, fake backend servers and a platform stand-in."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator
from typing import NamedTuple

from cardamompath_proof import processes
from cardamompathd.recordlog import log_client

__all__ = [
    "Rig",
    "run_rig",
]

SETTINGS = """
[instance]
name = entry-1
domain = ciudad-vieja
processor = {processor}
leave_notice = 0
[callers]
listen = 127.0.0.1:{callers}
threads = {threads}
[operators]
listen = 127.0.0.1:{operators}
[peers]
listen = 127.0.0.1:{peers}
[platform]
address = 127.0.0.1:{platform}
[log]
level = WARNING
[metrics]
exporter = none
"""


class Rig(NamedTuple):
    """Process id and addresses of a running daemon."""

    pid: int
    callers_url: str
    """URL of the callers' listener."""
    operators_url: str
    """URL of the operators' listener."""
    backend_ports: tuple[int, ...]
    """Ports of the fake backend servers."""


@contextlib.contextmanager
def run_rig(
    backends: int, slots: int, threads: int = 64, processor: int = -1
) -> Iterator[Rig]:
    """Run a daemon with fake backend servers until the block ends.

    Parameters
    ----------
    backends : int
        Number of fake backend servers.
    slots : int
        Slots of each backend server.
    threads : int, default 64
        Threads of the callers' listener.
    processor : int, default -1
        Processor to pin the daemon to; -1 for none.
    """
    ports = [processes.free_port() for _ in range(4 + backends)]
    platform, callers, operators, peers, *backend_ports = ports
    started = []
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "daemon.ini")
        file.write_text(
            SETTINGS.format(
                callers=callers,
                operators=operators,
                peers=peers,
                platform=platform,
                threads=threads,
                processor=processor,
            )
        )
        try:
            started.append(_start_platform(platform))
            started.append(_start_backends(backend_ports))
            _publish(platform, backend_ports, slots)
            daemon = processes.start(
                "daemon", "cardamompathd.main", [str(file)]
            )
            started.append(daemon)
            processes.await_ready(f"http://127.0.0.1:{operators}/ready")
            yield Rig(
                daemon.popen.pid,
                f"http://127.0.0.1:{callers}",
                f"http://127.0.0.1:{operators}",
                tuple(backend_ports),
            )
        finally:
            for process in reversed(started):
                processes.stop(process)


def _start_platform(port):
    process = processes.start(
        "platform", "cardamompath_standins.platform", ["--port", str(port)]
    )
    processes.await_ready(f"http://127.0.0.1:{port}/v1/instances")
    return process


def _start_backends(ports):
    return processes.start(
        "executors",
        "cardamompath_proof.fake_executors",
        [str(port) for port in ports],
    )


def _publish(platform, ports, slots):
    added = {
        f"executor-{index}": {
            "service": "booking",
            "domain": "ciudad-vieja",
            "host": "127.0.0.1",
            "port": port,
            "slots": slots,
        }
        for index, port in enumerate(ports, 1)
    }
    note = {
        "kind": "note",
        "id": "rig",
        "base": 0,
        "added": {"services": {"booking": {}}, "backends": added},
    }
    client = log_client.make_client("127.0.0.1", platform)
    client.append("configuration", [note])
    client.close()
