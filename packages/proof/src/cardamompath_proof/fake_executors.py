"""Fast fake executors: many listeners on one event loop.

Each answers the protocol towards backend servers; a payload may name
its work in seconds, as ``{"work": 0.05}``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re

__all__ = [
    "main",
]

LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)


class Executor(asyncio.Protocol):
    """One connection of a fake executor."""

    def __init__(self):
        self.buffer = b""
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data):
        """Answer every whole request in the buffer."""
        self.buffer += data
        while True:
            head, found, rest = self.buffer.partition(b"\r\n\r\n")
            if not found:
                return
            length = int(LENGTH.search(head).group(1))
            if len(rest) < length:
                return
            body, self.buffer = rest[:length], rest[length:]
            self.answer(body)

    def answer(self, body):
        """Answer now, or after the work that the body names."""
        work = 0.0
        if b'"work"' in body:
            work = json.loads(body)["work"]
        if work == 0.0:
            self.transport.write(ANSWER)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(work, self.transport.write, ANSWER)


async def _serve(ports):
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(Executor, "127.0.0.1", port, backlog=512)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("ports", type=int, nargs="+")
    asyncio.run(_serve(parser.parse_args().ports))


if __name__ == "__main__":
    main()
