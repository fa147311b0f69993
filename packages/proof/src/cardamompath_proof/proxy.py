"""A TCP proxy that counts bytes and can disturb its connections.

One event loop on a thread of its own owns all connections of a proxy;
other threads submit coroutines to this loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading

__all__ = [
    "Proxy",
    "start",
]

CHUNK_SIZE = 1 << 16
"""Bytes that are forwarded at a time."""

SLOW_DELAY = 0.3
"""Seconds by which a slow proxy delays each chunk."""

CALL_TIMEOUT = 5.0
"""Seconds that another thread waits for the loop to run its call."""


class Proxy:
    """Forwards connections to one port.

    Parameters
    ----------
    port : int
        Port of the loopback address to listen on.
    target : int
        Port of the loopback address to forward to.
    """

    def __init__(self, port: int, target: int):
        self.port = port
        self.byte_count = 0
        """Bytes received so far, in both directions."""
        self._target = target
        self._is_cut = False
        self._mode = ""
        self._stalled: set[asyncio.StreamWriter] = set()
        """Writers of connections that forward nothing any more."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def listen(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = self._call(
            asyncio.start_server(self._serve, "127.0.0.1", self.port)
        )

    def cut(self) -> None:
        """Abort all connections, and new ones as they arrive."""
        self._call(self._set_cut(True))

    def restore(self) -> None:
        """Forward new connections again."""
        self._call(self._set_cut(False))

    def disturb(self, mode: str) -> None:
        """Disturb open and new connections until `clear_disturbance`.

        Parameters
        ----------
        mode : {"silent", "one way", "slow"}
            Forward nothing, only requests, or everything with a delay.
        """
        self._call(self._set_mode(mode))

    def clear_disturbance(self) -> None:
        """End the disturbance; abort connections that may have lost bytes."""
        self._call(self._set_mode(""))

    def stall_open_connections(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self._call(self._stall_open_connections())

    def stop(self) -> None:
        """Abort all connections and stop the loop and its thread."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine):
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return fut.result(CALL_TIMEOUT)

    async def _set_cut(self, is_cut):
        self._is_cut = is_cut
        if is_cut:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _set_mode(self, mode):
        may_have_lost_bytes = self._mode in ("silent", "one way")
        self._mode = mode
        if may_have_lost_bytes and not mode:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _stall_open_connections(self):
        self._stalled |= self._writers

    async def _close(self):
        if self._server is not None:
            self._server.close()
        await self._set_cut(True)
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            upstream = await asyncio.open_connection("127.0.0.1", self._target)
            writers = {writer, upstream[1]}
            self._writers |= writers
            if self._is_cut:
                await self._set_cut(True)
            try:
                await asyncio.gather(
                    self._forward(reader, upstream[1], True),
                    self._forward(upstream[0], writer, False),
                )
            finally:
                self._writers -= writers
                self._stalled -= writers
                for open_writer in writers:
                    open_writer.transport.abort()

    async def _forward(self, reader, writer, is_request):
        while raw := await reader.read(CHUNK_SIZE):
            self.byte_count += len(raw)
            if self._mode == "silent" or writer in self._stalled:
                continue
            if self._mode == "one way" and not is_request:
                continue
            if self._mode == "slow":
                await asyncio.sleep(SLOW_DELAY)
            writer.write(raw)
            await writer.drain()
        writer.close()


def start(port: int, target: int) -> Proxy:
    """Start a proxy on `port` in front of `target`.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    proxy = Proxy(port, target)
    try:
        proxy.listen()
    except OSError:
        proxy.stop()
        raise
    return proxy
