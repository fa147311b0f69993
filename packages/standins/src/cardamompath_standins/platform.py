"""Stand-in of the platform: an append-only log and an instance list."""

from __future__ import annotations

import argparse
import json
import re
import threading
import time
import zlib
from typing import Any

from cardamompath_standins import listener

__all__ = [
    "PlatformState",
    "start",
]

THREADS = 32
RECORDS_PATH = re.compile(r"/v1/streams/([a-z-]+)/records")


class Stream:
    """Retained records of one stream, from offset `oldest` on."""

    def __init__(self):
        self.oldest = 0
        self.records: list[Any] = []

    @property
    def head(self) -> int:
        """Offset that the next append will get."""
        return self.oldest + len(self.records)


class PlatformState:
    """Streams, instance lists and faults of the stand-in.

    Parameters
    ----------
    append_rate : float
        Appends that the log accepts in a second.
    retention : int
        Number of records that each stream keeps.
    """

    def __init__(self, append_rate: float, retention: int):
        self.changed = threading.Condition()
        self.streams: dict[str, Stream] = {}
        self.instance_lists: list[tuple[float, list[dict[str, Any]]]] = [
            (0.0, [])
        ]
        """Each instance list with the time when it was set."""
        self.append_rate = append_rate
        self.retention = retention
        self.tokens = append_rate
        self.refilled_at = 0.0
        self.faults: dict[str, Any] = {}
        self.append_count = 0
        self.stopping = False

    def stop_waiting(self) -> None:
        """Make waiting reads answer at once."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()

    def visible_instances(self, now: float) -> list[dict[str, Any]]:
        """Return the instance list as it was ``list_lag`` seconds ago."""
        as_of = now - self.faults.get("list_lag", 0.0)
        return [rows for at, rows in self.instance_lists if at <= as_of][-1]

    def take_token(self, now: float) -> bool:
        """Take a token of the append rate; return whether there was one."""
        refill = (now - self.refilled_at) * self.append_rate
        self.tokens = min(self.append_rate, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def start(
    port: int = 0, append_rate: float = 300.0, retention: int = 100_000
) -> listener.Listener:
    """Start a stand-in of the platform.

    ``PUT /v1/faults`` sets faults: ``down`` (answer 503), ``delay``
    (seconds before each response), ``lose_answers`` (drop the connection
    instead of answering, for that many appends, which take effect) and
    ``list_lag`` (seconds by which the instance list is outdated).
    ``PUT /v1/instances`` sets the instance list.
    """
    state = PlatformState(append_rate, retention)

    def handle(request: listener.Request) -> listener.Response:
        if request.path == "/v1/faults" and request.method == "PUT":
            state.faults = json.loads(request.body)
            return listener.Response(200, state.faults)
        if state.faults.get("delay"):
            time.sleep(state.faults["delay"])
        if state.faults.get("down"):
            return listener.Response(503, {"error": "outage"})
        return _serve(state, request)

    server = listener.start(handle, THREADS, port=port)

    def stop() -> None:
        state.stop_waiting()
        server.stop()

    return server._replace(stop=stop)


def _serve(state, request):
    match = RECORDS_PATH.fullmatch(request.path)
    if match and request.method == "POST":
        return _append(state, match.group(1), request)
    if match and request.method == "GET":
        return _read(state, match.group(1), request)
    if request.path == "/v1/instances":
        return _serve_instances(state, request)
    return listener.Response(404, {"error": f"no path {request.path!r}"})


def _serve_instances(state, request):
    now = time.monotonic()
    if request.method == "PUT":
        state.instance_lists.append((now, json.loads(request.body)))
    body = json.dumps({"instances": state.visible_instances(now)}).encode()
    tag = f'"{zlib.crc32(body):08x}"'
    headers = (("ETag", tag),)
    if request.headers.get("if-none-match") == tag:
        return listener.Response(304, b"", headers)
    return listener.Response(200, body, headers)


def _append(state, name, request):
    records = json.loads(request.body)["records"]
    with state.changed:
        if not state.take_token(time.monotonic()):
            return listener.Response(429, {"error": "append rate"})
        stream = state.streams.setdefault(name, Stream())
        offset = stream.head
        stream.records.extend(records)
        state.append_count += 1
        surplus = len(stream.records) - state.retention
        if surplus > 0:
            del stream.records[:surplus]
            stream.oldest += surplus
        state.changed.notify_all()
        if state.faults.get("lose_answers", 0) > 0:
            state.faults["lose_answers"] -= 1
            return listener.Response(None)
    return listener.Response(201, {"offset": offset})


def _read(state, name, request):
    first = int(request.query.get("from", 0))
    wait = float(request.query.get("wait", 0))
    limit = int(request.query.get("limit", 1000))
    with state.changed:
        stream = state.streams.setdefault(name, Stream())
        state.changed.wait_for(
            lambda: state.stopping or stream.head > first, wait
        )
        begin = max(first, stream.oldest)
        kept = stream.records[begin - stream.oldest :][:limit]
        body = {
            "oldest": stream.oldest,
            "head": stream.head,
            "records": [
                {"offset": begin + index, "record": record}
                for index, record in enumerate(kept)
            ],
        }
    return listener.Response(200, body)


def main() -> None:
    """Run a stand-in of the platform until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=7000)
    parser.add_argument("--append-rate", type=float, default=300.0)
    args = parser.parse_args()
    listener.run_until_signal(
        "platform", lambda: start(args.port, args.append_rate)
    )


if __name__ == "__main__":
    main()
