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
PATH = re.compile(r"/v1/streams/([a-z-]+)/records")


class Stream:
    """The retained records of one stream."""

    def __init__(self):
        self.oldest = 0
        self.records: list[Any] = []

    @property
    def head(self) -> int:
        """Offset that the next append will get."""
        return self.oldest + len(self.records)


class PlatformState:
    """All that the stand-in holds, and the faults set on it.

    Parameters
    ----------
    append_rate : float
        Appends a second that the log takes.
    retention : int
        Records that each stream keeps.
    """

    def __init__(self, append_rate: float, retention: int):
        self.changed = threading.Condition()
        self.streams: dict[str, Stream] = {}
        self.lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        """Every list of instances and the time when it was set."""
        self.append_rate = append_rate
        self.retention = retention
        self.tokens = append_rate
        self.refilled = 0.0
        self.faults: dict[str, Any] = {}
        self.appends = 0
        self.ended = False

    def end(self) -> None:
        """Let every read that waits answer now."""
        with self.changed:
            self.ended = True
            self.changed.notify_all()

    def instances(self, now: float) -> list[dict[str, Any]]:
        """Return the list of instances as it was ``list_lag`` ago."""
        seen = now - self.faults.get("list_lag", 0.0)
        return [one for at, one in self.lists if at <= seen][-1]

    def take_token(self, now: float) -> bool:
        """Take one append off the rate limit."""
        grown = (now - self.refilled) * self.append_rate
        self.tokens = min(self.append_rate, self.tokens + grown)
        self.refilled = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def start(
    port: int = 0, append_rate: float = 300.0, retention: int = 100_000
) -> listener.Listener:
    """Start a platform stand-in.

    ``PUT /v1/faults`` sets faults: ``down`` (answer 503), ``delay``
    (seconds before each answer), ``lose_answers`` (drop the connection
    after that many appends took effect) and ``list_lag`` (seconds by
    which the instance list is behind).  ``PUT /v1/instances`` sets the
    instance list.
    """
    state = PlatformState(append_rate, retention)

    def handle(call: listener.Call) -> listener.Reply:
        if call.path == "/v1/faults" and call.method == "PUT":
            state.faults = json.loads(call.body)
            return listener.Reply(200, state.faults)
        if state.faults.get("delay"):
            time.sleep(state.faults["delay"])
        if state.faults.get("down"):
            return listener.Reply(503, {"error": "outage"})
        return _serve(state, call)

    running = listener.start(handle, THREADS, port=port)

    def stop() -> None:
        state.end()
        running.stop()

    return running._replace(stop=stop)


def _serve(state, call):
    match = PATH.fullmatch(call.path)
    if match and call.method == "POST":
        return _append(state, match.group(1), call)
    if match and call.method == "GET":
        return _read(state, match.group(1), call)
    if call.path == "/v1/instances":
        return _instances(state, call)
    return listener.Reply(404, {"error": f"no path {call.path!r}"})


def _instances(state, call):
    now = time.monotonic()
    if call.method == "PUT":
        state.lists.append((now, json.loads(call.body)))
    body = json.dumps({"instances": state.instances(now)}).encode()
    tag = f'"{zlib.crc32(body):08x}"'
    headers = (("ETag", tag),)
    if call.headers.get("if-none-match") == tag:
        return listener.Reply(304, b"", headers)
    return listener.Reply(200, body, headers)


def _append(state, name, call):
    records = json.loads(call.body)["records"]
    with state.changed:
        if not state.take_token(time.monotonic()):
            return listener.Reply(429, {"error": "append rate"})
        stream = state.streams.setdefault(name, Stream())
        offset = stream.head
        stream.records.extend(records)
        state.appends += 1
        surplus = len(stream.records) - state.retention
        if surplus > 0:
            del stream.records[:surplus]
            stream.oldest += surplus
        state.changed.notify_all()
        if state.faults.get("lose_answers", 0) > 0:
            state.faults["lose_answers"] -= 1
            return listener.Reply(None)
    return listener.Reply(201, {"offset": offset})


def _read(state, name, call):
    first = int(call.query.get("from", 0))
    wait = float(call.query.get("wait", 0))
    limit = int(call.query.get("limit", 1000))
    with state.changed:
        stream = state.streams.setdefault(name, Stream())
        state.changed.wait_for(
            lambda: state.ended or stream.head > first, wait
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
    return listener.Reply(200, body)


def main() -> None:
    """Run a platform stand-in until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=7000)
    parser.add_argument("--append-rate", type=float, default=300.0)
    args = parser.parse_args()
    listener.run_until_ended(
        "platform", lambda: start(args.port, args.append_rate)
    )


if __name__ == "__main__":
    main()
