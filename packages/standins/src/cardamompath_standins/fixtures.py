"""Inputs of the daemon in the form of the users' platform.

These are the settings file, the configuration, jobs and headers of
requests.  Paths, headers and fields are those of the documentation of
the users' platform.
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
"""Environment variable with the path of the settings file."""
CONFIGURATION_PATH = "/v1/log-append?topic=keyed.op&part=0"
"""Path at the store to which the operator appends configurations."""
FRONTEND_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166

SETTINGS_TEMPLATE = """
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
EVACUATION_TEMPLATE = """[bounds]
evacuate_ms = {evacuate_ms}
"""


def make_settings(
    name: str,
    domain: str,
    address: str,
    seeds: Sequence[str],
    store_port: int,
    evacuate_ms: int | None = None,
) -> str:
    """Return the text of the settings file of an instance.

    Parameters
    ----------
    name, domain, address : str
        Name, failure domain and IP address of the instance.
    seeds : sequence of str
        IP addresses of other instances.
    store_port : int
        Port of the store at 127.0.0.1.
    evacuate_ms : int, optional
        Milliseconds after which a request to evacuate a failure domain has
        to be in force; without it evacuations are not followed.
    """
    text = SETTINGS_TEMPLATE.format(
        name=name,
        domain=domain,
        seeds=json.dumps([f"{seed}:{CONTROL_PORT}" for seed in seeds]),
        address=address,
        frontend=FRONTEND_PORT,
        ready=READY_PORT,
        control=CONTROL_PORT,
        store=store_port,
    )
    if evacuate_ms is not None:
        text += EVACUATION_TEMPLATE.format(evacuate_ms=evacuate_ms)
    return text


def make_configuration(
    version: int,
    service: str,
    host: str,
    prefixes: dict[str, str],
    enforces_capacity: bool = True,
) -> bytes:
    """Return the record with which the operator publishes a configuration.

    Parameters
    ----------
    version : int
        Version of the configuration.
    service, host : str
        Service and host of every route.
    prefixes : dict
        Path prefix of each route, by the name of the route.
    enforces_capacity : bool
        Whether executors refuse what exceeds their capacity.
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
        "services": [
            {"name": service, "enforces_capacity": enforces_capacity}
        ],
        "limits": {},
    }
    return store.encode_keyed_record("config", json.dumps(doc).encode())


def make_job(
    task_count: int,
    work_ms: int,
    cpu_millicores: int,
    crash_ms: int | None = None,
    label: str = "",
) -> bytes:
    """Return the request body of a job with a single step.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    work_ms : int
        Run time of each task, in milliseconds.
    cpu_millicores : int
        Processor share of each task, in thousandths of a core.
    crash_ms : int, optional
        Milliseconds after which each task crashes its executor.
    label : str, optional
        Label that the executor of a task must have.
    """
    spec = {"ms": work_ms, "cpu": cpu_millicores}
    if crash_ms is not None:
        spec["crash_ms"] = crash_ms
    step: dict[str, Any] = {
        "count": task_count,
        "cpu": cpu_millicores,
        "mem_mb": 16,
    }
    if label:
        step["required_label"] = label
    doc: dict[str, Any] = {
        "spec": json.dumps(spec),
        "best_effort": True,
        "phases": [{**step, "est_runtime_ms": work_ms}],
    }
    return json.dumps(doc).encode()


def make_headers(host: str, timeout_ms: int | None) -> dict[str, str]:
    """Return the headers of a request.

    Parameters
    ----------
    host : str
        Host of the route.
    timeout_ms : int, optional
        Milliseconds that the client waits for the answer; without it the
        headers of a deadline and of a JSON body are left out.
    """
    headers = {"Host": host}
    if timeout_ms is not None:
        headers["X-Cardamompath-Deadline-Ms"] = str(timeout_ms)
        headers["Content-Type"] = "application/json"
    return headers
