"""One daemon with fake executors and a platform stand-in, as processes."""

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
    "running",
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
    """Addresses of a running daemon and its process id."""

    pid: int
    callers: str
    """URL of the callers' listener."""
    operators: str
    """URL of the operators' listener."""
    executors: tuple[int, ...]
    """Ports of the fake executors."""


@contextlib.contextmanager
def running(
    executors: int, slots: int, threads: int = 64, processor: int = -1
) -> Iterator[Rig]:
    """Run a daemon with fake executors until the block ends.

    Parameters
    ----------
    executors : int
        Number of fake executors.
    slots : int
        Tasks that each takes at the same time.
    threads : int, default 64
        Threads of the callers' listener.
    processor : int, default -1
        Processor that the daemon stays on; -1 for any.
    """
    ports = [processes.free_port() for _ in range(4 + executors)]
    platform, callers, operators, peers, *backends = ports
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
            started.append(_start_executors(backends))
            _publish(platform, backends, slots)
            daemon = processes.start(
                "daemon", "cardamompathd.main", [str(file)]
            )
            started.append(daemon)
            processes.await_ready(f"http://127.0.0.1:{operators}/ready")
            yield Rig(
                daemon.process.pid,
                f"http://127.0.0.1:{callers}",
                f"http://127.0.0.1:{operators}",
                tuple(backends),
            )
        finally:
            for one in reversed(started):
                processes.stop(one)


def _start_platform(port):
    started = processes.start(
        "platform", "cardamompath_standins.platform", ["--port", str(port)]
    )
    processes.await_ready(f"http://127.0.0.1:{port}/v1/instances")
    return started


def _start_executors(ports):
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
