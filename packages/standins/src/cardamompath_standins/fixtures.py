"""What the users' clients, operator and machines say to the system.

Paths, headers and fields are those of the users' pages.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from cardamompath_standins import store

__all__ = [
    "CONFIGURATION_PATH",
    "SETTINGS_VARIABLE",
    "make_configuration",
    "make_headers",
    "make_job",
    "make_settings",
]

SETTINGS_VARIABLE = "CARDAMOMPATH_SETTINGS"
"""Variable of the environment that names the settings file."""
CONFIGURATION_PATH = "/v1/log-append?topic=keyed.op&part=0"
"""Where the operator publishes, at the store."""
FRONTEND_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166

SETTINGS = """
node_name = "{name}"
zone = "{domain}"
seeds = {seeds}
[listen]
frontend = "{address}:{frontend}"
ready = "{address}:{ready}"
control = "{address}:{control}"
[limits]
cpu_share = 0.5
[platform]
addr = "127.0.0.1:{store}"
"""


def make_settings(
    name: str, domain: str, address: str, seeds: Sequence[str], port: int
) -> str:
    """Return the settings file of an instance.

    Parameters
    ----------
    name, domain, address : str
        The instance, its failure domain and its IP number.
    seeds : sequence of str
        IP numbers of others.
    port : int
        Port of the loopback address where it finds the store.
    """
    return SETTINGS.format(
        name=name,
        domain=domain,
        seeds=json.dumps([f"{one}:{CONTROL_PORT}" for one in seeds]),
        address=address,
        frontend=FRONTEND_PORT,
        ready=READY_PORT,
        control=CONTROL_PORT,
        store=port,
    )


def make_configuration(
    version: int, service: str, host: str, prefixes: dict[str, str]
) -> bytes:
    """Return a configuration as the operator publishes it.

    Parameters
    ----------
    version : int
        Its number.
    service, host : str
        Of every route.
    prefixes : dict
        Prefix of the path by name of the route.
    """
    doc = {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "path_prefix": prefix,
                "service": service,
                "max_attempts": 3,
                "stretch": 2.0,
                "target_duration_ms": 200,
            }
            for name, prefix in prefixes.items()
        ],
        "services": [{"name": service, "enforces_capacity": True}],
        "limits": {},
    }
    return store.pack_keyed("config", json.dumps(doc).encode())


def make_job(tasks: int, work: int, cpu: int) -> bytes:
    """Return the body of a job of one step.

    Parameters
    ----------
    tasks : int
        Number of tasks.
    work : int
        Milliseconds that each works.
    cpu : int
        Thousandths of a core that each takes.
    """
    step = {"count": tasks, "cpu": cpu, "mem_mb": 16}
    doc: dict[str, Any] = {
        "spec": json.dumps({"ms": work, "cpu": cpu}),
        "best_effort": True,
        "phases": [{**step, "est_runtime_ms": work}],
    }
    return json.dumps(doc).encode()


def make_headers(host: str, wait: int | None) -> dict[str, str]:
    """Return the headers of a request.

    Parameters
    ----------
    host : str
        Host of the route.
    wait : int, optional
        Milliseconds that the client waits for the answer.
    """
    headers = {"Host": host}
    if wait is not None:
        headers["X-Cardamompath-Deadline-Ms"] = str(wait)
        headers["Content-Type"] = "application/json"
    return headers
