"""A TCP proxy that counts bytes and disturbs what it passes on.

All connections of a proxy are owned by one event loop on a thread of
its own; other threads reach it by calls that the loop runs.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading

__all__ = [
    "Proxy",
    "start",
]

CHUNK = 1 << 16
"""Bytes that are passed on at a time."""

SLOW = 0.3
"""Seconds by which a slow proxy delays each chunk."""

CALL_TIMEOUT = 5.0
"""Seconds that the loop may take for a call from another thread."""


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    port : int
        Port of the loopback address to listen on.
    target : int
        Port of the loopback address to pass on to.
    """

    def __init__(self, port: int, target: int):
        self.port = port
        self.bytes = 0
        """Bytes passed on so far, both ways together."""
        self._target = target
        self._is_cut = False
        self._mode = ""
        self._stale: set[asyncio.StreamWriter] = set()
        """Writers of connections that went silent for good."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def listen(self) -> None:
        """Begin to listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = self._call(
            asyncio.start_server(self._serve, "127.0.0.1", self.port)
        )

    def cut(self) -> None:
        """Close all connections, and new ones as they come."""
        self._call(self._set_cut(True))

    def restore(self) -> None:
        """Pass new connections on again."""
        self._call(self._set_cut(False))

    def disturb(self, mode: str) -> None:
        """Disturb connections, open ones and new ones, until `calm`.

        Parameters
        ----------
        mode : {"silent", "one way", "slow"}
            Nothing passes, no answer passes, or all passes late.
        """
        self._call(self._set_mode(mode))

    def calm(self) -> None:
        """Pass all on again; what lost bytes is closed."""
        self._call(self._set_mode(""))

    def silence_open(self) -> None:
        """Pass nothing on any more on the connections that are open."""
        self._call(self._silence_open())

    def stop(self) -> None:
        """End the loop and its thread."""
        self._call(self._end())
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
        lost = self._mode in ("silent", "one way")
        self._mode = mode
        if lost and not mode:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _silence_open(self):
        self._stale |= self._writers

    async def _end(self):
        if self._server is not None:
            self._server.close()
        await self._set_cut(True)
        own = asyncio.current_task()
        tasks = [one for one in asyncio.all_tasks() if one is not own]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            far = await asyncio.open_connection("127.0.0.1", self._target)
            both = {writer, far[1]}
            self._writers |= both
            if self._is_cut:
                await self._set_cut(True)
            try:
                await asyncio.gather(
                    self._pass_on(reader, far[1], True),
                    self._pass_on(far[0], writer, False),
                )
            finally:
                self._writers -= both
                self._stale -= both
                for one in both:
                    one.transport.abort()

    async def _pass_on(self, reader, writer, is_call):
        while raw := await reader.read(CHUNK):
            self.bytes += len(raw)
            if self._mode == "silent" or writer in self._stale:
                continue
            if self._mode == "one way" and not is_call:
                continue
            if self._mode == "slow":
                await asyncio.sleep(SLOW)
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
