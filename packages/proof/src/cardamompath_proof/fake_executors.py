"""Lightweight fake backend servers: many listeners on one event loop.

They answer every task with success, at once or after the seconds that the
payload gives, as in ``{"work": 0.05}``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re

__all__ = [
    "main",
]

CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)


class BackendProtocol(asyncio.Protocol):
    """One connection to a fake backend server."""

    def __init__(self):
        self.buffer = b""
        self.transport = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, data):
        """Answer every complete request in the buffer."""
        self.buffer += data
        while True:
            head, separator, rest = self.buffer.partition(b"\r\n\r\n")
            if not separator:
                return
            length = int(CONTENT_LENGTH.search(head).group(1))
            if len(rest) < length:
                return
            body, self.buffer = rest[:length], rest[length:]
            self.answer(body)

    def answer(self, body):
        """Answer after the time that the payload asks for."""
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
        await loop.create_server(
            BackendProtocol, "127.0.0.1", port, backlog=512
        )
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("ports", type=int, nargs="+")
    asyncio.run(_serve(parser.parse_args().ports))


if __name__ == "__main__":
    main()
