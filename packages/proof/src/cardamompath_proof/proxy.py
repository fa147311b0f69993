"""A TCP proxy that counts bytes and can disturb its connections.

One event loop on a thread of its own owns all connections of a proxy;
other threads submit coroutines to this loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading

__all__ = [
    "Proxy",
    "start",
]

CHUNK_SIZE = 1 << 16
"""Bytes that are forwarded at a time."""

SLOW_DELAY = 0.3
"""Seconds by which a slow proxy delays each chunk."""

LATE_DELAYS = (2.0, 12.0)
"""Range in seconds of the delays of requests that arrive late."""

LATE_SHARE = 0.5
"""Share of the requests that arrive late, and of these the share whose
connection is reset; the others get no answer."""

LATE_ANSWER_TIMEOUT = 3.0
"""Seconds for the answer to a late request, which nobody gets."""

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
        self._rng = random.Random()
        self._late_delays = LATE_DELAYS
        self._late_requests: set[asyncio.Task] = set()
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

    def delay_requests(
        self, rng: random.Random, delays: tuple[float, float] = LATE_DELAYS
    ) -> None:
        """Deliver some requests late, until `clear_disturbance`.

        A chunk counts as a request.  It is delivered on a connection of its
        own, to the process that then listens there; the client gets no
        answer on the connection from which it was taken.
        """
        self._rng = rng
        self._late_delays = delays
        self._call(self._set_mode("late"))

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
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Aborted connections are closed in the next round of the loop.
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        try:
            if not self._is_cut:
                await self._connect(reader, writer)
        finally:
            writer.transport.abort()

    async def _connect(self, reader, writer):
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
                upstream[1].transport.abort()

    async def _forward(self, reader, writer, is_request):
        while raw := await reader.read(CHUNK_SIZE):
            self.byte_count += len(raw)
            if self._mode == "silent" or writer in self._stalled:
                continue
            if self._mode == "one way" and not is_request:
                continue
            if self._mode == "late" and is_request and self._draw_late():
                self._take_request(raw, writer)
                continue
            if self._mode == "slow":
                await asyncio.sleep(SLOW_DELAY)
            writer.write(raw)
            await writer.drain()
        writer.close()

    def _draw_late(self):
        return self._rng.random() < LATE_SHARE

    def _take_request(self, raw, upstream):
        request = asyncio.create_task(self._deliver_late(raw))
        self._late_requests.add(request)
        request.add_done_callback(self._late_requests.discard)
        self._stalled.add(upstream)
        if self._draw_late():
            upstream.transport.abort()

    async def _deliver_late(self, raw):
        await asyncio.sleep(self._rng.uniform(*self._late_delays))
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
            try:
                writer.write(raw)
                async with asyncio.timeout(LATE_ANSWER_TIMEOUT):
                    await reader.read(CHUNK_SIZE)
            finally:
                writer.transport.abort()


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
